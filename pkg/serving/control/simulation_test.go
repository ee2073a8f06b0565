package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
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

// Time advances in steps of tick.
const (
	tick     = time.Second
	proofTTL = 2 * time.Second
	loadTime = 3 * time.Second
)

// mutant disables safeguards, to show that the checks detect the resulting
// faults.
type mutant struct {
	// skipProof dispatches to a group by the state in its row, without a proof.
	skipProof bool
	// skipHeadCheck accepts a response without a check of the identity in its
	// head.
	skipHeadCheck bool
	// skipTermCondition drops the condition on the term row from writes.
	skipTermCondition bool
	// skipRowConditions drops the conditions on all other rows from writes.
	skipRowConditions bool
	// assumeRelease lets a controller treat an unreachable member that was
	// removed from its group as idle.
	assumeRelease bool
}

// fakeMember simulates the engine on one VM.
type fakeMember struct {
	mu sync.Mutex
	vm fleet.VM
	// fencing is set if the member rejects orders of a lower term.
	fencing bool
	down    bool
	// unreachable is set if the controllers can't reach the member, while
	// gateways still can.
	unreachable bool
	boot        int
	order       fleet.Order
	// loaded names the loaded model and version; empty if none is loaded.
	loaded  string
	readyAt time.Time
	// left holds how an order last moved the member out of each epoch.
	left map[membership]departure
	// faultAt is when the member last went down or recovered.
	faultAt time.Time
}

// membership is an epoch of a group.
type membership struct {
	group string
	epoch uint64
}

// departure is how a member left an epoch.
type departure struct {
	at time.Time
	// lateOrder is set if the order was outdated when it took effect, and had
	// been sent in an earlier tick.
	lateOrder bool
}

// report returns the member's report, and false if the member is down.
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

// receive applies an order; lateOrder is that of the departure that it causes.
// Weights are loaded only if the model or version changes.
func (m *fakeMember) receive(o fleet.Order, now time.Time, lateOrder bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return engine.Error.New("no answer")
	}
	if m.fencing && o.Term < m.order.Term {
		return &engine.StaleTermError{Term: m.order.Term}
	}
	if o.Group != m.order.Group || o.Epoch != m.order.Epoch {
		m.left[membership{m.order.Group, m.order.Epoch}] = departure{at: now, lateOrder: lateOrder}
	}
	if weights := o.Model + o.Version; o.Group != "" && weights != m.loaded {
		m.readyAt = now.Add(loadTime)
		m.loaded = weights
	}
	m.order = o
	return nil
}

// setDown takes the member down or brings it up again. A reboot loses its group
// and its loaded weights.
func (m *fakeMember) setDown(down, reboot bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.faultAt = down, now
	if reboot {
		m.boot++
		m.order, m.loaded = fleet.Order{}, ""
	}
}

// process is one run of a node's process.
type process struct {
	sim        *simulation
	node       string
	view       *view.View
	controller *Controller
	// busy is set while the controller runs in a goroutine.
	busy    bool
	stopped bool
	// stoppedAt is when the process stopped; zero once it has been restarted.
	stoppedAt time.Time
	// resume is closed at resumeAt; nil unless the process is paused.
	resume   chan struct{}
	resumeAt time.Time
	// The process can't reach the platform or the members before these times.
	platformCutUntil, membersCutUntil time.Time
}

// delayedOperation is an operation that takes effect at a later time.
type delayedOperation struct {
	at time.Time
	do func()
}

// simulation runs two nodes against an in-memory platform and fake members, and
// checks the invariants of the protocol after each tick.
type simulation struct {
	t      *testing.T
	group  errgroup.Group
	mu     sync.Mutex
	clock  *clockwork.FakeClock
	memory *platform.Memory
	// schedule orders the operations of the processes within a tick.
	schedule *schedule
	// groupRows and vmRows read the rows for the checks, without faults.
	groupRows *rowReader[group.Row]
	vmRows    *rowReader[group.VMRow]
	members   map[string]*fakeMember
	nodes     []*process
	starts    int
	doc       document.Document
	revision  uint64
	mutant    mutant
	injector  injector
	delayed   []delayedOperation
	gateways  []*fakeGateway
	// lastRows holds the row of each group at the last check.
	lastRows map[string]group.Row
	// violations describes the violated invariants.
	violations []string
	// fencing is set if members reject orders of a lower term.
	fencing bool
}

