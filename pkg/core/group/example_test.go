package group_test

import (
	"fmt"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
)

// A replica group is proven only while every member has recently reported the
// identity in the row; without the report of one member, Prove fails.
func ExampleProve() {
	now := time.Unix(1_700_000_000, 0)
	row := group.Row{
		ID: "draft-0", Model: "draft", Version: "v1", Epoch: 3, State: group.StateServing,
		Members: []string{"vm-1", "vm-2"}, Boots: map[string]string{"vm-1": "x", "vm-2": "y"},
	}
	reports := make(map[string]fleet.Report)
	for _, member := range row.Members {
		reports[member] = fleet.Report{
			Identity: fleet.Identity{
				Member: member, Boot: row.Boots[member], Group: "draft-0", Epoch: 3, Model: "draft", Version: "v1",
			},
			Phase: fleet.PhaseReady, SeenAt: now,
		}
	}
	report := func(member string) (fleet.Report, bool) {
		r, ok := reports[member]
		return r, ok
	}
	fmt.Println(group.Prove(row, report, now, 2*time.Second))
	delete(reports, "vm-2")
	fmt.Println(group.Prove(row, report, now, 2*time.Second) != nil)
	// Output:
	// <nil>
	// true
}
