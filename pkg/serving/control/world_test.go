package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/view"
)

const (
	tick     = time.Second
	proofTTL = 2 * time.Second
	loadTime = 3 * time.Second
)

// safeguards lists what a mutant run turns off.
type safeguards struct {
	noProof, noHead, noTerm, noConditions, forgedRelease bool
}

// fakeMember is an engine on one VM.
type fakeMember struct {
	mu      sync.Mutex
	vm      fleet.VM
	fencing bool
	down    bool
	// hidden members are reached by gateways and not by the nodes that control.
	hidden  bool
	boot    int
	order   fleet.Order
	loaded  string
	readyAt time.Time
	// leftAt is when the member last left a group at an order.
	leftAt time.Time
	// failedAt is when the member last went down or came back.
	failedAt time.Time
}

func (m *fakeMember) report(now time.Time) (fleet.Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := fleet.Report{
		Identity: fleet.Identity{
			Member: m.vm.ID, Boot: fmt.Sprint(m.boot), Group: m.order.Group,
			Epoch: m.order.Epoch, Model: m.order.Model, Version: m.order.Version,
		},
		Phase: fleet.PhaseReady, Term: m.order.Term, Adapters: m.order.Adapters, SeenAt: now,
	}
	if m.order.Group == "" {
		r.Phase = fleet.PhaseIdle
	} else if m.order.Version == "bad" {
		r.Phase = fleet.PhaseFailed
	} else if now.Before(m.readyAt) {
		r.Phase = fleet.PhaseLoading
	}
	return r, !m.down
}

func (m *fakeMember) give(o fleet.Order, now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return engine.Error.New("no answer")
	}
	if m.fencing && o.Term < m.order.Term {
		return &engine.StaleTermError{Term: m.order.Term}
	}
	if o.Group != m.order.Group || o.Epoch != m.order.Epoch {
		m.leftAt = now
	}
	if weights := o.Model + o.Version; o.Group != "" && weights != m.loaded {
		m.readyAt = now.Add(loadTime)
		m.loaded = weights
	}
	m.order = o
	return nil
}

// set takes the member down, or brings it back, rebooted or as it was.
func (m *fakeMember) set(down, reboot bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.failedAt = down, now
	if reboot {
		m.boot++
		m.order, m.loaded = fleet.Order{}, ""
	}
}

// process is one start of a node's process.
type process struct {
	w          *world
	node       string
	view       *view.View
	controller *Controller
	busy       bool
	dead       bool
	diedAt     time.Time
	wake       chan struct{} // closed at wakeAt; nil unless paused
	wakeAt     time.Time
	// cut from the platform or from members until these times.
	platformCut, membersCut time.Time
}

// delayed is an operation that takes effect late.
type delayed struct {
	at time.Time
	do func()
}

// world runs two nodes over an in-memory platform and fake members.
type world struct {
	t      *testing.T
	group  errgroup.Group
	mu     sync.Mutex
	clock  *clockwork.FakeClock
	memory *platform.Memory
	// groupRows and vmRows read the rows for the checks.
	groupRows *rowReader[group.Row]
	vmRows    *rowReader[group.VMRow]
	members   map[string]*fakeMember
	nodes     []*process
	starts    int
	doc       document.Document
	revision  uint64
	off       safeguards
	injector  injector
	later     []delayed
	gateways  []*fakeGateway
	// epochs holds the last row seen of each group.
	epochs map[string]group.Row
	// violations lists what should never have happened.
	violations []string
	fencing    bool
	strict     bool
}

func newWorld(t *testing.T, fencing bool, faults []injection, off safeguards) *world {
	w := &world{
		t: t, clock: clockwork.NewFakeClock(), memory: platform.NewMemory(), fencing: fencing, off: off,
		groupRows: newGroupReader("e"), vmRows: newVMReader(),
		members: map[string]*fakeMember{}, epochs: map[string]group.Row{}, injector: injector{faults: faults, seen: map[string]int{}}, strict: true,
	}
	for _, f := range faults {
		w.strict = w.strict && (f.fault < faultPause || !strings.HasPrefix(f.label, "order"))
	}
	for _, fabric := range []string{"a", "b"} {
		for i := range 4 {
			w.addVM(fabric, fmt.Sprintf("%s%d", fabric, i))
		}
	}
	for _, n := range []string{"n1", "n2"} {
		w.memory.SetVM(fleet.VM{ID: n, FailureDomain: "f", Role: fleet.RoleEntry, State: fleet.VMLive})
		w.start(n)
	}
	w.gateways = []*fakeGateway{
		{w: w, refresh: 1},
		{w: w, refresh: 40},
		{w: w, refresh: 12},
		{w: w, refresh: 12, probeOdd: 1},
	}
	return w
}

