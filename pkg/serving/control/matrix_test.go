package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// commit applies a transaction and checks that its writer holds the term.
func (w *world) commit(t platform.Transaction) error {
	lease := strings.HasPrefix(t.Operation, "lease/")
	t.Conditions = slices.DeleteFunc(slices.Clone(t.Conditions), func(c platform.Condition) bool {
		term := strings.HasPrefix(c.Key, termPrefix)
		return !lease && ((w.off.noTerm && term) || (w.off.noConditions && !term))
	})
	err := w.memory.Commit(w.t.Context(), t)
	if err == nil && !lease {
		fabric, rest, _ := strings.Cut(t.Operation, "/")
		row, _ := w.memory.Read(w.t.Context(), termPrefix+fabric)
		if holder, _, _ := strings.Cut(rest, "/"); !strings.Contains(string(row.Value), `"`+holder+`"`) {
			w.violate("%s took effect under %s", t.Operation, row.Value)
		}
	}
	return err
}

func (w *world) rows() (map[string]group.Versioned[group.Row], map[string]group.Versioned[group.VMRow]) {
	groups, err := w.groupRows.read(w.t.Context(), w.memory)
	if err != nil {
		w.t.Fatal(err)
	}
	vms, err := w.vmRows.read(w.t.Context(), w.memory)
	if err != nil {
		w.t.Fatal(err)
	}
	return groups, vms
}

// check verifies what must hold at every moment.
func (w *world) check(now time.Time) {
	groups, vms := w.rows()
	in := map[string]string{}
	for id, g := range groups {
		w.checkEpoch(g.Value)
		for _, m := range g.Value.Members {
			row := vms[m].Value
			bound := row.Group == id && row.Epoch == g.Value.Epoch
			if !bound && g.Value.State == group.StateDissolving {
				continue
			}
			if other := in[m]; other != "" || !bound {
				w.violate("%s is in %s, its row names %s/%d, and it is in %q", m, id, row.Group, row.Epoch, other)
			}
			in[m] = id
		}
	}
	for _, g := range w.gateways {
		g.dispatch(now, groups, in)
	}
}

// checkEpoch verifies that an epoch never repeats and never has other members.
func (w *world) checkEpoch(r group.Row) {
	before := w.epochs[r.ID]
	if r.Epoch < before.Epoch {
		w.violate("%s went back from epoch %d to %d", r.ID, before.Epoch, r.Epoch)
	}
	released := r.State == group.StateReleased
	if r.Epoch == before.Epoch && !released && !slices.Equal(r.Members, before.Members) {
		w.violate("%s/%d has members %v and %v", r.ID, r.Epoch, before.Members, r.Members)
	}
	w.epochs[r.ID] = r
}

// fakeGateway dispatches to groups by rows that it reads only now and then, as
// a node does that reaches members but not the platform.
type fakeGateway struct {
	w       *world
	refresh int
	// probeOdd is 1 if the gateway probes at odd turns, else 0.
	probeOdd int
	turns    int
	groups   map[string]group.Versioned[group.Row]
	reports  map[string]fleet.Report
}

func (g *fakeGateway) dispatch(now time.Time, rows map[string]group.Versioned[group.Row], in map[string]string) {
	if g.turns%g.refresh == 0 {
		g.groups = rows
	}
	if g.reports == nil {
		g.reports = map[string]fleet.Report{}
	}
	g.turns++
	for id, m := range g.w.members {
		if r, ok := m.report(now); ok && g.turns%2 == g.probeOdd {
			g.reports[id] = r
		}
	}
	report := func(m string) (fleet.Report, bool) { r, ok := g.reports[m]; return r, ok }
	for _, row := range g.groups {
		r := row.Value
		proven := group.Prove(r, report, now, proofTTL) == nil
		if g.w.off.noProof {
			proven = r.State == group.StateServing
		}
		if proven {
			g.answered(r, now, in)
		}
	}
}

// answered checks an answer from the leader that the gateway would pass on.
func (g *fakeGateway) answered(r group.Row, now time.Time, in map[string]string) {
	head, up := g.w.members[r.Members[0]].report(now)
	if !up || (!g.w.off.noHead && group.CheckHead(r, head.Identity) != nil) {
		return
	}
	for _, id := range r.Members {
		if other := in[id]; other != "" && other != r.ID {
			g.w.violate("%s answers for %s/%d and is in %s", id, r.ID, r.Epoch, other)
		}
		m := g.w.members[id]
		if m.order.Group == r.ID && m.order.Epoch == r.Epoch && !m.down {
			continue
		}
		allowed := proofTTL
		if g.w.strict && now.Sub(m.failedAt) > proofTTL {
			allowed = -1
		}
		if now.Sub(m.leftAt) > allowed && now.Sub(m.failedAt) > proofTTL {
			g.w.violate("%s/%d answers without %s", r.ID, r.Epoch, id)
		}
	}
}

