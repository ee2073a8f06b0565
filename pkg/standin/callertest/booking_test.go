package callertest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"almondbay.example/serving/caller"
	"almondbay.example/serving/platform"
	"almondbay.example/standin/enginestandin"
)

// abortHandler simulates a node that is killed at this point: it panics, which
// ends the goroutine that serves the request, so no later step runs.
func abortHandler() error {
	panic(http.ErrAbortHandler)
}

// isResultWrite reports whether t records the result after the dispatch. The
// claim before the dispatch inserts the row, so its condition is version 0.
func isResultWrite(t platform.Transaction) bool {
	return t.Conditions[0].Version > 0
}

// TestBookingAcrossKilledNodes guards against a booking that runs twice. At each
// step of a booking, its node is killed or the platform fails, then the caller
// repeats the booking at another node. The service must run it at most once, and
// the outcomes reported must agree with that.
func TestBookingAcrossKilledNodes(t *testing.T) {
	type hook = func(t platform.Transaction, apply func() error) error
	answerLost := &platform.UnknownError{Reason: "lost"}
	faultOnce := func(resultWrite bool, fault func(apply func() error) error) func() hook {
		return func() hook {
			var done atomic.Bool
			return func(t platform.Transaction, apply func() error) error {
				if isResultWrite(t) != resultWrite || done.Swap(true) {
					return apply()
				}
				return fault(apply)
			}
		}
	}
	kill := func(func() error) error { return abortHandler() }
	after := func(then func() error) func(func() error) error {
		return func(apply func() error) error {
			if err := apply(); err != nil {
				return err
			}
			return then()
		}
	}
	loseAnswer := func() error { return answerLost }
	always := func(err error) func() hook {
		return func() hook { return func(platform.Transaction, func() error) error { return err } }
	}
	type want struct {
		status  int
		outcome string
	}
	noAnswer, ok, pending := want{}, want{status: 200}, want{409, "unknown"}
	tests := []struct {
		name          string
		hook          func() hook
		first, repeat want
		runs          int
	}{
		{"killed before insert", faultOnce(false, kill), noAnswer, ok, 1},
		{"killed between insert and dispatch", faultOnce(false, after(abortHandler)), noAnswer, pending, 0},
		{"killed between dispatch and record", faultOnce(true, kill), noAnswer, pending, 1},
		{"killed after record", faultOnce(true, after(abortHandler)), noAnswer, ok, 1},
		{"answer to insert lost, insert applied", faultOnce(false, after(loseAnswer)), ok, ok, 1},
		{"answer to insert lost, insert not applied", faultOnce(false, func(func() error) error { return answerLost }), ok, ok, 1},
		{"answer to record lost, record applied", faultOnce(true, after(loseAnswer)), ok, ok, 1},
		{"platform down", always(&platform.RefusedError{Reason: "down"}), want{503, "notRun"}, want{503, "notRun"}, 0},
		{"platform never answers", always(answerLost), want{503, "notRun"}, want{503, "notRun"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 2})
			f.table.onCommit(tt.hook())
			for node, w := range []want{tt.first, tt.repeat} {
				got := f.send(node, bookPath, "seat 7", headers{caller.HeaderIdempotencyKey: "k/1"})
				if (want{got.status, got.outcome}) != w {
					t.Errorf("node %d: status %d, outcome %q, %v; want %+v", node, got.status, got.outcome, got.err, w)
				}
			}
			if runs := f.service.Runs("seat 7"); runs != tt.runs {
				t.Errorf("ran %d times, want %d", runs, tt.runs)
			}
			other := f.send(1, bookPath, "seat 8", headers{caller.HeaderIdempotencyKey: "k/1"})
			if f.service.Runs("seat 8") != 0 || other.outcome != "notRun" {
				t.Errorf("other body with the same key: ran %d times, want 0; got %+v, want outcome notRun", f.service.Runs("seat 8"), other)
			}
		})
	}
}

// TestBookingsOfWorkspacesAreSeparate uses the same idempotency key in two
// workspaces. Neither may read or block the booking of the other, as would happen
// if the row's key did not contain the workspace.
func TestBookingsOfWorkspacesAreSeparate(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1})
	mine := headers{caller.HeaderIdempotencyKey: "k"}
	theirs := headers{caller.HeaderIdempotencyKey: "k", "Authorization": "Bearer " + otherKey}
	for _, call := range []struct {
		body     string
		headers  headers
		repeated string
	}{
		{"seat 7", mine, ""},
		{"seat 7", theirs, ""},
		{"seat 7", theirs, "true"},
		{"seat 7", mine, "true"},
	} {
		got := f.send(0, bookPath, call.body, call.headers)
		if got.status != http.StatusOK || got.header.Get(caller.HeaderRepeated) != call.repeated {
			t.Errorf("%v: status %d, want 200; repeated %q, want %q", call.headers, got.status, got.header.Get(caller.HeaderRepeated), call.repeated)
		}
	}
	if runs := f.service.Runs("seat 7"); runs != 2 {
		t.Errorf("ran %d times, want once in each workspace", runs)
	}
}

