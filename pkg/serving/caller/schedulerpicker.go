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
	// defaultSlots is the number of concurrent requests assumed for a group
	// until its leader reports one.
	defaultSlots = 8
	// maxGrants bounds the slots granted to a request in groups that have
	// stopped serving by the time of the grant.
	maxGrants = 4
)

// SchedulerPickerConfig configures a SchedulerPicker.
type SchedulerPickerConfig struct {
	View  *view.View
	Clock clockwork.Clock
	// FailureDomain is the failure domain of the node.
	FailureDomain string
	// Seed makes random choices reproducible.
	Seed uint64
	// Owns reports whether this node schedules a model for its failure domain;
	// nil when all nodes do.
	Owns func(model string) bool
}

// SchedulerPicker queues requests fairly and picks the replica group for each
// by load, distance and health. Refresh must be called regularly.
type SchedulerPicker struct {
	config    SchedulerPickerConfig
	scheduler *schedule.Scheduler
	slots     *schedule.SlotServer

	mu         sync.Mutex
	revision   uint64
	models     []string
	objectives map[string]time.Duration
	groups     []schedule.Group
	// lastReports holds the time of the last load report applied for each
	// group.
	lastReports map[string]time.Time
}

var _ Picker = (*SchedulerPicker)(nil)

// NewSchedulerPicker returns a picker for the replica groups in the view.
func NewSchedulerPicker(c SchedulerPickerConfig) *SchedulerPicker {
	scheduler := schedule.New(schedule.Config{FailureDomain: c.FailureDomain, Seed: c.Seed})
	return &SchedulerPicker{
		config:      c,
		scheduler:   scheduler,
		slots:       schedule.NewSlotServer(scheduler),
		lastReports: make(map[string]time.Time),
	}
}

// Refresh applies changes of the view to the scheduler, refuses requests that
// have waited too long and reclaims the slots of nodes
// that have sent nothing for schedule.NodeTimeout.
func (s *SchedulerPicker) Refresh(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.config.Clock.Now()
	s.applyDocument()
	s.applyGroups(now)
	s.scheduler.Tick(now)
	s.slots.Expire(now)
	return nil
}

// applyDocument applies a new revision of the document. The caller must hold
// mu.
func (s *SchedulerPicker) applyDocument() {
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
	s.scheduler.SetWorkspaces(s.applyWorkspaces(d))
}

func (s *SchedulerPicker) applyWorkspaces(d document.Document) []schedule.Workspace {
	var shares []schedule.Workspace
	for _, w := range d.Workspaces {
		shares = append(shares, schedule.Workspace{Name: w.Name, Share: w.Share})
		if w.Objective.FirstToken > 0 {
			s.objectives[w.Name] = w.Objective.FirstToken
		}
	}
	return shares
}

// applyGroups passes the serving groups and their load reports to the
// scheduler. The caller must hold mu.
func (s *SchedulerPicker) applyGroups(now time.Time) {
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

// nodesByDomain counts the live nodes in each failure domain.
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
		Schedulers:    max(1, s.schedulersOf(model, t, nodes)),
	}
}

// schedulersOf returns the number of schedulers that share a group equally. In
// the failure domain of the group these are its owner alone or all nodes, and
// elsewhere the owners or the nodes of all other failure domains.
func (s *SchedulerPicker) schedulersOf(model string, t view.Target, nodes map[string]int) int {
	owns := s.config.Owns != nil && s.config.Owns(model)
	if t.FailureDomain == s.config.FailureDomain {
		if owns {
			return 1
		}
		return nodes[t.FailureDomain]
	}
	schedulers := 0
	for domain, n := range nodes {
		switch {
		case domain == t.FailureDomain:
		case owns:
			schedulers++
		default:
			schedulers += n
		}
	}
	return schedulers
}

// reportOf returns the load report of a target unless it was applied before.
func (s *SchedulerPicker) reportOf(model string, t view.Target) (schedule.Report, bool) {
	r, ok := s.config.View.Report(t.Leader.Member)
	if !ok || !r.SeenAt.After(s.lastReports[t.Group.ID]) {
		return schedule.Report{}, false
	}
	s.lastReports[t.Group.ID] = r.SeenAt
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
	return s.pick(ctx, q, func(q Query, targets []view.Target) (grantedSlot, error) {
		return s.enqueue(ctx, q, targets)
	})
}

// grantedSlot is a slot in a group.
type grantedSlot struct {
	group string
	long  bool
	slot  Slot
}

