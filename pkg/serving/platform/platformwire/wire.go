// Package platformwire defines the wire types of the platform's HTTP protocol
// and their conversion to and from the types of package platform.
package platformwire

import (
	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform"
)

// Paths of the platform's HTTP protocol.
const (
	PathRead    = "/table/read"
	PathRange   = "/table/range"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
)

// KeyRequest is the body of a read of the row at Key, or of a range read of the
// rows whose keys start with Key.
type KeyRequest struct {
	Key string `json:"key"`
}

// Row is one row of the table service.
type Row struct {
	Key       string `json:"key"`
	Version   uint64 `json:"version"`
	Operation string `json:"operation,omitempty"`
	Value     []byte `json:"value,omitempty"`
}

// Rows is the answer to a range read.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition is one condition of a transaction.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is one write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the body of a commit.
type Transaction struct {
	Operation  string      `json:"operation"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Conflict is the answer to a commit with a condition that does not hold. It
// names the row and its actual version.
type Conflict struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// VM is one entry of the list of VMs.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	FabricDomain  string `json:"fabricDomain,omitempty"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	Accelerators  int    `json:"accelerators,omitempty"`
	State         string `json:"state"`
}

// VMs is the list of VMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// FromRow converts a row to its wire type.
func FromRow(r platform.Row) Row {
	return Row{
		Key:       r.Key,
		Version:   r.Version,
		Operation: r.Operation,
		Value:     r.Value,
	}
}

// ToRow converts a row from its wire type.
func ToRow(r Row) platform.Row {
	return platform.Row{
		Key:       r.Key,
		Version:   r.Version,
		Operation: r.Operation,
		Value:     r.Value,
	}
}

// FromTransaction converts a transaction to its wire type.
func FromTransaction(t platform.Transaction) Transaction {
	out := Transaction{Operation: t.Operation}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range t.Writes {
		out.Writes = append(out.Writes, Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return out
}

// ToTransaction converts a transaction from its wire type.
func ToTransaction(t Transaction) platform.Transaction {
	out := platform.Transaction{Operation: t.Operation}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, platform.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range t.Writes {
		out.Writes = append(out.Writes, platform.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return out
}

// FromVM converts a VM to its wire type.
func FromVM(v fleet.VM) VM {
	return VM{
		ID:            v.ID,
		Address:       v.Address,
		FailureDomain: v.FailureDomain,
		FabricDomain:  v.FabricDomain,
		Role:          string(v.Role),
		Service:       v.Service,
		Accelerators:  v.Accelerators,
		State:         string(v.State),
	}
}

// ToVM converts a VM from its wire type.
func ToVM(v VM) fleet.VM {
	return fleet.VM{
		ID:            v.ID,
		Address:       v.Address,
		FailureDomain: v.FailureDomain,
		FabricDomain:  v.FabricDomain,
		Role:          fleet.Role(v.Role),
		Service:       v.Service,
		Accelerators:  v.Accelerators,
		State:         fleet.VMState(v.State),
	}
}
