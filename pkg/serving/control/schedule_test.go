package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

// schedule lets the operations of all processes proceed one at a time, in an
// order drawn from a seed.
type schedule struct {
	random *rand.Rand

	mu sync.Mutex
	// settled counts the times that all goroutines were blocked. It tells apart
	// two goroutines that send the same operation.
	settled int
	waiting []turn
	// taken names the operations in the order of their turns.
	taken []string
}

// turn is an operation that waits for its turn.
type turn struct {
	name  string
	begin chan struct{}
}

func newSchedule(seed uint64) *schedule {
	return &schedule{random: rand.New(rand.NewPCG(seed, 1))}
}

// name returns a unique name for an operation that a process sends now.
func (s *schedule) name(holder, label, target string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s %s %s %d", holder, label, target, s.settled)
}

// settle waits until all goroutines are blocked.
func (s *schedule) settle() {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled++
}

// await blocks until it is the turn of the named operation.
func (s *schedule) await(name string) {
	t := turn{name: name, begin: make(chan struct{})}
	s.mu.Lock()
	s.waiting = append(s.waiting, t)
	s.mu.Unlock()
	<-t.begin
}

// run gives turns until every goroutine has ended or waits for the clock or for
// the end of a pause.
func (s *schedule) run() {
	s.settle()
	for s.next() {
		s.settle()
	}
}

// next gives one waiting operation its turn. It returns false if none waits.
func (s *schedule) next() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return false
	}
	slices.SortFunc(s.waiting, func(a, b turn) int { return cmp.Compare(a.name, b.name) })
	i := s.random.IntN(len(s.waiting))
	t := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.taken = append(s.taken, t.name)
	close(t.begin)
	return true
}

// TestSeedRepeatsSchedule guards against failures of the matrix that can't be
// repeated, since the simulation depends on the order of goroutines.
func TestSeedRepeatsSchedule(t *testing.T) {
	run := func(seed uint64, faults []injection) (taken, violations []string) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, false, faults, mutant{})
			s.scenario()
			s.stop()
			taken, violations = s.schedule.taken, s.violations
		})
		return taken, violations
	}
	for _, faults := range [][]injection{
		{{"write adapt", faultPause}},
		// A stopping process sends an operation again that is paused in it.
		{{"order release", faultPause}, {"write takeOver", faultPause}},
	} {
		var previous []string
		for seed := range uint64(3) {
			first, violations := run(seed, faults)
			second, repeated := run(seed, faults)
			if !slices.Equal(first, second) || !slices.Equal(violations, repeated) {
				t.Errorf("seed %d, %s: two runs differ in their operations or violations", seed, cellName(faults))
			}
			if slices.Equal(first, previous) {
				t.Errorf("seed %d, %s: got the operations of the seed before, want others", seed, cellName(faults))
			}
			previous = first
		}
	}
}
