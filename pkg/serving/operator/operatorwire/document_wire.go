// Package operatorwire holds the JSON forms of the admin API, shared by the
// server and the client.
package operatorwire

import (
	"time"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
)

// Paths of the admin API. A part with a colon stands for a value.
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

// Query parameters of a document.
const (
	QueryOperation = "operation"
	QueryParent    = "parent"
	QueryRevision  = "revision"
)

// Outcome tells what became of a command.
type Outcome string

// Outcomes of a refused command.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Entry is one accepted revision.
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

// FromEntry maps an entry to its wire form.
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

// ToEntry maps a wire form back.
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

// Document is an accepted document with its revision.
type Document struct {
	Entry Entry `json:"entry"`
	// Body holds the bytes of the document, in base64.
	Body []byte `json:"body"`
}

// Promotion asks to accept the document of another environment.
type Promotion struct {
	Operation      string `json:"operation"`
	Source         string `json:"source"`
	SourceRevision uint64 `json:"sourceRevision"`
	Parent         uint64 `json:"parent"`
}

// UndoRequest asks to accept the document of an earlier revision again.
type UndoRequest struct {
	Operation string `json:"operation"`
	Parent    uint64 `json:"parent"`
	To        uint64 `json:"to"`
}

// History lists the revisions of an environment, the newest first.
type History struct {
	Environment string  `json:"environment"`
	Entries     []Entry `json:"entries"`
}

// Drain is one VM that is to receive no new work.
type Drain struct {
	VM          string    `json:"vm"`
	Author      string    `json:"author"`
	RequestedAt time.Time `json:"requestedAt"`
}

// Drains lists all drains.
type Drains struct {
	Drains []Drain `json:"drains"`
}

// Problem is the body of a refusal.
type Problem struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	Faults  []Fault `json:"faults,omitempty"`
	// Current is the revision in force that a conflict lost against.
	Current *Entry `json:"current,omitempty"`
	// Changes turn the document that the author saw into the one in force.
	Changes []Change `json:"changes,omitempty"`
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Pointer string `json:"pointer,omitempty"`
	Message string `json:"message"`
}

// FromFaults maps faults to their wire form.
func FromFaults(faults jsonc.Faults) []Fault {
	wire := make([]Fault, 0, len(faults))
	for _, f := range faults {
		wire = append(wire, Fault(f))
	}
	return wire
}

// ToFaults maps a wire form back.
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

// FromChanges maps changes to their wire form.
func FromChanges(changes []document.Change) []Change {
	wire := make([]Change, 0, len(changes))
	for _, c := range changes {
		wire = append(wire, Change(c))
	}
	return wire
}

// ToChanges maps a wire form back.
func ToChanges(wire []Change) []document.Change {
	changes := make([]document.Change, 0, len(wire))
	for _, c := range wire {
		changes = append(changes, document.Change(c))
	}
	return changes
}
