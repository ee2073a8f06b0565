package platform

import "fmt"

// ConflictError reports a transaction that was not applied because the row at
// Key does not have the version that a condition requires.
type ConflictError struct {
	Key string
	// Version is the row's actual version.
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: row %q is at version %d", e.Key, e.Version)
}

// RefusedError reports a request that certainly had no effect, since it was not
// sent or the platform rejected it.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string {
	return "platform: request refused: " + e.Reason
}

// UnknownError reports a request whose outcome is unknown: it may have been
// applied, may still be applied later, or may never be.
type UnknownError struct {
	Reason string
}

func (e *UnknownError) Error() string {
	return "platform: outcome unknown: " + e.Reason
}

// NotFoundError reports that the object store has no object with a name.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: object %q not found", e.Name)
}
