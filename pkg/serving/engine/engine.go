// Package engine defines the interface to the engines of replica group members:
// health checks, orders and generation requests.
//
// The interface is narrow so that support for another kind of engine fits in one
// file.
package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/core/fleet"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

// Request is one attempt at a generation request.
type Request struct {
	// ID identifies the request of the caller and is the same for all its
	// attempts. The engine derives the ID of its answer from it and, if the body
	// has no seed, the sampling seed, so that a resumed stream continues the same
	// answer.
	ID string
	// Attempt is unique among all attempts at all requests, so that it tells the
	// response to this one from copies of rejections of others.
	Attempt string
	// Path is the OpenAI-compatible path, such as /v1/chat/completions.
	Path string
	// Body is the request body in OpenAI form.
	Body []byte
	// Expected is the identity that the header of the answer must have.
	Expected fleet.Identity
	// Offset is the number of tokens to skip when a broken stream is resumed.
	Offset int
	// Priority is low, normal or high; empty means normal.
	Priority string
	// Timeout is the time left for the request; zero for no limit.
	Timeout time.Duration
	// NoRetry is set if the request must not be sent twice. It is then sent on a new
	// connection, because net/http may retry a request on a reused one.
	NoRetry bool
	// OnWrite, unless nil, is called when a connection is available, before the
	// first byte is written to it.
	OnWrite func()
}

// Answer is the header of an answer and its body as a stream. The receiver must
// close Body.
type Answer struct {
	Identity    fleet.Identity
	Attempt     string
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Engine sends requests to the engines of group members at their addresses.
type Engine interface {
	// Health requests the health report of the member at address.
	Health(ctx context.Context, address string) (fleet.Report, error)
	// Order sends the member at address its complete desired state. It returns a
	// StaleTermError if the member rejects the fencing number as too old.
	Order(ctx context.Context, address string, o fleet.Order) error
	// Generate starts an attempt on the leader at address. It returns a
	// NotStartedError if the engine rejected the attempt before it started to run
	// it, an UnreachableError if no connection was established, and a
	// ForeignResponseError if the response may be that to another attempt.
	Generate(ctx context.Context, address string, r Request) (Answer, error)
}

// StaleTermError reports an order that a member rejected because its fencing
// number is too old.
type StaleTermError struct {
	// Term is the fencing number that the member last accepted.
	Term uint64
}

func (e *StaleTermError) Error() string {
	return fmt.Sprintf("engine: order rejected: member has accepted term %d", e.Term)
}

// NotStartedError reports an attempt that the engine rejected before it started
// to run it.
type NotStartedError struct {
	// Status is the HTTP status of the answer.
	Status int
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("engine: attempt not started: status %d", e.Status)
}

// Invalid reports whether the engine rejected the request itself as invalid.
func (e *NotStartedError) Invalid() bool {
	switch e.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// ForeignResponseError reports a response that is not proved to be that to the
// attempt. The attempt may have run.
type ForeignResponseError struct {
	// Attempt is the attempt that the response names; empty if it names none.
	Attempt string
}

func (e *ForeignResponseError) Error() string {
	if e.Attempt == "" {
		return "engine: response names no attempt on a connection with earlier ones"
	}
	return fmt.Sprintf("engine: response names another attempt, %q", e.Attempt)
}

// UnreachableError reports an attempt for which no connection was established,
// so that no byte of it was sent.
type UnreachableError struct {
	Reason string
}

func (e *UnreachableError) Error() string {
	return "engine: unreachable: " + e.Reason
}