// pick acquires slots until one is in a group that is still serving.
func (s *SchedulerPicker) pick(ctx context.Context, q Query, acquire func(Query, []view.Target) (grantedSlot, error)) (Choice, error) {
	for range maxGrants {
		targets := s.config.View.Targets(q.Model, s.config.Clock.Now())
		if len(Allowed(targets, q)) == 0 {
			break
		}
		granted, err := acquire(q, targets)
		if err != nil {
			return Choice{}, err
		}
		current := s.config.View.Targets(q.Model, s.config.Clock.Now())
		i := slices.IndexFunc(current, func(t view.Target) bool { return t.Group.ID == granted.group })
		if i >= 0 && ctx.Err() == nil {
			choice := ChoiceOf(current[i], Site(current, current[i]), granted.slot)
			choice.Long = granted.long
			return choice, nil
		}
		granted.slot.Release()
		q.Avoid = append(slices.Clone(q.Avoid), granted.group)
	}
	return Choice{}, &UnavailableError{Model: q.Model}
}

// enqueue queues the request until a group is assigned to it.
func (s *SchedulerPicker) enqueue(ctx context.Context, q Query, targets []view.Target) (grantedSlot, error) {
	decided := make(chan schedule.Decision, 1)
	r := s.requestOf(q, targets, func(d schedule.Decision) { decided <- d })
	var ticket *schedule.Ticket
	err := s.submitWithRefresh(func() (err error) {
		ticket, err = s.scheduler.Submit(r, s.config.Clock.Now())
		return err
	})
	if err != nil {
		return grantedSlot{}, unavailableError(q.Model, err)
	}
	select {
	case d := <-decided:
		if d.Refusal != nil {
			return grantedSlot{}, unavailableError(q.Model, d.Refusal)
		}
		slot := &scheduledSlot{scheduler: s.scheduler, clock: s.config.Clock, ticket: d.Ticket}
		return grantedSlot{group: d.Group, long: d.Long, slot: slot}, nil
	case <-ctx.Done():
		s.scheduler.Cancel(ticket, s.config.Clock.Now())
		return grantedSlot{}, Error.Wrap(ctx.Err())
	}
}

// GrantSlot processes the slot request of another node and waits for the
// decision.
func (s *SchedulerPicker) GrantSlot(ctx context.Context, r schedule.SlotRequest) schedule.Grant {
	grants := make(chan schedule.Grant, 1)
	var refusal *schedule.Refusal
	err := s.submitWithRefresh(func() error {
		return s.slots.Acquire(r, func(g schedule.Grant) { grants <- g }, s.config.Clock.Now())
	})
	if errors.As(err, &refusal) {
		return schedule.Grant{Refusal: refusal}
	}
	select {
	case g := <-grants:
		return g
	case <-ctx.Done():
		s.RecordSlotEvents(r.Node, []schedule.SlotEvent{{ID: r.ID, Kind: schedule.EventRelease}})
		return schedule.Grant{Refusal: &schedule.Refusal{Reason: schedule.ReasonLate, RetryAfter: shortRetryAfter}}
	}
}

// RecordSlotEvents records events of the slots granted to another node.
func (s *SchedulerPicker) RecordSlotEvents(node string, events []schedule.SlotEvent) {
	s.slots.RecordEvents(node, events, s.config.Clock.Now())
}

// submitWithRefresh calls submit, and once more after a refresh if no group was
// found: one may have started serving since the last refresh.
func (s *SchedulerPicker) submitWithRefresh(submit func() error) error {
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

func (s *SchedulerPicker) requestOf(q Query, targets []view.Target, notify func(schedule.Decision)) schedule.Request {
	return schedule.Request{
		Workspace:    q.Workspace,
		Model:        q.Model,
		Kind:         q.Kind,
		PromptTokens: q.PromptTokens,
		MaxTokens:    q.MaxTokens,
		Prefix:       q.Prefix,
		FirstTokenBy: s.firstTokenBy(q),
		Avoid:        excludedGroups(targets, q),
		Notify:       notify,
	}
}

// firstTokenBy returns the deadline of the first token. For a retry this is the
// deadline of the request, because it has been admitted before.
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
	deadline := s.config.Clock.Now().Add(objective)
	if !q.Deadline.IsZero() && q.Deadline.Before(deadline) {
		return q.Deadline
	}
	return deadline
}

// excludedGroups returns the groups that a query excludes.
func excludedGroups(targets []view.Target, q Query) []string {
	allowed := Allowed(targets, q)
	avoid := slices.Clone(q.Avoid)
	for _, t := range targets {
		same := func(o view.Target) bool { return o.Group.ID == t.Group.ID }
		if !slices.ContainsFunc(allowed, same) && !slices.Contains(avoid, t.Group.ID) {
			avoid = append(avoid, t.Group.ID)
		}
	}
	return avoid
}

// unavailableError converts a refusal of the scheduler to an UnavailableError.
func unavailableError(model string, err error) error {
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
