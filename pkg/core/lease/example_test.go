package lease_test

import (
	"fmt"
	"time"

	"almondbay.example/core/lease"
)

// A candidate reads the row of a fabric domain without a controller, acquires
// the lease and holds it until the deadline, which counts from before the
// write.
func ExampleCandidate() {
	now := time.Unix(1_700_000_000, 0)
	candidate := lease.New(lease.Config{
		FabricDomain: "fabric-1", Holder: "entry-1/boot",
		Duration: 10 * time.Second, Margin: time.Second, Interval: 3 * time.Second,
		Jitter: func(time.Duration) time.Duration { return 0 },
	})
	for !candidate.Holds(now) {
		switch command := candidate.Next(now); command.Action {
		case lease.ActionRead:
			candidate.RecordRead(lease.Versioned{Row: lease.Row{FabricDomain: "fabric-1"}}, now)
		case lease.ActionWrite:
			fmt.Println("write term", command.Row.Term)
			candidate.RecordWrite(lease.OutcomeApplied, now)
		case lease.ActionWait:
			now = command.At
		}
	}
	fmt.Println("held:", candidate.Holds(now), "term:", candidate.Term())
	fmt.Println("held after 9 s:", candidate.Holds(now.Add(9*time.Second)))
	// Output:
	// write term 1
	// held: true term: 1
	// held after 9 s: false
}