// scenario passes through every step of the protocol. It ends when the fleet
// serves the last document, and reports whether it did.
func (w *world) scenario() bool {
	events := map[int]func(now time.Time){
		0:  func(time.Time) { w.accept("1", 3) },
		20: func(now time.Time) { w.members["a1"].set(true, false, now) },
		34: func(now time.Time) { w.members["a1"].set(false, true, now) },
		40: func(time.Time) { w.accept("2", 3, document.Adapter{Name: "x", Version: "1"}) },
		44: func(time.Time) { w.accept("1", 3) },
		50: func(time.Time) { w.accept("2", 3, document.Adapter{Name: "x", Version: "2"}) },
		85: func(now time.Time) {
			w.members["b0"].set(true, false, now)
			w.memory.RemoveVM("b0")
			w.addVM("b", "b9")
		},
		95:  func(time.Time) { w.hide("a", true) },
		115: func(time.Time) { w.hide("a", false) },
		120: func(time.Time) { w.accept("bad", 3) },
		132: func(time.Time) { w.accept("2", 2) },
		145: func(time.Time) { w.handOn("n1") },
		158: func(time.Time) { w.handOn("n2") },
		166: func(now time.Time) { w.dark("b", true, now) },
		180: func(now time.Time) { w.dark("b", false, now) },
	}
	for at := range 400 {
		if event := events[at]; event != nil {
			w.mu.Lock()
			event(w.clock.Now())
			w.mu.Unlock()
		}
		w.step()
		if at > 185 && w.converged() {
			return true
		}
	}
	return false
}

// hide cuts the nodes off from a fabric domain that gateways still reach.
func (w *world) hide(fabric string, hidden bool) {
	for _, m := range w.members {
		if m.vm.FabricDomain == fabric {
			m.hidden = hidden
		}
	}
}

func (w *world) dark(fabric string, down bool, now time.Time) {
	for _, m := range w.members {
		if m.vm.FabricDomain == fabric {
			m.set(down, false, now)
		}
	}
}

// handOn ends the running process of a node in good order. It is replaced.
func (w *world) handOn(node string) {
	for _, p := range w.nodes {
		if p.node != node || p.dead {
			continue
		}
		p.busy = true
		w.group.Go(func() error {
			_ = p.controller.ReleaseLeases(w.t.Context())
			w.mu.Lock()
			defer w.mu.Unlock()
			p.dead, p.diedAt = true, w.clock.Now()
			return nil
		})
	}
}

// converged reports whether just the last document's groups are served and
// every other VM that answers is free.
func (w *world) converged() bool {
	groups, vms := w.rows()
	gateway := w.gateways[0]
	serving := 0
	bound := 0
	for _, g := range groups {
		r := g.Value
		report := func(m string) (fleet.Report, bool) { r, ok := gateway.reports[m]; return r, ok }
		if group.Prove(r, report, w.clock.Now(), proofTTL) == nil && r.Version == w.doc.Models[0].Version {
			serving++
		}
	}
	for _, v := range vms {
		if v.Value.Group != "" {
			bound++
		}
	}
	return serving == w.doc.Models[0].Groups && bound == serving*w.doc.Models[0].Span
}

// stop ends all processes.
func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.nodes {
		p.dead = true
		if p.wake != nil {
			close(p.wake)
			p.wake = nil
		}
	}
}

// unreached counts the cells in which not every fault found its operation.
var unreached atomic.Int64

// cell runs the scenario with faults and returns the violations and the labels
// that were met.
func cell(t *testing.T, fencing bool, faults []injection, off safeguards) (violations []string, seen map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, fencing, faults, off)
		ok := w.scenario()
		if !ok {
			groups, vms := w.rows()
			w.violate("not converged: %+v %+v", groups, vms)
		}
		w.stop()
		synctest.Wait()
		violations, seen = w.violations, w.injector.seen
		if len(w.injector.faults) > 0 && off == (safeguards{}) {
			unreached.Add(1)
		}
	})
	return violations, seen
}

func TestScenarioWithoutFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		violations, seen := cell(t, fencing, nil, safeguards{})
		if len(violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
		t.Logf("%d kinds of operations: %v", len(seen), seen)
	}
}

// labels returns the kinds of operations that the scenario passes through.
func labels(t *testing.T) []string {
	_, seen := cell(t, true, nil, safeguards{})
	return slices.Sorted(maps.Keys(seen))
}

// riskiest are the operations at which two faults in turn are tried.
var riskiest = []string{
	"write takeOver", "write form", "write repair", "write retarget", "write serve", "write free",
	"order lead updated", "order release",
}

// cells returns every fault at every operation, and pairs at the riskiest.
func cells(t *testing.T) [][]injection {
	var all [][]injection
	for _, l := range labels(t) {
		for f := range faults {
			all = append(all, []injection{{l, f}})
		}
	}
	for _, first := range riskiest {
		for _, second := range riskiest {
			for _, f := range []fault{faultPause, faultLate} {
				for _, s := range []fault{faultPause, faultLate, faultCrashAfter} {
					all = append(all, []injection{{first, f}, {second, s}})
				}
			}
		}
	}
	return all
}

