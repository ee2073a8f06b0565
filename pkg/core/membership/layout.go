// Package membership decides who probes which member of a replica group, and
// how what the probers see spreads over the nodes of a failure domain.
//
// Each prober keeps a section: the members it probes, their last reports, and
// a version that grows with each change. Changes are passed on at once along
// two trees over the domain's nodes. When nothing changes a node passes on a
// summary, a hash of the versions that it holds and the age of the oldest
// probe behind them; a node that holds the same versions takes over their age,
// and one that does not asks for the difference. Trees only decide who talks
// to whom: nodes that see different trees still end with the same sections.
//
// The package does no I/O. All methods take the time from the caller.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ProbersPerMember is the number of nodes that probe each member.
	ProbersPerMember = 2
	// Trees is the number of trees over the nodes of a failure domain; a node
	// that is inside one tree is most often a leaf of the other.
	Trees = 2
	// fanOut bounds the children of a node in one tree.
	fanOut = 6
)

// Choose returns the n nodes that rendezvous hashing ranks first for key. Few
// keys change hands when a node comes or goes.
func Choose(key string, nodes []string, n int) []string {
	chosen := make([]string, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, node := range nodes {
		w := xxhash.Sum64String(key + "/" + node)
		i := len(chosen)
		for i > 0 && (w > weights[i-1] || w == weights[i-1] && node < chosen[i-1]) {
			i--
		}
		if i == n {
			continue
		}
		chosen = slices.Insert(chosen, i, node)
		weights = slices.Insert(weights, i, w)
		if len(chosen) > n {
			chosen, weights = chosen[:n], weights[:n]
		}
	}
	return chosen
}

// Probers returns the nodes that probe a member.
func Probers(member string, nodes []string) []string {
	return Choose("probe/"+member, nodes, ProbersPerMember)
}

// rank orders nodes by their hash with key.
func rank(key string, nodes []string) []string {
	weights := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		weights[node] = xxhash.Sum64String(key + "/" + node)
	}
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}

// Tree is a tree over the nodes of a failure domain, the same at every node
// that sees the same nodes.
type Tree struct {
	// order holds the nodes level by level, the root first.
	order []string
	place map[string]int
}

// NewTree returns tree number i over nodes.
func NewTree(i int, nodes []string) Tree {
	order := rank("tree/"+string(rune('0'+i)), nodes)
	place := make(map[string]int, len(order))
	for p, node := range order {
		place[node] = p
	}
	return Tree{order: order, place: place}
}

// Root returns the root; empty when the tree has no nodes.
func (t Tree) Root() string {
	if len(t.order) == 0 {
		return ""
	}
	return t.order[0]
}

// Parent returns the parent of a node; empty for the root and for a node that
// is not in the tree.
func (t Tree) Parent(node string) string {
	p, ok := t.place[node]
	if !ok || p == 0 {
		return ""
	}
	return t.order[(p-1)/fanOut]
}

// Children returns the children of a node.
func (t Tree) Children(node string) []string {
	p, ok := t.place[node]
	if !ok {
		return nil
	}
	first := min(p*fanOut+1, len(t.order))
	return t.order[first:min(first+fanOut, len(t.order))]
}

// Subtree returns a node and all nodes below it.
func (t Tree) Subtree(node string) []string {
	if _, ok := t.place[node]; !ok {
		return nil
	}
	nodes := []string{node}
	for i := 0; i < len(nodes); i++ {
		nodes = append(nodes, t.Children(nodes[i])...)
	}
	return nodes
}
