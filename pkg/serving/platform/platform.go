// Package platform defines the interfaces to the platform that the system runs
// on: the table service, the object store and the list of VMs.
//
// The interfaces are narrow so that support for another platform fits in one
// file. HTTP clients and in-memory implementations pass the same contract tests.
package platform

import (
	"context"

	"github.com/zeebo/errs"

	"almondbay.example/core/fleet"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// Row is one row of the table service.
type Row struct {
	Key string
	// Version increases with each write of the row; zero means that it is absent.
	// The table service increases it by one. A store that counts all its
	// transactions in one version may skip numbers. A row that is written again
	// after its deletion gets a version above its last one, so that no two values
	// of a row ever share a version.
	Version uint64
	// Operation is the ID of the transaction that wrote this version.
	Operation string
	Value     []byte
}

// Condition requires that the row at Key has exactly Version.
type Condition struct {
	Key string
	// Version zero requires that the row is absent.
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a set of writes that is applied atomically if all conditions
// hold, and not at all otherwise.
type Transaction struct {
	// Operation identifies the transaction. It is stored in each written row, so
	// that a read shows whether a transaction took effect whose answer was lost.
	Operation  string
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service.
type Table interface {
	// Read returns the row at key; an absent row has Version zero.
	Read(ctx context.Context, key string) (Row, error)
	// Range returns the rows whose keys start with prefix, in key order.
	Range(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction. It returns a ConflictError if a condition
	// does not hold, a RefusedError if the transaction was certainly not applied
	// for another reason, and an UnknownError if its outcome is unknown.
	Commit(ctx context.Context, t Transaction) error
}

// Objects is the object store.
type Objects interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the body of an object, or a NotFoundError if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMs is the platform's list of VMs, live and leaving. It may lag behind the
// actual state.
type VMs interface {
	// List returns all VMs in the list.
	List(ctx context.Context) ([]fleet.VM, error)
}
