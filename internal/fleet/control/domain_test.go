package control_test

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/platform"
)

const (
	domain = "lisboa-a"
	grace  = 2 * time.Second
)

// table is a store in memory whose versions come from one counter.
type table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	down    bool
	reads   int
}

func (s *table) Read(_ context.Context, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.reads++
	if s.down {
		return platform.Row{}, &platform.RefusedError{Reason: "down"}
	}
	return s.rows[key], nil
}

func (s *table) Range(context.Context, string) ([]platform.Row, error) {
	return nil, errors.New("control reads no ranges")
}

func (s *table) Commit(ctx context.Context, t platform.Transaction) error {
	_, err := s.CommitAt(ctx, t)
	return err
}

func (s *table) CommitAt(_ context.Context, t platform.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down {
		return 0, &platform.RefusedError{Reason: "down"}
	}
	for _, c := range t.Conditions {
		if v := s.rows[c.Key].Version; v != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: v}
		}
	}
	s.version++
	for _, w := range t.Writes {
		s.rows[w.Key] = platform.Row{Key: w.Key, Version: s.version, Operation: t.Operation, Value: w.Value}
	}
	return s.version, nil
}

// ordersTaken are the orders that were given.
type ordersTaken struct {
	given chan formation.Order
}

func (o *ordersTaken) Send(_ context.Context, order formation.Order, _, _ uint64) (int, error) {
	o.given <- order
	return 202, nil
}

func (o *ordersTaken) QueryState(context.Context, registry.Server) (control.State, error) {
	return control.State{}, errors.New("unreachable")
}

// rig is a node that may control one failure domain.
type rig struct {
	clock  *clockwork.FakeClock
	table  *table
	orders *ordersTaken
	book   *registry.Cache
	node   *control.Controller
}

func newRig(t *testing.T, holder string, shared *rig) *rig {
	t.Helper()
	return newRigWith(t, holder, shared, rigOptions{})
}

// rigOptions change what a rig stands on.
type rigOptions struct {
	// orders are those of the rig itself unless set.
	orders  control.Orders
	serving bool
	// loadsAtOnce is seven unless set.
	loadsAtOnce int
}

func newRigWith(t *testing.T, holder string, shared *rig, o rigOptions) *rig {
	t.Helper()
	r := &rig{
		clock:  clockwork.NewFakeClock(),
		table:  &table{rows: map[string]platform.Row{}},
		orders: &ordersTaken{given: make(chan formation.Order, 100)},
		book:   registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Hour}),
	}
	if shared != nil {
		r.clock, r.table = shared.clock, shared.table
	}
	if o.orders == nil {
		o.orders = r.orders
	}
	configuration := &routes.Configuration{Version: 1, Services: map[string]routes.Service{
		"llm": {Name: "llm", Engine: &routes.Engine{
			Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: cmp.Or(o.loadsAtOnce, 7), Models: []routes.Model{{Name: "small", Size: 2, Share: 1, Load: 12 * time.Second}},
		}},
	}}
	configuration.Index()
	r.node = control.New(control.Config{
		Clock: r.clock, Logger: zap.NewNop(), Table: r.table, Orders: o.orders, Registrations: r.book,
		ProbeHead:      func(context.Context, registry.Server) control.ProbeResult { return control.ProbeResult{} },
		Configuration:  func() *routes.Configuration { return configuration },
		Rank:           func(string) int { return 0 },
		Weights:        func(*routes.Engine) map[string]float64 { return map[string]float64{"small": 1} },
		Serving:        func() bool { return o.serving },
		Holder:         holder,
		FailureDomains: []string{domain},
		LoadSpan:       5 * time.Second, LoadWindow: 5 * time.Second, LoadOverrun: 1,
		Grace: grace, ProbeQuorum: 4, UnreachableTimeout: time.Hour,
		Jitter: func(time.Duration) time.Duration { return 0 },
	})
	return r
}

func (r *rig) step(t *testing.T) {
	t.Helper()
	for _, step := range r.node.Steps() {
		if err := step(context.Background()); err != nil {
			t.Logf("step: %v", err)
		}
	}
	r.node.WaitForTasks()
}

// run takes steps for a time.
func (r *rig) run(t *testing.T, d time.Duration) {
	t.Helper()
	for range int(d / (200 * time.Millisecond)) {
		r.step(t)
		r.clock.Advance(200 * time.Millisecond)
	}
}

func (r *rig) register(version uint64, servers ...*registry.Server) {
	var updates []registry.Update
	for _, s := range servers {
		updates = append(updates, registry.Update{ID: s.ID, Version: version, Server: s})
	}
	r.book.Replace(updates, version, r.clock.Now())
}

func engine(id string) *registry.Server {
	return &registry.Server{ID: id, Service: "llm", FailureDomain: domain, FabricDomain: "d0", Slots: 17, Incarnation: 1}
}

// TestLeaseThatIsToldNeedsNoRead has a node wait for a lease whose holder it
// hears of, and take it over once it hears nothing more.
func TestLeaseThatIsToldNeedsNoRead(t *testing.T) {
	first := newRig(t, "first", nil)
	second := newRig(t, "second", first)
	first.run(t, time.Second)
	if len(first.node.HeldLeases()) != 1 {
		t.Fatal("the lease was not taken")
	}
	second.step(t)
	before := first.table.reads
	for range 50 {
		first.step(t)
		for _, l := range first.node.HeldLeases() {
			second.node.ObserveLease(l)
		}
		second.step(t)
		first.clock.Advance(200 * time.Millisecond)
	}
	if reads := first.table.reads - before; reads > 0 {
		t.Errorf("%d reads while the holder was heard of", reads)
	}
	if len(second.node.HeldLeases()) != 0 {
		t.Fatal("two nodes hold the lease")
	}
	second.run(t, 2*time.Second)
	if len(second.node.HeldLeases()) != 0 {
		t.Error("the lease was taken before it had lapsed")
	}
	second.run(t, 4*time.Second)
	if len(second.node.HeldLeases()) != 1 || len(first.node.HeldLeases()) != 0 && first.node.HeldLeases()[0].Term == second.node.HeldLeases()[0].Term {
		t.Error("the lease was not taken over")
	}
}

// TestNoOrderWithoutTheStore answers the pattern platform_down: a plan that
// can't be written gives no orders, and the lease lapses.
func TestNoOrderWithoutTheStore(t *testing.T) {
	r := newRig(t, "node", nil)
	r.run(t, time.Second)
	r.table.mu.Lock()
	r.table.down = true
	r.table.mu.Unlock()
	r.register(1, engine("a"), engine("b"), engine("c"), engine("d"))
	r.run(t, 6*time.Second)
	if len(r.orders.given) != 0 || len(r.node.HeldLeases()) != 0 {
		t.Errorf("%d orders, leases %v", len(r.orders.given), r.node.HeldLeases())
	}
}
