package platform

import "fmt"

// ConflictError reports a transaction that was not applied since the row at
// Key has another version than its condition asks for.
type ConflictError struct {
	Key string
	// Version is the version that the row has.
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: row %q is at version %d", e.Key, e.Version)
}

// RefusedError reports a request that the platform certainly did not run.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string {
	return "platform: request refused: " + e.Reason
}

// UnknownError reports a request whose outcome is not known: it may have been
// applied, may still be applied later, or may never be.
type UnknownError struct {
	Reason string
}

func (e *UnknownError) Error() string {
	return "platform: outcome not known: " + e.Reason
}

// NotFoundError reports an object that the object store does not hold.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: no object %q", e.Name)
}
