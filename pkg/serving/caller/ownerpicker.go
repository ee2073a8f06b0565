package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/schedule"
	"almondbay.example/serving/event"
	"almondbay.example/serving/view"
)

const (
	// reportTimeout bounds one report of slot events to an owner. An owner that
	// exceeds it is skipped for ownerRetryDelay.
	reportTimeout   = 500 * time.Millisecond
	ownerRetryDelay = 3 * time.Second
	// renewInterval is the longest time between two reports to an owner while
	// this node uses its slots.
	renewInterval = 500 * time.Millisecond
	// maxOwnerWait bounds the time for which an owner may queue a slot request.
	maxOwnerWait = 4 * time.Second
)

// Owners sends to the nodes that schedule models in this failure domain.
type Owners interface {
	// Owner returns the ID of the node that schedules a model and whether it is
	// this node. It is also this node when no other is known.
	Owner(model string) (string, bool)
	// AcquireSlot requests a slot and waits for the grant or refusal.
	AcquireSlot(ctx context.Context, owner string, req schedule.SlotRequest) (schedule.Grant, error)
	// ReportSlotEvents reports events of slots to their owner. An empty list
	// only renews the slots.
	ReportSlotEvents(ctx context.Context, owner, node string, events []schedule.SlotEvent) error
}

// OwnerPickerConfig configures an OwnerPicker.
type OwnerPickerConfig struct {
	// Node is the ID of this node.
	Node string
	// Local schedules the models that this node owns and those whose owner is
	// unreachable.
	Local  *SchedulerPicker
	Owners Owners
	// Logger may be nil.
	Logger *zap.Logger
}

// OwnerPicker acquires slots from the owner of a model, the node that schedules
// it. Requests are queued at the owner but sent directly from this node to the
// group. Flush must be called regularly.
type OwnerPicker struct {
	config OwnerPickerConfig

	mu    sync.Mutex
	links map[string]*ownerLink
}

var _ Picker = (*OwnerPicker)(nil)

// ownerLink is the state that this node keeps for one owner.
type ownerLink struct {
	mu sync.Mutex
	// outstanding is the number of slot requests and slots that are not
	// released.
	outstanding int
	events      []schedule.SlotEvent
	reportedAt  time.Time
	// retryAt is when an unreachable owner is tried again.
	retryAt time.Time
	// lastReachedAt is when a report last reached the owner, or when the first of
	// the outstanding requests was made.
	lastReachedAt time.Time
	// unreachable is canceled when the owner becomes unreachable.
	unreachable context.Context
	cancel      context.CancelFunc
}

// NewOwnerPicker returns a picker that acquires slots from owners.
func NewOwnerPicker(c OwnerPickerConfig) *OwnerPicker {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &OwnerPicker{config: c, links: make(map[string]*ownerLink)}
}

// Pick implements Picker.
func (o *OwnerPicker) Pick(ctx context.Context, q Query) (Choice, error) {
	owner, isSelf := o.config.Owners.Owner(q.Model)
	if isSelf {
		return o.config.Local.Pick(ctx, q)
	}
	l := o.linkTo(owner)
	choice, err := o.config.Local.pick(ctx, q, func(q Query, targets []view.Target) (grantedSlot, error) {
		return o.acquire(ctx, owner, l, q, targets)
	})
	if errors.Is(err, errOwnerUnreachable) {
		return o.config.Local.Pick(ctx, q)
	}
	return choice, err
}

var errOwnerUnreachable = Error.New("slot owner is unreachable")

// acquire requests a slot from the owner. It releases the slot when the
// response is lost, because the owner may have granted it.
func (o *OwnerPicker) acquire(ctx context.Context, owner string, l *ownerLink, q Query, targets []view.Target) (grantedSlot, error) {
	local := o.config.Local
	now := local.config.Clock.Now()
	unreachable, ok := l.begin(now)
	if !ok {
		return grantedSlot{}, errOwnerUnreachable
	}
	s := &ownedSlot{link: l, id: uuid.NewString()}
	r := local.requestOf(q, targets, nil)
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(unreachable, cancel)()
	grant, err := o.config.Owners.AcquireSlot(requestCtx, owner, schedule.SlotRequest{
		Node:         o.config.Node,
		ID:           s.id,
		Request:      r,
		FirstTokenIn: min(r.FirstTokenBy.Sub(now), maxOwnerWait),
	})
	switch {
	case ctx.Err() != nil:
		s.Release()
		return grantedSlot{}, Error.Wrap(ctx.Err())
	case err != nil:
		s.Release()
		return grantedSlot{}, errOwnerUnreachable
	case grant.Refusal != nil && grant.Refusal.Reason == schedule.ReasonNoGroup:
		s.Release()
		return grantedSlot{}, errOwnerUnreachable
	case grant.Refusal != nil:
		s.Release()
		return grantedSlot{}, unavailableError(q.Model, grant.Refusal)
	}
	return grantedSlot{group: grant.Group, long: grant.Long, slot: s}, nil
}

