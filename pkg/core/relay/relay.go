// Package relay decides how a new revision of the document is distributed to all
// nodes: which nodes poll the platform, to which nodes a node forwards a
// revision, and which bytes of the document it sends.
//
// A few nodes of each failure domain poll the platform. A poller is the root of
// a distribution tree over the nodes of its failure domain. With two pollers
// each node receives a revision twice, over different paths, so that one lost
// message delays no node. A node that both trees miss gets the revision by
// gossip with a random peer.
package relay

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PollersPerDomain is the number of nodes in each failure domain that poll the
// platform.
const PollersPerDomain = 2

// Fanout is the maximum number of nodes to which a node forwards a revision.
const Fanout = 8

// IsPoller reports whether a node is a poller of its failure domain, by
// rendezvous hashing. Nodes with the same member list agree on the pollers. A
// node that is missing from members is treated as a member.
func IsPoller(self string, members []string) bool {
	order := ranked("poll", withMember(members, self))
	return slices.Contains(order[:min(PollersPerDomain, len(order))], self)
}

// Owner returns the member that is responsible for a key, by rendezvous hashing.
// It is empty when there are no members.
func Owner(key string, members []string) string {
	order := ranked(key, members)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// Children returns the nodes to which self forwards a revision in the
// distribution tree with the given root. Members are the nodes of the failure
// domain.
func Children(root, self string, members []string) []string {
	all := withMember(withMember(members, root), self)
	order := ranked(root, all)
	order = slices.DeleteFunc(order, func(id string) bool { return id == root })
	order = slices.Insert(order, 0, root)
	index := slices.Index(order, self)
	first := min(index*Fanout+1, len(order))
	last := min(first+Fanout, len(order))
	return slices.Clone(order[first:last])
}

// withMember returns the members including id.
func withMember(members []string, id string) []string {
	if slices.Contains(members, id) {
		return members
	}
	return append(slices.Clone(members), id)
}

// ranked returns the members ordered by their hash with a seed.
func ranked(seed string, members []string) []string {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashWeight(seed, a), hashWeight(seed, b)), cmp.Compare(a, b))
	})
	return order
}

// hashWeight returns the hash of a member ID with a seed.
func hashWeight(seed, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(seed)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Delta is the difference between two documents: the new document consists of
// the first Prefix bytes of the old one, Middle, and the last Suffix bytes of
// the old one.
type Delta struct {
	Prefix int
	Suffix int
	Middle []byte
}

// NewDelta returns the delta from before to after.
func NewDelta(before, after []byte) Delta {
	prefix := 0
	for prefix < len(before) && prefix < len(after) && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(before)-prefix && suffix < len(after)-prefix &&
		before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: bytes.Clone(after[prefix : len(after)-suffix])}
}

// Apply applies the delta to before and returns the new document. It reports
// false when before is too short for the delta. Other mismatches are not
// detected; the caller must check the digest of the result.
func (d Delta) Apply(before []byte) ([]byte, bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(before) || d.Suffix > len(before)-d.Prefix {
		return nil, false
	}
	return slices.Concat(before[:d.Prefix], d.Middle, before[len(before)-d.Suffix:]), true
}