func (w *world) addVM(fabric, id string) {
	vm := fleet.VM{
		ID: id, Address: id, FailureDomain: "f", FabricDomain: fabric,
		Role: fleet.RoleBackend, State: fleet.VMLive,
	}
	w.members[id] = &fakeMember{vm: vm, fencing: w.fencing}
	w.memory.SetVM(vm)
}

func (w *world) start(node string) {
	w.starts++
	p := &process{w: w, node: node, view: view.New(proofTTL)}
	p.controller = New(Config{
		Node: node, Holder: fmt.Sprintf("%s-%d", node, w.starts), Environment: "e",
		View: p.view, Table: faultyTable{p}, Engine: faultyEngine{p: p}, Clock: w.clock, Logger: zap.NewNop(),
		Timing: Timing{Duration: 6 * tick, Margin: tick, Interval: tick, Timeout: 2 * tick},
		Policy: group.Policy{
			ReportTTL: proofTTL, ProofTTL: proofTTL, MemberTimeout: 4 * tick, DrainTimeout: 10 * tick,
			LoadTimeout: 20 * tick, RetryBackoff: 3 * tick, ClaimDelay: 6 * tick,
		},
		Jitter: func(limit time.Duration) time.Duration { return limit / 2 },
	})
	w.nodes = append(w.nodes, p)
}

// step advances the clock by one tick and lets everything act once.
func (w *world) step() {
	w.clock.Advance(tick)
	now := w.clock.Now()
	w.deliver(now)
	for _, p := range w.nodes {
		w.run(p, now)
	}
	synctest.Wait()
	w.replaceDead(now)
	w.check(now)
}

func (w *world) deliver(now time.Time) {
	w.mu.Lock()
	var due []delayed
	var left []delayed
	for _, d := range w.later {
		if now.Before(d.at) {
			left = append(left, d)
		} else {
			due = append(due, d)
		}
	}
	w.later = left
	w.mu.Unlock()
	for _, d := range due {
		d.do()
	}
}

// run gives one process its turn.
func (w *world) run(p *process, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.wake != nil && !now.Before(p.wakeAt) {
		close(p.wake)
		p.wake = nil
	}
	if p.dead || p.busy || p.wake != nil {
		return
	}
	p.learn(now)
	p.busy = true
	w.group.Go(func() error {
		_ = p.controller.RenewLeases(w.t.Context())
		_ = p.controller.Step(w.t.Context())
		w.mu.Lock()
		defer w.mu.Unlock()
		p.busy = false
		return nil
	})
}

// learn brings the process's view up to date as far as it is not cut off.
func (p *process) learn(now time.Time) {
	if !now.Before(p.platformCut) {
		vms, _ := p.w.memory.List(p.w.t.Context())
		p.view.SetVMs(vms)
		p.view.SetDocument(p.w.revision, p.w.doc)
	}
	for _, m := range p.w.members {
		r, ok := m.report(now)
		switch {
		case ok && !m.hidden && !now.Before(p.membersCut):
			p.view.SetReport(r)
		case m.hidden && p.w.off.forgedRelease && p.w.removed(m.vm.ID):
			r.Identity.Group, r.Phase = "", fleet.PhaseIdle
			p.view.SetReport(r)
		}
	}
}

// removed reports whether the VM is bound to a group that it has left.
func (w *world) removed(id string) bool {
	groups, vms := w.rows()
	row := vms[id].Value
	g := groups[row.Group].Value
	return g.Epoch != row.Epoch || !slices.Contains(g.Members, id)
}

func (w *world) replaceDead(now time.Time) {
	for i := range w.nodes {
		p := w.nodes[i]
		if p.dead && now.Sub(p.diedAt) >= 3*tick && !p.diedAt.IsZero() {
			p.diedAt = time.Time{}
			w.start(p.node)
		}
	}
}

func (w *world) accept(version string, groups int, adapters ...document.Adapter) {
	w.revision++
	w.doc = document.Document{Models: []document.Model{{
		Name: "m", Version: version, Groups: groups, Span: 2, MaxUnavailable: 1, Adapters: adapters,
	}}}
}

// fault is what goes wrong at one step.
type fault int

const (
	faultCrashBefore fault = iota
	faultCrashAfter
	faultCutMembers
	faultCutPlatform
	faultLostAnswer
	faultLostRequest
	// The faults from here on let an operation take effect late.
	faultPause
	faultSlow
	faultLate
	faultDuplicate
	faults
)

var faultNames = []string{"crashBefore", "crashAfter", "cutMembers", "cutPlatform", "lostAnswer", "lostRequest", "pause", "slow", "late", "duplicate"}

// injection makes a fault happen at the first operation with the label, once
// the injections before it have happened.
type injection struct {
	label string
	fault fault
}

type injector struct {
	mu     sync.Mutex
	faults []injection
	seen   map[string]int
}

