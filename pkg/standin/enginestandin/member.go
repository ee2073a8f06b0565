// Package enginestandin stands in for one member of a replica group. It takes
// orders, answers health questions and, as a leader, generates text that is a
// pure function of the prompt and the seed.
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
	// Boot identifies this start of the member.
	Boot  string
	Clock clockwork.Clock
	// Slots is the most requests that a batch holds.
	Slots int
	// LoadTime is how long the member loads weights after an order.
	LoadTime time.Duration
	// FirstToken is the time from a request to its first token.
	FirstToken time.Duration
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// IgnoresFencing makes the member accept orders with old fencing numbers.
	IgnoresFencing bool
	// CrashMarker makes the member crash on a prompt that holds it, unless it
	// is empty.
	CrashMarker string
	// Crash is called instead of generating when a prompt holds CrashMarker.
	Crash func()
	// OmitEventIDs leaves out the IDs that state the index of each token.
	OmitEventIDs bool
	// BeforeToken is called before each token of a stream, unless it is nil;
	// an error cuts the connection.
	BeforeToken func(r *http.Request, index int) error
	// BeforeHeaders may change the head of an answer, unless it is nil.
	BeforeHeaders func(h http.Header)
}

// Member is one member of the fleet.
type Member struct {
	config Config

	mu       sync.Mutex
	order    fleet.Order
	readyAt  time.Time
	leaving  bool
	running  int
	waiting  int
	slotFree chan struct{}
}

// NewMember returns an idle member.
func NewMember(c Config) *Member {
	return &Member{
		config:   c,
		slotFree: make(chan struct{}, c.Slots),
	}
}

// ApplyOrder gives the member its whole desired state. It returns the accepted
// fencing number and false when the order's number is older.
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

// needsLoad reports whether an order brings other weights.
func needsLoad(from, to fleet.Order) bool {
	if to.Group == "" {
		return false
	}
	return from.Model != to.Model || from.Version != to.Version
}

// SetLeaving makes the member report that it has been told to stop.
func (m *Member) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.leaving = true
}

// Report returns the member's health answer.
func (m *Member) Report() fleet.Report {
	m.mu.Lock()
	defer m.mu.Unlock()

	return fleet.Report{
		Identity: m.identity(),
		Phase:    m.phase(),
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

// Identity returns what the member says about itself.
func (m *Member) Identity() fleet.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.identity()
}

// identity is Identity for a caller that holds the lock.
func (m *Member) identity() fleet.Identity {
	return fleet.Identity{
		Member:  m.config.ID,
		Boot:    m.config.Boot,
		Group:   m.order.Group,
		Epoch:   m.order.Epoch,
		Model:   m.order.Model,
		Version: m.order.Version,
	}
}

// phase returns the member's phase. The caller holds the lock.
func (m *Member) phase() fleet.Phase {
	if m.order.Group == "" {
		return fleet.PhaseIdle
	}
	if m.config.Clock.Now().Before(m.readyAt) {
		return fleet.PhaseLoading
	}
	return fleet.PhaseReady
}

// leads reports whether the member is the ready leader of group at epoch.
func (m *Member) leads(group string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.phase() != fleet.PhaseReady || len(m.order.Members) == 0 {
		return false
	}
	return m.order.Members[0] == m.config.ID && m.order.Group == group && m.order.Epoch == epoch
}

// acquire waits for a slot of the batch until done is closed. It reports
// whether the slot was taken.
func (m *Member) acquire(done <-chan struct{}) bool {
	m.count(0, 1)
	defer m.count(0, -1)

	select {
	case m.slotFree <- struct{}{}:
		m.count(1, 0)
		return true
	case <-done:
		return false
	}
}

// release gives a slot back.
func (m *Member) release() {
	<-m.slotFree
	m.count(-1, 0)
}

func (m *Member) count(running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.running += running
	m.waiting += waiting
}
