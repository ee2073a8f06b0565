// Package relay decides how a new revision of the document reaches all nodes:
// which nodes poll the platform, to whom a node passes a revision on, and what
// of the document's bytes it sends.
//
// A few nodes of each failure domain poll. A poller is the root of a tree over
// the nodes of its failure domain; with two pollers each node hears twice, by
// different ways, so that one lost relay delays nobody. Whoever was missed
// still learns by comparing notes with a random peer.
package relay

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PollersPerDomain is the number of nodes in each failure domain that poll the platform.
const PollersPerDomain = 2

// Fanout is the number of nodes that a node passes a revision on to.
const Fanout = 8

// IsPoller tells whether a node is among the pollers of its failure domain, by
// rendezvous hashing. Nodes that see the same members agree; a node that is not
// among the members counts as one.
func IsPoller(self string, members []string) bool {
	order := ordered("poll", with(members, self))
	return slices.Contains(order[:min(PollersPerDomain, len(order))], self)
}

// Owner returns the member that is responsible for a key, by rendezvous
// hashing; empty without members.
func Owner(key string, members []string) string {
	order := ordered(key, members)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// Children returns the nodes that self passes a revision on to, in the tree
// whose root is the given node. Members are the nodes of the failure domain.
func Children(root, self string, members []string) []string {
	all := with(with(members, root), self)
	order := ordered(root, all)
	order = slices.DeleteFunc(order, func(id string) bool { return id == root })
	order = slices.Insert(order, 0, root)
	place := slices.Index(order, self)
	first := min(place*Fanout+1, len(order))
	last := min(first+Fanout, len(order))
	return slices.Clone(order[first:last])
}

// with returns the members with one more, if it is missing.
func with(members []string, id string) []string {
	if slices.Contains(members, id) {
		return members
	}
	return append(slices.Clone(members), id)
}

// ordered sorts members by their hash with a seed.
func ordered(seed string, members []string) []string {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(seed, a), weight(seed, b)), cmp.Compare(a, b))
	})
	return order
}

func weight(seed, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(seed)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Delta turns the bytes of one document into those of another: the first
// Prefix and the last Suffix bytes stay, Middle stands between them.
type Delta struct {
	Prefix int
	Suffix int
	Middle []byte
}

// NewDelta returns the delta that turns before into after.
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

// Apply returns the bytes that the delta makes of before. It reports false when
// the delta was made for other bytes; the caller checks the digest of the rest.
func (d Delta) Apply(before []byte) ([]byte, bool) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(before) || d.Suffix > len(before)-d.Prefix {
		return nil, false
	}
	return slices.Concat(before[:d.Prefix], d.Middle, before[len(before)-d.Suffix:]), true
}
