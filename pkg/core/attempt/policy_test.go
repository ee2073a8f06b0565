package attempt_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondbay.example/core/attempt"
)

// policyTrial plays poison requests among bystanders against the quarantine of
// several nodes, in ticks of 100 ms. Requests of all nodes share the groups.
type policyTrial struct {
	nodes, groups, fabrics int
	// running is the number of bystanders in flight on each group.
	running int
	// spread is the number of ticks that news take between nodes.
	spread int
	// cut keeps news from crossing between even and odd nodes, which then use
	// the groups of their side only.
	cut bool
	// early answers a caller before the news has reached the other nodes.
	early bool
	// baseline turns the quarantine off; retries stay.
	baseline bool
	// dark makes a whole fabric domain crash now and then.
	dark bool
	// slots lets the owner of a group grant it to one suspect at a time.
	slots bool
	seed  uint64
}

type policyFigures struct {
	poison, crashes, worst    int
	struck, refused, maxDelay int
	retried, delay            int
}

type policyNode struct {
	quarantine *attempt.Quarantine
	flights    *attempt.InFlight
}

type policyRequest struct {
	print  attempt.Fingerprint
	poison bool
	node   int
	group  int // -1 while waiting
	left   int // ticks to run
	tries  int
	waited int
	repeat int // calls made by the caller
	avoid  []int
	struck bool
	// notBefore is the tick at which the caller sends a repeat.
	notBefore int
}

type policyNews struct {
	due, from int
	evidence  attempt.Evidence
}

type policyRun struct {
	policyTrial
	random  *rand.Rand
	peers   []policyNode
	crashes map[attempt.Fingerprint]int
	trials  []*attempt.SuspectGrants // one for each side of a cut
	epochs  []uint64
	down    []int // tick until which a group is down
	flying  []*policyRequest
	news    []policyNews
	tick    int
	serial  int
	figures policyFigures
}

const (
	policyTicks   = 1500
	policyRepair  = 50
	policyRepeats = 6
)

func (p policyTrial) run() policyFigures {
	r := &policyRun{policyTrial: p, random: rand.New(rand.NewPCG(p.seed, 1))}
	r.epochs, r.down = make([]uint64, p.groups), make([]int, p.groups)
	r.crashes = map[attempt.Fingerprint]int{}
	r.trials = []*attempt.SuspectGrants{attempt.NewSuspectGrants(), attempt.NewSuspectGrants()}
	for range p.nodes {
		q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
		r.peers = append(r.peers, policyNode{q, attempt.NewInFlight(q)})
	}
	for r.tick = 0; r.tick < policyTicks; r.tick++ {
		r.step()
	}
	return r.figures
}

func (r *policyRun) now() time.Time {
	return start.Add(time.Duration(r.tick) * 100 * time.Millisecond)
}

func (r *policyRun) step() {
	r.deliver()
	for len(r.flying) < r.running*r.groups {
		r.flying = append(r.flying, r.request(false))
	}
	if r.tick%300 == 100 {
		r.figures.poison++
		r.flying = append(r.flying, r.request(true))
	}
	crashed := map[int]bool{}
	if r.dark && r.tick%700 == 650 {
		for g := range r.groups {
			crashed[g] = g%r.fabrics == r.tick/700%r.fabrics
		}
	}
	var still []*policyRequest
	for _, q := range r.flying {
		if q.group < 0 && !r.dispatch(q) {
			continue
		}
		still = append(still, q)
		if q.group < 0 {
			continue
		}
		q.left--
		if q.poison && q.left <= 0 && !crashed[q.group] {
			crashed[q.group] = true
			r.figures.crashes++
			r.crashes[q.print]++
			r.figures.worst = max(r.figures.worst, r.crashes[q.print])
		}
	}
	r.flying = still
	r.settle(crashed)
}

// settle ends what has run and fails what was on a crashed group.
func (r *policyRun) settle(crashed map[int]bool) {
	var still []*policyRequest
	for _, q := range r.flying {
		switch {
		case q.group < 0:
			still = append(still, q)
		case crashed[q.group]:
			if r.crash(q) {
				still = append(still, q)
			}
		case q.left <= 0:
			r.leave(q)
			r.peers[q.node].quarantine.Clear(q.print)
		default:
			still = append(still, q)
		}
	}
	r.flying = still
	for g, yes := range crashed {
		if yes {
			for _, n := range r.peers {
				n.quarantine.RecordGroupCrash(r.crashOf(g), r.now())
			}
			r.epochs[g]++
			r.down[g] = r.tick + policyRepair
		}
	}
}

func (r *policyRun) crashOf(g int) attempt.Crash {
	return attempt.Crash{Group: groupName(g), Epoch: r.epochs[g], Site: fmt.Sprint(g % r.fabrics)}
}

func (r *policyRun) leave(q *policyRequest) {
	r.peers[q.node].flights.Done(groupName(q.group), q.print)
	r.trials[r.side(q.node)].Release(groupName(q.group), q.print)
}

func (r *policyRun) side(node int) int {
	if r.cut {
		return node % 2
	}
	return 0
}

// enter reports whether the request may run on the group now.
func (r *policyRun) enter(q *policyRequest, g int, suspect bool) bool {
	if r.baseline {
		return true
	}
	t := r.trials[r.side(q.node)]
	if r.slots && suspect && !t.Grant(groupName(g), q.print, r.now(), time.Hour) {
		return false
	}
	if r.peers[q.node].flights.Admit(groupName(g), q.print, r.now()) {
		return true
	}
	t.Release(groupName(g), q.print)
	return false
}