// newSimulation returns a simulation in which the seed sets the order of the
// operations within a tick.
func newSimulation(t *testing.T, seed uint64, fencing bool, faults []injection, m mutant) *simulation {
	s := &simulation{
		t: t, clock: clockwork.NewFakeClock(), memory: platform.NewMemory(), schedule: newSchedule(seed), fencing: fencing, mutant: m,
		groupRows: newGroupReader("e"), vmRows: newVMReader(),
		members: map[string]*fakeMember{}, lastRows: map[string]group.Row{}, injector: injector{faults: faults, counts: map[string]int{}},
	}
	for _, fabric := range []string{"a", "b"} {
		for i := range 4 {
			s.addVM(fabric, fmt.Sprintf("%s%d", fabric, i))
		}
	}
	for _, n := range []string{"n1", "n2"} {
		s.memory.SetVM(fleet.VM{ID: n, FailureDomain: "f", Role: fleet.RoleEntry, State: fleet.VMLive})
		s.start(n)
	}
	s.gateways = []*fakeGateway{
		{sim: s, refresh: 1},
		{sim: s, refresh: 40},
		{sim: s, refresh: 12},
		{sim: s, refresh: 12, probeParity: 1},
	}
	return s
}

func (s *simulation) addVM(fabric, id string) {
	vm := fleet.VM{
		ID: id, Address: id, FailureDomain: "f", FabricDomain: fabric,
		Role: fleet.RoleBackend, State: fleet.VMLive,
	}
	s.members[id] = &fakeMember{vm: vm, fencing: s.fencing, left: map[membership]departure{}}
	s.memory.SetVM(vm)
}

func (s *simulation) start(node string) {
	s.starts++
	p := &process{sim: s, node: node, view: view.New(proofTTL)}
	p.controller = New(Config{
		Node: node, Holder: fmt.Sprintf("%s-%d", node, s.starts), Environment: "e",
		View: p.view, Table: faultyTable{p}, Engine: faultyEngine{p: p}, Clock: s.clock, Logger: zap.NewNop(),
		Timing: Timing{Duration: 6 * tick, Margin: tick, Interval: tick, Timeout: 2 * tick},
		Policy: group.Policy{
			ReportTTL: proofTTL, ProofTTL: proofTTL, MemberTimeout: 4 * tick, DrainTimeout: 10 * tick,
			LoadTimeout: 20 * tick, RetryBackoff: 3 * tick, ClaimDelay: 6 * tick,
		},
		Jitter: func(limit time.Duration) time.Duration { return limit / 2 },
	})
	s.nodes = append(s.nodes, p)
}

// step advances the clock by one tick, runs every process once and checks the
// invariants.
func (s *simulation) step() {
	s.schedule.settle()
	s.clock.Advance(tick)
	s.schedule.settle()
	now := s.clock.Now()
	s.runDelayed(now)
	for _, p := range s.nodes {
		s.runProcess(p, now)
	}
	s.schedule.run()
	s.restartStopped(now)
	s.check(now)
}

// runDelayed executes the delayed operations that are due.
func (s *simulation) runDelayed(now time.Time) {
	s.mu.Lock()
	var due []delayedOperation
	var remaining []delayedOperation
	for _, d := range s.delayed {
		if now.Before(d.at) {
			remaining = append(remaining, d)
		} else {
			due = append(due, d)
		}
	}
	s.delayed = remaining
	s.mu.Unlock()
	for _, d := range due {
		d.do()
	}
}

// runProcess runs RenewLeases and Step of one process in a goroutine, unless the
// process is stopped, paused or still running from an earlier tick.
func (s *simulation) runProcess(p *process, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.resume != nil && !now.Before(p.resumeAt) {
		close(p.resume)
		p.resume = nil
	}
	if p.stopped || p.busy || p.resume != nil {
		return
	}
	p.updateView(now)
	p.busy = true
	s.group.Go(func() error {
		_ = p.controller.RenewLeases(s.t.Context())
		_ = p.controller.Step(s.t.Context())
		s.mu.Lock()
		defer s.mu.Unlock()
		p.busy = false
		return nil
	})
}

