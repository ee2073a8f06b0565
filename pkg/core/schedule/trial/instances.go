package trial

import (
	"errors"
	"slices"
	"time"

	"almondbay.example/core/schedule"
)

const trialModel = "model"

// instance is one scheduler and its location.
type instance struct {
	*schedule.Scheduler
	domain int
	// node is the node that runs the instance; -1 for an owner, from which
	// nodes request slots.
	node int
	// engine is the only engine of the owner of one group; nil otherwise.
	engine    *engine
	decisions []jobDecision
	waiting   int
	// published is the excess of requests over slots that the owner last
	// announced to nodes; negative when slots are free.
	published int
	// leased is the number of slots of each engine leased to the node, and
	// inUse the number of its jobs there.
	leased []int
	inUse  []int
	// retired is set when another instance has replaced this one; draining is
	// set while its node accepts no new requests.
	retired  bool
	draining bool
}

type jobDecision struct {
	job      *job
	decision schedule.Decision
}

// assignment is the scheduling state of a job.
type assignment struct {
	instance *instance
	ticket   *schedule.Ticket
	engine   *engine
}

// instances is the strategy that runs schedulers.
type instances struct {
	*simulation
	list     []*instance
	assigned map[*job]*assignment
	// reports holds the last report of each engine.
	reports map[*engine]schedule.Report
	seeds   uint64
}

func newInstances(s *simulation) *instances {
	c := &instances{
		simulation: s,
		assigned:   make(map[*job]*assignment),
		reports:    make(map[*engine]schedule.Report),
	}
	switch s.config.Policy {
	case Independent, LeasedSlots:
		for i, n := range s.nodes {
			c.list = append(c.list, c.newInstance(n.domain, i))
		}
	case OwnerPerGroup:
		for _, e := range s.engines {
			owner := c.newInstance(e.domain, -1)
			owner.engine = e
			c.list = append(c.list, owner)
		}
	default:
		for d := range domains {
			c.list = append(c.list, c.newInstance(d, -1))
		}
	}
	c.membershipChanged()
	return c
}

func (c *instances) newInstance(domain, node int) *instance {
	c.seeds++
	config := schedule.Config{
		FailureDomain: domainName(domain),
		Seed:          c.config.Seed*1000 + c.seeds,
		FirstToken:    firstTokenObjective,
		PromptCost:    promptCost,
	}
	if c.config.Policy == LeasedSlots {
		config.OvercommitRatio = -1
	}
	s := schedule.New(config)
	var shares []schedule.Workspace
	for _, w := range c.config.Workload.workspaces {
		shares = append(shares, schedule.Workspace{Name: w.name, Share: w.share})
	}
	s.SetWorkspaces(shares)
	return &instance{
		Scheduler: s,
		domain:    domain,
		node:      node,
		leased:    make([]int, len(c.engines)),
		inUse:     make([]int, len(c.engines)),
	}
}

func domainName(d int) string {
	return string(rune('a' + d))
}

// membershipChanged updates the live engines of every instance.
func (c *instances) membershipChanged() {
	for _, instance := range c.list {
		c.process(instance, func() { instance.SetGroups(c.groupsOf(instance), c.clock()) })
	}
}

