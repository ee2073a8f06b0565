package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/platform"
)

const (
	// bookingTimeout bounds one call to the table service.
	bookingTimeout = 3 * time.Second
	// maxBookingWrites bounds the attempts to write a row.
	maxBookingWrites = 3
	// HeaderRepeated is set on an answer that was replayed from its booking.
	HeaderRepeated = "Almondbay-Repeated"
)

// newOperation returns a unique ID for a transaction.
func newOperation() string {
	return uuid.NewString()
}

// bookingStore executes the steps of a booking coordinator on the table
// service.
type bookingStore struct {
	table platform.Table
}

func newBookingStore(t platform.Table) *bookingStore {
	return &bookingStore{table: t}
}

// dispatchFunc runs a booked call once. It returns the outcome of the call,
// whether it completed, and its result.
type dispatchFunc func() (attempt.Outcome, bool, attempt.Result)

// run executes the steps of a booking, starting with the given one, until the
// reply is known.
func (s *bookingStore) run(ctx context.Context, key string, c *attempt.BookingCoordinator, step attempt.Step, dispatch dispatchFunc) {
	for step != attempt.StepReply {
		switch step {
		case attempt.StepWrite:
			step = s.write(ctx, key, c)
		case attempt.StepRead:
			step = s.read(ctx, key, c)
		case attempt.StepDispatch:
			step = c.DispatchEnded(dispatch())
		}
	}
}

func (s *bookingStore) write(ctx context.Context, key string, c *attempt.BookingCoordinator) attempt.Step {
	w := c.Write()
	value, err := attempt.EncodeBooking(w.Booking)
	if err != nil {
		return c.WriteRejected()
	}
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()

	err = s.table.Commit(ctx, platform.Transaction{
		Operation:  w.Operation,
		Conditions: []platform.Condition{{Key: key, Version: w.Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	var conflict *platform.ConflictError
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return c.WriteApplied()
	case errors.As(err, &conflict):
		return c.WriteConflict()
	case errors.As(err, &refused):
		return c.WriteRejected()
	default:
		return c.WriteUnknown()
	}
}

func (s *bookingStore) read(ctx context.Context, key string, c *attempt.BookingCoordinator) attempt.Step {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()

	row, err := s.table.Read(ctx, key)
	if err != nil {
		return c.ReadFailed()
	}
	out := attempt.BookingRow{Version: row.Version, Operation: row.Operation}
	if row.Version > 0 {
		// An undecodable row counts as pending: its call may have run.
		out.Booking, err = attempt.DecodeBooking(row.Value)
		if err != nil {
			out.Booking = c.Write().Booking
		}
	}
	return c.RowRead(out)
}

// runBooked runs a call at most once per idempotency key.
func (g *Gateway) runBooked(ctx context.Context, c echo.Context, call *call, b backend) error {
	key := attempt.BookingKey(call.workspace.Name, call.options.key)
	coordinator, step := attempt.NewBookingCoordinator(attempt.BookingConfig{
		Digest:         call.fingerprint,
		ClaimOperation: newOperation(),
		CloseOperation: newOperation(),
		MaxTries:       maxBookingWrites,
	})
	share := g.limits.newAnswerShare()
	defer share.release()
	var refusal *problem
	dispatch := func() (attempt.Outcome, bool, attempt.Result) {
		r := &resultRecorder{share: share}
		x := g.newExchange(b, call, r, false)
		refusal = x.run(ctx)
		return x.request.Outcome(), refusal == nil, r.result
	}
	// The result is recorded even if the deadline of the call has passed.
	tableCtx := context.WithoutCancel(ctx)
	g.bookings.run(tableCtx, key, coordinator, step, dispatch)
	err := replyBooked(c, coordinator.Reply(), refusal)
	if coordinator.ClaimUnresolved() {
		_ = http.NewResponseController(c.Response().Writer).Flush()
		g.bookings.run(tableCtx, key, coordinator, coordinator.ReleaseClaim(), nil)
	}
	return err
}

// replyBooked writes the answer to a booked call.
func replyBooked(c echo.Context, r attempt.Reply, refusal *problem) error {
	switch r.Kind {
	case attempt.ReplyResult:
		h := c.Response().Header()
		if r.Repeated {
			h.Set(HeaderRepeated, "true")
		}
		if r.Result.ContentEncoding != "" {
			h.Set(echo.HeaderContentEncoding, r.Result.ContentEncoding)
		}
		h.Set(echo.HeaderContentLength, strconv.Itoa(len(r.Result.Body)))
		return c.Blob(r.Result.Status, r.Result.ContentType, r.Result.Body)
	case attempt.ReplyFailed:
		if refusal == nil {
			refusal = failureProblem(attempt.FailureBroken, r.Outcome, false)
		}
		return refusal.write(c)
	default:
		return bookingProblem(r).write(c)
	}
}

// bookingProblem returns the error for a booked call that was not dispatched by
// this request.
func bookingProblem(r attempt.Reply) *problem {
	switch r.Kind {
	case attempt.ReplyOmitted:
		return &problem{
			status:  http.StatusConflict,
			code:    CodeResultNotKept,
			message: "the request was executed, but its result was too large to store",
			outcome: r.Outcome,
		}
	case attempt.ReplyMismatch:
		return notRunProblem(http.StatusUnprocessableEntity, CodeKeyReused,
			"the idempotency key was used by a different request")
	case attempt.ReplyPending:
		return &problem{
			status:     http.StatusConflict,
			code:       CodePending,
			message:    "a request with this idempotency key may have been executed; its result is not recorded",
			outcome:    r.Outcome,
			retryAfter: shortRetryAfter,
		}
	default:
		p := notRunProblem(http.StatusServiceUnavailable, CodePlatformUnavailable,
			"the request was not executed because it cannot be recorded; whether an earlier request with this key was executed is unknown")
		p.keyUnknown = true
		p.retryAfter = shortRetryAfter
		return p
	}
}
