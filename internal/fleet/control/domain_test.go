package control_test

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
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
	// groupStall is how long a group without a member stands still before it is broken.
	groupStall = 4 * time.Second
)

// table is an in-memory store with one version counter for all rows.
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
	return nil, errors.New("unexpected range read")
}

func (s *table) Commit(ctx context.Context, t platform.Transaction) error {
	_, err := s.CommitVersion(ctx, t)
	return err
}

func (s *table) CommitVersion(_ context.Context, t platform.Transaction) (uint64, error) {
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

// orderRecorder accepts all orders and records them. Its servers are unreachable
// for state queries.
type orderRecorder struct {
	sent chan formation.Order
}

func (o *orderRecorder) Send(_ context.Context, order formation.Order, _, _ uint64) (int, error) {
	o.sent <- order
	return 202, nil
}

func (o *orderRecorder) QueryState(context.Context, registry.Server) (control.State, error) {
	return control.State{}, errors.New("unreachable")
}

// fixture is a node that is a candidate for the control of one failure domain.
type fixture struct {
	clock         *clockwork.FakeClock
	table         *table
	orders        *orderRecorder
	registrations *registry.Cache
	node          *control.Controller
}

// newFixture returns a node with default options. It uses the clock and the
// store of shared unless that is nil.
func newFixture(t *testing.T, holder string, shared *fixture) *fixture {
	t.Helper()
	return newFixtureWith(t, holder, shared, fixtureOptions{})
}

// fixtureOptions override defaults of a fixture.
type fixtureOptions struct {
	// orders defaults to the fixture's orderRecorder.
	orders  control.Orders
	serving bool
	// loadsAtOnce defaults to seven.
	loadsAtOnce int
	// probe defaults to one that no node takes part in.
	probe func(s registry.Server) control.ProbeResult
}

func newFixtureWith(t *testing.T, holder string, shared *fixture, o fixtureOptions) *fixture {
	t.Helper()
	f := &fixture{
		clock:         clockwork.NewFakeClock(),
		table:         &table{rows: map[string]platform.Row{}},
		orders:        &orderRecorder{sent: make(chan formation.Order, 100)},
		registrations: registry.NewCache(registry.CacheConfig{ReturnGrace: grace, RecordRetention: time.Hour}),
	}
	if shared != nil {
		f.clock, f.table = shared.clock, shared.table
	}
	if o.orders == nil {
		o.orders = f.orders
	}
	if o.probe == nil {
		o.probe = func(registry.Server) control.ProbeResult { return control.ProbeResult{} }
	}
	configuration := &routes.Configuration{Version: 1, Services: map[string]routes.Service{
		"llm": {Name: "llm", Engine: &routes.Engine{
			Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: cmp.Or(o.loadsAtOnce, 7), Models: []routes.Model{{Name: "small", Size: 2, Share: 1, Load: 12 * time.Second}},
		}},
	}}
	configuration.Index()
	f.node = control.New(control.Config{
		Clock: f.clock, Logger: zap.NewNop(), Table: f.table, Orders: o.orders, Registrations: f.registrations,
		ProbeHead:      func(_ context.Context, s registry.Server) control.ProbeResult { return o.probe(s) },
		Configuration:  func() *routes.Configuration { return configuration },
		Rank:           func(string) int { return 0 },
		Weights:        func(*routes.Engine) map[string]float64 { return map[string]float64{"small": 1} },
		Serving:        func() bool { return o.serving },
		Holder:         holder,
		FailureDomains: []string{domain},
		LoadSpan:       5 * time.Second, LoadWindow: 5 * time.Second, LoadOverrun: 1,
		Grace: grace, UnreachableTimeout: time.Hour, GroupStall: groupStall,
		Jitter: func(time.Duration) time.Duration { return 0 },
	})
	return f
}

// step runs one step of the controller and waits for its orders and probes.
func (f *fixture) step(t *testing.T) {
	t.Helper()
	for _, step := range f.node.Steps() {
		if err := step.Step(context.Background()); err != nil {
			t.Logf("step: %v", err)
		}
	}
	f.node.WaitForTasks()
}

// run runs a step every 200 ms of fake time for the given duration.
func (f *fixture) run(t *testing.T, d time.Duration) {
	t.Helper()
	for range int(d / (200 * time.Millisecond)) {
		f.step(t)
		f.clock.Advance(200 * time.Millisecond)
	}
}

// register replaces all registrations.
func (f *fixture) register(version uint64, servers ...*registry.Server) {
	var updates []registry.Update
	for _, s := range servers {
		updates = append(updates, registry.Update{ID: s.ID, Version: version, Server: s})
	}
	f.registrations.Replace(updates, version, f.clock.Now())
}

// engine returns a server that has just started.
func engine(id string) *registry.Server {
	return &registry.Server{ID: id, Service: "llm", Address: "10.0.0.1:80" + id, FailureDomain: domain, FabricDomain: "d0", Slots: 17, Incarnation: 1}
}

// TestAnnouncedLeaseNeedsNoRead guards against load on the store from
// candidates that wait for a lease. A candidate must not read the lease while
// its holder announces it, and must acquire it only once the announcements stop
// and the lease has expired.
func TestAnnouncedLeaseNeedsNoRead(t *testing.T) {
	first := newFixture(t, "first", nil)
	second := newFixture(t, "second", first)
	first.run(t, time.Second)
	if len(first.node.HeldLeases()) != 1 {
		t.Fatal("the first node did not acquire the lease")
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
		t.Errorf("got %d reads of the store while the holder announced its lease, want none", reads)
	}
	if len(second.node.HeldLeases()) != 0 {
		t.Fatal("two nodes hold the lease")
	}
	second.run(t, 2*time.Second)
	if len(second.node.HeldLeases()) != 0 {
		t.Error("the second node acquired the lease before it expired")
	}
	second.run(t, 4*time.Second)
	if len(second.node.HeldLeases()) != 1 || len(first.node.HeldLeases()) != 0 && first.node.HeldLeases()[0].Term == second.node.HeldLeases()[0].Term {
		t.Error("the second node did not acquire the expired lease under a new term")
	}
}

// TestNoOrdersDuringStoreOutage covers an outage of the platform (fault
// platform_down). A plan that can't be written must cause no orders, and the
// lease must expire.
func TestNoOrdersDuringStoreOutage(t *testing.T) {
	f := newFixture(t, "node", nil)
	f.run(t, time.Second)
	f.table.mu.Lock()
	f.table.down = true
	f.table.mu.Unlock()
	f.register(1, engine("a"), engine("b"), engine("c"), engine("d"))
	f.run(t, 6*time.Second)
	if len(f.orders.sent) != 0 || len(f.node.HeldLeases()) != 0 {
		t.Errorf("got %d orders and leases %v, want none", len(f.orders.sent), f.node.HeldLeases())
	}
}

// copyOf returns a function that brings the store back from a copy of its present rows: it
// gives out their versions again, in a new era.
func (s *table) copyOf() (restore func()) {
	rows, version := maps.Clone(s.rows), s.version
	return func() {
		era := platform.Era(s.version) + 1
		s.version = platform.VersionIn(era, platform.VersionWithinEra(version))
		s.rows = map[string]platform.Row{}
		for key, row := range rows {
			row.Version = platform.VersionIn(era, platform.VersionWithinEra(row.Version))
			s.rows[key] = row
		}
	}
}

// join registers the engines of join orders as ready members, the heads as open.
func (f *fixture) join(version uint64, orders []formation.Order, engines ...*registry.Server) []*registry.Server {
	joinedEngines := slices.Clone(engines)
	for i, e := range joinedEngines {
		for _, o := range orders {
			if o.Server.ID == e.ID && o.Operation == formation.OperationJoin {
				joinedEngines[i] = joined(e, o, registry.StateOpen)
			}
		}
	}
	f.register(version, joinedEngines...)
	return joinedEngines
}

// groupOf returns the engines that are members of the group with an epoch, the head first.
func groupOf(epoch uint64, engines []*registry.Server) []*registry.Server {
	var members []*registry.Server
	for _, e := range engines {
		if e.Group.Epoch == epoch {
			members = append(members, e)
		}
	}
	slices.SortFunc(members, func(a, b *registry.Server) int { return a.Group.Rank - b.Group.Rank })
	return members
}

// restoredFixture returns a node that holds the lease and has planned two groups, whose
// members are returned in the order of the groups, since a copy of the store was made.
func restoredFixture(t *testing.T) (f *fixture, engines []*registry.Server, restore func()) {
	t.Helper()
	f = newFixture(t, "node", nil)
	f.register(1)
	f.run(t, 3*time.Second)
	restore = f.table.copyOf()
	f.register(2, engine("a"), engine("b"))
	f.run(t, 3*time.Second)
	engines = f.join(3, f.takeOrders(), engine("a"), engine("b"))
	f.register(4, append(engines, engine("c"), engine("d"), engine("e"))...)
	f.run(t, 3*time.Second)
	engines = f.join(5, f.takeOrders(), append(engines, engine("c"), engine("d"), engine("e"))...)
	f.run(t, time.Second)
	f.takeOrders()
	first, second := groupOf(1, engines), groupOf(2, engines)
	if len(first) != 2 || len(second) != 2 {
		t.Fatalf("got groups %+v and %+v, want two members each", first, second)
	}
	return f, append(first, second...), restore
}

// TestHolderGoesOnAfterStoreIsRestored guards against a controller that gives no orders any
// more, or forgets groups, since the store came back from an older copy.
func TestHolderGoesOnAfterStoreIsRestored(t *testing.T) {
	f, engines, restore := restoredFixture(t)
	restore()
	f.run(t, 2*time.Second)
	f.takeOrders()
	f.register(6, append(engines, engine("f"), engine("g"), engine("h"))...)
	f.run(t, 3*time.Second)
	joins := map[uint64]int{}
	for _, o := range f.takeOrders() {
		switch {
		case o.Operation == formation.OperationJoin && o.Server.Group.Name == "":
			joins[o.Epoch]++
		case o.Operation != formation.OperationStage:
			t.Errorf("got order %+v, want joins of the new engines only", o)
		}
	}
	if len(joins) != 1 || joins[3] == 0 {
		t.Errorf("got joins by epoch %v, want those of one group with epoch 3", joins)
	}
}

// TestOtherNodeTakesOverRestoredStore guards against two holders of a lease, members of an open
// group that join another one, and epochs that are assigned twice, if the node that held the
// lease ended together with the rows that it had written last.
func TestOtherNodeTakesOverRestoredStore(t *testing.T) {
	first, engines, restore := restoredFixture(t)
	oldTerm := first.node.HeldLeases()[0].Term
	orders := statefulOrders{&orderRecorder{sent: make(chan formation.Order, 100)}, map[string]control.State{}}
	second := newFixtureWith(t, "second", first, fixtureOptions{orders: orders})
	second.orders = orders.orderRecorder
	second.run(t, time.Second)
	restore()
	// A member of one lost group is gone, the other group is whole.
	whole, alone := engines[:2], engines[2]
	others := []*registry.Server{engine("f"), engine("g"), engine("h")}
	second.register(6, append(others, whole[0], whole[1], alone)...)
	second.run(t, 2800*time.Millisecond)
	if held := second.node.HeldLeases(); len(held) > 0 {
		t.Fatalf("got lease %+v before the earlier holder's has expired", held)
	}
	second.run(t, 4*time.Second)
	held := second.node.HeldLeases()
	if len(held) != 1 || held[0].Term <= oldTerm {
		t.Fatalf("got leases %+v, want one with a term above %d", held, oldTerm)
	}
	formed := false
	for _, o := range second.takeOrders() {
		if o.Server.Group.Name != "" {
			t.Errorf("got order %+v to a member of a lost group", o)
		}
		if o.Operation == formation.OperationJoin && o.Epoch <= 2 {
			t.Errorf("got join %+v with an epoch that was assigned before", o)
		}
		formed = formed || o.Operation == formation.OperationJoin
	}
	if !formed {
		t.Error("the new engines were not joined to a group")
	}
	// The whole group is in the plan again: a member that drains has its head close.
	drained := *whole[1]
	drained.Draining = true
	second.register(7, append(others, whole[0], &drained, alone)...)
	second.run(t, time.Second)
	closed := false
	for _, o := range second.takeOrders() {
		closed = closed || o.Operation == formation.OperationClose && o.Server.ID == whole[0].ID
	}
	if !closed {
		t.Errorf("the head %s of the adopted group was not ordered to close", whole[0].ID)
	}
}
