package control

import (
	"encoding/json"
	"time"

	"almondbay.example/core/lease"
	"almondbay.example/internal/fleet/formation"
)

// leaseWire is the stored form of a lease.
type leaseWire struct {
	Holder     string `json:"holder"`
	Term       uint64 `json:"term"`
	Sequence   uint64 `json:"sequence"`
	DurationMs int64  `json:"durationMs"`
	// Era is that of the store in which the row was written.
	Era uint64 `json:"era,omitempty"`
}

// planWire is the stored form of a plan.
type planWire struct {
	LastEpoch uint64      `json:"lastEpoch"`
	Groups    []groupWire `json:"groups"`
	Lost      []rangeWire `json:"lost,omitempty"`
	// Era is that of the store in which the row was written.
	Era uint64 `json:"era,omitempty"`
}

// rangeWire is a range of epochs.
type rangeWire struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

type groupWire struct {
	Name         string       `json:"name"`
	FabricDomain string       `json:"fabricDomain"`
	Model        string       `json:"model"`
	Epoch        uint64       `json:"epoch"`
	Members      []memberWire `json:"members"`
	HeadAddress  string       `json:"headAddress,omitempty"`
	Dissolving   bool         `json:"dissolving,omitempty"`
}

type memberWire struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

func encodeLease(r lease.Row, era uint64) ([]byte, error) {
	return json.Marshal(leaseWire{Holder: r.Holder, Term: r.Term, Sequence: r.Sequence, DurationMs: r.Duration.Milliseconds(), Era: era})
}

// decodeLease returns a lease and the era in which it was written.
func decodeLease(failureDomain string, value []byte) (lease.Row, uint64, error) {
	var w leaseWire
	if err := json.Unmarshal(value, &w); err != nil {
		return lease.Row{}, 0, Error.New("decode lease of failure domain %q: %w", failureDomain, err)
	}
	return lease.Row{
		FabricDomain: failureDomain,
		Holder:       w.Holder,
		Term:         w.Term,
		Sequence:     w.Sequence,
		Duration:     time.Duration(w.DurationMs) * time.Millisecond,
	}, w.Era, nil
}

func encodePlan(p formation.Plan, era uint64) ([]byte, error) {
	w := planWire{LastEpoch: p.LastEpoch, Groups: make([]groupWire, 0, len(p.Groups)), Era: era}
	for _, r := range p.Lost {
		w.Lost = append(w.Lost, rangeWire{First: r.First, Last: r.Last})
	}
	for _, g := range p.Groups {
		next := groupWire{Name: g.Name, FabricDomain: g.FabricDomain, Model: g.Model, Epoch: g.Epoch, HeadAddress: g.HeadAddress, Dissolving: g.Dissolving}
		for _, m := range g.Members {
			next.Members = append(next.Members, memberWire{ID: m.ID, Born: m.Incarnation})
		}
		w.Groups = append(w.Groups, next)
	}
	return json.Marshal(w)
}

// decodePlan returns a plan and the era in which it was written.
func decodePlan(value []byte) (formation.Plan, uint64, error) {
	var w planWire
	if err := json.Unmarshal(value, &w); err != nil {
		return formation.Plan{}, 0, Error.New("decode plan: %w", err)
	}
	p := formation.Plan{LastEpoch: w.LastEpoch}
	for _, r := range w.Lost {
		p.Lost = append(p.Lost, formation.EpochRange{First: r.First, Last: r.Last})
	}
	for _, g := range w.Groups {
		next := formation.Group{Name: g.Name, FabricDomain: g.FabricDomain, Model: g.Model, Epoch: g.Epoch, HeadAddress: g.HeadAddress, Dissolving: g.Dissolving}
		for _, m := range g.Members {
			next.Members = append(next.Members, formation.Member{ID: m.ID, Incarnation: m.Born})
		}
		p.Groups = append(p.Groups, next)
	}
	return p, w.Era, nil
}
