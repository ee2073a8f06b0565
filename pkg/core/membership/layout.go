// Package membership assigns the members of replica groups to the nodes that
// probe them, and disseminates probe results among the nodes of a failure
// domain.
//
// Each prober publishes a section: the members it probes, their last reports,
// and a version that is incremented on each change. Changes are forwarded
// immediately along two trees over the domain's nodes. When nothing changes, a
// node sends only the ages of its sections, where the age of a section is the
// time since the oldest probe behind its version. A receiver that holds the
// same version adopts the age; one that does not is sent the difference. The
// trees only determine which nodes exchange messages: nodes that compute
// different trees still converge on the same sections.
//
// The package does no I/O. The caller passes the current time to all methods.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ProbersPerMember is the number of nodes that probe each member.
	ProbersPerMember = 2
	// Trees is the number of trees over the nodes of a failure domain. An inner
	// node of one tree is usually a leaf of the other.
	Trees = 2
	// maxChildren is the maximum number of children of a node in one tree.
	maxChildren = 6
)

// Choose returns the n nodes with the highest rendezvous hash weight for key,
// heaviest first. Adding or removing a node reassigns few keys.
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

// Probers returns the nodes that are assigned to probe a member.
func Probers(member string, nodes []string) []string {
	return Choose("probe/"+member, nodes, ProbersPerMember)
}

// rank returns the nodes in descending order of their hash with key.
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

// Tree is a dissemination tree over the nodes of a failure domain. Nodes that
// know the same set of nodes compute the same tree.
type Tree struct {
	// order holds the nodes in level order, starting with the root.
	order []string
	// index holds the position of each node in order.
	index map[string]int
}

// NewTree returns tree number i, from 0 to Trees-1, over nodes.
func NewTree(i int, nodes []string) Tree {
	order := rank("tree/"+string(rune('0'+i)), nodes)
	index := make(map[string]int, len(order))
	for p, node := range order {
		index[node] = p
	}
	return Tree{order: order, index: index}
}

// Root returns the root, or "" if the tree has no nodes.
func (t Tree) Root() string {
	if len(t.order) == 0 {
		return ""
	}
	return t.order[0]
}

// Parent returns the parent of a node, or "" for the root and for a node that
// is not in the tree.
func (t Tree) Parent(node string) string {
	p, ok := t.index[node]
	if !ok || p == 0 {
		return ""
	}
	return t.order[(p-1)/maxChildren]
}

// Children returns the children of a node, or nil if it is not in the tree.
func (t Tree) Children(node string) []string {
	p, ok := t.index[node]
	if !ok {
		return nil
	}
	first := min(p*maxChildren+1, len(t.order))
	return t.order[first:min(first+maxChildren, len(t.order))]
}

// Subtree returns a node and all its descendants in level order.
func (t Tree) Subtree(node string) []string {
	if _, ok := t.index[node]; !ok {
		return nil
	}
	nodes := []string{node}
	for i := 0; i < len(nodes); i++ {
		nodes = append(nodes, t.Children(nodes[i])...)
	}
	return nodes
}
