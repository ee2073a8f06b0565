package attempt_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
)

// bookingTable simulates one row of a table service whose responses can be lost
// and whose writes can be committed late.
type bookingTable struct {
	row attempt.BookingRow
	// late holds writes that were submitted and may be committed later.
	late []attempt.BookingWrite
}

// apply commits the write if its version condition holds.
func (b *bookingTable) apply(w attempt.BookingWrite) bool {
	if w.Version != b.row.Version {
		return false
	}
	b.row = attempt.BookingRow{Version: w.Version + 1, Operation: w.Operation, Booking: w.Booking}
	return true
}

// call is one call with the shared key, handled by some node.
type call struct {
	coordinator *attempt.BookingCoordinator
	step        attempt.Step
	dispatched  int
	ran         bool
	// crashed is set when the node of the call has crashed.
	crashed bool
}

// advance performs the next step of the call with a random fault.
func (c *call) advance(t *rapid.T, b *bookingTable) {
	switch c.step {
	case attempt.StepWrite:
		w := c.coordinator.Write()
		switch rapid.SampledFrom([]string{"ok", "ok", "refused", "lost", "lostApplied", "late"}).Draw(t, "write") {
		case "refused":
			c.step = c.coordinator.WriteRejected()
		case "lost":
			c.step = c.coordinator.WriteUnknown()
		case "lostApplied":
			b.apply(w)
			c.step = c.coordinator.WriteUnknown()
		case "late":
			b.late = append(b.late, w)
			c.step = c.coordinator.WriteUnknown()
		default:
			if b.apply(w) {
				c.step = c.coordinator.WriteApplied()
			} else {
				c.step = c.coordinator.WriteConflict()
			}
		}
	case attempt.StepRead:
		if rapid.IntRange(0, 4).Draw(t, "read") == 0 {
			c.step = c.coordinator.ReadFailed()
		} else {
			c.step = c.coordinator.RowRead(b.row)
		}
	case attempt.StepDispatch:
		c.dispatched++
		o := rapid.SampledFrom([]attempt.Outcome{attempt.Ran, attempt.Unknown, attempt.NotRun}).Draw(t, "dispatch")
		c.ran = o != attempt.NotRun
		c.step = c.coordinator.DispatchEnded(o, o == attempt.Ran, attempt.Result{Status: 200, Body: []byte("seat 7")})
	}
}

// TestBookingRunsAtMostOnce checks that calls with the same key run the request
// at most once, and get replies consistent with that, when their steps are
// interleaved at random with node crashes and faults of the table service.
func TestBookingRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &bookingTable{}
		var calls []*call
		for i := range rapid.IntRange(1, 4).Draw(t, "calls") {
			c := &call{}
			c.coordinator, c.step = attempt.NewBookingCoordinator(attempt.BookingConfig{
				ClaimOperation: fmt.Sprintf("claim%d", i), CloseOperation: fmt.Sprintf("close%d", i), MaxTries: 3,
			})
			calls = append(calls, c)
		}
		for range 60 {
			if len(b.late) > 0 && rapid.Bool().Draw(t, "apply late") {
				b.apply(b.late[0])
				b.late = b.late[1:]
			}
			c := rapid.SampledFrom(calls).Draw(t, "call")
			if c.crashed || rapid.IntRange(0, 19).Draw(t, "crash") == 0 {
				c.crashed = true
				continue
			}
			c.advance(t, b)
			if c.step == attempt.StepReply && c.coordinator.ClaimUnresolved() && rapid.Bool().Draw(t, "withdraw") {
				c.step = c.coordinator.ReleaseClaim()
			}
		}
		checkBookings(t, calls)
	})
}

func checkBookings(t *rapid.T, calls []*call) {
	runs := 0
	for _, c := range calls {
		if c.ran {
			runs++
		}
		if c.dispatched > 1 {
			t.Fatalf("a call dispatched the request %d times, want at most once", c.dispatched)
		}
	}
	if runs > 1 {
		t.Fatalf("the request ran %d times, want at most once", runs)
	}
	for _, c := range calls {
		if c.crashed || c.step != attempt.StepReply {
			continue
		}
		r := c.coordinator.Reply()
		if r.Outcome == attempt.NotRun && c.ran {
			t.Fatalf("a call whose request ran got reply %+v", r)
		}
		if r.Kind == attempt.ReplyResult && (runs != 1 || string(r.Result.Body) != "seat 7") {
			t.Fatalf("got reply %+v although the request ran %d times", r, runs)
		}
	}
}

