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
	// bookingTimeout bounds one call of the table service.
	bookingTimeout = 3 * time.Second
	// bookingTries bounds the submissions of one write.
	bookingTries = 3
	// HeaderRepeated is set on an answer that was recorded earlier.
	HeaderRepeated = "Almondbay-Repeated"
)

// newOperation returns the ID of a transaction.
func newOperation() string {
	return uuid.NewString()
}

// bookkeeper carries out the steps of bookings on the table service.
type bookkeeper struct {
	table platform.Table
}

func newBookkeeper(t platform.Table) *bookkeeper {
	return &bookkeeper{table: t}
}

// dispatcher runs a booked call once and returns how it ended.
type dispatcher func() (attempt.Outcome, bool, attempt.Result)

// follow takes the steps of a booking from the given one to its reply.
func (b *bookkeeper) follow(ctx context.Context, key string, l *attempt.BookingCoordinator, s attempt.Step, dispatch dispatcher) {
	for s != attempt.StepReply {
		switch s {
		case attempt.StepWrite:
			s = b.write(ctx, key, l)
		case attempt.StepRead:
			s = b.read(ctx, key, l)
		case attempt.StepDispatch:
			s = l.DispatchEnded(dispatch())
		}
	}
}

func (b *bookkeeper) write(ctx context.Context, key string, l *attempt.BookingCoordinator) attempt.Step {
	w := l.Write()
	value, err := attempt.EncodeBooking(w.Booking)
	if err != nil {
		return l.WriteRejected()
	}
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()

	err = b.table.Commit(ctx, platform.Transaction{
		Operation:  w.Operation,
		Conditions: []platform.Condition{{Key: key, Version: w.Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	var conflict *platform.ConflictError
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return l.WriteApplied()
	case errors.As(err, &conflict):
		return l.WriteConflict()
	case errors.As(err, &refused):
		return l.WriteRejected()
	default:
		return l.WriteUnknown()
	}
}

func (b *bookkeeper) read(ctx context.Context, key string, l *attempt.BookingCoordinator) attempt.Step {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()

	row, err := b.table.Read(ctx, key)
	if err != nil {
		return l.ReadFailed()
	}
	out := attempt.BookingRow{Version: row.Version, Operation: row.Operation}
	if row.Version > 0 {
		// A row that cannot be read counts as pending: its call may have run.
		out.Booking, err = attempt.DecodeBooking(row.Value)
		if err != nil {
			out.Booking = l.Write().Booking
		}
	}
	return l.RowRead(out)
}

// book runs a call at most once under its key.
func (g *Gateway) book(ctx context.Context, c echo.Context, call *call, b backend) error {
	key := attempt.BookingKey(call.workspace.Name, call.options.key)
	ledger, step := attempt.NewBookingCoordinator(attempt.BookingConfig{
		Digest:         call.print,
		ClaimOperation: newOperation(),
		CloseOperation: newOperation(),
		MaxTries:       bookingTries,
	})
	var refusal *problem
	dispatch := func() (attempt.Outcome, bool, attempt.Result) {
		r := &recorder{}
		x := g.exchange(b, call, r, false)
		refusal = x.run(ctx)
		return x.request.Outcome(), refusal == nil, r.result
	}
	// The result is recorded even after the deadline of the call.
	table := context.WithoutCancel(ctx)
	g.bookings.follow(table, key, ledger, step, dispatch)
	err := replyBooked(c, ledger.Reply(), refusal)
	if ledger.ClaimUnresolved() {
		_ = http.NewResponseController(c.Response().Writer).Flush()
		g.bookings.follow(table, key, ledger, ledger.ReleaseClaim(), nil)
	}
	return err
}

// replyBooked answers the caller of a booked call.
func replyBooked(c echo.Context, r attempt.Reply, refusal *problem) error {
	switch r.Kind {
	case attempt.ReplyResult:
		h := c.Response().Header()
		if r.Repeated {
			h.Set(HeaderRepeated, "true")
		}
		h.Set(echo.HeaderContentLength, strconv.Itoa(len(r.Result.Body)))
		return c.Blob(r.Result.Status, r.Result.ContentType, r.Result.Body)
	case attempt.ReplyFailed:
		if refusal == nil {
			refusal = failed(attempt.FailureBroken, r.Outcome, false)
		}
		return refusal.write(c)
	default:
		return bookingProblem(r).write(c)
	}
}

// bookingProblem returns what the caller is told when nothing was dispatched
// for this call.
func bookingProblem(r attempt.Reply) *problem {
	switch r.Kind {
	case attempt.ReplyOmitted:
		return &problem{
			status:  http.StatusConflict,
			code:    CodeResultNotKept,
			message: "the request has run; its result was too large to keep",
			outcome: r.Outcome,
		}
	case attempt.ReplyMismatch:
		return notRun(http.StatusUnprocessableEntity, CodeKeyReused,
			"the idempotency key belongs to another request")
	case attempt.ReplyPending:
		return &problem{
			status:     http.StatusConflict,
			code:       CodePending,
			message:    "a request with the idempotency key may have run; its result is not recorded",
			outcome:    r.Outcome,
			retryAfter: retrySoon,
		}
	default:
		p := notRun(http.StatusServiceUnavailable, CodePlatformUnavailable,
			"the request was not run now, as it cannot be recorded; whether an earlier one with the key was run is not known")
		p.keyUnknown = true
		p.retryAfter = retrySoon
		return p
	}
}
