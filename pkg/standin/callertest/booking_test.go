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

// killed ends the goroutine that serves a request, as a node does that is
// killed at this point: no later step of the request happens.
func killed() error {
	panic(http.ErrAbortHandler)
}

// isRecord tells the write behind the dispatch from the one before it.
func isRecord(t platform.Transaction) bool {
	return t.Conditions[0].Version > 0
}

// TestBookingAcrossKilledNodes kills the node that has a booking at each step,
// or has the platform fail there, and repeats the booking at another node.
func TestBookingAcrossKilledNodes(t *testing.T) {
	type hook = func(t platform.Transaction, apply func() error) error
	lost := &platform.UnknownError{Reason: "lost"}
	first := func(record bool, f func(apply func() error) error) func() hook {
		return func() hook {
			var done atomic.Bool
			return func(t platform.Transaction, apply func() error) error {
				if isRecord(t) != record || done.Swap(true) {
					return apply()
				}
				return f(apply)
			}
		}
	}
	kill := func(func() error) error { return killed() }
	after := func(then func() error) func(func() error) error {
		return func(apply func() error) error {
			if err := apply(); err != nil {
				return err
			}
			return then()
		}
	}
	answerLost := func() error { return lost }
	always := func(err error) func() hook {
		return func() hook { return func(platform.Transaction, func() error) error { return err } }
	}
	type want struct {
		status  int
		outcome string
	}
	gone, ok, pending := want{}, want{status: 200}, want{409, "unknown"}
	tests := []struct {
		name          string
		hook          func() hook
		first, repeat want
		runs          int
	}{
		{"killed before insert", first(false, kill), gone, ok, 1},
		{"killed between insert and dispatch", first(false, after(killed)), gone, pending, 0},
		{"killed between dispatch and record", first(true, kill), gone, pending, 1},
		{"killed after record", first(true, after(killed)), gone, ok, 1},
		{"insert lost, applied", first(false, after(answerLost)), ok, ok, 1},
		{"insert lost, not applied", first(false, func(func() error) error { return lost }), ok, ok, 1},
		{"record lost, applied", first(true, after(answerLost)), ok, ok, 1},
		{"platform down", always(&platform.RefusedError{Reason: "down"}), want{503, "notRun"}, want{503, "notRun"}, 0},
		{"platform silent", always(lost), want{503, "notRun"}, want{503, "notRun"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, rigConfig{nodes: 2})
			r.table.onCommit(tt.hook())
			for node, w := range []want{tt.first, tt.repeat} {
				got := r.send(node, bookPath, "seat 7", headers{caller.HeaderIdempotencyKey: "k/1"})
				if (want{got.status, got.outcome}) != w {
					t.Errorf("node %d: status %d, outcome %q, %v; want %+v", node, got.status, got.outcome, got.err, w)
				}
			}
			if runs := r.service.Runs("seat 7"); runs != tt.runs {
				t.Errorf("ran %d times, want %d", runs, tt.runs)
			}
			other := r.send(1, bookPath, "seat 8", headers{caller.HeaderIdempotencyKey: "k/1"})
			if r.service.Runs("seat 8") != 0 || other.outcome != "notRun" {
				t.Errorf("another body under the key: %+v", other)
			}
		})
	}
}

// TestBookingsOfWorkspacesAreApart uses the same idempotency key in two
// workspaces: neither may read or block the other's booking.
func TestBookingsOfWorkspacesAreApart(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1})
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
		got := r.send(0, bookPath, call.body, call.headers)
		if got.status != http.StatusOK || got.header.Get(caller.HeaderRepeated) != call.repeated {
			t.Errorf("%v: status %d, repeated %q", call.headers, got.status, got.header.Get(caller.HeaderRepeated))
		}
	}
	if runs := r.service.Runs("seat 7"); runs != 2 {
		t.Errorf("ran %d times, want once in each workspace", runs)
	}
}

