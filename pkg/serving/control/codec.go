package control

import (
	"encoding/json"
	"time"

	"almondbay.example/core/group"
	"almondbay.example/core/lease"
)

// wireGroup is the JSON form of a replica group's row.
type wireGroup struct {
	ID           string            `json:"id"`
	Model        string            `json:"model"`
	Slot         int               `json:"slot"`
	FabricDomain string            `json:"fabricDomain"`
	Epoch        uint64            `json:"epoch"`
	State        string            `json:"state"`
	Members      []string          `json:"members,omitempty"`
	Version      string            `json:"version"`
	Adapters     []string          `json:"adapters,omitempty"`
	Boots        map[string]string `json:"boots,omitempty"`
	Failed       bool              `json:"failed,omitempty"`
	Failures     int               `json:"failures,omitempty"`
	Yielded      bool              `json:"yielded,omitempty"`
	Revision     uint64            `json:"revision"`
}

// wireVM is the JSON form of a VM's row.
type wireVM struct {
	ID           string `json:"id"`
	FabricDomain string `json:"fabricDomain"`
	Group        string `json:"group,omitempty"`
	Epoch        uint64 `json:"epoch,omitempty"`
	Leader       bool   `json:"leader,omitempty"`
	Gone         bool   `json:"gone,omitempty"`
	Failures     int    `json:"failures,omitempty"`
	Term         uint64 `json:"term"`
}

// wireRollout is the JSON form of the rollout row of a model.
type wireRollout struct {
	Model    string `json:"model"`
	Group    string `json:"group"`
	Revision uint64 `json:"revision"`
}

// wireLease is the JSON form of the lease row of a fabric domain.
type wireLease struct {
	FabricDomain   string `json:"fabricDomain"`
	Holder         string `json:"holder,omitempty"`
	Term           uint64 `json:"term"`
	Sequence       uint64 `json:"sequence"`
	DurationMillis int64  `json:"durationMillis"`
}

// wireTerm is the JSON form of the term row of a fabric domain; see termPrefix.
type wireTerm struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// DecodeGroup decodes the row of a replica group.
func DecodeGroup(value []byte) (group.Row, error) {
	var w wireGroup
	if err := json.Unmarshal(value, &w); err != nil {
		return group.Row{}, Error.Wrap(err)
	}
	return group.Row{
		ID:           w.ID,
		Model:        w.Model,
		Slot:         w.Slot,
		FabricDomain: w.FabricDomain,
		Epoch:        w.Epoch,
		State:        group.State(w.State),
		Members:      w.Members,
		Version:      w.Version,
		Adapters:     w.Adapters,
		Boots:        w.Boots,
		Failed:       w.Failed,
		Failures:     w.Failures,
		Yielded:      w.Yielded,
		Revision:     w.Revision,
	}, nil
}

// EncodeGroup encodes the row of a replica group.
func EncodeGroup(r group.Row) []byte {
	return mustEncode(wireGroup{
		ID:           r.ID,
		Model:        r.Model,
		Slot:         r.Slot,
		FabricDomain: r.FabricDomain,
		Epoch:        r.Epoch,
		State:        string(r.State),
		Members:      r.Members,
		Version:      r.Version,
		Adapters:     r.Adapters,
		Boots:        r.Boots,
		Failed:       r.Failed,
		Failures:     r.Failures,
		Yielded:      r.Yielded,
		Revision:     r.Revision,
	})
}

func decodeVM(value []byte) (group.VMRow, error) {
	var w wireVM
	if err := json.Unmarshal(value, &w); err != nil {
		return group.VMRow{}, Error.Wrap(err)
	}
	return group.VMRow{
		ID:           w.ID,
		FabricDomain: w.FabricDomain,
		Group:        w.Group,
		Epoch:        w.Epoch,
		Leader:       w.Leader,
		Gone:         w.Gone,
		Failures:     w.Failures,
		Term:         w.Term,
	}, nil
}

func encodeVM(r group.VMRow) []byte {
	return mustEncode(wireVM{
		ID:           r.ID,
		FabricDomain: r.FabricDomain,
		Group:        r.Group,
		Epoch:        r.Epoch,
		Leader:       r.Leader,
		Gone:         r.Gone,
		Failures:     r.Failures,
		Term:         r.Term,
	})
}

func decodeRollout(value []byte) (group.Rollout, error) {
	var w wireRollout
	if err := json.Unmarshal(value, &w); err != nil {
		return group.Rollout{}, Error.Wrap(err)
	}
	return group.Rollout{Model: w.Model, Group: w.Group, Revision: w.Revision}, nil
}

func encodeRollout(r group.Rollout) []byte {
	return mustEncode(wireRollout{Model: r.Model, Group: r.Group, Revision: r.Revision})
}

// decodeLease returns the zero Row if no lease row exists yet.
func decodeLease(value []byte) (lease.Row, error) {
	if len(value) == 0 {
		return lease.Row{}, nil
	}
	var w wireLease
	if err := json.Unmarshal(value, &w); err != nil {
		return lease.Row{}, Error.Wrap(err)
	}
	return lease.Row{
		FabricDomain: w.FabricDomain,
		Holder:       w.Holder,
		Term:         w.Term,
		Sequence:     w.Sequence,
		Duration:     time.Duration(w.DurationMillis) * time.Millisecond,
	}, nil
}

func encodeLease(r lease.Row) []byte {
	return mustEncode(wireLease{
		FabricDomain:   r.FabricDomain,
		Holder:         r.Holder,
		Term:           r.Term,
		Sequence:       r.Sequence,
		DurationMillis: r.Duration.Milliseconds(),
	})
}

func decodeTerm(value []byte) (uint64, error) {
	var w wireTerm
	if err := json.Unmarshal(value, &w); err != nil {
		return 0, Error.Wrap(err)
	}
	return w.Term, nil
}

func encodeTerm(r lease.Row) []byte {
	return mustEncode(wireTerm{Term: r.Term, Holder: r.Holder})
}

// mustEncode encodes a row as JSON. It panics on an error, which can't occur
// for the wire types of this package.
func mustEncode(w any) []byte {
	body, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return body
}
