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

// mutant disables one safeguard, to show that the test detects the resulting
// fault.
type mutant struct {
	acquiresEarly bool // another node acquires the lease before the row's duration has passed
	lostIsApplied bool // a write without an answer counts as applied
}

// table is a table service with one lease row that loses answers and delays
// writes.
type table struct {
	row     lease.Versioned
	delayed []lease.Command
}

func (tb *table) commit(c lease.Command) bool {
	if c.Version != tb.row.Version {
		return false
	}
	tb.row = lease.Versioned{Row: c.Row, Version: tb.row.Version + 1, Operation: c.Operation}
	return true
}

// node is a candidate with its own clock, which runs slightly fast or slow. A
// paused node takes no step.
type node struct {
	candidate *lease.Candidate
	rate      float64
	pausedTo  time.Duration
	inFlight  *lease.Command
	answerAt  time.Duration
}

func (n *node) clock(at time.Duration) time.Time {
	return time.Unix(0, int64(float64(at)*n.rate))
}

// simulation runs nodes against the table and checks that at most one holds
// the lease.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	mutant mutant
	table  table
	nodes  []*node
	terms  map[uint64]int
}

func newSimulation(t *testing.T, seed uint64, mu mutant) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), mutant: mu, terms: map[uint64]int{}}
	for i, rate := range []float64{1.04, 1, 0.96} {
		c := lease.Config{
			FabricDomain: "f", Holder: string(rune('a' + i)),
			Duration: duration, Margin: margin, Interval: interval,
			Jitter: func(limit time.Duration) time.Duration { return time.Duration(s.random.Int64N(int64(limit))) },
		}
		s.nodes = append(s.nodes, &node{candidate: lease.New(c), rate: rate})
	}
	return s
}

// step advances node i to the true time at.
func (s *simulation) step(i int, at time.Duration) {
	n := s.nodes[i]
	if at < n.pausedTo {
		return
	}
	if s.random.IntN(400) == 0 {
		n.pausedTo = at + time.Duration(s.random.Int64N(int64(2*duration)))
		return
	}
	now := n.clock(at)
	if n.inFlight != nil {
		if at >= n.answerAt {
			s.answer(n, *n.inFlight, now)
			n.inFlight = nil
		}
		return
	}
	c := n.candidate.Next(now)
	if c.Action == lease.ActionWait {
		return
	}
	n.inFlight = &c
	n.answerAt = at + time.Duration(s.random.Int64N(int64(time.Second)))
}

// answer executes a read or write and injects random faults.
func (s *simulation) answer(n *node, c lease.Command, now time.Time) {
	fault := s.random.IntN(12)
	if c.Action == lease.ActionRead {
		if fault == 0 {
			n.candidate.RecordReadFailure(now)
			return
		}
		row := s.table.row
		if s.mutant.acquiresEarly && row.Holder != "" {
			row.Duration /= 4
		}
		n.candidate.RecordRead(row, now)
		return
	}
	switch fault {
	case 0: // not applied, answer lost
		s.lost(n, now)
	case 1: // applied, answer lost
		s.table.commit(c)
		s.lost(n, now)
	case 2: // applied later, answer lost
		s.table.delayed = append(s.table.delayed, c)
		s.lost(n, now)
	case 3:
		n.candidate.RecordWrite(lease.OutcomeRejected, now)
	default:
		o := lease.OutcomeConflict
		if s.table.commit(c) {
			o = lease.OutcomeApplied
		}
		n.candidate.RecordWrite(o, now)
	}
}

func (s *simulation) lost(n *node, now time.Time) {
	if s.mutant.lostIsApplied {
		n.candidate.RecordWrite(lease.OutcomeApplied, now)
		return
	}
	n.candidate.RecordWrite(lease.OutcomeUnknown, now)
}

// run returns the number of violations (two nodes held the lease at once, or
// one term was held by two nodes) and the number of terms.
func (s *simulation) run(length time.Duration) (violations, terms int) {
	for at := time.Duration(0); at < length; at += tick {
		for i := range s.nodes {
			s.step(i, at)
		}
		if len(s.table.delayed) > 0 && s.random.IntN(20) == 0 {
			s.table.commit(s.table.delayed[0])
			s.table.delayed = s.table.delayed[1:]
		}
		violations += s.violations(at)
	}
	return violations, len(s.terms)
}

