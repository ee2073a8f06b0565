package relay

import (
	"time"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/platform"
)

// Paths of the calls between nodes.
const (
	pathFeed     = "/feed"
	pathProbe    = "/reach"
	pathEvidence = "/evidence"
)

type changeWire struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type feedWire struct {
	Rows    []changeWire `json:"rows"`
	Version uint64       `json:"version"`
	// Log and Index are the position of a follower that has these rows.
	Log   string `json:"log"`
	Index uint64 `json:"index"`
	AgeMs int64  `json:"ageMs"`
}

func fromLogChanges(changes LogChanges) feedWire {
	w := feedWire{
		Rows: make([]changeWire, 0, len(changes.Rows)), Version: changes.Version,
		Log: changes.Position.Log, Index: changes.Position.Index, AgeMs: changes.Age.Milliseconds(),
	}
	for _, c := range changes.Rows {
		w.Rows = append(w.Rows, changeWire{Key: c.Key, Version: c.Version, Value: c.Value, Deleted: c.Deleted})
	}
	return w
}

func (w feedWire) reading() Reading {
	r := Reading{
		Changes:  platform.Changes{Version: w.Version},
		Position: Position{Log: w.Log, Index: w.Index},
		Age:      time.Duration(w.AgeMs) * time.Millisecond,
	}
	for _, c := range w.Rows {
		r.Rows = append(r.Rows, platform.Change{Key: c.Key, Version: c.Version, Value: c.Value, Deleted: c.Deleted})
	}
	return r
}

// probeWire is the request to query the state of a backend server.
type probeWire struct {
	Server  string `json:"server"`
	Address string `json:"address"`
	Born    int64  `json:"born"`
	// FailureDomain is empty in queries of nodes that don't ask for references.
	FailureDomain string `json:"failureDomain,omitempty"`
}

func fromProbedServer(s registry.Server) probeWire {
	return probeWire{Server: s.ID, Address: s.Address, Born: s.Incarnation, FailureDomain: s.FailureDomain}
}

func (w probeWire) server() registry.Server {
	return registry.Server{ID: w.Server, Address: w.Address, Incarnation: w.Born, FailureDomain: w.FailureDomain}
}

// probeResultWire is the response to probeWire: whether the server was reached
// and its state.
type probeResultWire struct {
	Reached  bool   `json:"reached"`
	Accepted uint64 `json:"accepted"`
	Born     int64  `json:"born"`
	Group    string `json:"group"`
	Epoch    uint64 `json:"epoch"`
	Rank     int    `json:"rank"`
	State    string `json:"state"`
	Refused  bool   `json:"refused,omitempty"`
	Unclear  bool   `json:"unclear,omitempty"`
	// Witnessed is set if there was no reaction although a reference was reached.
	Witnessed bool `json:"witnessed,omitempty"`
}

func fromProbeReply(r ProbeReply) probeResultWire {
	return probeResultWire{
		Reached:   r.Reached,
		Accepted:  r.State.Accepted,
		Born:      r.State.Incarnation,
		Group:     r.State.Group.Name,
		Epoch:     r.State.Group.Epoch,
		Rank:      r.State.Group.Rank,
		State:     string(r.State.Group.State),
		Refused:   r.Refused,
		Unclear:   r.Unclear,
		Witnessed: r.Witnessed,
	}
}

func (w probeResultWire) reply() ProbeReply {
	return ProbeReply{
		Reached: w.Reached,
		State: control.State{
			Accepted:    w.Accepted,
			Incarnation: w.Born,
			Group:       registry.Membership{Name: w.Group, Epoch: w.Epoch, Rank: w.Rank, State: registry.GroupState(w.State)},
		},
		Refused:   w.Refused,
		Unclear:   w.Unclear,
		Witnessed: w.Witnessed,
	}
}
