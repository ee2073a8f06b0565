// Package registry caches the registrations of backend servers on a node and
// derives which servers can be sent requests and which replica groups are
// complete. It does no I/O; a follower of the platform's tables updates it.
package registry

import (
	"slices"
	"time"
)

// GroupState is the state of a replica group as reported by one member.
type GroupState string

// States of a replica group as reported by a member. Only the head reports open
// or closing.
const (
	StateJoining GroupState = "joining"
	StateReady   GroupState = "ready"
	StateOpen    GroupState = "open"
	StateClosing GroupState = "closing"
	StateBroken  GroupState = "broken"
)

// Membership is a backend server's membership in a replica group.
type Membership struct {
	// Name is empty while the server is in no group.
	Name  string
	Epoch uint64
	// Rank is zero for the head.
	Rank  int
	State GroupState
}

// Server is the registration of one incarnation of a backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining is set once the server has announced that it will shut down.
	Draining bool
	// Incarnation distinguishes restarts of a server under the same ID; zero if not
	// reported.
	Incarnation int64
	// Sequence is the position of the report that the registration holds among those of
	// its incarnation, beginning with one; zero if not reported.
	Sequence uint64
	// FabricDomain is empty for plain services.
	FabricDomain string
	// Staged lists the models whose weights are loaded on the server's host.
	Staged []string
	// Model is the model of the server's current or last group; empty before the
	// first.
	Model string
	Group Membership
}

// Life identifies one run of a server, from its start to its end.
type Life struct {
	ID          string
	Incarnation int64
}

// Life returns the run of the server that the registration is about.
func (s Server) Life() Life {
	return Life{ID: s.ID, Incarnation: s.Incarnation}
}

// Supersedes reports whether a registration is newer than another one of the same server:
// of a later life, or a later report of the same one. The version of the row doesn't tell,
// since the store may perform the write of a report late. It decides only between
// registrations without a start time or a sequence.
func (s Server) Supersedes(known Server) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation > known.Incarnation
	}
	if s.Incarnation == 0 || s.Sequence == 0 || known.Sequence == 0 {
		return true
	}
	return s.Sequence > known.Sequence
}

// Outdates reports whether a registration is newer than another one of the same server by
// its start time or sequence alone.
func (s Server) Outdates(known Server) bool {
	return s.Supersedes(known) && !known.Supersedes(s)
}

// In reports whether the server is a member of the given group under the given
// epoch.
func (s Server) In(group string, epoch uint64) bool {
	return s.Group.Name == group && s.Group.Epoch == epoch
}

// HasStaged reports whether the weights of a model are loaded on the server's
// host.
func (s Server) HasStaged(model string) bool {
	return slices.Contains(s.Staged, model)
}

// Ready reports whether the server has joined a group that isn't broken.
func (m Membership) Ready() bool {
	return m.State == StateReady || m.State == StateOpen || m.State == StateClosing
}

// Record is a registration with the times at which this node observed it.
type Record struct {
	Server
	// Version is the version of the row that it was read from.
	Version uint64
	// SeenAt is when this node first observed this incarnation of the server.
	SeenAt time.Time
	// ChangedAt is when this node observed Version.
	ChangedAt time.Time
	// ServedEpoch is the highest epoch of a group in which this incarnation of the server
	// reported that it was ready or served; zero if this node read no such report. Reports
	// are ordered, so that the registration is not older than that report.
	ServedEpoch uint64
	// Leaving is set once the server said in an answer to this node that it is about
	// to shut down.
	Leaving bool
	// Doubtful is set while it isn't known which run of the server said that it is about to
	// shut down: this one or the one that was registered then.
	Doubtful bool
	// MissingSince is when this node observed that the row was deleted; zero while
	// the row exists.
	MissingSince time.Time
	// HeardAt is the latest time at which the server may have renewed a registration whose
	// row was deleted since; zero while the row exists.
	HeardAt time.Time
}

// HasLeft reports whether the server is known to have left a group, or the group to be
// broken, by a report that is newer than one in which it was a ready member.
func (r Record) HasLeft(group string, epoch uint64) bool {
	ordered := r.Incarnation != 0 && r.Sequence != 0
	return ordered && r.ServedEpoch >= epoch && (!r.In(group, epoch) || r.Group.State == StateBroken)
}
