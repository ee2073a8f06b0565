// Package enginestandin implements a fake member of a replica group for tests
// and local runs. It accepts orders, answers health checks and, as the leader of
// its group, generates text that is a pure function of the prompt and the seed.
package enginestandin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
)

// Config configures a Member.
type Config struct {
	// ID is the ID of the VM.
	ID string
	// Boot identifies this run of the member and changes at each restart.
	Boot  string
	Clock clockwork.Clock
	// Slots is the maximum number of requests in a batch.
	Slots int
	// LoadTime is the time to load weights after an order that changes the model
	// or its version.
	LoadTime time.Duration
	// FirstToken is the time from a request to its first token.
	FirstToken time.Duration
	// TokenInterval is the time between consecutive tokens.
	TokenInterval time.Duration
	// IgnoresFencing makes the member accept orders with old fencing numbers.
	IgnoresFencing bool
	// CrashMarker makes the member crash on a prompt that contains it. Empty
	// disables crashes.
	CrashMarker string
	// Crash is called in place of generation when a prompt contains CrashMarker.
	Crash func()
	// OmitEventIDs omits the event IDs, which contain the token index. Such a
	// stream cannot be resumed.
	OmitEventIDs bool
	// BeforeToken, if not nil, is called before each token of a stream. If it
	// returns an error, the connection is closed without the rest of the answer.
	BeforeToken func(r *http.Request, index int) error
	// BeforeHeaders, if not nil, may change the response headers before they are
	// sent.
	BeforeHeaders func(h http.Header)
}

// Member is a fake member of a replica group.
type Member struct {
	config Config

	mu      sync.Mutex
	order   fleet.Order
	readyAt time.Time
	leaving bool
	running int
	waiting int
	// slots holds one element for each slot in use.
	slots chan struct{}
}

// NewMember returns an idle member.
func NewMember(c Config) *Member {
	return &Member{
		config: c,
		slots:  make(chan struct{}, c.Slots),
	}
}

// ApplyOrder replaces the desired state of the member. If the fencing number of
// the order is older than the last accepted one, it rejects the order and
// returns the accepted number and false.
func (m *Member) ApplyOrder(o fleet.Order) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if o.Term < m.order.Term && !m.config.IgnoresFencing {
		return m.order.Term, false
	}
	if needsLoad(m.order, o) {
		m.readyAt = m.config.Clock.Now().Add(m.config.LoadTime)
	}
	m.order = o
	return o.Term, true
}

// needsLoad reports whether a change of the order requires other weights.
func needsLoad(from, to fleet.Order) bool {
	if to.Group == "" {
		return false
	}
	return from.Model != to.Model || from.Version != to.Version
}

// SetLeaving makes the member report that it is shutting down.
func (m *Member) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.leaving = true
}

// Report returns the member's answer to a health check.
func (m *Member) Report() fleet.Report {
	m.mu.Lock()
	defer m.mu.Unlock()

	return fleet.Report{
		Identity: m.identityLocked(),
		Phase:    m.phaseLocked(),
		Term:     m.order.Term,
		Leaving:  m.leaving,
		Load: fleet.Load{
			Running: m.running,
			Waiting: m.waiting,
			Slots:   m.config.Slots,
		},
		Adapters: slices.Clone(m.order.Adapters),
	}
}

// Identity returns the identity that the member sends with each answer: its VM,
// boot, group, epoch, model and version.
func (m *Member) Identity() fleet.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.identityLocked()
}

// identityLocked is Identity for callers that hold m.mu.
func (m *Member) identityLocked() fleet.Identity {
	return fleet.Identity{
		Member:  m.config.ID,
		Boot:    m.config.Boot,
		Group:   m.order.Group,
		Epoch:   m.order.Epoch,
		Model:   m.order.Model,
		Version: m.order.Version,
	}
}

// phaseLocked returns the member's phase. The caller holds m.mu.
func (m *Member) phaseLocked() fleet.Phase {
	if m.order.Group == "" {
		return fleet.PhaseIdle
	}
	if m.config.Clock.Now().Before(m.readyAt) {
		return fleet.PhaseLoading
	}
	return fleet.PhaseReady
}

// isLeader reports whether the member is the leader of group at epoch and ready.
func (m *Member) isLeader(group string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.phaseLocked() != fleet.PhaseReady || len(m.order.Members) == 0 {
		return false
	}
	return m.order.Members[0] == m.config.ID && m.order.Group == group && m.order.Epoch == epoch
}

// acquire waits for a free slot in the batch until done is closed. It reports
// whether it acquired one.
func (m *Member) acquire(done <-chan struct{}) bool {
	m.addLoad(0, 1)
	defer m.addLoad(0, -1)

	select {
	case m.slots <- struct{}{}:
		m.addLoad(1, 0)
		return true
	case <-done:
		return false
	}
}

// release returns a slot to the batch.
func (m *Member) release() {
	<-m.slots
	m.addLoad(-1, 0)
}

// addLoad adds to the counts of running and waiting requests.
func (m *Member) addLoad(running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.running += running
	m.waiting += waiting
}