func (c *instances) groupsOf(instance *instance) []schedule.Group {
	var groups []schedule.Group
	for i, e := range c.engines {
		if e.down || (instance.engine != nil && instance.engine != e) {
			continue
		}
		g := schedule.Group{
			ID:            e.id,
			Model:         trialModel,
			FailureDomain: domainName(e.domain),
			Slots:         engineSlots,
			Schedulers:    c.sharedBy(instance, e),
		}
		if c.config.Policy == LeasedSlots {
			g.Slots = instance.leased[i]
		}
		if g.Slots > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// sharedBy returns how many instances dispatch to the engine with equal
// priority.
func (c *instances) sharedBy(instance *instance, e *engine) int {
	switch c.config.Policy {
	case Independent:
		count := 0
		for _, n := range c.nodes {
			if n.live && (n.domain == e.domain) == (instance.domain == e.domain) {
				count++
			}
		}
		return max(1, count)
	case OwnerPerDomain:
		if instance.domain != e.domain {
			return domains - 1
		}
	}
	return 1
}

// process runs an event of an instance and applies the resulting decisions.
func (c *instances) process(instance *instance, event func()) {
	event()
	for len(instance.decisions) > 0 {
		d := instance.decisions[0]
		instance.decisions = instance.decisions[1:]
		c.applyDecision(instance, d)
	}
}

func (c *instances) applyDecision(instance *instance, d jobDecision) {
	p := c.assigned[d.job]
	if p == nil || p.instance != instance {
		return // The job was cancelled; the cancellation is in transit.
	}
	instance.waiting--
	if d.decision.Refusal != nil {
		c.refuse(d.job, d.decision.Refusal.RetryAfter)
		delete(c.assigned, d.job)
		return
	}
	p.ticket = d.decision.Ticket
	p.engine = c.byID[d.decision.Group]
	instance.inUse[p.engine.index]++
	d.job.lowPriority = d.decision.Long
	c.after(c.messageDelay(d.job, instance), func() { c.send(d.job, p.engine) })
}

// messageDelay returns the one-way delay between the node of a job and its
// instance, and counts the message.
func (c *instances) messageDelay(j *job, instance *instance) time.Duration {
	if instance.node >= 0 {
		return 0
	}
	c.messages++
	return c.networkDelay(c.nodes[j.node].domain, instance.domain)
}

func (c *instances) arrive(j *job) {
	instance := c.route(j)
	c.after(c.messageDelay(j, instance), func() { c.submit(j, instance) })
}

// route returns the instance that schedules the job.
func (c *instances) route(j *job) *instance {
	switch c.config.Policy {
	case Independent, LeasedSlots:
		return c.list[j.node]
	case OwnerPerGroup:
		return c.lessLoadedOwner(j)
	default:
		return c.list[c.nodes[j.node].domain]
	}
}

// lessLoadedOwner picks two local owners at random and returns the one that
// announced the lower load. If that one has no free slots, it tries two remote
// owners and returns the better of them if that has free slots.
func (c *instances) lessLoadedOwner(j *job) *instance {
	var local, remote []*instance
	for _, owner := range c.list {
		switch {
		case owner.engine.down:
		case owner.domain == c.nodes[j.node].domain:
			local = append(local, owner)
		default:
			remote = append(remote, owner)
		}
	}
	pick := func(from []*instance) *instance {
		a, b := from[c.random.IntN(len(from))], from[c.random.IntN(len(from))]
		if b.published < a.published {
			return b
		}
		return a
	}
	best := pick(local)
	if best.published > 0 {
		if other := pick(remote); other.published < 0 {
			return other
		}
	}
	return best
}

func (c *instances) submit(j *job, instance *instance) {
	if j.outcome != pending {
		return
	}
	if instance.retired {
		c.arrive(j) // The owner was replaced in the meantime.
		return
	}
	p := &assignment{instance: instance}
	c.assigned[j] = p
	r := schedule.Request{
		Workspace:    c.config.Workload.workspaces[j.workspace].name,
		Model:        trialModel,
		Kind:         j.kind,
		PromptTokens: j.prompt,
		MaxTokens:    j.maxTokens,
		Prefix:       j.prefix,
		FirstTokenBy: c.start.Add(j.at + firstTokenObjective),
		Avoid:        j.avoid,
		Notify:       func(d schedule.Decision) { instance.decisions = append(instance.decisions, jobDecision{j, d}) },
	}
	instance.waiting++
	c.process(instance, func() {
		ticket, err := instance.Submit(r, c.clock())
		p.ticket = ticket
		var refusal *schedule.Refusal
		if errors.As(err, &refusal) {
			instance.waiting--
			delete(c.assigned, j)
			c.refuse(j, refusal.RetryAfter)
		}
	})
}

// notify runs an event at the instance of a dispatched job after the message
// delay.
func (c *instances) notify(j *job, event func(*assignment)) {
	p := c.assigned[j]
	if p == nil || p.ticket == nil {
		return
	}
	c.after(c.messageDelay(j, p.instance), func() { c.process(p.instance, func() { event(p) }) })
}

func (c *instances) firstToken(j *job) {
	c.notify(j, func(p *assignment) { p.instance.FirstToken(p.ticket, c.clock()) })
}

func (c *instances) progress(j *job) {
	generated := j.generated
	c.notify(j, func(p *assignment) { p.instance.Progress(p.ticket, generated, c.clock()) })
}

func (c *instances) finish(j *job) {
	c.notify(j, func(p *assignment) { p.instance.Finish(p.ticket, j.generated, c.clock()) })
	c.unassign(j)
}

func (c *instances) callerLeft(j *job) {
	if p := c.assigned[j]; p != nil && p.engine != nil {
		p.engine.abandon(j)
	}
	c.withdraw(j)
}

func (c *instances) withdraw(j *job) {
	p := c.assigned[j]
	if p == nil {
		return
	}
	if p.engine == nil {
		p.instance.waiting--
	}
	c.notify(j, func(p *assignment) { p.instance.Cancel(p.ticket, c.clock()) })
	c.unassign(j)
}

func (c *instances) unassign(j *job) {
	if p := c.assigned[j]; p != nil && p.engine != nil {
		p.instance.inUse[p.engine.index]--
	}
	delete(c.assigned, j)
}

func (c *instances) attemptLost(j *job) {
	if p := c.assigned[j]; p != nil && p.engine != nil {
		j.avoid = append(j.avoid, p.engine.id)
	}
	c.withdraw(j)
	if j.outcome == pending {
		c.arrive(j)
	}
}

func (c *instances) report(e *engine, running, waiting int, at time.Duration) {
	r := schedule.Report{
		Model: trialModel, Group: e.id, Running: running, Waiting: waiting, At: c.start.Add(at),
	}
	c.reports[e] = r
	for _, instance := range c.list {
		if instance.engine == e {
			instance.published = instance.waiting + running + waiting - engineSlots
		}
		if c.config.Policy != LeasedSlots && !instance.retired {
			c.process(instance, func() { instance.ObserveLoad(r, c.clock()) })
		}
	}
}

func (c *instances) tick() {
	for _, instance := range c.list {
		if !instance.retired {
			c.process(instance, func() { instance.Tick(c.clock()) })
		}
	}
	if c.config.Policy == LeasedSlots && int(c.now/tickInterval)%leaseTicks == 0 {
		c.lease()
	}
}

// replace starts a new instance that knows only the engines and their last
// reports; nodes resubmit the jobs that were waiting at the old one.
func (c *instances) replace(i int) {
	old := c.list[i]
	old.retired = true
	c.list[i] = c.newInstance(old.domain, old.node)
	c.list[i].engine = old.engine
	c.process(c.list[i], func() {
		c.list[i].SetGroups(c.groupsOf(c.list[i]), c.clock())
		for _, e := range c.engines {
			if r, ok := c.reports[e]; ok && c.config.Policy != LeasedSlots {
				c.list[i].ObserveLoad(r, c.clock())
			}
		}
	})
	var again []*job
	for j, p := range c.assigned {
		if p.instance == old && p.engine == nil {
			again = append(again, j)
		}
	}
	slices.SortFunc(again, func(a, b *job) int { return int(a.at - b.at) })
	for _, j := range again {
		delete(c.assigned, j)
		c.after(detectionDelay/2, func() { c.arrive(j) })
	}
}