// updateView updates the process's view with the platform's list, the document
// and the members' reports, as far as the process reaches them.
func (p *process) updateView(now time.Time) {
	if !now.Before(p.platformCutUntil) {
		vms, _ := p.sim.memory.List(p.sim.t.Context())
		p.view.SetVMs(vms)
		p.view.SetDocument(p.sim.revision, p.sim.doc)
	}
	for _, m := range p.sim.members {
		r, ok := m.report(now)
		switch {
		case ok && !m.unreachable && !now.Before(p.membersCutUntil):
			p.view.SetReport(r)
		case m.unreachable && p.sim.mutant.assumeRelease && p.sim.leftGroup(m.vm.ID):
			r.Identity.Group, r.Phase = "", fleet.PhaseIdle
			p.view.SetReport(r)
		}
	}
}

// leftGroup reports whether the VM's row names a group or epoch of which the VM
// is no longer a member.
func (s *simulation) leftGroup(id string) bool {
	groups, vms := s.rows()
	row := vms[id].Value
	g := groups[row.Group].Value
	return g.Epoch != row.Epoch || !slices.Contains(g.Members, id)
}

// restartStopped starts a new process for each one that stopped three ticks ago.
func (s *simulation) restartStopped(now time.Time) {
	for i := range s.nodes {
		p := s.nodes[i]
		if p.stopped && now.Sub(p.stoppedAt) >= 3*tick && !p.stoppedAt.IsZero() {
			p.stoppedAt = time.Time{}
			s.start(p.node)
		}
	}
}

// acceptDocument puts a new document in force.
func (s *simulation) acceptDocument(version string, groups int, adapters ...document.Adapter) {
	s.revision++
	s.doc = document.Document{Models: []document.Model{{
		Name: "m", Version: version, Groups: groups, Span: 2, MaxUnavailable: 1, Adapters: adapters,
	}}}
}

// fault is the kind of a fault in one operation.
type fault int

const (
	faultCrashBefore fault = iota
	faultCrashAfter
	faultCutMembers
	faultCutPlatform
	faultLostAnswer
	faultLostRequest
	// The following faults let an operation take effect late.
	faultPause
	faultSlow
	faultLate
	faultDuplicate
	faultCount
)

var faultNames = []string{"crashBefore", "crashAfter", "cutMembers", "cutPlatform", "lostAnswer", "lostRequest", "pause", "slow", "late", "duplicate"}

// injection injects a fault into the first operation with the label after all
// earlier injections have been applied.
type injection struct {
	label string
	fault fault
}

// injector holds the injections that are still to be applied.
type injector struct {
	mu     sync.Mutex
	faults []injection
	// counts holds the number of operations by label.
	counts map[string]int
}

// next counts an operation and returns the fault to inject into it, if any.
func (i *injector) next(label string) (fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[label]++
	if len(i.faults) == 0 || i.faults[0].label != label {
		return 0, false
	}
	f := i.faults[0].fault
	i.faults = i.faults[1:]
	return f, true
}

const (
	lateDelay      = 4 * tick
	duplicateDelay = 13 * tick
	pauseDuration  = 14 * tick
)

// call executes one operation of a process on the target against the members or,
// if members is false, the platform, and injects the fault that is due.
func (p *process) call(label, target string, members bool, do func() error) error {
	unanswered := &platform.UnknownError{Reason: "no answer"}
	f, injected := p.injectFault(label, target)
	if !p.reaches(members) {
		return unanswered
	}
	if !injected {
		return do()
	}
	switch f {
	case faultCrashAfter:
		_ = do()
		p.crash()
		return unanswered
	case faultLostAnswer:
		_ = do()
		return unanswered
	case faultLostRequest:
		return unanswered
	case faultLate:
		p.sim.delay(label, lateDelay, do)
		return unanswered
	case faultDuplicate:
		p.sim.delay(label, duplicateDelay, do)
		return do()
	default:
		return do()
	}
}

// reaches reports whether the process is running and can reach the members or,
// if members is false, the platform.
func (p *process) reaches(members bool) bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	cutUntil := p.platformCutUntil
	if members {
		cutUntil = p.membersCutUntil
	}
	return !p.stopped && !p.sim.clock.Now().Before(cutUntil)
}

func (p *process) crash() {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.stopped, p.stoppedAt = true, p.sim.clock.Now()
}

