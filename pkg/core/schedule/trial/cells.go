package trial

import (
	"errors"
	"slices"
	"time"

	"almondbay.example/core/schedule"
)

const trialModel = "model"

// cell is one scheduler and where it runs.
type cell struct {
	*schedule.Scheduler
	domain int
	// node is the node that the cell belongs to; -1 when it is an owner that
	// nodes have to ask.
	node int
	// engine is the only engine of an owner of one group.
	engine    *engine
	decisions []decided
	waiting   int
	// published is the number of waiting jobs that other nodes know of.
	published int
	// lent is the number of slots of each engine lent to the node, and inUse the
	// number of its jobs there.
	lent  []int
	inUse []int
	// retired is set when another cell has taken the place, left while its node
	// takes no new work.
	retired bool
	left    bool
}

type decided struct {
	job      *job
	decision schedule.Decision
}

// placement is where a job stands with its cell.
type placement struct {
	cell   *cell
	ticket *schedule.Ticket
	engine *engine
}

// cells shares the engines by schedulers.
type cells struct {
	*world
	list   []*cell
	placed map[*job]*placement
	// reports holds the last report of each engine that every node has seen.
	reports map[*engine]schedule.Report
	seeds   uint64
}

func newCells(w *world) *cells {
	c := &cells{
		world:   w,
		placed:  make(map[*job]*placement),
		reports: make(map[*engine]schedule.Report),
	}
	switch w.config.Policy {
	case Independent, LeasedSlots:
		for i, n := range w.nodes {
			c.list = append(c.list, c.newCell(n.domain, i))
		}
	case OwnerPerGroup:
		for _, e := range w.engines {
			owner := c.newCell(e.domain, -1)
			owner.engine = e
			c.list = append(c.list, owner)
		}
	default:
		for d := range domains {
			c.list = append(c.list, c.newCell(d, -1))
		}
	}
	c.changed()
	return c
}

func (c *cells) newCell(domain, node int) *cell {
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
	return &cell{
		Scheduler: s,
		domain:    domain,
		node:      node,
		lent:      make([]int, len(c.engines)),
		inUse:     make([]int, len(c.engines)),
	}
}

func domainName(d int) string {
	return string(rune('a' + d))
}

// changed gives every cell the engines that are known to live.
func (c *cells) changed() {
	for _, cell := range c.list {
		c.call(cell, func() { cell.SetGroups(c.groupsOf(cell), c.clock()) })
	}
}

