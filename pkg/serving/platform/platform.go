// Package platform speaks to the platform that the system runs on: the table
// service, the object store, the list of VMs and the weight store.
//
// The interfaces are narrow so that another platform is one file. HTTP clients
// and in-memory implementations pass the same contract tests.
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
	// Version grows by one with each write of the row; zero means that the
	// row is absent. A row written anew after its deletion goes on from the
	// version that it had, so that no two values ever share a version.
	Version uint64
	// Operation is the ID of the transaction that wrote this version.
	Operation string
	Value     []byte
}

// Condition holds when the row at Key has exactly Version.
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

// Transaction is applied whole when every condition holds, else not at all.
type Transaction struct {
	// Operation identifies the transaction; it is kept in each row written, so
	// that a read tells whether a transaction with a lost answer took effect.
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
	// Commit applies a transaction. It returns a ConflictError when a condition
	// does not hold, a RefusedError when the transaction was certainly not
	// applied, and an UnknownError when its outcome is not known.
	Commit(ctx context.Context, t Transaction) error
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMs is the lagging list of live and leaving VMs.
type VMs interface {
	List(ctx context.Context) ([]fleet.VM, error)
}
