// Package recovery turns panics into errors, so that a malformed message or row
// fails one step of a node in place of the whole process.
package recovery

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic that was recovered.
type PanicError struct {
	// Value is what the function panicked with.
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack)
}

// Call calls f and returns its error, or a PanicError if it panics.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: string(debug.Stack())}
		}
	}()
	return f()
}
