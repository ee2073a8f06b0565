package revision

import "fmt"

// ConflictError rejects a command whose author did not see the revision in
// force. The caller can show the difference between the documents SeenHash and
// Current.Hash.
type ConflictError struct {
	Environment string
	// Seen is the revision that the author saw.
	Seen uint64
	// SeenHash is empty when the history does not reach back to Seen.
	SeenHash string
	// Current is the revision in force.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision: environment %q is at revision %d by %s, not at %d",
		e.Environment, e.Current.Revision, e.Current.Author, e.Seen)
}

// ReusedOperationError rejects a command that reuses the operation ID of
// another command.
type ReusedOperationError struct {
	Operation string
	// Revision is the revision that the first command created.
	Revision uint64
}

func (e *ReusedOperationError) Error() string {
	return fmt.Sprintf("revision: operation %q already led to revision %d with another document", e.Operation, e.Revision)
}

// UnknownRevisionError reports a revision that is not in the history.
type UnknownRevisionError struct {
	Environment string
	Revision    uint64
}

func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("revision: the history of environment %q does not hold revision %d", e.Environment, e.Revision)
}

// DivergenceError reports two documents under one revision. It means that the
// table service applied two writes with the same condition.
type DivergenceError struct {
	Environment string
	Revision    uint64
	Held        string
	Offered     string
}

func (e *DivergenceError) Error() string {
	return fmt.Sprintf("revision: environment %q has documents %s and %s under revision %d",
		e.Environment, e.Held, e.Offered, e.Revision)
}
