package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondbay.example/core/lease"
)

const (
	duration = 10 * time.Second
	margin   = time.Second
	interval = 2 * time.Second
	tick     = 250 * time.Millisecond
)

// mutant turns off one safeguard, to show that the check notices.
type mutant struct {
	wait       bool // another node takes over before the row's duration
	lostIsDone bool // a lost answer is taken for a success
}

// table is a lease row in a table service that loses answers, delays writes
// and has outages.
type table struct {
	row  lease.Versioned
	late []lease.Command
}

func (tb *table) commit(c lease.Command) bool {
	if c.Version != tb.row.Version {
		return false
	}
	tb.row = lease.Versioned{Row: c.Row, Version: tb.row.Version + 1, Operation: c.Operation}
	return true
}

// node is a candidate under a clock of its own that runs a little fast or slow,
// and that stands still while the node is paused.
type node struct {
	candidate *lease.Candidate
	rate      float64
	pausedTo  time.Duration
	asked     *lease.Command
	answerAt  time.Duration
}

func (n *node) clock(at time.Duration) time.Time {
	return time.Unix(0, int64(float64(at)*n.rate))
}

// world runs nodes against the table and checks that at most one holds.
type world struct {
	t      *testing.T
	random *rand.Rand
	mutant mutant
	table  table
	nodes  []*node
	terms  map[uint64]int
}

func newWorld(t *testing.T, seed uint64, mu mutant) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), mutant: mu, terms: map[uint64]int{}}
	for i, rate := range []float64{1.04, 1, 0.96} {
		c := lease.Config{
			FabricDomain: "f", Holder: string(rune('a' + i)),
			Duration: duration, Margin: margin, Interval: interval,
			Jitter: func(limit time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(limit))) },
		}
		w.nodes = append(w.nodes, &node{candidate: lease.New(c), rate: rate})
	}
	return w
}

// step advances node i at true time at; it reports two holders at once.
func (w *world) step(i int, at time.Duration) {
	n := w.nodes[i]
	if at < n.pausedTo {
		return
	}
	if w.random.IntN(400) == 0 {
		n.pausedTo = at + time.Duration(w.random.Int64N(int64(2*duration)))
		return
	}
	now := n.clock(at)
	if n.asked != nil {
		if at >= n.answerAt {
			w.answer(n, *n.asked, now)
			n.asked = nil
		}
		return
	}
	c := n.candidate.Next(now)
	if c.Action == lease.ActionWait {
		return
	}
	n.asked = &c
	n.answerAt = at + time.Duration(w.random.Int64N(int64(time.Second)))
}

// answer performs a read or write with random faults.
func (w *world) answer(n *node, c lease.Command, now time.Time) {
	fault := w.random.IntN(12)
	if c.Action == lease.ActionRead {
		if fault == 0 {
			n.candidate.RecordReadFailure(now)
			return
		}
		row := w.table.row
		if w.mutant.wait && row.Holder != "" {
			row.Duration /= 4
		}
		n.candidate.RecordRead(row, now)
		return
	}
	switch fault {
	case 0: // not applied, answer lost
		w.lost(n, now)
	case 1: // applied, answer lost
		w.table.commit(c)
		w.lost(n, now)
	case 2: // applied later, answer lost
		w.table.late = append(w.table.late, c)
		w.lost(n, now)
	case 3:
		n.candidate.RecordWrite(lease.OutcomeRejected, now)
	default:
		o := lease.OutcomeConflict
		if w.table.commit(c) {
			o = lease.OutcomeApplied
		}
		n.candidate.RecordWrite(o, now)
	}
}

func (w *world) lost(n *node, now time.Time) {
	if w.mutant.lostIsDone {
		n.candidate.RecordWrite(lease.OutcomeApplied, now)
		return
	}
	n.candidate.RecordWrite(lease.OutcomeUnknown, now)
}

// run returns the number of moments at which two nodes held the lease, or one
// term was held by two nodes, and the number of terms begun.
func (w *world) run(length time.Duration) (violations, terms int) {
	for at := time.Duration(0); at < length; at += tick {
		for i := range w.nodes {
			w.step(i, at)
		}
		if len(w.table.late) > 0 && w.random.IntN(20) == 0 {
			w.table.commit(w.table.late[0])
			w.table.late = w.table.late[1:]
		}
		violations += w.violations(at)
	}
	return violations, len(w.terms)
}

