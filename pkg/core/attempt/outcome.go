// Package attempt decides whether a failed request may be retried and which
// outcome may be reported to its caller.
//
// It contains the state machine of a request and its attempts (Request), the
// retry budgets of workspaces (Budgets), the state machine that runs a
// non-idempotent request at most once by means of a row in the table service
// (BookingCoordinator), and the quarantine of requests that crash backend
// servers (Quarantine). The package does no I/O: callers pass in events and the
// current time and act on the returned decisions.
package attempt

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("attempt")

// Outcome states whether a request was run.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that no backend server has run or will run the request.
	NotRun Outcome = iota
	// Ran means that a backend server has at least started to run the request.
	Ran
	// Unknown means that the request may have run or may still run.
	Unknown
)

// String returns the name of the outcome as it appears in error bodies.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// FailureKind is the reason why an attempt ended without completing its
// request.
type FailureKind uint8

// Kinds of failure of an attempt.
const (
	// FailureUnreachable means that no connection was established.
	FailureUnreachable FailureKind = iota
	// FailureNotStarted means that the backend server refused the request and
	// stated that it had not started to run it.
	FailureNotStarted
	// FailureInvalid means that the backend server refused the request as
	// invalid and stated that it had not started to run it.
	FailureInvalid
	// FailureRejected means that the backend server rejected the request itself
	// without stating whether it had started to run it. Another attempt would be
	// rejected as well.
	FailureRejected
	// FailureIdentity means that the response headers named a different attempt,
	// group, epoch, version or boot than the request was sent to, or that the
	// response is not proved to be that to the attempt.
	FailureIdentity
	// FailureBroken means that the connection closed before the end marker, or
	// that tokens were missing from the stream.
	FailureBroken
	// FailureCrashed means that a member of the group crashed or became
	// unreachable.
	FailureCrashed
	// FailureServer means that the backend server returned a server error.
	FailureServer
	// FailureDeadline means that the deadline of the request has passed.
	FailureDeadline
	// FailureCanceled means that the caller disconnected.
	FailureCanceled
)

var failureNames = [...]string{
	FailureUnreachable: "unreachable",
	FailureNotStarted:  "notStarted",
	FailureInvalid:     "invalid",
	FailureRejected:    "rejected",
	FailureIdentity:    "identityMismatch",
	FailureBroken:      "broken",
	FailureCrashed:     "crashed",
	FailureServer:      "serverError",
	FailureDeadline:    "deadline",
	FailureCanceled:    "canceled",
}

// String returns the name of the kind in camel case.
func (k FailureKind) String() string {
	if int(k) >= len(failureNames) {
		return "unknown"
	}
	return failureNames[k]
}

// neverStarted reports whether the failure proves that the backend server did
// not start the request, even if it was sent completely.
func (k FailureKind) neverStarted() bool {
	return k == FailureNotStarted || k == FailureInvalid
}

// retryable reports whether another attempt could succeed.
func (k FailureKind) retryable() bool {
	switch k {
	case FailureInvalid, FailureRejected, FailureDeadline, FailureCanceled:
		return false
	default:
		return true
	}
}
