package gossip

import (
	"encoding/json"
	"time"
)

// messageWire is the JSON form of a Message.
type messageWire struct {
	Node             string             `json:"node"`
	FailureDomain    string             `json:"failureDomain"`
	Capacity         float64            `json:"capacity,omitempty"`
	Incarnation      int64              `json:"incarnation"`
	Sequence         uint64             `json:"sequence"`
	Loads            map[string]int     `json:"loads,omitempty"`
	DomainLoads      map[string]int     `json:"domainLoads,omitempty"`
	Progressed       []string           `json:"moved,omitempty"`
	Stalled          []string           `json:"stalled,omitempty"`
	Demand           map[string]float64 `json:"demand,omitempty"`
	DomainDemand     map[string]float64 `json:"domainDemand,omitempty"`
	Leases           []leaseWire        `json:"leases,omitempty"`
	Leaving          bool               `json:"leaving,omitempty"`
	StoreUnreachable bool               `json:"blind,omitempty"`
}

// leaseWire is the JSON form of a Lease.
type leaseWire struct {
	FailureDomain string `json:"failureDomain"`
	Holder        string `json:"holder"`
	Term          uint64 `json:"term"`
	Sequence      uint64 `json:"sequence"`
	DurationMs    int64  `json:"durationMs"`
	Version       uint64 `json:"version"`
}

func encode(m Message) ([]byte, error) {
	w := messageWire{
		Node:             m.Node,
		FailureDomain:    m.FailureDomain,
		Capacity:         m.Capacity,
		Incarnation:      m.Incarnation,
		Sequence:         m.Sequence,
		Loads:            m.Loads,
		DomainLoads:      m.DomainLoads,
		Stalled:          m.Stalled,
		Progressed:       m.Progressed,
		Demand:           m.Demand,
		DomainDemand:     m.DomainDemand,
		Leaving:          m.Leaving,
		StoreUnreachable: m.StoreUnreachable,
	}
	for _, l := range m.Leases {
		w.Leases = append(w.Leases, leaseWire{
			FailureDomain: l.FailureDomain, Holder: l.Holder, Term: l.Term,
			Sequence: l.Sequence, DurationMs: l.Duration.Milliseconds(), Version: l.Version,
		})
	}
	return json.Marshal(w)
}

func decode(body []byte) (Message, error) {
	var w messageWire
	if err := json.Unmarshal(body, &w); err != nil {
		return Message{}, Error.Wrap(err)
	}
	m := Message{
		Node:             w.Node,
		FailureDomain:    w.FailureDomain,
		Capacity:         w.Capacity,
		Incarnation:      w.Incarnation,
		Sequence:         w.Sequence,
		Loads:            w.Loads,
		DomainLoads:      w.DomainLoads,
		Stalled:          w.Stalled,
		Progressed:       w.Progressed,
		Demand:           w.Demand,
		DomainDemand:     w.DomainDemand,
		Leaving:          w.Leaving,
		StoreUnreachable: w.StoreUnreachable,
	}
	for _, l := range w.Leases {
		m.Leases = append(m.Leases, Lease{
			FailureDomain: l.FailureDomain, Holder: l.Holder, Term: l.Term,
			Sequence: l.Sequence, Duration: time.Duration(l.DurationMs) * time.Millisecond, Version: l.Version,
		})
	}
	return m, nil
}
