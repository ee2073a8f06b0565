package peer

import (
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/core/membership"
)

// wireMessage is a message of a link. Durations are in microseconds. The JSON
// names are short because every node sends the message at every heartbeat.
type wireMessage struct {
	Node        string      `json:"n"`
	Session     uint64      `json:"s"`
	PeerSession uint64      `json:"t,omitempty"`
	Sequence    uint64      `json:"i"`
	Ack         uint64      `json:"a,omitempty"`
	Clock       int64       `json:"c"`
	Echo        int64       `json:"e,omitempty"`
	EchoDelay   int64       `json:"h,omitempty"`
	IndexBase   int         `json:"xb,omitempty"`
	Index       []string    `json:"x,omitempty"`
	Deltas      []wireDelta `json:"d,omitempty"`
	Resync      []string    `json:"o,omitempty"`
	// Ages holds one byte for each numbered section, encoded in base64.
	Ages []byte `json:"g,omitempty"`
}

type wireDelta struct {
	Node        string            `json:"n"`
	Incarnation uint64            `json:"i"`
	Version     uint64            `json:"v"`
	Base        uint64            `json:"b,omitempty"`
	Age         int64             `json:"a"`
	Results     []wireProbeResult `json:"s,omitempty"`
	Dropped     []string          `json:"d,omitempty"`
}

type wireProbeResult struct {
	Member   string      `json:"m"`
	Missing  bool        `json:"x,omitempty"`
	LoadOnly bool        `json:"u,omitempty"`
	Boot     string      `json:"b,omitempty"`
	Group    string      `json:"g,omitempty"`
	Epoch    uint64      `json:"e,omitempty"`
	Model    string      `json:"mo,omitempty"`
	Version  string      `json:"v,omitempty"`
	Phase    fleet.Phase `json:"p,omitempty"`
	Term     uint64      `json:"t,omitempty"`
	Leaving  bool        `json:"l,omitempty"`
	Running  int         `json:"r,omitempty"`
	Waiting  int         `json:"w,omitempty"`
	Slots    int         `json:"s,omitempty"`
	Tokens   int         `json:"k,omitempty"`
	Adapters []string    `json:"a,omitempty"`
}

func wireMessageOf(m membership.Message) wireMessage {
	w := wireMessage{
		Node: m.From, Session: m.Session, PeerSession: m.PeerSession, Sequence: m.Sequence, Ack: m.Ack,
		// Microseconds rounds Clock and EchoDelay down, so that the receiver never
		// computes a time that is too late.
		Clock: m.Clock.Microseconds(), Echo: m.Echo.Microseconds(), EchoDelay: m.EchoDelay.Microseconds(),
		IndexBase: m.IndexBase, Index: m.Index, Resync: m.Resync, Ages: m.Ages,
	}
	if m.Echo == 0 {
		w.EchoDelay = 0
	}
	for _, d := range m.Deltas {
		w.Deltas = append(w.Deltas, wireDeltaOf(d))
	}
	return w
}

func toMessage(w wireMessage) membership.Message {
	m := membership.Message{
		From: w.Node, Session: w.Session, PeerSession: w.PeerSession, Sequence: w.Sequence, Ack: w.Ack,
		Clock: microseconds(w.Clock), Echo: microseconds(w.Echo), EchoDelay: microseconds(w.EchoDelay),
		IndexBase: w.IndexBase, Index: w.Index, Resync: w.Resync, Ages: w.Ages,
	}
	for _, d := range w.Deltas {
		m.Deltas = append(m.Deltas, toDelta(d))
	}
	return m
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func wireDeltaOf(d membership.Delta) wireDelta {
	w := wireDelta{
		Node: d.Node, Incarnation: d.Incarnation, Version: d.Version, Base: d.Base,
		// The age is rounded up, so that data never seem newer than they are.
		Age: d.Age.Microseconds() + 1, Dropped: d.Dropped,
	}
	for _, s := range d.Results {
		w.Results = append(w.Results, wireProbeResultOf(s))
	}
	return w
}

func toDelta(w wireDelta) membership.Delta {
	d := membership.Delta{
		Position: membership.Position{Node: w.Node, Incarnation: w.Incarnation, Version: w.Version},
		Age:      microseconds(w.Age), Base: w.Base, Dropped: w.Dropped,
	}
	for _, s := range w.Results {
		d.Results = append(d.Results, toProbeResult(s))
	}
	return d
}

func wireProbeResultOf(s membership.ProbeResult) wireProbeResult {
	r := s.Report
	return wireProbeResult{
		Member: s.Member, Missing: s.Missing, LoadOnly: s.LoadOnly, Boot: r.Identity.Boot,
		Group: r.Identity.Group, Epoch: r.Identity.Epoch,
		Model: r.Identity.Model, Version: r.Identity.Version,
		Phase: r.Phase, Term: r.Term, Leaving: r.Leaving,
		Running: r.Load.Running, Waiting: r.Load.Waiting, Slots: r.Load.Slots, Tokens: r.Load.Tokens,
		Adapters: r.Adapters,
	}
}

func toProbeResult(w wireProbeResult) membership.ProbeResult {
	return membership.ProbeResult{
		Member: w.Member, Missing: w.Missing, LoadOnly: w.LoadOnly,
		Report: fleet.Report{
			Identity: fleet.Identity{
				Member: w.Member, Boot: w.Boot, Group: w.Group, Epoch: w.Epoch,
				Model: w.Model, Version: w.Version,
			},
			Phase: w.Phase, Term: w.Term, Leaving: w.Leaving,
			Load:     fleet.Load{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Tokens: w.Tokens},
			Adapters: w.Adapters,
		},
	}
}