// injectFault applies the fault that is due for an operation to the process:
// it crashes it, disconnects it or pauses it. It blocks until it is the
// operation's turn and while the process is paused.
func (p *process) injectFault(label, target string) (fault, bool) {
	name := p.sim.schedule.name(p.controller.config.Holder, label, target)
	p.sim.schedule.await(name)
	f, injected := p.sim.injector.next(label)
	now := p.sim.clock.Now()
	if injected && f == faultCrashBefore {
		p.crash()
	}
	p.sim.mu.Lock()
	if injected {
		switch f {
		case faultCutMembers:
			p.membersCutUntil = now.Add(pauseDuration)
		case faultCutPlatform:
			p.platformCutUntil = now.Add(pauseDuration)
		case faultPause:
			p.pause(now.Add(pauseDuration))
		case faultSlow:
			p.pause(now.Add(2 * tick))
		}
	}
	p.sim.mu.Unlock()
	for resume := p.paused(); resume != nil; resume = p.paused() {
		<-resume
		p.sim.schedule.await(name)
	}
	return f, injected
}

// paused returns the channel that is closed at the end of the pause, nil unless
// the process is paused.
func (p *process) paused() chan struct{} {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	return p.resume
}

func (p *process) pause(until time.Time) {
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
	p.resumeAt = until
}

// delay schedules a write or an order to take effect later. A read is dropped,
// since it has no effect.
func (s *simulation) delay(label string, by time.Duration, do func() error) {
	if strings.HasPrefix(label, "read") || strings.HasPrefix(label, "range") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = append(s.delayed, delayedOperation{at: s.clock.Now().Add(by), do: func() { _ = do() }})
}

// faultyTable is the table service with the faults of one process.
type faultyTable struct{ p *process }

func (f faultyTable) Read(ctx context.Context, key string) (row platform.Row, err error) {
	err = f.p.call("read "+key[:strings.Index(key, "/")], key, false, func() error {
		row, err = f.p.sim.memory.Read(ctx, key)
		return err
	})
	return row, err
}

func (f faultyTable) Range(ctx context.Context, prefix string) (rows []platform.Row, err error) {
	err = f.p.call("range "+prefix[:strings.Index(prefix, "/")], prefix, false, func() error {
		rows, err = f.p.sim.memory.Range(ctx, prefix)
		return err
	})
	return rows, err
}

func (f faultyTable) Commit(_ context.Context, t platform.Transaction) error {
	return f.p.call(transactionLabel(t), t.Operation, false, func() error { return f.p.sim.commit(t) })
}

// transactionLabel returns the label of a transaction: its step, or the kind of
// the write to a lease.
func transactionLabel(t platform.Transaction) string {
	if !strings.HasPrefix(t.Operation, "lease/") {
		return "write " + t.Operation[strings.LastIndex(t.Operation, "/")+1:]
	}
	row, _ := decodeLease(t.Writes[0].Value)
	switch {
	case len(t.Writes) > 1:
		return "write takeOver"
	case row.Holder == "":
		return "write handOver"
	}
	return "write renew"
}

// faultyEngine sends orders to the members with the faults of one process.
type faultyEngine struct {
	engine.Engine
	p *process
}

func (f faultyEngine) Order(_ context.Context, address string, o fleet.Order) error {
	label := orderLabel(address, o)
	m := f.p.sim.members[address]
	sentAt := f.p.sim.clock.Now()
	return f.p.call(label, address, true, func() error {
		if m.unreachable {
			return engine.Error.New("no answer")
		}
		now := f.p.sim.clock.Now()
		return m.receive(o, now, now.After(sentAt) && f.p.sim.outdated(address, o))
	})
}

// outdated reports whether the member's row names another epoch than the order.
func (s *simulation) outdated(member string, o fleet.Order) bool {
	groups, vms := s.rows()
	row := vms[member].Value
	wanted := membership{row.Group, row.Epoch}
	if g := groups[row.Group].Value; g.State == group.StateDissolving || !slices.Contains(g.Members, member) {
		wanted = membership{}
	}
	return wanted != membership{o.Group, o.Epoch}
}

// orderLabel returns the label of an order. It distinguishes the leader from the
// other members, and the first epoch of a group from later epochs and from those
// with a new version.
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
