package membership_test

import (
	"fmt"
	"slices"

	"almondbay.example/core/membership"
)

// Nodes that see the same live nodes agree on who probes a member. When one of
// its probers is lost only its place is taken by another.
func ExampleProbers() {
	nodes := []string{"node-1", "node-2", "node-3", "node-4"}
	before := membership.Probers("vm-7", nodes)
	lost := before[0]
	left := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == lost })
	after := membership.Probers("vm-7", left)
	fmt.Println(len(before), len(after))
	fmt.Println("the other prober stays:", slices.Contains(after, before[1]))
	// Output:
	// 2 2
	// the other prober stays: true
}
