// Package attempt decides what may be done with a request that has failed, and
// what its caller may be told about it.
//
// It holds the state machine of one request over its attempts, the retry
// budget of a workspace, the state machine of a non-idempotent request over
// its row in the table service, and the quarantine of requests that crash the
// backend servers that run them. The package does no I/O: events and the time
// go in, decisions come out.
package attempt

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("attempt")

// Outcome tells whether a request was run.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that no backend server has run or will run the request.
	NotRun Outcome = iota
	// Ran means that a backend server has started to run the request.
	Ran
	// Unknown means that the request may have run or may still be run.
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

// FailureKind tells why an attempt has ended without completing its request.
type FailureKind uint8

// Kinds of failure of an attempt.
const (
	// FailureUnreachable means that no connection was made.
	FailureUnreachable FailureKind = iota
	// FailureNotStarted means that the backend server refused the request and
	// stated that it had not started it.
	FailureNotStarted
	// FailureInvalid means that the backend server refused the request for
	// what it is and stated that it had not started it.
	FailureInvalid
	// FailureRejected means that the backend server found fault with the
	// request itself. Another attempt would be rejected as well.
	FailureRejected
	// FailureIdentity means that the head of the answer named another group,
	// epoch, version or boot than the one that the request was sent to.
	FailureIdentity
	// FailureBroken means that the connection ended before the end marker, or
	// that the stream had a gap.
	FailureBroken
	// FailureCrashed means that a member of the group crashed or went missing.
	FailureCrashed
	// FailureServer means that the backend server answered with an error of
	// its own.
	FailureServer
	// FailureDeadline means that the deadline of the request has passed.
	FailureDeadline
	// FailureCanceled means that the caller has left.
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

// neverStarted reports whether the failure proves that the attempt was not
// started, no matter how much of it was written.
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