func (w *world) violations(at time.Duration) int {
	holders, found := 0, 0
	for i, n := range w.nodes {
		if !n.candidate.Holds(n.clock(at)) {
			continue
		}
		holders++
		first, ok := w.terms[n.candidate.Term()]
		if ok && first != i {
			found++
		}
		w.terms[n.candidate.Term()] = i
	}
	if holders > 1 {
		found++
	}
	return found
}

func TestOneHolderUnderFaults(t *testing.T) {
	terms := 0
	for seed := range uint64(60) {
		v, n := newWorld(t, seed, mutant{}).run(20 * time.Minute)
		if v > 0 {
			t.Fatalf("seed %d: %d violations", seed, v)
		}
		if n < 3 {
			t.Fatalf("seed %d: the lease changed hands %d times only", seed, n)
		}
		terms += n
	}
	t.Logf("60 seeds, %d terms", terms)
}

func TestMutantsBreakTheLease(t *testing.T) {
	mutants := map[string]mutant{
		"wait":         {wait: true},
		"lost is done": {lostIsDone: true},
	}
	for name, mu := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if v, _ := newWorld(t, seed, mu).run(20 * time.Minute); v > 0 {
					t.Logf("seed %d shows %d violations", seed, v)
					return
				}
			}
			t.Fatal("the mutant survives")
		})
	}
}

// TestMarginCoversDrift lets a holder with a slow clock vanish right after its
// take-over, while a node with a fast clock has seen the row at once.
func TestMarginCoversDrift(t *testing.T) {
	overlap := func(margin time.Duration) bool {
		config := func(holder string) lease.Config {
			return lease.Config{Holder: holder, Duration: duration, Margin: margin, Interval: interval}
		}
		slow := node{candidate: lease.New(config("slow")), rate: 0.96}
		fast := node{candidate: lease.New(config("fast")), rate: 1.04}
		slow.candidate.RecordRead(lease.Versioned{}, slow.clock(0))
		c := slow.candidate.Next(slow.clock(interval * 2))
		row := lease.Versioned{Row: c.Row, Version: 1, Operation: c.Operation}
		fast.candidate.RecordRead(row, fast.clock(interval*2))
		slow.candidate.RecordWrite(lease.OutcomeApplied, slow.clock(interval*2))
		for at := interval * 2; at < 3*duration; at += tick / 10 {
			c := fast.candidate.Next(fast.clock(at))
			switch c.Action {
			case lease.ActionRead:
				fast.candidate.RecordRead(row, fast.clock(at))
			case lease.ActionWrite:
				return slow.candidate.Holds(slow.clock(at))
			}
		}
		t.Fatal("no take-over")
		return false
	}
	if overlap(margin) {
		t.Fatal("two holders with the margin")
	}
	if !overlap(0) {
		t.Fatal("the mutant without a margin survives")
	}
}

func TestHandOnIsTakenAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	first := lease.New(lease.Config{FabricDomain: "f", Holder: "a", Duration: duration, Margin: margin, Interval: interval})
	first.RecordRead(lease.Versioned{}, now)
	now = now.Add(interval)
	first.Next(now)
	first.RecordWrite(lease.OutcomeApplied, now)
	if !first.Holds(now) || first.Term() != 1 {
		t.Fatalf("term %d after the take-over", first.Term())
	}
	first.Release()
	if first.Holds(now) {
		t.Fatal("holds after Release")
	}
	now = now.Add(interval)
	c := first.Next(now)
	first.RecordWrite(lease.OutcomeApplied, now)
	if !first.Released() || c.Row.Holder != "" {
		t.Fatalf("not handed on: %+v", c)
	}
	second := lease.New(lease.Config{FabricDomain: "f", Holder: "b", Duration: duration, Margin: margin, Interval: interval})
	second.RecordRead(lease.Versioned{Row: c.Row, Version: 2}, now)
	now = now.Add(interval)
	if c := second.Next(now); c.Action != lease.ActionWrite || c.Row.Term != 2 {
		t.Fatalf("the next node does not take the lease: %+v", c)
	}
}
