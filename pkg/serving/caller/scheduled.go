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
	// maxPicks bounds the groups that a request is given before one of them
	// still has a proof.
	maxPicks = 4
)

// SchedulerPickerConfig configures a SchedulerPicker picker.
type SchedulerPickerConfig struct {
	View  *view.View
	Clock clockwork.Clock
	// FailureDomain is that of the node.
	FailureDomain string
	// Seed makes random choices repeatable.
	Seed uint64
	// Owns tells whether this node schedules a model for its failure domain;
	// nil when all nodes do.
	Owns func(model string) bool
}

// SchedulerPicker lets requests wait in fair queues and picks the replica group for
// each by load, distance and health. Refresh has to be called regularly.
type SchedulerPicker struct {
	config    SchedulerPickerConfig
	scheduler *schedule.Scheduler
	desk      *schedule.SlotServer

	mu         sync.Mutex
	revision   uint64
	models     []string
	objectives map[string]time.Duration
	groups     []schedule.Group
	// reported is the time of the last report taken in of each group.
	reported map[string]time.Time
}

var _ Picker = (*SchedulerPicker)(nil)

// NewSchedulerPicker returns a picker over the replica groups in the view.
func NewSchedulerPicker(c SchedulerPickerConfig) *SchedulerPicker {
	scheduler := schedule.New(schedule.Config{FailureDomain: c.FailureDomain, Seed: c.Seed})
	return &SchedulerPicker{
		config:    c,
		scheduler: scheduler,
		desk:      schedule.NewSlotServer(scheduler),
		reported:  make(map[string]time.Time),
	}
}

// Refresh takes in what the view has learnt and refuses requests that have
// waited too long.
func (s *SchedulerPicker) Refresh(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.config.Clock.Now()
	s.readDocument()
	s.readGroups(now)
	s.scheduler.Tick(now)
	s.desk.Expire(now)
	return nil
}

