package caller

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

// Codes of the errors that callers are told.
const (
	CodeNoKey          = "noKey"
	CodeUnknownKey     = "unknownKey"
	CodeUnknownModel   = "unknownModel"
	CodeUnknownService = "unknownService"
	CodeUnknownPath    = "unknownPath"
	CodeMalformedBody  = "malformedBody"
	CodeMalformedHeader  = "malformedHeader"
	CodeBodyTooLarge   = "bodyTooLarge"
	CodeHeadersTooLarge   = "headersTooLarge"
	CodeBodyTooSlow       = "bodyTooSlow"
	CodeOverloaded     = "overloaded"
	CodeUnavailable    = "unavailable"
	CodeRejected       = "rejected"
	CodeDeadline       = "deadline"
	CodeBrokenAnswer         = "brokenAnswer"
	CodeQuarantined    = "quarantined"
	CodePlatformUnavailable   = "platformUnavailable"
	CodePending        = "pending"
	CodeKeyReused   = "keyReused"
	CodeResultNotKept  = "resultNotKept"
	CodeCanceled       = "canceled"
)

// retrySoon is the Retry-After of conditions that pass by themselves.
const retrySoon = time.Second

// UnavailableError reports that no backend server can take a request now.
type UnavailableError struct {
	Model string
	// RetryAfter is when to try again; zero when not known.
	RetryAfter time.Duration
	// Overloaded is set when servers exist and have no room.
	Overloaded bool
}

func (e *UnavailableError) Error() string {
	if e.Overloaded {
		return fmt.Sprintf("no room for a request to %q", e.Model)
	}
	return fmt.Sprintf("nothing serves %q", e.Model)
}

// problem is an error that is told to a caller.
type problem struct {
	status  int
	code    string
	message string
	outcome attempt.Outcome
	// keyUnknown is set when the idempotency key of the request may have been
	// used by an earlier one whose outcome can't be looked up now.
	keyUnknown bool
	// retryAfter is zero when a retry is not sensible.
	retryAfter time.Duration
}

func (p *problem) Error() string {
	return p.message
}

func notRun(status int, code, message string) *problem {
	return &problem{status: status, code: code, message: message, outcome: attempt.NotRun}
}

// write sends a problem as the body of an answer.
func (p *problem) write(c echo.Context) error {
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.JSON(p.status, wireProblemOf(p))
}

// unavailable turns an error of a picker into a problem.
func unavailable(err error, o attempt.Outcome) *problem {
	p := &problem{
		status:     http.StatusServiceUnavailable,
		code:       CodeUnavailable,
		message:    err.Error(),
		outcome:    o,
		retryAfter: retrySoon,
	}
	var e *UnavailableError
	if !errors.As(err, &e) {
		return p
	}
	if e.RetryAfter > 0 {
		p.retryAfter = e.RetryAfter
	}
	if e.Overloaded {
		p.status = http.StatusTooManyRequests
		p.code = CodeOverloaded
	}
	return p
}

// failed turns the last failure of a request into a problem.
func failed(k attempt.FailureKind, o attempt.Outcome, denied bool) *problem {
	p := &problem{
		status:  http.StatusBadGateway,
		code:    CodeBrokenAnswer,
		message: "no backend server gave a whole answer: " + k.String(),
		outcome: o,
	}
	switch k {
	case attempt.FailureDeadline:
		p.status = http.StatusGatewayTimeout
		p.code = CodeDeadline
		p.message = "the deadline of the request has passed"
	case attempt.FailureCanceled:
		p.status = statusClientClosed
		p.code = CodeCanceled
		p.message = "the caller has left"
	case attempt.FailureInvalid, attempt.FailureRejected:
		p.status = http.StatusBadRequest
		p.code = CodeRejected
		p.message = "the backend server rejected the request"
	case attempt.FailureUnreachable, attempt.FailureNotStarted:
		p.status = http.StatusServiceUnavailable
		p.code = CodeUnavailable
		p.retryAfter = retrySoon
	}
	if denied {
		p.retryAfter = retrySoon
	}
	return p
}

// statusClientClosed is the customary status of a request whose caller has
// left; nobody receives it.
const statusClientClosed = 499

func quarantined(o attempt.Outcome) *problem {
	return &problem{
		status:  http.StatusUnprocessableEntity,
		code:    CodeQuarantined,
		message: "the request has crashed backend servers and is refused",
		outcome: o,
	}
}

// handleError answers errors that no handler has turned into a problem.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var p *problem
	var h *echo.HTTPError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &h):
		p = notRun(h.Code, CodeUnknownPath, http.StatusText(h.Code))
	default:
		p = notRun(http.StatusInternalServerError, CodeUnavailable, "internal error")
		p.outcome = attempt.Unknown
	}
	_ = p.write(c)
}
