package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestRequestOutcomes checks the decision and the outcome after failed attempts,
// for idempotent and non-idempotent requests.
func TestRequestOutcomes(t *testing.T) {
	type step struct {
		written, answered bool
		tokens            int
		fail              attempt.FailureKind
	}
	const none, three = 0, 3
	tests := []struct {
		name        string
		spec        attempt.Spec
		steps       []step
		retry       bool
		offset      int
		wantOutcome attempt.Outcome
	}{
		{"unreachable", attempt.Spec{}, []step{{fail: attempt.FailureUnreachable}}, true, none, attempt.NotRun},
		{"not started after write", attempt.Spec{}, []step{{written: true, fail: attempt.FailureNotStarted}}, true, none, attempt.NotRun},
		{"broken after write", attempt.Spec{}, []step{{written: true, fail: attempt.FailureBroken}}, true, none, attempt.Unknown},
		{
			"a refusal leaves the outcome of an earlier attempt unknown",
			attempt.Spec{},
			[]step{{written: true, fail: attempt.FailureBroken}, {written: true, fail: attempt.FailureNotStarted}},
			true, none, attempt.Unknown,
		},
		{"wrong identity", attempt.Spec{}, []step{{written: true, fail: attempt.FailureIdentity}}, true, none, attempt.Unknown},
		{"answered, no token", attempt.Spec{}, []step{{written: true, answered: true, fail: attempt.FailureCrashed}}, true, none, attempt.Ran},
		{"tokens, not resumable", attempt.Spec{}, []step{{written: true, answered: true, tokens: 3, fail: attempt.FailureBroken}}, false, none, attempt.Ran},
		{
			"tokens, resumable",
			attempt.Spec{Resumable: true},
			[]step{{written: true, answered: true, tokens: 3, fail: attempt.FailureBroken}},
			true, three, attempt.Ran,
		},
		{"rejected", attempt.Spec{}, []step{{written: true, fail: attempt.FailureRejected}}, false, none, attempt.Unknown},
		{"invalid", attempt.Spec{}, []step{{written: true, fail: attempt.FailureInvalid}}, false, none, attempt.NotRun},
		{"canceled", attempt.Spec{}, []step{{written: true, fail: attempt.FailureCanceled}}, false, none, attempt.Unknown},
		{"deadline", attempt.Spec{Deadline: start}, []step{{fail: attempt.FailureUnreachable}}, false, none, attempt.NotRun},
		{"last attempt", attempt.Spec{MaxAttempts: 1}, []step{{fail: attempt.FailureUnreachable}}, false, none, attempt.NotRun},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/idempotent=%v", tt.name, idempotent), func(t *testing.T) {
				spec := tt.spec
				spec.Idempotent = idempotent
				if spec.MaxAttempts == 0 {
					spec.MaxAttempts = 3
				}
				b := attempt.NewBudgets(attempt.DefaultBudgetConfig())
				r := attempt.NewRequest(spec)
				var d attempt.Decision
				for _, s := range tt.steps {
					id := r.Begin(attempt.Target{Group: "g", Version: "v1"})
					if s.written {
						r.Written(id)
					}
					if s.answered {
						r.Answered(id)
					}
					if s.tokens > 0 {
						r.Accept(attempt.Frame{Attempt: id, Tokens: s.tokens, Offset: r.Forwarded(), Indexed: true})
					}
					d = r.Fail(id, s.fail, b, start)
				}
				want := attempt.Decision{}
				if tt.retry && idempotent {
					want = attempt.Decision{Retry: true, Offset: tt.offset, Avoid: make([]string, len(tt.steps))}
					for i := range want.Avoid {
						want.Avoid[i] = "g"
					}
					if tt.offset > 0 {
						want.Version = "v1"
					}
				}
				if diff := cmp.Diff(want, d); diff != "" {
					t.Error(diff)
				}
				if r.Outcome() != tt.wantOutcome {
					t.Errorf("got outcome %v, want %v", r.Outcome(), tt.wantOutcome)
				}
			})
		}
	}
}

// TestFramesAreForwardedOnceInOrder checks with random frames, some late and some
// out of order, that each token is forwarded once, in order and from the current
// attempt, that no frame with other tokens is dropped, and that only an end marker
// completes the response.
func TestFramesAreForwardedOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := attempt.NewBudgets(attempt.BudgetConfig{Max: 100})
		r := attempt.NewRequest(attempt.Spec{Idempotent: true, Resumable: true, MaxAttempts: 50})
		id := r.Begin(attempt.Target{Group: "g"})
		next, ended := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "fail") == 0 && !ended {
				if !r.Fail(id, attempt.FailureBroken, b, start).Retry {
					return
				}
				if late := r.Accept(attempt.Frame{Attempt: id, Offset: next, Tokens: 1}); late != attempt.Drop {
					t.Fatalf("a frame of a failed attempt got disposition %v, want %v", late, attempt.Drop)
				}
				id = r.Begin(attempt.Target{Group: "g"})
			}
			f := attempt.Frame{
				Attempt: attempt.ID(rapid.IntRange(int(id)-1, int(id)).Draw(t, "attempt")),
				Offset:  max(0, next+rapid.IntRange(-1, 1).Draw(t, "shift")),
				Tokens:  rapid.IntRange(0, 2).Draw(t, "tokens"),
				Indexed: true,
				End:     rapid.IntRange(0, 9).Draw(t, "end") == 0,
			}
			got := r.Accept(f)
			if got == attempt.Drop && f.Attempt == id && !ended && f.Offset+f.Tokens > next {
				t.Fatalf("dropped frame %+v at token %d", f, next)
			}
			if got != attempt.Forward {
				continue
			}
			if f.Attempt != id || ended || f.Offset > next || (f.Tokens > 0 && f.Offset != next) {
				t.Fatalf("forwarded frame %+v at token %d, ended %v", f, next, ended)
			}
			next += f.Tokens
			ended = f.End
		}
		if r.Complete() != ended || r.Forwarded() != next {
			t.Fatalf("got complete %v and %d tokens forwarded, want %v and %d", r.Complete(), r.Forwarded(), ended, next)
		}
	})
}

func TestBudgetLimitsRetries(t *testing.T) {
	b := attempt.NewBudgets(attempt.BudgetConfig{Ratio: 0.5, PerSecond: 1, Max: 2})
	withdraw := func(n int, now time.Time) int {
		allowed := 0
		for range n {
			if b.Withdraw("w", now) {
				allowed++
			}
		}
		return allowed
	}
	if n := withdraw(10, start); n != 2 {
		t.Fatalf("got %d retries from a full budget, want 2", n)
	}
	b.Deposit("w", start)
	b.Deposit("w", start)
	b.Deposit("other", start)
	if n := withdraw(10, start); n != 1 {
		t.Fatalf("got %d retries after two successes, want 1", n)
	}
	if n := withdraw(10, start.Add(time.Hour)); n != 2 {
		t.Fatalf("got %d retries after an hour, want 2", n)
	}
}
