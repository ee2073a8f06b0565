package caller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/schedule"
	"almondbay.example/serving/view"
)

const (
	// defaultSlots is the number of requests that a group runs at the same time
	// while its leader has not reported one.
	defaultSlots = 8
	// progressTokens is how many tokens apart progress is passed on.
	progressTokens = 16
	// maxPicks bounds the groups that a request is given before one of them
	// still has a proof.
	maxPicks = 4
)

// ScheduledConfig configures a Scheduled picker.
type ScheduledConfig struct {
	View  *view.View
	Clock clockwork.Clock
	// FailureDomain is that of the node.
	FailureDomain string
	// Seed makes random choices repeatable.
	Seed uint64
}

// Scheduled lets requests wait in fair queues and picks the replica group for
// each by load, distance and health. Refresh has to be called regularly.
type Scheduled struct {
	config    ScheduledConfig
	scheduler *schedule.Scheduler

	mu         sync.Mutex
	revision   uint64
	models     []string
	objectives map[string]time.Duration
	groups     []schedule.Group
	// reported is the time of the last report taken in of each group.
	reported map[string]time.Time
}

var _ Picker = (*Scheduled)(nil)

// NewScheduled returns a picker over the replica groups in the view.
func NewScheduled(c ScheduledConfig) *Scheduled {
	return &Scheduled{
		config:    c,
		scheduler: schedule.New(schedule.Config{FailureDomain: c.FailureDomain, Seed: c.Seed}),
		reported:  make(map[string]time.Time),
	}
}

// Refresh takes in what the view has learnt and refuses requests that have
// waited too long.
func (s *Scheduled) Refresh(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.config.Clock.Now()
	s.readDocument()
	s.readGroups(now)
	s.scheduler.Tick(now)
	return nil
}

// readDocument takes in a new revision. The caller holds the lock.
func (s *Scheduled) readDocument() {
	d, revision := s.config.View.Document()
	if revision == s.revision {
		return
	}
	s.revision = revision
	s.models = s.models[:0]
	for _, m := range d.Models {
		s.models = append(s.models, m.Name)
	}
	s.objectives = make(map[string]time.Duration)
	s.scheduler.SetWorkspaces(s.readWorkspaces(d))
}

func (s *Scheduled) readWorkspaces(d document.Document) []schedule.Workspace {
	var shares []schedule.Workspace
	for _, w := range d.Workspaces {
		shares = append(shares, schedule.Workspace{Name: w.Name, Share: w.Share})
		if w.Objective.FirstToken > 0 {
			s.objectives[w.Name] = w.Objective.FirstToken
		}
	}
	return shares
}