func (o *OwnerPicker) linkTo(owner string) *ownerLink {
	o.mu.Lock()
	defer o.mu.Unlock()

	l := o.links[owner]
	if l == nil {
		l = &ownerLink{}
		l.unreachable, l.cancel = context.WithCancel(context.Background())
		o.links[owner] = l
	}
	return l
}

// begin counts a slot request, unless the owner is being skipped. The returned
// context is canceled when the owner becomes unreachable.
func (l *ownerLink) begin(now time.Time) (context.Context, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Before(l.retryAt) {
		return nil, false
	}
	if l.outstanding == 0 {
		l.lastReachedAt = now
	}
	l.outstanding++
	return l.unreachable, true
}

// enqueue queues an event for the next report.
func (l *ownerLink) enqueue(e schedule.SlotEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if e.Kind == schedule.EventRelease {
		l.outstanding = max(0, l.outstanding-1)
	}
	l.events = append(l.events, e)
}

// takeEvents returns the queued events and whether a report is due now.
func (l *ownerLink) takeEvents(now time.Time) ([]schedule.SlotEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Before(l.retryAt) || len(l.events) == 0 && (l.outstanding == 0 || now.Sub(l.reportedAt) < renewInterval) {
		return nil, false
	}
	events := l.events
	l.events = nil
	l.reportedAt = now
	return events, true
}

// recordSuccess records that a report reached the owner.
func (l *ownerLink) recordSuccess(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lastReachedAt = now
}

// recordFailure skips the owner for ownerRetryDelay. The events are sent again
// later, which is harmless if they were received, until the owner has reclaimed
// all slots because of schedule.NodeTimeout.
func (l *ownerLink) recordFailure(events []schedule.SlotEvent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.events = append(events, l.events...)
	if now.Sub(l.lastReachedAt) > schedule.NodeTimeout {
		l.events, l.outstanding = nil, 0
	}
	l.retryAt = now.Add(ownerRetryDelay)
	l.cancel()
	l.unreachable, l.cancel = context.WithCancel(context.Background())
}

// Flush reports slot events to the owners. It must be called many times per
// second, because an owner can reuse a slot only after the report of its
// release.
func (o *OwnerPicker) Flush(ctx context.Context) error {
	o.mu.Lock()
	links := make(map[string]*ownerLink, len(o.links))
	for owner, l := range o.links {
		links[owner] = l
	}
	o.mu.Unlock()
	var g errgroup.Group
	clock := o.config.Local.config.Clock
	for owner, l := range links {
		events, due := l.takeEvents(clock.Now())
		if !due {
			continue
		}
		g.Go(func() error {
			reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			err := o.config.Owners.ReportSlotEvents(reportCtx, owner, o.config.Node, events)
			if ctx.Err() != nil {
				return nil // This node is stopping; the owner reclaims its slots.
			}
			if err != nil {
				event.OwnerUnreachable.Log(o.config.Logger, zap.String("owner", owner), zap.Error(err))
				l.recordFailure(events, clock.Now())
				return nil
			}
			l.recordSuccess(clock.Now())
			return nil
		})
	}
	return g.Wait()
}

// ownedSlot reports the progress of an attempt to the owner of its slot.
type ownedSlot struct {
	progressFilter
	link *ownerLink
	id   string
}

var _ Slot = (*ownedSlot)(nil)

// Progress implements Slot.
func (s *ownedSlot) Progress(tokens int) {
	switch generated, first, report := s.filter(tokens); {
	case first:
		s.link.enqueue(schedule.SlotEvent{ID: s.id, Kind: schedule.EventFirstToken, Tokens: generated})
	case report:
		s.link.enqueue(schedule.SlotEvent{ID: s.id, Kind: schedule.EventProgress, Tokens: generated})
	}
}

// Finish implements Slot.
func (s *ownedSlot) Finish(tokens int) {
	s.link.enqueue(schedule.SlotEvent{ID: s.id, Kind: schedule.EventFinish, Tokens: tokens - s.first})
}

// Release implements Slot.
func (s *ownedSlot) Release() {
	s.link.enqueue(schedule.SlotEvent{ID: s.id, Kind: schedule.EventRelease})
}