// TestRepeatInOutage repeats a completed booking while the platform is down. The
// repeat does not run, but the booking under the key did: the answer must report
// the outcome of the key as unknown, not as notRun.
func TestRepeatInOutage(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 2})
	h := headers{caller.HeaderIdempotencyKey: "k"}
	if got := f.send(0, bookPath, "seat 7", h); got.status != http.StatusOK {
		t.Fatalf("first booking: got %+v, want status 200", got)
	}
	f.table.onCommit(func(platform.Transaction, func() error) error {
		return &platform.RefusedError{Reason: "down"}
	})
	got := f.send(1, bookPath, "seat 7", h)
	if got.code != caller.CodePlatformUnavailable || got.outcome != "notRun" || got.keyOutcome != "unknown" {
		t.Errorf("repeat: code %q, outcome %q, key outcome %q; want platformUnavailable, notRun, unknown", got.code, got.outcome, got.keyOutcome)
	}
	if runs := f.service.Runs("seat 7"); runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
}

// TestAbandonedClaimIsReleased checks that a booking does not block its key
// forever if the node gave it up because the answers to its claim were lost. The
// claim may still have been written, so the node must release it afterwards.
func TestAbandonedClaimIsReleased(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 2})
	var commits atomic.Int32
	released := make(chan struct{})
	f.table.onCommit(func(_ platform.Transaction, apply func() error) error {
		err := apply()
		switch n := commits.Add(1); {
		case n <= 3:
			return &platform.UnknownError{Reason: "lost"}
		case n == 5:
			close(released)
		}
		return err
	})
	h := headers{caller.HeaderIdempotencyKey: "k"}
	if got := f.send(0, bookPath, "seat 7", h); got.outcome != "notRun" || f.service.Runs("seat 7") != 0 {
		t.Fatalf("abandoned booking: ran %d times, want 0; got %+v, want outcome notRun", f.service.Runs("seat 7"), got)
	}
	<-released
	if got := f.send(1, bookPath, "seat 7", h); got.status != 200 || f.service.Runs("seat 7") != 1 {
		t.Fatalf("repeat after the release: ran %d times, want 1; got %+v, want status 200", f.service.Runs("seat 7"), got)
	}
}

// TestServiceCalls checks which calls of a plain service are retried when their
// connection breaks after the service ran them. A POST may be retried only if the
// caller marked it as idempotent and the document does not list it as
// non-idempotent; otherwise it could run twice.
func TestServiceCalls(t *testing.T) {
	tests := []struct {
		name, path string
		headers    headers
		retried    bool
	}{
		{"listed", bookPath, nil, false},
		{"listed, with the idempotent header", bookPath, headers{caller.HeaderIdempotent: "true"}, false},
		{"POST", "/services/booking/quote", nil, false},
		{"POST marked as idempotent", "/services/booking/quote", headers{caller.HeaderIdempotent: "true"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 1})
			var mu sync.Mutex
			runs := 0
			f.service.BeforeAnswer(func() {
				mu.Lock()
				defer mu.Unlock()
				if runs++; runs == 1 {
					panic(http.ErrAbortHandler)
				}
			})
			got := f.send(0, tt.path, "x", tt.headers)
			mu.Lock()
			defer mu.Unlock()
			if retried := got.status == 200; retried != tt.retried || (runs == 2) != tt.retried {
				t.Errorf("ran %d times, got %+v, want retried %v", runs, got, tt.retried)
			}
			if !tt.retried && got.outcome != "unknown" {
				t.Errorf("outcome %q, want unknown", got.outcome)
			}
		})
	}
}

// bookingInput is the input of an operation in a history of bookings.
type bookingInput struct{ key string }

// bookingOutput is what the caller of a booking saw.
type bookingOutput struct {
	// outcome is result, notRun or unknown.
	outcome string
	result  string
}

