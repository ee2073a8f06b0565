package caller

import (
	"context"
	"math"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/view"
)

// Query describes the request that a replica group is wanted for.
type Query struct {
	Workspace string
	Model     string
	// Avoid lists replica groups that must not be picked.
	Avoid []string
}

// Choice is the replica group that an attempt is sent to. Release must be
// called once, when the attempt has ended.
type Choice struct {
	Group   string
	Address string
	// Expected is the identity that the answer's head must carry.
	Expected fleet.Identity
	Release  func()
}

// Picker chooses the replica group for each attempt.
type Picker interface {
	// Pick returns a UnavailableError when no replica group can take the
	// request.
	Pick(ctx context.Context, q Query) (Choice, error)
}

// LeastInFlight picks the replica group with the fewest attempts in flight.
type LeastInFlight struct {
	view  *view.View
	clock clockwork.Clock

	mu       sync.Mutex
	inFlight map[string]int
}

var _ Picker = (*LeastInFlight)(nil)

// NewLeastInFlight returns a picker over the replica groups in v.
func NewLeastInFlight(v *view.View, clock clockwork.Clock) *LeastInFlight {
	return &LeastInFlight{view: v, clock: clock, inFlight: make(map[string]int)}
}

// Pick implements Picker.
func (p *LeastInFlight) Pick(_ context.Context, q Query) (Choice, error) {
	targets := p.view.Targets(q.Model, p.clock.Now())

	p.mu.Lock()
	defer p.mu.Unlock()

	best := -1
	fewest := math.MaxInt
	for i, t := range targets {
		if slices.Contains(q.Avoid, t.Group.ID) {
			continue
		}
		if n := p.inFlight[t.Group.ID]; n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return Choice{}, &UnavailableError{Model: q.Model}
	}
	target := targets[best]
	p.inFlight[target.Group.ID]++
	return Choice{
		Group:    target.Group.ID,
		Address:  target.Address,
		Expected: target.Leader,
		Release:  func() { p.release(target.Group.ID) },
	}, nil
}

func (p *LeastInFlight) release(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.inFlight[group]--
	if p.inFlight[group] == 0 {
		delete(p.inFlight, group)
	}
}
