package membership_test

import (
	"fmt"
	"slices"

	"almondbay.example/core/membership"
)

// Nodes that know the same live nodes compute the same probers for a member.
// When one prober is lost, only that one is replaced.
func ExampleProbers() {
	nodes := []string{"node-1", "node-2", "node-3", "node-4"}
	before := membership.Probers("vm-7", nodes)
	lost := before[0]
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == lost })
	after := membership.Probers("vm-7", remaining)
	fmt.Println(len(before), len(after))
	fmt.Println("the other prober is unchanged:", slices.Contains(after, before[1]))
	// Output:
	// 2 2
	// the other prober is unchanged: true
}