// TestBookingRepliesToReusedKey checks the reply to a call whose key already has a
// row written by another call.
func TestBookingRepliesToReusedKey(t *testing.T) {
	digest := attempt.NewFingerprint([]byte("book"))
	result := attempt.Result{Status: 200, Body: []byte("seat 7")}
	row := func(b attempt.Booking) attempt.BookingRow {
		return attempt.BookingRow{Version: 4, Operation: "other", Booking: b}
	}
	tests := []struct {
		name string
		row  attempt.BookingRow
		want attempt.Reply
	}{
		{"recorded", row(attempt.Booking{Phase: attempt.BookingRecorded, Digest: digest, Result: result}), attempt.Reply{Kind: attempt.ReplyResult, Outcome: attempt.Ran, Result: result, Repeated: true}},
		{"omitted", row(attempt.Booking{Phase: attempt.BookingRecorded, Digest: digest, Result: attempt.Result{Omitted: true}}), attempt.Reply{Kind: attempt.ReplyOmitted, Outcome: attempt.Ran, Repeated: true}},
		{"pending", row(attempt.Booking{Digest: digest}), attempt.Reply{Kind: attempt.ReplyPending, Outcome: attempt.Unknown}},
		{"other body", row(attempt.Booking{Phase: attempt.BookingRecorded}), attempt.Reply{Kind: attempt.ReplyMismatch, Outcome: attempt.NotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bc, _ := attempt.NewBookingCoordinator(attempt.BookingConfig{Digest: digest, ClaimOperation: "claim", CloseOperation: "close", MaxTries: 3})
			if s := bc.WriteConflict(); s != attempt.StepRead {
				t.Fatalf("got step %v after a conflict, want %v", s, attempt.StepRead)
			}
			if s := bc.RowRead(tt.row); s != attempt.StepReply {
				t.Fatalf("got step %v after the row was read, want %v", s, attempt.StepReply)
			}
			if diff := cmp.Diff(tt.want, bc.Reply()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReleasedBookingIsClaimed(t *testing.T) {
	bc, _ := attempt.NewBookingCoordinator(attempt.BookingConfig{ClaimOperation: "claim", CloseOperation: "close", MaxTries: 3})
	bc.WriteConflict()
	bc.RowRead(attempt.BookingRow{Version: 2, Operation: "other", Booking: attempt.Booking{Phase: attempt.BookingReleased}})
	if w := bc.Write(); w.Version != 2 {
		t.Fatalf("claim has version condition %d, want 2", w.Version)
	}
	if s := bc.WriteApplied(); s != attempt.StepDispatch {
		t.Fatalf("got step %v after the claim was committed, want %v", s, attempt.StepDispatch)
	}
}

func FuzzDecodeBooking(f *testing.F) {
	for _, b := range []attempt.Booking{{}, {Phase: attempt.BookingRecorded, Result: attempt.Result{Status: 200, ContentType: "text/plain", ContentEncoding: "gzip", Body: []byte("x")}}} {
		value, err := attempt.EncodeBooking(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := attempt.DecodeBooking(value)
		if err != nil {
			return
		}
		again, err := attempt.EncodeBooking(b)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := attempt.DecodeBooking(again); err != nil || got.Phase != b.Phase || got.Digest != b.Digest {
			t.Fatalf("%+v became %+v after encoding and decoding, error %v", b, got, err)
		}
	})
}

// TestLostClaimResponseIsResolved checks that a claim that was committed although
// its response was lost leads to the dispatch, and that the claim of another
// call does not.
func TestLostClaimResponseIsResolved(t *testing.T) {
	for operation, want := range map[string]attempt.Step{"claim": attempt.StepDispatch, "other": attempt.StepReply} {
		bc, _ := attempt.NewBookingCoordinator(attempt.BookingConfig{ClaimOperation: "claim", CloseOperation: "close", MaxTries: 3})
		steps := []attempt.Step{bc.WriteUnknown(), bc.WriteConflict(), bc.RowRead(attempt.BookingRow{Version: 1, Operation: operation})}
		if diff := cmp.Diff([]attempt.Step{attempt.StepWrite, attempt.StepRead, want}, steps); diff != "" {
			t.Errorf("operation %s: %s", operation, diff)
		}
	}
}
