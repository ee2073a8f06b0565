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

// Codes of the errors that are reported to callers.
const (
	CodeNoKey               = "noKey"
	CodeUnknownKey          = "unknownKey"
	CodeUnknownModel        = "unknownModel"
	CodeUnknownService      = "unknownService"
	CodeUnknownPath         = "unknownPath"
	CodeMalformedBody       = "malformedBody"
	CodeMalformedHeader     = "malformedHeader"
	CodeBodyTooLarge        = "bodyTooLarge"
	CodeHeadersTooLarge     = "headersTooLarge"
	CodeBodyTooSlow         = "bodyTooSlow"
	CodeOverloaded          = "overloaded"
	CodeUnavailable         = "unavailable"
	CodeRejected            = "rejected"
	CodeDeadline            = "deadline"
	CodeBrokenAnswer        = "brokenAnswer"
	CodeQuarantined         = "quarantined"
	CodePlatformUnavailable = "platformUnavailable"
	CodePending             = "pending"
	CodeKeyReused           = "keyReused"
	CodeResultNotKept       = "resultNotKept"
	CodeCanceled            = "canceled"
)

// shortRetryAfter is the Retry-After of conditions that are usually transient.
const shortRetryAfter = time.Second

// UnavailableError reports that no backend server can accept a request now.
type UnavailableError struct {
	Model string
	// RetryAfter is the delay before a retry; zero when unknown.
	RetryAfter time.Duration
	// Overloaded is set when backend servers exist but are at capacity.
	Overloaded bool
}

func (e *UnavailableError) Error() string {
	if e.Overloaded {
		return fmt.Sprintf("all backend servers of %q are at capacity", e.Model)
	}
	return fmt.Sprintf("no backend server of %q is available", e.Model)
}

// problem is an error that is reported to a caller.
type problem struct {
	status  int
	code    string
	message string
	outcome attempt.Outcome
	// keyUnknown is set when an earlier request may have used the idempotency
	// key and its outcome can't be looked up now.
	keyUnknown bool
	// retryAfter is zero unless the caller is advised to retry.
	retryAfter time.Duration
}

func (p *problem) Error() string {
	return p.message
}

func notRunProblem(status int, code, message string) *problem {
	return &problem{status: status, code: code, message: message, outcome: attempt.NotRun}
}

// write sends the problem as the response.
func (p *problem) write(c echo.Context) error {
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.JSON(p.status, wireProblemOf(p))
}

// unavailableProblem converts an error of a Picker to a problem.
func unavailableProblem(err error, o attempt.Outcome) *problem {
	p := &problem{
		status:     http.StatusServiceUnavailable,
		code:       CodeUnavailable,
		message:    err.Error(),
		outcome:    o,
		retryAfter: shortRetryAfter,
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

// failureProblem converts the failure of the last attempt to a problem. denied
// means that the retry budget of the workspace denied a retry.
func failureProblem(k attempt.FailureKind, o attempt.Outcome, denied bool) *problem {
	p := &problem{
		status:  http.StatusBadGateway,
		code:    CodeBrokenAnswer,
		message: "no backend server returned a complete answer: " + k.String(),
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
		p.message = "the caller closed the connection"
	case attempt.FailureInvalid, attempt.FailureRejected:
		p.status = http.StatusBadRequest
		p.code = CodeRejected
		p.message = "the backend server rejected the request"
	case attempt.FailureUnreachable, attempt.FailureNotStarted:
		p.status = http.StatusServiceUnavailable
		p.code = CodeUnavailable
		p.retryAfter = shortRetryAfter
	}
	if denied {
		p.retryAfter = shortRetryAfter
	}
	return p
}

// statusClientClosed is the conventional status for a request whose caller has
// disconnected. It is never received.
const statusClientClosed = 499

func quarantinedProblem(o attempt.Outcome) *problem {
	return &problem{
		status:  http.StatusUnprocessableEntity,
		code:    CodeQuarantined,
		message: "the request is quarantined because backend servers crashed while running it",
		outcome: o,
	}
}

// handleError writes the response for errors that no handler converted to a
// problem.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var p *problem
	var h *echo.HTTPError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &h):
		p = notRunProblem(h.Code, CodeUnknownPath, http.StatusText(h.Code))
	default:
		p = notRunProblem(http.StatusInternalServerError, CodeUnavailable, "internal error")
		p.outcome = attempt.Unknown
	}
	_ = p.write(c)
}