// readDocument takes in a new revision. The caller holds the lock.
func (s *SchedulerPicker) readDocument() {
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

func (s *SchedulerPicker) readWorkspaces(d document.Document) []schedule.Workspace {
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
func (s *SchedulerPicker) readGroups(now time.Time) {
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
func (s *SchedulerPicker) nodesByDomain() map[string]int {
	nodes := make(map[string]int)
	for _, vm := range s.config.View.VMs(fleet.RoleEntry) {
		if vm.State == fleet.VMLive {
			nodes[vm.FailureDomain]++
		}
	}
	return nodes
}

func (s *SchedulerPicker) groupOf(model string, t view.Target, nodes map[string]int) schedule.Group {
	slots := t.Load.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return schedule.Group{
		ID:            t.Group.ID,
		Model:         model,
		FailureDomain: t.FailureDomain,
		Slots:         slots,
		Schedulers:    max(1, s.sharedBy(model, t, nodes)),
	}
}

// sharedBy returns how many schedulers send to a group on equal terms: its owner
// alone or all nodes of its failure domain, and elsewhere the owners or nodes of
// all other failure domains.
func (s *SchedulerPicker) sharedBy(model string, t view.Target, nodes map[string]int) int {
	owns := s.config.Owns != nil && s.config.Owns(model)
	if t.FailureDomain == s.config.FailureDomain {
		if owns {
			return 1
		}
		return nodes[t.FailureDomain]
	}
	shared := 0
	for domain, n := range nodes {
		switch {
		case domain == t.FailureDomain:
		case owns:
			shared++
		default:
			shared += n
		}
	}
	return shared
}

// reportOf returns the load of a target unless it has been taken in before.
func (s *SchedulerPicker) reportOf(model string, t view.Target) (schedule.Report, bool) {
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
func (s *SchedulerPicker) Pick(ctx context.Context, q Query) (Choice, error) {
	return s.pick(ctx, q, func(q Query, all []view.Target) (granted, error) {
		return s.wait(ctx, q, all)
	})
}

// granted is a slot in a group.
type granted struct {
	group string
	long  bool
	slot  Slot
}

// pick gets slots until one is in a group that still has a proof.
func (s *SchedulerPicker) pick(ctx context.Context, q Query, get func(Query, []view.Target) (granted, error)) (Choice, error) {
	for range maxPicks {
		all := s.config.View.Targets(q.Model, s.config.Clock.Now())
		if len(Allowed(all, q)) == 0 {
			break
		}
		got, err := get(q, all)
		if err != nil {
			return Choice{}, err
		}
		now := s.config.View.Targets(q.Model, s.config.Clock.Now())
		i := slices.IndexFunc(now, func(t view.Target) bool { return t.Group.ID == got.group })
		if i >= 0 && ctx.Err() == nil {
			choice := ChoiceOf(now[i], Site(now, now[i]), got.slot)
			choice.Long = got.long
			return choice, nil
		}
		got.slot.Release()
		q.Avoid = append(slices.Clone(q.Avoid), got.group)
	}
	return Choice{}, &UnavailableError{Model: q.Model}
}

// wait queues the request until a group has been chosen for it.
func (s *SchedulerPicker) wait(ctx context.Context, q Query, all []view.Target) (granted, error) {
	decided := make(chan schedule.Decision, 1)
	r := s.requestOf(q, all, func(d schedule.Decision) { decided <- d })
	var ticket *schedule.Ticket
	err := s.refreshed(func() (err error) {
		ticket, err = s.scheduler.Submit(r, s.config.Clock.Now())
		return err
	})
	if err != nil {
		return granted{}, refusalOf(q.Model, err)
	}
	select {
	case d := <-decided:
		if d.Refusal != nil {
			return granted{}, refusalOf(q.Model, d.Refusal)
		}
		slot := &scheduledSlot{scheduler: s.scheduler, clock: s.config.Clock, ticket: d.Ticket}
		return granted{group: d.Group, long: d.Long, slot: slot}, nil
	case <-ctx.Done():
		s.scheduler.Cancel(ticket, s.config.Clock.Now())
		return granted{}, Error.Wrap(ctx.Err())
	}
}

// GrantSlot answers the ask of another node once it is decided.
func (s *SchedulerPicker) GrantSlot(ctx context.Context, a schedule.SlotRequest) schedule.Grant {
	answered := make(chan schedule.Grant, 1)
	var refusal *schedule.Refusal
	err := s.refreshed(func() error {
		return s.desk.Acquire(a, func(g schedule.Grant) { answered <- g }, s.config.Clock.Now())
	})
	if errors.As(err, &refusal) {
		return schedule.Grant{Refusal: refusal}
	}
	select {
	case g := <-answered:
		return g
	case <-ctx.Done():
		s.RecordSlotEvents(a.Node, []schedule.SlotEvent{{ID: a.ID, Kind: schedule.EventRelease}})
		return schedule.Grant{Refusal: &schedule.Refusal{Reason: schedule.ReasonLate, RetryAfter: retrySoon}}
	}
}

// RecordSlotEvents takes in what became of slots that other nodes were granted.
func (s *SchedulerPicker) RecordSlotEvents(node string, news []schedule.SlotEvent) {
	s.desk.RecordEvents(node, news, s.config.Clock.Now())
}

// refreshed submits a request, and once more if there was no group: one may have
// come since the last refresh.
func (s *SchedulerPicker) refreshed(submit func() error) error {
	err := submit()
	var refusal *schedule.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != schedule.ReasonNoGroup {
		return err
	}
	if err := s.Refresh(context.Background()); err != nil {
		return err
	}
	return submit()
}

func (s *SchedulerPicker) requestOf(q Query, all []view.Target, notify func(schedule.Decision)) schedule.Request {
	return schedule.Request{
		Workspace:    q.Workspace,
		Model:        q.Model,
		Kind:         q.Kind,
		PromptTokens: q.PromptTokens,
		MaxTokens:    q.MaxTokens,
		Prefix:       q.Prefix,
		FirstTokenBy: s.firstTokenBy(q),
		Avoid:        notAllowed(all, q),
		Notify:       notify,
	}
}

// firstTokenBy returns when the first token is due. A retry may wait until the
// deadline: it has been admitted before.
func (s *SchedulerPicker) firstTokenBy(q Query) time.Time {
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
