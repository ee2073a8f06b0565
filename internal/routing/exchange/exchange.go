// Package exchange defines the metadata of requests and responses that the
// router reads and sets, independent of the header names that a platform uses
// for them.
package exchange

import (
	"fmt"
	"net/http"
	"time"
)

// Call is the metadata of a request as sent by the caller.
type Call struct {
	// ID identifies one attempt of a caller and is unique; empty when missing.
	ID string
	// Deadline is how long the caller waits for the response, counted from when it
	// sent the request; zero when not stated.
	Deadline time.Duration
	// Key is the API key; empty when missing.
	Key string
	// Model is the requested model; empty for requests to plain services.
	Model string
	// PromptTokens is the length of the prompt and MaxTokens the maximum length
	// of the output, in tokens; zero when not stated.
	PromptTokens int
	MaxTokens    int
	// SharedParts lists the IDs of the parts of the prompt that other requests may
	// share, without duplicates: all but the last, which is the request's own.
	SharedParts []string
	// ResumeAfter is the ID of the last event that the caller received; empty
	// unless it resumes a stream.
	ResumeAfter string
}

// Forward is the metadata that is set on a request to a backend server.
type Forward struct {
	// Server is the ID of the only server that may run the request.
	Server    string
	Workspace string
	// Deadline is the time left until the caller's deadline; zero for none.
	Deadline time.Duration
	// ResumeAfter replaces Call.ResumeAfter when not empty.
	ResumeAfter string
	// Priority is from 0, the highest, to 9.
	Priority int
	// HasPriority is set if Priority is to be sent.
	HasPriority bool
}

// OtherRequestError reports a response that does not belong to the request that it came
// in response to. It says nothing about this request, which may have run, nor about what
// the server is like now.
type OtherRequestError struct {
	// Request is the ID of the request, Response the one in the response; empty if it has
	// none.
	Request, Response string
}

func (e *OtherRequestError) Error() string {
	return fmt.Sprintf("response to request %q carries ID %q: it belongs to another request", e.Request, e.Response)
}

// Answer is the metadata of a response of a backend server that belongs to the request.
type Answer struct {
	// Signed is set when the response has the signature of the server.
	Signed bool
	// NotExecuted is set when the server states that it did not run the request.
	NotExecuted bool
	// FaultyMember is the ID of the replica group member that caused the failure;
	// empty when not stated.
	FaultyMember string
	// Leaving is set when the server states that it is about to shut down.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this node, with a
	// rejection for lack of capacity; zero when not stated.
	RetryAfter time.Duration
	// Encoded is set when the body was compressed or otherwise encoded, so that
	// its bytes are not those that the server produced.
	Encoded bool
}

// Dialect maps between the HTTP headers of a platform and the metadata above.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Forward returns the headers of the request to a backend server.
	Forward(from http.Header, f Forward) http.Header
	// Answer reads the status and headers of the response to the request with an ID. It
	// returns an OtherRequestError if the response belongs to another request.
	Answer(id string, status int, h http.Header) (Answer, error)
	// CopyAnswer copies the response headers that are passed on to the caller.
	CopyAnswer(to, from http.Header)
	// SetRefusal sets the headers of a response of the node itself: the ID of the
	// request and, unless zero, the retry delay.
	SetRefusal(h http.Header, id string, after time.Duration)
}