// bookingModel returns the model that the history of each key must satisfy: the
// request runs at most once, each result is that of the one run, and a call with
// outcome notRun has no effect. The state is the result of the run, empty until
// the request has run.
func bookingModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, o := range history {
				k := o.Input.(bookingInput).key
				parts[k] = append(parts[k], o)
			}
			var out [][]porcupine.Operation
			for _, p := range parts {
				out = append(out, p)
			}
			return out
		},
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			o := output.(bookingOutput)
			switch {
			case o.outcome == "result" && (state == "" || state == o.result):
				return []any{o.result}
			case o.outcome == "result":
				return nil
			case o.outcome == "notRun" || state != "":
				return []any{state}
			default: // It may have run; a later call then returns the recorded result.
				return []any{"", input.(bookingInput).key + ", run 1"}
			}
		},
	}
	return m.ToModel()
}

// TestBookingHistories checks a random history of bookings against bookingModel.
// Callers repeat keys at several nodes concurrently while commits are refused,
// lost, applied late or interrupted by the kill of the node.
func TestBookingHistories(t *testing.T) {
	const callers, calls, keys = 6, 12, 8
	f := newFixture(t, fixtureConfig{nodes: 3})
	random := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	var delayed []func() error
	f.table.onCommit(func(_ platform.Transaction, apply func() error) error {
		mu.Lock()
		fault := random.IntN(8)
		if len(delayed) > 0 && fault%2 == 0 {
			_ = delayed[0]()
			delayed = delayed[1:]
		}
		if fault == 3 {
			delayed = append(delayed, apply)
		}
		mu.Unlock()
		switch fault {
		case 0:
			return &platform.RefusedError{Reason: "down"}
		case 1:
			_ = apply()
			return &platform.UnknownError{Reason: "lost"}
		case 2, 3:
			return &platform.UnknownError{Reason: "lost"}
		case 4:
			return abortHandler()
		default:
			return apply()
		}
	})
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := range calls {
				k := fmt.Sprintf("k%d", (i*calls+j)/2%keys)
				start := f.clock.Now().UnixNano()
				got := f.send((i+j)%3, bookPath, k, headers{caller.HeaderIdempotencyKey: k})
				o := bookingOutput{outcome: got.outcome}
				switch {
				case got.status == 200:
					o = bookingOutput{outcome: "result", result: got.body}
				case got.err != nil:
					o.outcome = "unknown"
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: i, Input: bookingInput{k}, Call: start, Output: o, Return: f.clock.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i := range keys {
		if runs := f.service.Runs(fmt.Sprintf("k%d", i)); runs > 1 {
			t.Errorf("key %d ran %d times, want at most once", i, runs)
		}
	}
	if !porcupine.CheckOperations(bookingModel(), history) {
		t.Error("the history of bookings does not satisfy the model")
	}
	seen := map[string]int{}
	for _, o := range history {
		seen[o.Output.(bookingOutput).outcome]++
	}
	outcomes := []string{"result", "notRun", "unknown"}
	if slices.ContainsFunc(outcomes, func(o string) bool { return seen[o] == 0 }) {
		t.Errorf("outcomes in the history: %v, want each of %v at least once", seen, outcomes)
	}
	t.Logf("outcomes %v", seen)
}

// TestBookedGeneration checks that a generation request marked as non-idempotent
// runs once under its idempotency key, and that the key alone does not make a
// request non-idempotent.
func TestBookedGeneration(t *testing.T) {
	var runs atomic.Int32
	f := newFixture(t, fixtureConfig{nodes: 2, groups: 1, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(_ *http.Request, i int) error {
			if i == 0 {
				runs.Add(1)
			}
			return nil
		}
	}})
	body, want := chat("p", true, 4)
	for _, marked := range []bool{true, false} {
		runs.Store(0)
		h := headers{caller.HeaderIdempotencyKey: "k", caller.HeaderIdempotent: fmt.Sprint(!marked)}
		for node := range 2 {
			got := f.send(node, chatPath, body, h)
			repeated := got.header.Get(caller.HeaderRepeated) == "true"
			if got.text != want || !got.done || repeated != (marked && node == 1) {
				t.Errorf("marked %v, node %d: got %+v, want text %q, repeated %v", marked, node, got, want, marked && node == 1)
			}
		}
		if n := runs.Load(); marked != (n == 1) {
			t.Errorf("marked %v: ran %d times, want once only if marked", marked, n)
		}
	}
	rows, err := f.table.Range(t.Context(), "booking/")
	if err != nil || len(rows) != 1 {
		t.Errorf("%d booking rows, error %v, want 1 row", len(rows), err)
	}
}
