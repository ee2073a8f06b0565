package lease_test

import (
	"fmt"
	"time"

	"almondbay.example/core/lease"
)

// A machine reads the row of a fabric domain that nobody controls, takes the
// lease, and holds it until its deadline, which counts from before the write.
func ExampleCandidate() {
	now := time.Unix(1_700_000_000, 0)
	machine := lease.New(lease.Config{
		FabricDomain: "fabric-1", Holder: "entry-1/boot",
		Duration: 10 * time.Second, Margin: time.Second, Interval: 3 * time.Second,
		Jitter: func(time.Duration) time.Duration { return 0 },
	})
	for !machine.Holds(now) {
		switch command := machine.Next(now); command.Action {
		case lease.ActionRead:
			machine.RecordRead(lease.Versioned{Row: lease.Row{FabricDomain: "fabric-1"}}, now)
		case lease.ActionWrite:
			fmt.Println("write term", command.Row.Term)
			machine.RecordWrite(lease.OutcomeApplied, now)
		case lease.ActionWait:
			now = command.At
		}
	}
	fmt.Println("held:", machine.Holds(now), "term:", machine.Term())
	fmt.Println("held after 9 s:", machine.Holds(now.Add(9*time.Second)))
	// Output:
	// write term 1
	// held: true term: 1
	// held after 9 s: false
}