func (s *simulation) violations(at time.Duration) int {
	holders, found := 0, 0
	for i, n := range s.nodes {
		if !n.candidate.Holds(n.clock(at)) {
			continue
		}
		holders++
		first, ok := s.terms[n.candidate.Term()]
		if ok && first != i {
			found++
		}
		s.terms[n.candidate.Term()] = i
	}
	if holders > 1 {
		found++
	}
	return found
}

// TestOneHolderUnderFaults guards against two holders at once under pauses,
// clock drift, lost answers and delayed writes.
func TestOneHolderUnderFaults(t *testing.T) {
	terms := 0
	for seed := range uint64(60) {
		v, n := newSimulation(t, seed, mutant{}).run(20 * time.Minute)
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

// TestMutantsBreakTheLease checks that the simulation detects a candidate
// without one of its safeguards.
func TestMutantsBreakTheLease(t *testing.T) {
	mutants := map[string]mutant{
		"acquires early":  {acquiresEarly: true},
		"lost is applied": {lostIsApplied: true},
	}
	for name, mu := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if v, _ := newSimulation(t, seed, mu).run(20 * time.Minute); v > 0 {
					t.Logf("seed %d shows %d violations", seed, v)
					return
				}
			}
			t.Fatal("no violation in 200 seeds without the safeguard")
		})
	}
}

// TestMarginCoversDrift guards against overlapping leases due to clock drift:
// a holder with a slow clock stops renewing right after its acquisition, while
// a node with a fast clock observed the row at once.
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
		t.Fatal("the fast node never acquired the lease")
		return false
	}
	if overlap(margin) {
		t.Fatal("the leases overlap despite the margin")
	}
	if !overlap(0) {
		t.Fatal("the leases do not overlap without a margin; the test detects nothing")
	}
}

func TestReleasedLeaseIsAcquiredWithoutWaiting(t *testing.T) {
	now := time.Unix(100, 0)
	first := lease.New(lease.Config{FabricDomain: "f", Holder: "a", Duration: duration, Margin: margin, Interval: interval})
	first.RecordRead(lease.Versioned{}, now)
	now = now.Add(interval)
	first.Next(now)
	first.RecordWrite(lease.OutcomeApplied, now)
	if !first.Holds(now) || first.Term() != 1 {
		t.Fatalf("after the acquisition: not held, or term %d, want 1", first.Term())
	}
	first.Release()
	if first.Holds(now) {
		t.Fatal("the lease is still held after Release")
	}
	now = now.Add(interval)
	c := first.Next(now)
	first.RecordWrite(lease.OutcomeApplied, now)
	if !first.Released() || c.Row.Holder != "" {
		t.Fatalf("the lease was not released: %+v", c)
	}
	second := lease.New(lease.Config{FabricDomain: "f", Holder: "b", Duration: duration, Margin: margin, Interval: interval})
	second.RecordRead(lease.Versioned{Row: c.Row, Version: 2}, now)
	now = now.Add(interval)
	if c := second.Next(now); c.Action != lease.ActionWrite || c.Row.Term != 2 {
		t.Fatalf("got %+v, want a write that acquires the lease under term 2", c)
	}
}

