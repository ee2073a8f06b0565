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

// RefusedError reports a response of the admin API that is not a success.
type RefusedError struct {
	// Status is the HTTP status of the response.
	Status  int
	Code    string
	Message string
	Outcome operatorwire.Outcome
	// Faults lists the errors found in a document.
	Faults jsonc.Faults
	// Current is the revision in force, for a conflict.
	Current revision.Entry
	// Changes lists the differences from the document that the operator saw to
	// the one in force, for a conflict.
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

// final reports whether sending the request to another server would be refused
// in the same way.
func (e *RefusedError) final() bool {
	return e.Status < http.StatusInternalServerError
}

// UnknownOutcomeError reports a command that may or may not have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return "outcome not known: " + e.Cause.Error()
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
