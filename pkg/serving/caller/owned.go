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
	// tellTimeout bounds the time to tell an owner what became of its slots; an
	// owner that takes longer is passed over for avoidTime.
	tellTimeout = 500 * time.Millisecond
	avoidTime   = 3 * time.Second
	// keepInterval is the time between two messages to an owner whose slots
	// this node uses.
	keepInterval = 500 * time.Millisecond
	// maxPatience bounds the wait for an owner's answer.
	maxPatience = 4 * time.Second
)

// Owners reaches the node that schedules a model in this failure domain.
type Owners interface {
	// Owner returns the ID of the owner of a model, and whether it is this
	// node; it is this node also when there is no other.
	Owner(model string) (string, bool)
	// AcquireSlot waits for the owner's answer.
	AcquireSlot(ctx context.Context, owner string, a schedule.SlotRequest) (schedule.Grant, error)
	// ReportSlotEvents tells the owner what became of its slots; no news keeps them.
	ReportSlotEvents(ctx context.Context, owner, node string, news []schedule.SlotEvent) error
}

// OwnerPickerConfig configures an OwnerPicker picker.
type OwnerPickerConfig struct {
	// Node is the ID of this node.
	Node string
	// Local schedules what this node owns, and everything whose owner cannot be
	// reached.
	Local  *SchedulerPicker
	Owners Owners
	// Logger may be nil.
	Logger *zap.Logger
}

// OwnerPicker asks the owner of a model for a slot in a group. Only the wait is at the
// owner: the request goes from this node to the group. Flush has to be called
// regularly.
type OwnerPicker struct {
	config OwnerPickerConfig

	mu    sync.Mutex
	links map[string]*link
}

var _ Picker = (*OwnerPicker)(nil)

// link is what this node has to do with one owner.
type link struct {
	mu sync.Mutex
	// held is the number of asks and slots that have not ended.
	held   int
	news   []schedule.SlotEvent
	toldAt time.Time
	// avoidUntil is when the owner is asked again after it could not be reached.
	avoidUntil time.Time
	// reachedAt is when the owner was last told something.
	reachedAt time.Time
	// lost is cancelled when the owner cannot be reached.
	lost   context.Context
	cancel context.CancelFunc
}

// NewOwnerPicker returns a picker that asks owners.
func NewOwnerPicker(c OwnerPickerConfig) *OwnerPicker {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &OwnerPicker{config: c, links: make(map[string]*link)}
}

// Pick implements Picker.
func (o *OwnerPicker) Pick(ctx context.Context, q Query) (Choice, error) {
	owner, isSelf := o.config.Owners.Owner(q.Model)
	if isSelf {
		return o.config.Local.Pick(ctx, q)
	}
	l := o.link(owner)
	choice, err := o.config.Local.pick(ctx, q, func(q Query, all []view.Target) (granted, error) {
		return o.ask(ctx, owner, l, q, all)
	})
	if errors.Is(err, errOwnerLost) {
		return o.config.Local.Pick(ctx, q)
	}
	return choice, err
}

var errOwnerLost = Error.New("the owner of the slots cannot be reached")

// ask asks the owner for a slot. A request whose answer is lost is given back.
func (o *OwnerPicker) ask(ctx context.Context, owner string, l *link, q Query, all []view.Target) (granted, error) {
	local := o.config.Local
	now := local.config.Clock.Now()
	lost, ok := l.enter(now)
	if !ok {
		return granted{}, errOwnerLost
	}
	s := &ownedSlot{link: l, id: uuid.NewString()}
	r := local.requestOf(q, all, nil)
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lost, cancel)()
	grant, err := o.config.Owners.AcquireSlot(asking, owner, schedule.SlotRequest{
		Node:         o.config.Node,
		ID:           s.id,
		Request:      r,
		FirstTokenIn: min(r.FirstTokenBy.Sub(now), maxPatience),
	})
	switch {
	case ctx.Err() != nil:
		s.Release()
		return granted{}, Error.Wrap(ctx.Err())
	case err != nil:
		s.Release()
		return granted{}, errOwnerLost
	case grant.Refusal != nil && grant.Refusal.Reason == schedule.ReasonNoGroup:
		s.Release()
		return granted{}, errOwnerLost
	case grant.Refusal != nil:
		s.Release()
		return granted{}, refusalOf(q.Model, grant.Refusal)
	}
	return granted{group: grant.Group, long: grant.Long, slot: s}, nil
}

