package revision

import "sync"

// Origin is the source from which a node received a revision.
type Origin string

// Origins of a revision, the more trusted first.
const (
	OriginPlatform Origin = "platform"
	OriginPeer     Origin = "peer"
)

// FollowerState is the revision that a Follower holds.
type FollowerState struct {
	Entry
	// Confirmed is set once the platform itself has reported this revision or
	// a higher one, which shows that the node did not start with an outdated
	// one.
	Confirmed bool
}

// Follower holds the revision in force at one node for one environment. The
// revision never decreases. A Follower is safe for concurrent use.
type Follower struct {
	environment string

	mu   sync.Mutex
	held FollowerState
}

// NewFollower returns a follower without a revision; its node is not ready.
func NewFollower(environment string) *Follower {
	return &Follower{environment: environment}
}

// Offer submits a revision received from the platform or a peer, whose
// document is available to the node. It reports whether the follower adopted
// it. A lower revision is ignored: a late answer, a lagging peer or a platform
// restored from an old copy must not revert the node. Another document under
// the current revision returns a DivergenceError and is not adopted.
func (f *Follower) Offer(e Entry, from Origin) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Revision < f.held.Revision || e.Revision == 0 {
		return false, nil
	}
	if e.Revision == f.held.Revision && e.Hash != f.held.Hash {
		return false, &DivergenceError{
			Environment: f.environment, Revision: e.Revision,
			Held: f.held.Hash, Offered: e.Hash,
		}
	}
	newer := e.Revision > f.held.Revision
	f.held.Confirmed = from == OriginPlatform || (f.held.Confirmed && !newer)
	if newer {
		f.held.Entry = e
	}
	return newer, nil
}

// State returns what the follower holds. Its Revision is zero while the node
// has received none and must not serve.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}
