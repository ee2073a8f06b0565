package operatorclient

import (
	"fmt"
	"net/http"
	"strings"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
	"almondbay.example/serving/operator/operatorwire"
)

// RefusedError is an answer that refuses a request.
type RefusedError struct {
	// Status is the HTTP status of the answer.
	Status  int
	Code    string
	Message string
	Outcome operatorwire.Outcome
	// Faults is what is wrong with a document.
	Faults jsonc.Faults
	// Current is the revision in force that a conflict lost against.
	Current revision.Entry
	// Changes turn the document that the operator saw into the one in force.
	Changes []document.Change
}

func (e *RefusedError) Error() string {
	var text strings.Builder
	text.WriteString(e.Message)
	for _, c := range e.Changes {
		fmt.Fprintf(&text, "\n  %s", c)
	}
	return text.String()
}

// settles tells whether another server would answer the same.
func (e *RefusedError) settles() bool {
	return e.Status < http.StatusInternalServerError
}

// UnknownOutcomeError reports a command that may or may not have been carried
// out.
type UnknownOutcomeError struct {
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return "outcome not known: " + e.Cause.Error()
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
