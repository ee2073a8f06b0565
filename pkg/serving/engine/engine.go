// Package engine speaks to the members of replica groups: health answers,
// orders and generation requests.
//
// The interface is narrow so that another kind of engine is one file.
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
	// ID is the same for all attempts at one request of a caller. An engine
	// derives the ID of its answer, and its sampling where the body gives no
	// seed, from it, so that a resumed stream continues the same answer.
	ID string
	// Attempt is unique over all attempts of all requests.
	Attempt string
	// Path is the OpenAI-compatible path, such as /v1/chat/completions.
	Path string
	// Body is the request body in OpenAI form.
	Body []byte
	// Expected is the identity that the answer's head must carry.
	Expected fleet.Identity
	// Offset is the number of tokens to skip when a broken stream is resumed.
	Offset int
	// Priority is low, normal or high; empty is normal.
	Priority string
	// Timeout is the time left for the request; zero when unbounded.
	Timeout time.Duration
	// NoRetry is set when the request must not be sent twice. It then goes over a
	// connection of its own, which no library sends it again on.
	NoRetry bool
	// OnWrite is called before the first byte is written to a connection,
	// unless it is nil.
	OnWrite func()
}

// Answer is the head of an answer and the stream of its body. The caller
// closes Body.
type Answer struct {
	Identity    fleet.Identity
	Attempt     string
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Engine is one member of the fleet, reached at an address.
type Engine interface {
	// Health asks the member at address for its report.
	Health(ctx context.Context, address string) (fleet.Report, error)
	// Order gives the member at address its whole desired state. It returns a
	// StaleTermError when the member refuses the fencing number.
	Order(ctx context.Context, address string, o fleet.Order) error
	// Generate starts an attempt on the leader at address. It returns a
	// NotStartedError when the engine refused the attempt before it started,
	// and an UnreachableError when no connection was made.
	Generate(ctx context.Context, address string, r Request) (Answer, error)
}

// StaleTermError reports an order with an old fencing number.
type StaleTermError struct {
	// Term is the fencing number that the member has accepted before.
	Term uint64
}

func (e *StaleTermError) Error() string {
	return fmt.Sprintf("engine: order refused, member is at term %d", e.Term)
}

// NotStartedError reports an attempt that the engine refused before it started
// to run it.
type NotStartedError struct {
	// Status is the HTTP status of the refusal.
	Status int
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("engine: attempt not started: status %d", e.Status)
}

// Invalid reports whether the engine found fault with the request itself.
func (e *NotStartedError) Invalid() bool {
	switch e.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// UnreachableError reports an attempt of which no byte was written.
type UnreachableError struct {
	Reason string
}

func (e *UnreachableError) Error() string {
	return "engine: no connection: " + e.Reason
}
