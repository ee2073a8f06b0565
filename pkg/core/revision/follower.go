package revision

import "sync"

// Origin tells where a node learnt a revision.
type Origin string

// Origins of a revision, the more trusted first.
const (
	OriginPlatform Origin = "platform"
	OriginPeer     Origin = "peer"
)

// FollowerState is what a follower holds.
type FollowerState struct {
	Entry
	// Confirmed is set once the platform itself has shown this revision or a
	// higher one, so that the node knows that it did not start behind.
	Confirmed bool
}

// Follower holds the revision in force at one node for one environment. It
// only ever moves up. It is safe for concurrent use.
type Follower struct {
	environment string

	mu   sync.Mutex
	held FollowerState
}

// NewFollower returns a follower that holds nothing; its node is not ready.
func NewFollower(environment string) *Follower {
	return &Follower{environment: environment}
}

// Offer takes a revision that the platform or a peer shows, whose document the
// node has at hand. It reports whether the follower moved up. A lower revision
// is ignored: a late answer, a lagging peer or a platform restored from an old
// copy must not revert the node. It returns a SplitError for another document
// under the revision held, and keeps the one held.
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
	moved := e.Revision > f.held.Revision
	f.held.Confirmed = from == OriginPlatform || (f.held.Confirmed && !moved)
	if moved {
		f.held.Entry = e
	}
	return moved, nil
}

// State returns what the follower holds; its Revision is zero while the node
// has learnt nothing and must not serve.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}