// TestRestoredLeaseIsNotFreeAtOnce guards against two holders after the platform came back from
// an older copy: whatever the row says, a lease that was acquired since may be held for its
// duration.
func TestRestoredLeaseIsNotFreeAtOnce(t *testing.T) {
	rows := map[string]lease.Row{
		"released":              {Term: 4, Sequence: 9, Duration: duration},
		"held by this node":     {Holder: "a", Term: 4, Sequence: 9, Duration: duration},
		"held by another one":   {Holder: "b", Term: 4, Sequence: 9, Duration: duration},
		"never held":            {},
		"held for a short time": {Holder: "b", Term: 4, Sequence: 9, Duration: time.Millisecond},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
			c := lease.New(lease.Config{
				FabricDomain: "d", Holder: "a", Duration: duration, Margin: duration / 5, Interval: duration / 4,
				Jitter: func(time.Duration) time.Duration { return 0 },
			})
			c.RecordRead(lease.Versioned{Row: lease.Row{Holder: "b", Term: 6, Sequence: 30, Duration: duration}, Version: 30}, now)
			c.RecordRestored(lease.Versioned{Row: row, Version: row.Sequence}, 1, now)
			if next := c.Next(now.Add(duration - time.Millisecond)); next.Action == lease.ActionWrite {
				t.Fatalf("the lease is acquired %v after the return: %+v", duration-time.Millisecond, next)
			}
			c.RecordRead(lease.Versioned{Row: row, Version: row.Sequence}, now.Add(duration-time.Millisecond))
			next := c.Next(now.Add(2 * duration))
			if next.Action != lease.ActionWrite || next.Row.Term <= 6 || next.Row.Sequence <= 30 {
				t.Errorf("got %+v, want an acquisition with a term above 6 and a sequence above 30", next)
			}
		})
	}
}

// TestHolderKeepsRestoredLease guards against a holder that gives its lease up, or can't renew
// it any more, since the row is an older one.
func TestHolderKeepsRestoredLease(t *testing.T) {
	now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	c := lease.New(lease.Config{
		FabricDomain: "d", Holder: "a", Duration: duration, Margin: duration / 5, Interval: duration / 4,
		Jitter: func(time.Duration) time.Duration { return 0 },
	})
	c.RecordRead(lease.Versioned{Row: lease.Row{Term: 6, Sequence: 30, Duration: duration}, Version: 30}, now)
	c.Next(now)
	c.RecordWrite(lease.OutcomeApplied, now)
	now = now.Add(duration / 4)
	renewal := c.Next(now)
	c.RecordWrite(lease.OutcomeConflict, now)
	if next := c.Next(now); next.Action != lease.ActionRead {
		t.Fatalf("got %+v after a conflict, want a read", next)
	}
	c.RecordRestored(lease.Versioned{Row: lease.Row{Holder: "b", Term: 5, Sequence: 28, Duration: duration}, Version: 28}, 1, now)
	if !c.Holds(now) || c.Term() != 7 {
		t.Fatalf("holds %v, term %d; want the lease held in term 7", c.Holds(now), c.Term())
	}
	if next := c.Next(now); next.Action != lease.ActionWrite || next.Row != renewal.Row {
		t.Errorf("got %+v, want the renewal %+v again", next, renewal)
	}
	// A holder whose lease has expired is one of the others.
	late := now.Add(duration)
	c.RecordRestored(lease.Versioned{Row: lease.Row{Holder: "b", Term: 5, Sequence: 28, Duration: duration}, Version: 28}, 1, late)
	if next := c.Next(late.Add(duration / 2)); c.Term() != 0 || next.Action == lease.ActionWrite {
		t.Errorf("got term %d and %+v from an expired lease, want none and no write", c.Term(), next)
	}
}

// TestTermsRiseOverTwoRestoresOfOneCopy guards against a fencing number that is used twice, as
// the platform comes back a second time from a copy that is older than the first return.
func TestTermsRiseOverTwoRestoresOfOneCopy(t *testing.T) {
	copied := lease.Versioned{Row: lease.Row{Holder: "b", Term: 6, Sequence: 30, Duration: duration}, Version: 30}
	var last uint64
	for times := range uint64(2) {
		now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
		c := lease.New(lease.Config{
			FabricDomain: "d", Holder: "a", Duration: duration, Margin: margin, Interval: interval,
			Jitter: func(time.Duration) time.Duration { return 0 },
		})
		c.RecordRestored(copied, times+1, now)
		next := c.Next(now.Add(duration))
		if next.Action != lease.ActionWrite || next.Row.Term <= last || next.Row.Sequence <= last {
			t.Errorf("got %+v after %d returns, want an acquisition with a term and a sequence above %d", next, times+1, last)
		}
		last = next.Row.Sequence
	}
}
