package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondbay.example/internal/routing/retry"
)

// TestRetriesStayWithinBudgetInEveryWindow guards against retry storms when
// many responses are lost and callers retry as well: in no window may all nodes
// together retry more than the budget, whatever the order of requests and
// retries.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	playRetries(t, 0)
}

// TestRestartedNodesSpendNoSlackAnew guards against retries beyond the budget when all nodes
// are killed within a window: each one that starts again had its share of the slack anew.
func TestRestartedNodesSpendNoSlackAnew(t *testing.T) {
	const restarts = 3
	playRetries(t, restarts)
}

// playRetries plays requests and retries at random, with a number of restarts of all nodes.
func playRetries(t *testing.T, restarts int) {
	t.Helper()
	const (
		nodes  = 5
		ratio  = 0.2
		slack  = 50.0
		window = 10 * time.Second
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		budgets := make([]*retry.Budget, nodes)
		now := time.Unix(1000, 0)
		start := func(at time.Time) {
			for i := range budgets {
				budgets[i] = retry.NewBudget(retry.Config{Ratio: ratio, Slack: slack, Window: window, UsableFraction: 1, Start: at})
				budgets[i].SetNodes(nodes)
			}
		}
		start(now.Add(-window))
		var requests, retries []time.Time
		const steps = 1200
		for step := range steps {
			if step > 0 && restarts > 0 && step%(steps/(restarts+1)) == 0 {
				start(now)
			}
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			b := budgets[random.IntN(nodes)]
			if random.IntN(3) > 0 {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			if b.Acquire("s", now) {
				retries = append(retries, now)
			}
			since := now.Add(-window)
			// The oldest bucket may lie up to a tenth of a window before since.
			allowed := ratio*float64(max(after(requests, since), after(requests, since.Add(-window/10)))) + slack
			if n := after(retries, since); float64(n) > allowed {
				t.Fatalf("seed %d: %d retries in a window, want at most %v", seed, n, allowed)
			}
		}
		if len(retries) == 0 {
			t.Errorf("seed %d: no retry was allowed, want some", seed)
		}
	}
}

// after returns the number of times later than since. times is sorted.
func after(times []time.Time, since time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(since); i-- {
		n++
	}
	return n
}

// TestServicesHaveSeparateBudgets checks that the retries of one service are not
// charged to another.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := retry.NewBudget(retry.Config{Slack: 1, Window: time.Second, UsableFraction: 1})
	now := time.Unix(1000, 0)
	if !b.Acquire("a", now) || b.Acquire("a", now) || !b.Acquire("b", now) {
		t.Error("Acquire must allow exactly one retry for service a and one for service b")
	}
}