func (c *cells) groupsOf(cell *cell) []schedule.Group {
	var groups []schedule.Group
	for i, e := range c.engines {
		if e.dark || (cell.engine != nil && cell.engine != e) {
			continue
		}
		g := schedule.Group{
			ID:            e.id,
			Model:         trialModel,
			FailureDomain: domainName(e.domain),
			Slots:         engineSlots,
			Schedulers:    c.sharedBy(cell, e),
		}
		if c.config.Policy == LeasedSlots {
			g.Slots = cell.lent[i]
		}
		if g.Slots > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// sharedBy returns how many cells send to the engine on equal terms.
func (c *cells) sharedBy(cell *cell, e *engine) int {
	switch c.config.Policy {
	case Independent:
		count := 0
		for _, n := range c.nodes {
			if n.live && (n.domain == e.domain) == (cell.domain == e.domain) {
				count++
			}
		}
		return max(1, count)
	case OwnerPerDomain:
		if cell.domain != e.domain {
			return domains - 1
		}
	}
	return 1
}

// call runs an event of a cell and carries out its decisions.
func (c *cells) call(cell *cell, event func()) {
	event()
	for len(cell.decisions) > 0 {
		d := cell.decisions[0]
		cell.decisions = cell.decisions[1:]
		c.carryOut(cell, d)
	}
}

func (c *cells) carryOut(cell *cell, d decided) {
	p := c.placed[d.job]
	if p == nil || p.cell != cell {
		return // Withdrawn; word of it is on its way.
	}
	cell.waiting--
	if d.decision.Refusal != nil {
		c.refuse(d.job, d.decision.Refusal.RetryAfter)
		delete(c.placed, d.job)
		return
	}
	p.ticket = d.decision.Ticket
	p.engine = c.byID[d.decision.Group]
	cell.inUse[p.engine.index]++
	d.job.yields = d.decision.Long
	c.after(c.askTime(d.job, cell), func() { c.send(d.job, p.engine) })
}

// askTime is the one-way time between a job's node and its cell.
func (c *cells) askTime(j *job, cell *cell) time.Duration {
	if cell.node >= 0 {
		return 0
	}
	c.messages++
	return c.hop(c.nodes[j.node].domain, cell.domain)
}

func (c *cells) arrive(j *job) {
	cell := c.route(j)
	c.after(c.askTime(j, cell), func() { c.submit(j, cell) })
}

// route returns the cell that decides on the job.
func (c *cells) route(j *job) *cell {
	switch c.config.Policy {
	case Independent, LeasedSlots:
		return c.list[j.node]
	case OwnerPerGroup:
		return c.lessLoadedOwner(j)
	default:
		return c.list[c.nodes[j.node].domain]
	}
}

// lessLoadedOwner picks the better of two owners at home by the number of
// waiting jobs they published last, or one elsewhere that has none.
func (c *cells) lessLoadedOwner(j *job) *cell {
	var near, far []*cell
	for _, owner := range c.list {
		switch {
		case owner.engine.dark:
		case owner.domain == c.nodes[j.node].domain:
			near = append(near, owner)
		default:
			far = append(far, owner)
		}
	}
	pick := func(from []*cell) *cell {
		a, b := from[c.random.IntN(len(from))], from[c.random.IntN(len(from))]
		if b.published < a.published {
			return b
		}
		return a
	}
	best := pick(near)
	if best.published > 0 {
		if other := pick(far); other.published < 0 {
			return other
		}
	}
	return best
}

func (c *cells) submit(j *job, cell *cell) {
	if j.outcome != pending {
		return
	}
	if cell.retired {
		c.arrive(j) // The owner has changed meanwhile.
		return
	}
	p := &placement{cell: cell}
	c.placed[j] = p
	r := schedule.Request{
		Workspace:    c.config.Workload.workspaces[j.workspace].name,
		Model:        trialModel,
		Kind:         j.kind,
		PromptTokens: j.prompt,
		MaxTokens:    j.maxTokens,
		Prefix:       j.prefix,
		FirstTokenBy: c.start.Add(j.at + firstTokenObjective),
		Avoid:        j.avoid,
		Notify:       func(d schedule.Decision) { cell.decisions = append(cell.decisions, decided{j, d}) },
	}
	cell.waiting++
	c.call(cell, func() {
		ticket, err := cell.Submit(r, c.clock())
		p.ticket = ticket
		var refusal *schedule.Refusal
		if errors.As(err, &refusal) {
			cell.waiting--
			delete(c.placed, j)
			c.refuse(j, refusal.RetryAfter)
		}
	})
}

// told runs an event at the cell of a dispatched job once word has reached it.
func (c *cells) told(j *job, event func(*placement)) {
	p := c.placed[j]
	if p == nil || p.ticket == nil {
		return
	}
	c.after(c.askTime(j, p.cell), func() { c.call(p.cell, func() { event(p) }) })
}

func (c *cells) firstToken(j *job) {
	c.told(j, func(p *placement) { p.cell.FirstToken(p.ticket, c.clock()) })
}

func (c *cells) progress(j *job) {
	made := j.made
	c.told(j, func(p *placement) { p.cell.Progress(p.ticket, made, c.clock()) })
}

func (c *cells) finish(j *job) {
	c.told(j, func(p *placement) { p.cell.Finish(p.ticket, j.made, c.clock()) })
	c.unplace(j)
}

func (c *cells) gaveUp(j *job) {
	if p := c.placed[j]; p != nil && p.engine != nil {
		p.engine.abandon(j)
	}
	c.withdraw(j)
}

func (c *cells) withdraw(j *job) {
	p := c.placed[j]
	if p == nil {
		return
	}
	if p.engine == nil {
		p.cell.waiting--
	}
	c.told(j, func(p *placement) { p.cell.Cancel(p.ticket, c.clock()) })
	c.unplace(j)
}

func (c *cells) unplace(j *job) {
	if p := c.placed[j]; p != nil && p.engine != nil {
		p.cell.inUse[p.engine.index]--
	}
	delete(c.placed, j)
}

func (c *cells) lost(j *job) {
	if p := c.placed[j]; p != nil && p.engine != nil {
		j.avoid = append(j.avoid, p.engine.id)
	}
	c.withdraw(j)
	if j.outcome == pending {
		c.arrive(j)
	}
}

func (c *cells) report(e *engine, running, waiting int, at time.Duration) {
	r := schedule.Report{
		Model: trialModel, Group: e.id, Running: running, Waiting: waiting, At: c.start.Add(at),
	}
	c.reports[e] = r
	for _, cell := range c.list {
		if cell.engine == e {
			cell.published = cell.waiting + running + waiting - engineSlots
		}
		if c.config.Policy != LeasedSlots && !cell.retired {
			c.call(cell, func() { cell.ObserveLoad(r, c.clock()) })
		}
	}
}

func (c *cells) tick() {
	for _, cell := range c.list {
		if !cell.retired {
			c.call(cell, func() { cell.Tick(c.clock()) })
		}
	}
	if c.config.Policy == LeasedSlots && int(c.now/tickInterval)%lendTicks == 0 {
		c.lend()
	}
}

// replace starts a cell anew with nothing but the engines and their last
// reports; what waited is asked for again by its node.
func (c *cells) replace(i int) {
	old := c.list[i]
	old.retired = true
	c.list[i] = c.newCell(old.domain, old.node)
	c.list[i].engine = old.engine
	c.call(c.list[i], func() {
		c.list[i].SetGroups(c.groupsOf(c.list[i]), c.clock())
		for _, e := range c.engines {
			if r, ok := c.reports[e]; ok && c.config.Policy != LeasedSlots {
				c.list[i].ObserveLoad(r, c.clock())
			}
		}
	})
	var again []*job
	for j, p := range c.placed {
		if p.cell == old && p.engine == nil {
			again = append(again, j)
		}
	}
	slices.SortFunc(again, func(a, b *job) int { return int(a.at - b.at) })
	for _, j := range again {
		delete(c.placed, j)
		c.after(detection/2, func() { c.arrive(j) })
	}
}
