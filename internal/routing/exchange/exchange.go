// Package exchange holds the terms in which requests and answers are spoken of
// between callers and backend servers, whatever their headers are called.
package exchange

import (
	"net/http"
	"time"
)

// Call is what the headers of a request say.
type Call struct {
	// ID is unique to one attempt of a caller; empty when missing.
	ID string
	// Deadline is how long the caller waits from the sending of the request;
	// zero when it doesn't say.
	Deadline time.Duration
	// Key is the API key; empty when missing.
	Key string
	// Model is empty for requests that need none.
	Model string
	// PromptTokens and MaxTokens are zero when not stated.
	PromptTokens int
	MaxTokens    int
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
}

// Forward is what is set on a request to a backend server.
type Forward struct {
	// Server is the ID of the only server that may run the request.
	Server    string
	Workspace string
	// Deadline is what is left of the caller's; zero for none.
	Deadline time.Duration
	// ResumeAfter replaces the caller's when not empty.
	ResumeAfter string
	// Priority is in 0..9, zero first.
	Priority int
	// HasPriority is set when Priority is to be sent.
	HasPriority bool
}

// Answer is what the headers of an answer say.
type Answer struct {
	// ID is the ID of the request that is answered.
	ID string
	// Signed is set when the answer bears the server's signature.
	Signed bool
	// NotExecuted is set when the request certainly has not run.
	NotExecuted bool
	// FaultyMember is the ID of the member that a group is broken by; empty when not
	// stated.
	FaultyMember string
	// Encoded is set when the body is not the server's own bytes.
	Encoded bool
}

// Dialect maps between headers and these terms.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Forward returns the headers that go to a backend server.
	Forward(from http.Header, f Forward) http.Header
	// Answer reads the head of an answer.
	Answer(status int, h http.Header) Answer
	// CopyAnswer copies the headers of an answer that go to the caller.
	CopyAnswer(to, from http.Header)
	// SetRefusal tells when a refused caller may come back, and to which attempt
	// the refusal belongs.
	SetRefusal(h http.Header, id string, after time.Duration)
}