func (i *injector) next(label string) (fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seen[label]++
	if len(i.faults) == 0 || i.faults[0].label != label {
		return 0, false
	}
	f := i.faults[0].fault
	i.faults = i.faults[1:]
	return f, true
}

const (
	lateBy      = 4 * tick
	duplicateBy = 13 * tick
	pauseBy     = 14 * tick
)

// call performs one operation of a process, with the fault injected into it.
func (p *process) call(label string, members bool, do func() error) error {
	lost := &platform.UnknownError{Reason: "no answer"}
	f, hit := p.begin(label)
	if !p.reaches(members) {
		return lost
	}
	if !hit {
		return do()
	}
	switch f {
	case faultCrashAfter:
		_ = do()
		p.crash()
		return lost
	case faultLostAnswer:
		_ = do()
		return lost
	case faultLostRequest:
		return lost
	case faultLate:
		p.w.delay(label, lateBy, do)
		return lost
	case faultDuplicate:
		p.w.delay(label, duplicateBy, do)
		return do()
	default:
		return do()
	}
}

// reaches reports whether the process is up and reaches the members or the
// platform.
func (p *process) reaches(members bool) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	cut := p.platformCut
	if members {
		cut = p.membersCut
	}
	return !p.dead && !p.w.clock.Now().Before(cut)
}

func (p *process) crash() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.dead, p.diedAt = true, p.w.clock.Now()
}

// begin sets what the fault changes about the process, and waits while the
// process is paused.
func (p *process) begin(label string) (fault, bool) {
	f, hit := p.w.injector.next(label)
	now := p.w.clock.Now()
	if hit && f == faultCrashBefore {
		p.crash()
	}
	p.w.mu.Lock()
	if hit {
		switch f {
		case faultCutMembers:
			p.membersCut = now.Add(pauseBy)
		case faultCutPlatform:
			p.platformCut = now.Add(pauseBy)
		case faultPause:
			p.pause(now.Add(pauseBy))
		case faultSlow:
			p.pause(now.Add(2 * tick))
		}
	}
	wake := p.wake
	p.w.mu.Unlock()
	if wake != nil {
		<-wake
	}
	return f, hit
}

func (p *process) pause(until time.Time) {
	if p.wake == nil {
		p.wake = make(chan struct{})
	}
	p.wakeAt = until
}

// delay lets a write or an order take effect later; a read has no effect.
func (w *world) delay(label string, by time.Duration, do func() error) {
	if strings.HasPrefix(label, "read") || strings.HasPrefix(label, "range") {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.later = append(w.later, delayed{at: w.clock.Now().Add(by), do: func() { _ = do() }})
}

// faultyTable is the table service as one process reaches it.
type faultyTable struct{ p *process }

func (f faultyTable) Read(ctx context.Context, key string) (row platform.Row, err error) {
	err = f.p.call("read "+key[:strings.Index(key, "/")], false, func() error {
		row, err = f.p.w.memory.Read(ctx, key)
		return err
	})
	return row, err
}

func (f faultyTable) Range(ctx context.Context, prefix string) (rows []platform.Row, err error) {
	err = f.p.call("range "+prefix[:strings.Index(prefix, "/")], false, func() error {
		rows, err = f.p.w.memory.Range(ctx, prefix)
		return err
	})
	return rows, err
}

func (f faultyTable) Commit(_ context.Context, t platform.Transaction) error {
	return f.p.call(labelOf(t), false, func() error { return f.p.w.commit(t) })
}

func labelOf(t platform.Transaction) string {
	if !strings.HasPrefix(t.Operation, "lease/") {
		return "write " + t.Operation[strings.LastIndex(t.Operation, "/")+1:]
	}
	row, _ := decodeLease(t.Writes[0].Value)
	switch {
	case len(t.Writes) > 1:
		return "write takeOver"
	case row.Holder == "":
		return "write handOn"
	}
	return "write renew"
}

// faultyEngine is the members as one process reaches them.
type faultyEngine struct {
	engine.Engine
	p *process
}

func (f faultyEngine) Order(_ context.Context, address string, o fleet.Order) error {
	label := orderLabel(address, o)
	m := f.p.w.members[address]
	return f.p.call(label, true, func() error {
		if m.hidden {
			return engine.Error.New("no answer")
		}
		return m.give(o, f.p.w.clock.Now())
	})
}

// orderLabel tells orders to the leader and to the others apart, and the first
// epoch of a group from later ones and from those that bring a new version.
func orderLabel(address string, o fleet.Order) string {
	if o.Group == "" {
		return "order release"
	}
	label := "order join"
	if o.Members[0] == address {
		label = "order lead"
	}
	switch {
	case o.Version != "1":
		return label + " updated"
	case o.Epoch > 1:
		return label + " again"
	}
	return label
}