func (r *policyRun) crash(q *policyRequest) bool {
	n := r.peers[q.node]
	r.leave(q)
	c := r.crashOf(q.group)
	q.avoid, q.group, q.waited = append(q.avoid, q.group), -1, 0
	q.left = 1 + r.random.IntN(20)
	if !q.struck {
		q.struck = true
		r.figures.struck++
	}
	if !r.baseline {
		n.quarantine.RecordCrash(q.print, c, r.now())
		evidence := n.quarantine.Evidence(q.print, r.now())
		r.news = append(r.news, policyNews{r.tick + r.spread, q.node, evidence})
	}
	return q.tries < 3 || r.again(q)
}

// again lets the caller of a failed poison request send it to another node.
func (r *policyRun) again(q *policyRequest) bool {
	if !q.poison || q.repeat >= policyRepeats {
		return false
	}
	q.repeat, q.tries, q.avoid, q.node = q.repeat+1, 0, nil, r.random.IntN(r.nodes)
	if !r.early {
		q.notBefore = r.tick + r.spread
	}
	return true
}

// dispatch sends a waiting request to a group; it reports false when the
// request has ended.
func (r *policyRun) dispatch(q *policyRequest) bool {
	if r.tick < q.notBefore {
		return true
	}
	n := r.peers[q.node]
	standing := n.quarantine.Status(q.print, r.now())
	if standing == attempt.StatusQuarantined {
		if !q.poison {
			r.figures.refused++
			return false
		}
		return r.again(q)
	}
	_, fabrics := n.quarantine.Groups(q.print, r.now())
	for _, g := range r.random.Perm(r.groups) {
		if r.cut && g%2 != q.node%2 {
			continue
		}
		if r.down[g] > r.tick || slices.Contains(q.avoid, g) || slices.Contains(fabrics, fmt.Sprint(g%r.fabrics)) {
			continue
		}
		if r.enter(q, g, standing == attempt.StatusSuspect) {
			q.group, q.tries = g, q.tries+1
			if q.struck && !q.poison {
				r.figures.retried++
				r.figures.delay += q.waited
				r.figures.maxDelay = max(r.figures.maxDelay, q.waited)
			}
			return true
		}
	}
	q.waited++
	return true
}

func (r *policyRun) deliver() {
	r.news = slices.DeleteFunc(r.news, func(m policyNews) bool {
		if m.due > r.tick {
			return false
		}
		for i, n := range r.peers {
			if i != m.from && (!r.cut || i%2 == m.from%2) {
				n.quarantine.Merge(m.evidence, r.now())
			}
		}
		return true
	})
}

func (r *policyRun) request(poison bool) *policyRequest {
	r.serial++
	q := &policyRequest{
		print: print(fmt.Sprint(r.serial)), poison: poison, node: r.random.IntN(r.nodes), group: -1,
		left: 1 + r.random.IntN(100),
	}
	if poison {
		q.left = 1 + r.random.IntN(10)
	}
	return q
}

func groupName(g int) string { return fmt.Sprintf("g%d", g) }

// TestPoisonPolicy compares the crashes that each poison request causes, and
// the bystanders that are refused, with and without the parts of the policy.
// Where a side of a cut can learn nothing from the other, it has to find out
// for itself, so that the bound is that of two sides.
func TestPoisonPolicy(t *testing.T) {
	base := policyTrial{nodes: 18, groups: 15, fabrics: 5, running: 24, spread: 1, slots: true}
	tests := []struct {
		name       string
		change     func(*policyTrial)
		maxCrashes int
		maxRefused int
	}{
		{"whole policy", func(*policyTrial) {}, 2, 0},
		{"news take 2 s", func(p *policyTrial) { p.spread = 20 }, 2, 0},
		{"fabric domains go dark", func(p *policyTrial) { p.dark = true }, 3, 0},
		{"few nodes and groups", func(p *policyTrial) { p.nodes, p.groups, p.fabrics = 3, 4, 2 }, 2, 0},
		{"cut in two", func(p *policyTrial) { p.cut = true }, 4, 0},
		{"answer before the news", func(p *policyTrial) { p.spread, p.early = 20, true }, -1, -1},
		{"no owners of groups", func(p *policyTrial) { p.slots = false }, -1, -1},
		{"no quarantine", func(p *policyTrial) { p.baseline = true }, -1, -1},
	}
	for _, tt := range tests {
		p := base
		tt.change(&p)
		var f policyFigures
		for seed := range uint64(3) {
			p.seed = seed
			f.add(p.run())
		}
		t.Logf("%-22s crashes per poison request %.2f, worst %d; bystanders struck %d, refused %d; mean wait %.2f ticks, worst %d",
			tt.name, float64(f.crashes)/float64(f.poison), f.worst, f.struck, f.refused, float64(f.delay)/float64(max(1, f.retried)), f.maxDelay)
		if tt.maxCrashes >= 0 && (f.worst > tt.maxCrashes || f.refused > tt.maxRefused) {
			t.Errorf("%s: %d crashes, %d refused; at most %d and %d wanted", tt.name, f.worst, f.refused, tt.maxCrashes, tt.maxRefused)
		}
	}
}

func (f *policyFigures) add(o policyFigures) {
	f.poison, f.crashes, f.worst = f.poison+o.poison, f.crashes+o.crashes, max(f.worst, o.worst)
	f.struck, f.refused = f.struck+o.struck, f.refused+o.refused
	f.retried, f.delay, f.maxDelay = f.retried+o.retried, f.delay+o.delay, max(f.maxDelay, o.maxDelay)
}
