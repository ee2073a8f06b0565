// Package operatorwire defines the paths and JSON messages of the admin API, which
// the server and the client share.
package operatorwire

import (
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
)

// Paths of the admin API. A segment that begins with a colon is a parameter.
const (
	PathDocument  = "/v1/environments/:environment/document"
	PathPromotion = "/v1/environments/:environment/promotion"
	PathUndo      = "/v1/environments/:environment/undoing"
	PathHistory   = "/v1/environments/:environment/history"
	PathStatus    = "/v1/status"
	PathBurn      = "/v1/burn"
	PathDrains    = "/v1/drains"
	PathDrain     = "/v1/drains/:vm"
	PathMetrics   = "/metrics"
	PathPage      = "/"
)

// Query parameters of PathDocument.
const (
	QueryOperation = "operation"
	QueryParent    = "parent"
	QueryRevision  = "revision"
)

// Outcome is the outcome of a command that was refused.
type Outcome string

// Outcomes of a refused command.
const (
	// OutcomeNotRun means that the command had no effect.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the command may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Entry is the JSON form of one accepted revision.
type Entry struct {
	Revision          uint64    `json:"revision"`
	Hash              string    `json:"hash"`
	Parent            uint64    `json:"parent"`
	Operation         string    `json:"operation"`
	Kind              string    `json:"kind"`
	Author            string    `json:"author"`
	SourceEnvironment string    `json:"sourceEnvironment,omitempty"`
	SourceRevision    uint64    `json:"sourceRevision,omitempty"`
	AcceptedAt        time.Time `json:"acceptedAt"`
}

// FromEntry converts an entry to its wire form.
func FromEntry(e revision.Entry) Entry {
	return Entry{
		Revision:          e.Revision,
		Hash:              e.Hash,
		Parent:            e.Parent,
		Operation:         e.Operation,
		Kind:              string(e.Kind),
		Author:            e.Author,
		SourceEnvironment: e.Source.Environment,
		SourceRevision:    e.Source.Revision,
		AcceptedAt:        e.AcceptedAt,
	}
}

// ToEntry converts the wire form to an entry.
func ToEntry(w Entry) revision.Entry {
	return revision.Entry{
		Revision:   w.Revision,
		Hash:       w.Hash,
		Parent:     w.Parent,
		Operation:  w.Operation,
		Kind:       revision.Kind(w.Kind),
		Author:     w.Author,
		Source:     revision.Source{Environment: w.SourceEnvironment, Revision: w.SourceRevision},
		AcceptedAt: w.AcceptedAt,
	}
}

// Document is an accepted document with the entry of its revision.
type Document struct {
	Entry Entry `json:"entry"`
	// Body is the document as submitted; it is base64 in JSON.
	Body []byte `json:"body"`
}

// Promotion is the body of a command that accepts the document of another
// environment.
type Promotion struct {
	Operation      string `json:"operation"`
	Source         string `json:"source"`
	SourceRevision uint64 `json:"sourceRevision"`
	Parent         uint64 `json:"parent"`
}

// UndoRequest is the body of a command that accepts the document of an earlier
// revision again.
type UndoRequest struct {
	Operation string `json:"operation"`
	Parent    uint64 `json:"parent"`
	To        uint64 `json:"to"`
}

// History lists the revisions of an environment, newest first.
type History struct {
	Environment string  `json:"environment"`
	Entries     []Entry `json:"entries"`
}

// Drain is a VM that must not receive new work.
type Drain struct {
	VM          string    `json:"vm"`
	Author      string    `json:"author"`
	RequestedAt time.Time `json:"requestedAt"`
}

// Drains lists all drains.
type Drains struct {
	Drains []Drain `json:"drains"`
}

// Problem is the body of an error response.
type Problem struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	Faults  []Fault `json:"faults,omitempty"`
	// Current is the revision in force, for a conflict.
	Current *Entry `json:"current,omitempty"`
	// Changes lists the differences from the document that the author saw to the
	// one in force, for a conflict.
	Changes []Change `json:"changes,omitempty"`
}

// Fault is an error in a document and its position.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Pointer string `json:"pointer,omitempty"`
	Message string `json:"message"`
}

// FromFaults converts faults to their wire form.
func FromFaults(faults jsonc.Faults) []Fault {
	wire := make([]Fault, 0, len(faults))
	for _, f := range faults {
		wire = append(wire, Fault(f))
	}
	return wire
}

// ToFaults converts the wire form to faults.
func ToFaults(wire []Fault) jsonc.Faults {
	var faults jsonc.Faults
	for _, f := range wire {
		faults = append(faults, jsonc.Fault(f))
	}
	return faults
}

// Change is one difference between two documents.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// FromChanges converts changes to their wire form.
func FromChanges(changes []document.Change) []Change {
	wire := make([]Change, 0, len(changes))
	for _, c := range changes {
		wire = append(wire, Change(c))
	}
	return wire
}

// ToChanges converts the wire form to changes.
func ToChanges(wire []Change) []document.Change {
	changes := make([]document.Change, 0, len(wire))
	for _, c := range wire {
		changes = append(changes, document.Change(c))
	}
	return changes
}
