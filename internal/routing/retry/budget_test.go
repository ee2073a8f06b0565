package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondbay.example/internal/routing/retry"
)

// TestAnyWindow answers the pattern answer_lost with retry_abuse: in no span of
// a window's length do all nodes together retry more than the bound, whatever
// the order of requests and retries.
func TestAnyWindow(t *testing.T) {
	const (
		nodes  = 5
		ratio  = 0.2
		slack  = 50.0
		window = 10 * time.Second
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			budgets[i] = retry.NewBudget(retry.Config{Ratio: ratio, Slack: slack, Window: window, UsableFraction: 1})
			budgets[i].SetNodes(nodes)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range 1200 {
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
			// The bound counts the requests of the window or of one before it.
			allowed := ratio*float64(max(after(requests, since), after(requests, since.Add(-window/10)))) + slack
			if n := after(retries, since); float64(n) > allowed {
				t.Fatalf("seed %d: %d retries, %v allowed", seed, n, allowed)
			}
		}
		if len(retries) == 0 {
			t.Errorf("seed %d: no retry was allowed", seed)
		}
	}
}

func after(times []time.Time, since time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(since); i-- {
		n++
	}
	return n
}

func TestServicesAreApart(t *testing.T) {
	b := retry.NewBudget(retry.Config{Slack: 1, Window: time.Second, UsableFraction: 1})
	now := time.Unix(1000, 0)
	if !b.Acquire("a", now) || b.Acquire("a", now) || !b.Acquire("b", now) {
		t.Error("one retry for each service expected")
	}
}
