package ingress

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

const mib = 1 << 20

// TestAccountIsNeverExceeded guards against more bytes in use than the account has, and
// against bytes that are never released, with many requests at the same time.
func TestAccountIsNeverExceeded(t *testing.T) {
	const size = 10 * mib
	a := newAccount(clockwork.NewFakeClock(), size)
	var g errgroup.Group
	for i := range 32 {
		g.Go(func() error {
			for j := range 500 {
				h := &holding{account: a, workspace: fmt.Sprint(i % 3)}
				for _, c := range []memoryClass{classLarge, classResponse, classSmall} {
					// A refusal is no fault here.
					_ = h.reserve(c, int64(j%7)*mib/2)
				}
				if used := (&Handler{account: a}).Account().Used; used > size {
					return fmt.Errorf("%d bytes in use, want at most %d", used, size)
				}
				h.releaseAll()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if a.used != 0 || len(a.large) != 0 {
		t.Errorf("%d bytes in use, large bodies %v after the release of all; want none", a.used, a.large)
	}
}

// TestSmallRequestsFitBesideLargeOnes guards against large bodies that leave no room for
// small ones and for responses to requests that have run.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	a := newAccount(clockwork.NewFakeClock(), 100*mib)
	fill(t, newHolding(a), classLarge)
	if err := newHolding(a).reserve(classResponse, MaxBufferedBody); err != nil {
		t.Errorf("response: %v, want room for it", err)
	}
	fill(t, newHolding(a), classResponse)
	for range 100 {
		if err := newHolding(a).reserve(classSmall, smallBody); err != nil {
			t.Fatalf("small request: %v, want room for it", err)
		}
	}
	fill(t, newHolding(a), classSmall)
	var full *fullError
	if err := newHolding(a).reserve(classSmall, mib); !errors.As(err, &full) || full.retryAfter < minMemoryRetryAfter {
		t.Errorf("error %v, want %T with a retry delay", err, full)
	}
}

// fill reserves by MiB until a reservation is refused.
func fill(t *testing.T, h *holding, c memoryClass) {
	t.Helper()
	for range 1000 {
		if h.reserve(c, mib) != nil {
			return
		}
	}
	t.Fatal("reservations without end")
}

// TestWorkspacesShareAccount guards against a workspace that keeps the account full by
// coming back sooner than others.
func TestWorkspacesShareAccount(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newAccount(clock, 200*mib)
	greedy, modest := &holding{account: a, workspace: "greedy"}, &holding{account: a, workspace: "modest"}
	fill(t, greedy, classLarge)
	if modest.reserve(classLarge, mib) == nil {
		t.Fatal("reserved beyond the limit")
	}
	for range 75 {
		greedy.release(classLarge, mib)
		if greedy.reserve(classLarge, mib) == nil {
			t.Fatal("greedy workspace got room that another one waits for")
		}
		if err := modest.reserve(classLarge, mib); err != nil {
			t.Fatalf("modest workspace: %v, want room for it", err)
		}
		if modest.reserve(classLarge, mib) == nil {
			t.Fatal("reserved beyond the limit")
		}
	}
	if half := a.limit(classLarge) / 2; a.large["modest"] != half {
		t.Errorf("modest workspace has %d bytes, want its share of %d", a.large["modest"], half)
	}
	// No room is left to a workspace that does not come back.
	modest.releaseAll()
	clock.Advance(maxMemoryRetryAfter + 2*waitSlack)
	fill(t, greedy, classLarge)
	if got, want := a.large["greedy"], a.limit(classLarge); got != want {
		t.Errorf("a workspace alone has %d bytes, want all %d", got, want)
	}
}

// TestRetryDelayFitsDrainRate guards against callers that all come back before, or long
// after, there is room for them.
func TestRetryDelayFitsDrainRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newAccount(clock, 100*mib)
	h := newHolding(a)
	if delay := a.retryAfter(10*mib, clock.Now()); delay != maxMemoryRetryAfter {
		t.Errorf("delay %v while nothing drains, want %v", delay, maxMemoryRetryAfter)
	}
	// 10 MiB are released in each second.
	for range 300 {
		clock.Advance(100 * time.Millisecond)
		if err := h.reserve(classLarge, mib); err != nil {
			t.Fatal(err)
		}
		h.release(classLarge, mib)
	}
	for i := 1; i <= 3; i++ {
		want := time.Duration(i) * time.Second
		if delay := a.retryAfter(10*mib, clock.Now()); delay < want*9/10 || delay > want*11/10 {
			t.Errorf("delay %v for the %dth body of 10 MiB at 10 MiB/s, want about %v", delay, i, want)
		}
	}
	for range 100 {
		if delay := a.retryAfter(10*mib, clock.Now()); delay > maxMemoryRetryAfter {
			t.Fatalf("delay %v, want at most %v", delay, maxMemoryRetryAfter)
		}
	}
}