// TestRepeatInOutage books, then repeats the key while the platform is down:
// the repeat is not run, and the answer must not say that of the key, which was.
func TestRepeatInOutage(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 2})
	h := headers{caller.HeaderIdempotencyKey: "k"}
	if got := r.send(0, bookPath, "seat 7", h); got.status != http.StatusOK {
		t.Fatalf("the booking: %+v", got)
	}
	r.table.onCommit(func(platform.Transaction, func() error) error {
		return &platform.RefusedError{Reason: "down"}
	})
	got := r.send(1, bookPath, "seat 7", h)
	if got.code != caller.CodePlatformUnavailable || got.outcome != "notRun" || got.keyOutcome != "unknown" {
		t.Errorf("the repeat: code %q, outcome %q, key's outcome %q", got.code, got.outcome, got.keyOutcome)
	}
	if runs := r.service.Runs("seat 7"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

// TestClaimGivenUpIsWithdrawn checks that a booking which was given up since
// its claim's answers were lost does not block its key for good.
func TestClaimGivenUpIsWithdrawn(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 2})
	var commits atomic.Int32
	released := make(chan struct{})
	r.table.onCommit(func(_ platform.Transaction, apply func() error) error {
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
	if got := r.send(0, bookPath, "seat 7", h); got.outcome != "notRun" || r.service.Runs("seat 7") != 0 {
		t.Fatalf("%+v", got)
	}
	<-released
	if got := r.send(1, bookPath, "seat 7", h); got.status != 200 || r.service.Runs("seat 7") != 1 {
		t.Fatalf("%+v", got)
	}
}

// TestServiceCalls checks which calls of a plain service are repeated when
// their connection breaks.
func TestServiceCalls(t *testing.T) {
	tests := []struct {
		name, path string
		headers    headers
		repeated   bool
	}{
		{"listed", bookPath, nil, false},
		{"listed, whatever the header", bookPath, headers{caller.HeaderIdempotent: "true"}, false},
		{"POST", "/services/booking/quote", nil, false},
		{"POST said to be idempotent", "/services/booking/quote", headers{caller.HeaderIdempotent: "true"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, rigConfig{nodes: 1})
			var mu sync.Mutex
			runs := 0
			r.service.BeforeAnswer(func() {
				mu.Lock()
				defer mu.Unlock()
				if runs++; runs == 1 {
					panic(http.ErrAbortHandler)
				}
			})
			got := r.send(0, tt.path, "x", tt.headers)
			mu.Lock()
			defer mu.Unlock()
			if repeated := got.status == 200; repeated != tt.repeated || (runs == 2) != tt.repeated {
				t.Errorf("%d runs, %+v", runs, got)
			}
			if !tt.repeated && got.outcome != "unknown" {
				t.Errorf("outcome %q", got.outcome)
			}
		})
	}
}

type bookingInput struct{ key string }

type bookingOutput struct {
	// outcome is result, notRun or unknown.
	outcome string
	result  string
}

// bookingModel is what callers of one key may see: the request runs at most
// once, a result is that of the one run, and a call that was not run changes
// nothing. The state is the result, empty while the request has not run.
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
			default: // It may have run, with the result that a record shows later.
				return []any{"", input.(bookingInput).key + ", run 1"}
			}
		},
	}
	return m.ToModel()
}

// TestBookingHistories has callers repeat keys at several nodes at the same
// moment while commits fail in every way, and checks the history.
func TestBookingHistories(t *testing.T) {
	const callers, calls, keys = 6, 12, 8
	r := newRig(t, rigConfig{nodes: 3})
	random := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	var late []func() error
	r.table.onCommit(func(_ platform.Transaction, apply func() error) error {
		mu.Lock()
		fault := random.IntN(8)
		if len(late) > 0 && fault%2 == 0 {
			_ = late[0]()
			late = late[1:]
		}
		if fault == 3 {
			late = append(late, apply)
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
			return killed()
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
				begun := r.clock.Now().UnixNano()
				got := r.send((i+j)%3, bookPath, k, headers{caller.HeaderIdempotencyKey: k})
				o := bookingOutput{outcome: got.outcome}
				switch {
				case got.status == 200:
					o = bookingOutput{outcome: "result", result: got.body}
				case got.err != nil:
					o.outcome = "unknown"
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: i, Input: bookingInput{k}, Call: begun, Output: o, Return: r.clock.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i := range keys {
		if runs := r.service.Runs(fmt.Sprintf("k%d", i)); runs > 1 {
			t.Errorf("key %d ran %d times", i, runs)
		}
	}
	if !porcupine.CheckOperations(bookingModel(), history) {
		t.Error("the history of bookings is not possible")
	}
	seen := map[string]int{}
	for _, o := range history {
		seen[o.Output.(bookingOutput).outcome]++
	}
	outcomes := []string{"result", "notRun", "unknown"}
	if slices.ContainsFunc(outcomes, func(o string) bool { return seen[o] == 0 }) {
		t.Errorf("the history lacks an outcome: %v", seen)
	}
	t.Logf("outcomes %v", seen)
}

// TestBookedGeneration checks that a generation request marked as
// non-idempotent runs once under its key, and that a key alone marks nothing.
func TestBookedGeneration(t *testing.T) {
	var runs atomic.Int32
	r := newRig(t, rigConfig{nodes: 2, groups: 1, engine: func(_ int, c *enginestandin.Config) {
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
			got := r.send(node, chatPath, body, h)
			repeated := got.header.Get(caller.HeaderRepeated) == "true"
			if got.text != want || !got.done || repeated != (marked && node == 1) {
				t.Errorf("marked %v, node %d: %+v", marked, node, got)
			}
		}
		if n := runs.Load(); marked != (n == 1) {
			t.Errorf("marked %v: ran %d times", marked, n)
		}
	}
	rows, err := r.table.Range(t.Context(), "booking/")
	if err != nil || len(rows) != 1 {
		t.Errorf("%d rows of bookings, %v", len(rows), err)
	}
}
