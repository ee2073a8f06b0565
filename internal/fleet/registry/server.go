// Package registry keeps what a node believes of the backend servers that
// registered themselves: who serves, who leaves, and which replica groups are
// whole. It does no I/O; a follower of the platform's tables feeds it.
package registry

import (
	"slices"
	"time"
)

// GroupState is the state that a member reports of its replica group.
type GroupState string

// States of a replica group as its members report them. Only the head is ever
// open or closing.
const (
	StateJoining GroupState = "joining"
	StateReady   GroupState = "ready"
	StateOpen    GroupState = "open"
	StateClosing GroupState = "closing"
	StateBroken  GroupState = "broken"
)

// Membership is the replica group that a backend server is in.
type Membership struct {
	// Name is empty while the server is in no group.
	Name  string
	Epoch uint64
	// Rank is zero for the head.
	Rank  int
	State GroupState
}

// Server is one life of a backend server by its own words.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining is set once it has announced that it leaves.
	Draining bool
	// Incarnation tells two lives under the same ID apart; zero when not stated.
	Incarnation int64
	// FabricDomain is empty for plain services.
	FabricDomain string
	// Staged lists the models whose weights its host holds.
	Staged []string
	// Model is the model of its current or last group; empty before the first.
	Model string
	Group Membership
}

// In reports whether the server is a member of exactly this group and epoch.
func (s Server) In(group string, epoch uint64) bool {
	return s.Group.Name == group && s.Group.Epoch == epoch
}

// HasStaged reports whether the host holds the weights of model.
func (s Server) HasStaged(model string) bool {
	return slices.Contains(s.Staged, model)
}

// Record is a registration together with how it is known.
type Record struct {
	Server
	// Version is the version of the row that it was read from.
	Version uint64
	// SeenAt is when this node first learned of this life of the server.
	SeenAt time.Time
	// ChangedAt is when this node learned of the version.
	ChangedAt time.Time
	// MissingSince is when this node learned that the row is gone; zero while it is
	// there.
	MissingSince time.Time
}
