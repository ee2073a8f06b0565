package gossip

import (
	"encoding/json"
	"time"

	"almondbay.example/internal/routing/quarantine"
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
	Evidence         []json.RawMessage  `json:"evidence,omitempty"`
	Leaving          bool               `json:"leaving,omitempty"`
	StoreUnreachable bool               `json:"blind,omitempty"`
	Digest           *digestWire        `json:"digest,omitempty"`
}

// digestWire is the JSON form of a Digest.
type digestWire struct {
	Members   []memberWire                `json:"members,omitempty"`
	Sequences map[string]uint64           `json:"sequences,omitempty"`
	Loads     map[string]int              `json:"loads"`
	Demand    map[string]float64          `json:"demand,omitempty"`
	Remote    map[string]domainReportWire `json:"remote,omitempty"`
}

// domainReportWire is the JSON form of a DomainReport.
type domainReportWire struct {
	Loads  map[string]int     `json:"loads"`
	Demand map[string]float64 `json:"demand,omitempty"`
	AgeMs  int64              `json:"ageMs"`
}

// memberWire is the JSON form of a Member.
type memberWire struct {
	Node             string  `json:"node"`
	Address          string  `json:"address"`
	Capacity         float64 `json:"capacity"`
	AgeMs            int64   `json:"ageMs"`
	Leaving          bool    `json:"leaving,omitempty"`
	StoreUnreachable bool    `json:"blind,omitempty"`
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

func encode(m Message, now time.Time) ([]byte, error) {
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
	for _, e := range m.Evidence {
		body, err := quarantine.EncodeEvidence(e)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		w.Evidence = append(w.Evidence, body)
	}
	if m.Digest != nil {
		w.Digest = fromDigest(*m.Digest, now)
	}
	return json.Marshal(w)
}

func fromDigest(d Digest, now time.Time) *digestWire {
	w := &digestWire{
		Sequences: d.Sequences, Loads: d.Loads, Demand: d.Demand,
		Members: make([]memberWire, 0, len(d.Members)), Remote: make(map[string]domainReportWire, len(d.Remote)),
	}
	for domain, r := range d.Remote {
		w.Remote[domain] = domainReportWire{Loads: r.Loads, Demand: r.Demand, AgeMs: now.Sub(r.ReceivedAt).Milliseconds()}
	}
	for _, m := range d.Members {
		w.Members = append(w.Members, memberWire{
			Node: m.Node, Address: m.Address, Capacity: m.Capacity,
			AgeMs: m.Age.Milliseconds(), Leaving: m.Leaving, StoreUnreachable: m.StoreUnreachable,
		})
	}
	return w
}

func toDigest(w digestWire, now time.Time) *Digest {
	d := &Digest{
		Sequences: w.Sequences, Loads: w.Loads, Demand: w.Demand,
		Members: make([]Member, 0, len(w.Members)), Remote: make(map[string]DomainReport, len(w.Remote)),
	}
	for domain, r := range w.Remote {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		d.Remote[domain] = DomainReport{Loads: r.Loads, Demand: r.Demand, ReceivedAt: at}
	}
	for _, m := range w.Members {
		d.Members = append(d.Members, Member{
			Node: m.Node, Address: m.Address, Capacity: m.Capacity,
			Age: time.Duration(m.AgeMs) * time.Millisecond, Leaving: m.Leaving, StoreUnreachable: m.StoreUnreachable,
		})
	}
	return d
}

// check returns an error if the message cannot be that of a node.
func (w messageWire) check() error {
	if w.Node == "" || w.FailureDomain == "" {
		return Error.New("message without a node or a failure domain")
	}
	loads := []map[string]int{w.Loads, w.DomainLoads}
	if w.Digest != nil {
		loads = append(loads, w.Digest.Loads)
		for _, r := range w.Digest.Remote {
			loads = append(loads, r.Loads)
		}
	}
	for _, l := range loads {
		for head, count := range l {
			if count < 0 {
				return Error.New("message of node %q: %d requests in flight at head %q", w.Node, count, head)
			}
		}
	}
	return nil
}

func decode(body []byte, now time.Time) (Message, error) {
	var w messageWire
	if err := json.Unmarshal(body, &w); err != nil {
		return Message{}, Error.Wrap(err)
	}
	if err := w.check(); err != nil {
		return Message{}, err
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
	for _, body := range w.Evidence {
		e, err := quarantine.DecodeEvidence(body)
		if err != nil {
			return Message{}, Error.New("message of node %q: %w", w.Node, err)
		}
		m.Evidence = append(m.Evidence, e)
	}
	if w.Digest != nil {
		m.Digest = toDigest(*w.Digest, now)
	}
	for _, l := range w.Leases {
		m.Leases = append(m.Leases, Lease{
			FailureDomain: l.FailureDomain, Holder: l.Holder, Term: l.Term,
			Sequence: l.Sequence, Duration: time.Duration(l.DurationMs) * time.Millisecond, Version: l.Version,
		})
	}
	return m, nil
}