func (o *OwnerPicker) link(owner string) *link {
	o.mu.Lock()
	defer o.mu.Unlock()

	l := o.links[owner]
	if l == nil {
		l = &link{}
		l.lost, l.cancel = context.WithCancel(context.Background())
		o.links[owner] = l
	}
	return l
}

// enter counts one more ask, unless the owner is passed over.
func (l *link) enter(now time.Time) (context.Context, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Before(l.avoidUntil) {
		return nil, false
	}
	if l.held == 0 {
		l.reachedAt = now
	}
	l.held++
	return l.lost, true
}

// add queues news for the owner.
func (l *link) add(n schedule.SlotEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if n.Kind == schedule.EventRelease {
		l.held = max(0, l.held-1)
	}
	l.news = append(l.news, n)
}

// due returns what the owner is to be told now.
func (l *link) due(now time.Time) ([]schedule.SlotEvent, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Before(l.avoidUntil) || len(l.news) == 0 && (l.held == 0 || now.Sub(l.toldAt) < keepInterval) {
		return nil, false
	}
	news := l.news
	l.news = nil
	l.toldAt = now
	return news, true
}

// reached notes that the owner has been told something.
func (l *link) reached(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reachedAt = now
}

// lose passes the owner over for a while. The news is told again later, which
// does no harm if it has come through, until the owner has taken everything
// back by itself.
func (l *link) lose(news []schedule.SlotEvent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.news = append(news, l.news...)
	if now.Sub(l.reachedAt) > schedule.NodeTimeout {
		l.news, l.held = nil, 0
	}
	l.avoidUntil = now.Add(avoidTime)
	l.cancel()
	l.lost, l.cancel = context.WithCancel(context.Background())
}

// Flush tells each owner what became of its slots. It is to be called many
// times a second: a slot is free for others only once its owner knows.
func (o *OwnerPicker) Flush(ctx context.Context) error {
	o.mu.Lock()
	links := make(map[string]*link, len(o.links))
	for owner, l := range o.links {
		links[owner] = l
	}
	o.mu.Unlock()
	var g errgroup.Group
	clock := o.config.Local.config.Clock
	for owner, l := range links {
		news, due := l.due(clock.Now())
		if !due {
			continue
		}
		g.Go(func() error {
			telling, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			err := o.config.Owners.ReportSlotEvents(telling, owner, o.config.Node, news)
			if ctx.Err() != nil {
				return nil // This node stops; the owner takes its slots back.
			}
			if err != nil {
				event.OwnerUnreachable.Log(o.config.Logger, zap.String("owner", owner), zap.Error(err))
				l.lose(news, clock.Now())
				return nil
			}
			l.reached(clock.Now())
			return nil
		})
	}
	return g.Wait()
}

// ownedSlot passes the progress of an attempt on to the owner of its slot.
type ownedSlot struct {
	progressFilter
	link *link
	id   string
}

var _ Slot = (*ownedSlot)(nil)

// Progress implements Slot.
func (s *ownedSlot) Progress(tokens int) {
	switch made, first, due := s.filter(tokens); {
	case first:
		s.link.add(schedule.SlotEvent{ID: s.id, Kind: schedule.EventFirstToken, Tokens: made})
	case due:
		s.link.add(schedule.SlotEvent{ID: s.id, Kind: schedule.EventProgress, Tokens: made})
	}
}

// Finish implements Slot.
func (s *ownedSlot) Finish(tokens int) {
	s.link.add(schedule.SlotEvent{ID: s.id, Kind: schedule.EventFinish, Tokens: tokens - s.first})
}

// Release implements Slot.
func (s *ownedSlot) Release() {
	s.link.add(schedule.SlotEvent{ID: s.id, Kind: schedule.EventRelease})
}