// readGroups takes in the groups that serve and their loads. The caller holds
// the lock.
func (s *Scheduled) readGroups(now time.Time) {
	nodes := s.nodesByDomain()
	var groups []schedule.Group
	var reports []schedule.Report
	for _, model := range s.models {
		for _, t := range s.config.View.Targets(model, now) {
			groups = append(groups, s.groupOf(model, t, nodes))
			if r, ok := s.reportOf(model, t); ok {
				reports = append(reports, r)
			}
		}
	}
	slices.SortFunc(groups, func(a, b schedule.Group) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !slices.Equal(groups, s.groups) {
		s.groups = groups
		s.scheduler.SetGroups(groups, now)
	}
	for _, r := range reports {
		s.scheduler.ObserveLoad(r, now)
	}
}

// nodesByDomain counts the nodes of each failure domain.
func (s *Scheduled) nodesByDomain() map[string]int {
	nodes := make(map[string]int)
	for _, vm := range s.config.View.VMs(fleet.RoleEntry) {
		if vm.State == fleet.VMLive {
			nodes[vm.FailureDomain]++
		}
	}
	return nodes
}

func (s *Scheduled) groupOf(model string, t view.Target, nodes map[string]int) schedule.Group {
	slots := t.Load.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	shared := nodes[t.FailureDomain]
	if t.FailureDomain != s.config.FailureDomain {
		shared = 0
		for domain, n := range nodes {
			if domain != t.FailureDomain {
				shared += n
			}
		}
	}
	return schedule.Group{
		ID:            t.Group.ID,
		Model:         model,
		FailureDomain: t.FailureDomain,
		Slots:         slots,
		Shared:        max(1, shared),
	}
}

// reportOf returns the load of a target unless it has been taken in before.
func (s *Scheduled) reportOf(model string, t view.Target) (schedule.Report, bool) {
	r, ok := s.config.View.Report(t.Leader.Member)
	if !ok || !r.SeenAt.After(s.reported[t.Group.ID]) {
		return schedule.Report{}, false
	}
	s.reported[t.Group.ID] = r.SeenAt
	return schedule.Report{
		Model:   model,
		Group:   t.Group.ID,
		Running: r.Load.Running,
		Waiting: r.Load.Waiting,
		At:      r.SeenAt,
	}, true
}

// Pick implements Picker.
func (s *Scheduled) Pick(ctx context.Context, q Query) (Choice, error) {
	for range maxPicks {
		all := s.config.View.Targets(q.Model, s.config.Clock.Now())
		if len(Allowed(all, q)) == 0 {
			return Choice{}, &UnavailableError{Model: q.Model}
		}
		d, err := s.wait(ctx, q, all)
		if err != nil {
			return Choice{}, err
		}
		slot := &scheduledSlot{scheduler: s.scheduler, clock: s.config.Clock, ticket: d.Ticket}
		now := s.config.View.Targets(q.Model, s.config.Clock.Now())
		i := slices.IndexFunc(now, func(t view.Target) bool { return t.Group.ID == d.Group })
		if i >= 0 {
			choice := ChoiceOf(now[i], Site(now, now[i]), slot)
			choice.Long = d.Long
			return choice, nil
		}
		slot.Release()
		q.Avoid = append(slices.Clone(q.Avoid), d.Group)
	}
	return Choice{}, &UnavailableError{Model: q.Model}
}

// wait queues the request until a group has been chosen for it.
func (s *Scheduled) wait(ctx context.Context, q Query, all []view.Target) (schedule.Decision, error) {
	decided := make(chan schedule.Decision, 1)
	ticket, err := s.submit(s.requestOf(q, all, decided))
	if err != nil {
		return schedule.Decision{}, refusalOf(q.Model, err)
	}
	select {
	case d := <-decided:
		if d.Refusal != nil {
			return schedule.Decision{}, refusalOf(q.Model, d.Refusal)
		}
		return d, nil
	case <-ctx.Done():
		s.scheduler.Cancel(ticket, s.config.Clock.Now())
		return schedule.Decision{}, Error.Wrap(ctx.Err())
	}
}

// submit queues a request. A group may have come since the last refresh.
func (s *Scheduled) submit(r schedule.Request) (*schedule.Ticket, error) {
	ticket, err := s.scheduler.Submit(r, s.config.Clock.Now())
	var refusal *schedule.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != schedule.ReasonNoGroup {
		return ticket, err
	}
	if err := s.Refresh(context.Background()); err != nil {
		return nil, err
	}
	return s.scheduler.Submit(r, s.config.Clock.Now())
}

func (s *Scheduled) requestOf(q Query, all []view.Target, decided chan<- schedule.Decision) schedule.Request {
	return schedule.Request{
		Workspace:    q.Workspace,
		Model:        q.Model,
		Kind:         q.Kind,
		PromptTokens: q.PromptTokens,
		MaxTokens:    q.MaxTokens,
		FirstTokenBy: s.firstTokenBy(q),
		Avoid:        notAllowed(all, q),
		Notify:       func(d schedule.Decision) { decided <- d },
	}
}

// firstTokenBy returns when the first token is due. A retry may wait until the
// deadline: it has been admitted before.
func (s *Scheduled) firstTokenBy(q Query) time.Time {
	if len(q.Avoid) > 0 && !q.Deadline.IsZero() {
		return q.Deadline
	}
	s.mu.Lock()
	objective := s.objectives[q.Workspace]
	s.mu.Unlock()
	if objective == 0 {
		objective = schedule.DefaultFirstToken
	}
	due := s.config.Clock.Now().Add(objective)
	if !q.Deadline.IsZero() && q.Deadline.Before(due) {
		return q.Deadline
	}
	return due
}

// notAllowed returns the groups that a query rules out.
func notAllowed(all []view.Target, q Query) []string {
	allowed := Allowed(all, q)
	avoid := slices.Clone(q.Avoid)
	for _, t := range all {
		same := func(o view.Target) bool { return o.Group.ID == t.Group.ID }
		if !slices.ContainsFunc(allowed, same) && !slices.Contains(avoid, t.Group.ID) {
			avoid = append(avoid, t.Group.ID)
		}
	}
	return avoid
}

// refusalOf turns a refusal of the scheduler into an UnavailableError.
func refusalOf(model string, err error) error {
	var refusal *schedule.Refusal
	if !errors.As(err, &refusal) {
		return Error.Wrap(err)
	}
	return &UnavailableError{
		Model:      model,
		RetryAfter: refusal.RetryAfter,
		Overloaded: refusal.Reason != schedule.ReasonNoGroup,
	}
}

// scheduledSlot passes the progress of an attempt on to the scheduler.
type scheduledSlot struct {
	scheduler *schedule.Scheduler
	clock     clockwork.Clock
	ticket    *schedule.Ticket
	// first is the number of tokens at the first call of Progress, which is not
	// zero for a resumed answer. Progress is called by one goroutine only.
	first    int
	passedOn int
	started  bool
}

var _ Slot = (*scheduledSlot)(nil)

// Progress implements Slot.
func (s *scheduledSlot) Progress(tokens int) {
	if !s.started {
		s.started = true
		s.first = tokens - 1
		s.scheduler.FirstToken(s.ticket, s.clock.Now())
		return
	}
	made := tokens - s.first
	if made-s.passedOn < progressTokens {
		return
	}
	s.passedOn = made
	s.scheduler.Progress(s.ticket, made, s.clock.Now())
}

// Finish implements Slot.
func (s *scheduledSlot) Finish(tokens int) {
	s.scheduler.Finish(s.ticket, tokens-s.first, s.clock.Now())
}

// Release implements Slot.
func (s *scheduledSlot) Release() {
	s.scheduler.Cancel(s.ticket, s.clock.Now())
}