func nameOf(faults []injection) string {
	var parts []string
	for _, f := range faults {
		parts = append(parts, f.label+"="+faultNames[f.fault])
	}
	return strings.Join(parts, ", ")
}

// TestFaultMatrix runs every fault at every step, for both kinds of members.
func TestFaultMatrix(t *testing.T) {
	all := cells(t)
	t.Logf("fault matrix: %d cells, %d of them with two faults", 2*len(all), 2*len(riskiest)*len(riskiest)*6)
	unreached.Store(0)
	t.Cleanup(func() { t.Logf("in %d cells a fault did not find its operation", unreached.Load()) })
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < len(all); i += shards {
				for _, fencing := range []bool{true, false} {
					violations, _ := cell(t, fencing, all[i], safeguards{})
					if len(violations) > 0 {
						t.Errorf("fencing=%v %s: %d violations, first: %s", fencing, nameOf(all[i]), len(violations), violations[0])
					}
				}
			}
		})
	}
}

// TestMutantsAreNoticed turns off one safeguard at a time and expects the
// matrix to notice.
func TestMutantsAreNoticed(t *testing.T) {
	mutants := map[string]safeguards{
		"dispatch without a proof":                {noProof: true},
		"answers' heads not checked":              {noHead: true},
		"writes not conditional on the term":      {noTerm: true},
		"writes not conditional on rows":          {noConditions: true},
		"writes not conditional at all":           {noTerm: true, noConditions: true},
		"release taken for granted when not seen": {forgedRelease: true},
	}
	var tried [][]injection
	telling := []string{"write adapt", "write dissolve", "write fail", "write yield", "write serve"}
	for _, l := range slices.Concat(telling, labels(t)) {
		tried = append(tried,
			[]injection{{l, faultPause}},
			[]injection{{l, faultDuplicate}},
			[]injection{{l, faultPause}, {"write takeOver", faultCrashAfter}},
			[]injection{{"write takeOver", faultLate}, {l, faultPause}},
		)
	}
	for name, off := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, faults := range append([][]injection{nil}, tried...) {
				for _, fencing := range []bool{true, false} {
					violations, _ := cell(t, fencing, faults, off)
					if len(violations) > 0 {
						t.Logf("noticed with fencing=%v faults=[%s]: %s", fencing, nameOf(faults), violations[0])
						return
					}
				}
			}
			t.Error("the mutant survives")
		})
	}
}

// TestHolderThatReachesNoMemberResigns cuts the holders of both leases off from
// all members. The other node takes over and the groups stay as they are.
func TestHolderThatReachesNoMemberResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, nil, safeguards{})
		w.accept("1", 2)
		for range 20 {
			w.step()
		}
		before, _ := w.rows()
		for _, p := range w.nodes {
			if len(p.controller.HeldLeases()) > 0 {
				p.membersCut = w.clock.Now().Add(time.Hour)
				break
			}
		}
		for range 40 {
			w.step()
		}
		after, _ := w.rows()
		for id, g := range after {
			if g.Value.Epoch != before[id].Value.Epoch || g.Value.Yielded || g.Value.State != group.StateServing {
				t.Errorf("%s changed: %+v", id, g.Value)
			}
		}
		for _, p := range w.nodes {
			if !p.membersCut.IsZero() && len(p.controller.HeldLeases()) > 0 {
				t.Errorf("%s still holds %v", p.node, p.controller.HeldLeases())
			}
		}
		w.stop()
		synctest.Wait()
	})
}

// TestGroupsServeThroughAPlatformOutage cuts every node off from the platform
// for far longer than a lease. Groups serve on by their proofs, nothing is
// reassigned, and the leases are taken again.
func TestGroupsServeThroughAPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, nil, safeguards{})
		w.accept("1", 3)
		for range 40 {
			w.step()
		}
		before, _ := w.rows()
		for _, p := range w.nodes {
			p.platformCut = w.clock.Now().Add(60 * tick)
		}
		for range 58 {
			w.step()
			if !w.converged() {
				t.Fatalf("a group stopped serving at %v", w.clock.Now())
			}
		}
		held := 0
		for range 20 {
			w.step()
		}
		for _, p := range w.nodes {
			held += len(p.controller.HeldLeases())
		}
		after, _ := w.rows()
		for id, g := range after {
			if g.Value.Epoch != before[id].Value.Epoch {
				t.Errorf("%s is at epoch %d after the outage, was at %d", id, g.Value.Epoch, before[id].Value.Epoch)
			}
		}
		if held != 2 || len(w.violations) > 0 {
			t.Errorf("%d leases held, violations %v", held, w.violations)
		}
		w.stop()
		synctest.Wait()
	})
}
