package attempt_test

import (
	"fmt"
	"time"

	"almondbay.example/core/attempt"
)

// A stream fails after three tokens and another group resumes it at that offset.
// A late frame of the first attempt is dropped.
func ExampleRequest() {
	now := time.Unix(1_700_000_000, 0)
	budgets := attempt.NewBudgets(attempt.DefaultBudgetConfig())
	request := attempt.NewRequest(attempt.Spec{Workspace: "lisbon", Idempotent: true, Resumable: true, MaxAttempts: 3})

	first := request.Begin(attempt.Target{Group: "draft-0", Epoch: 1, Version: "v1"})
	request.Written(first)
	request.Answered(first)
	request.Accept(attempt.Frame{Attempt: first, Tokens: 3, Indexed: true})
	next := request.Fail(first, attempt.FailureBroken, budgets, now)
	fmt.Println("retry:", next.Retry, "at token", next.Offset, "avoiding", next.Avoid)

	second := request.Begin(attempt.Target{Group: "draft-1", Epoch: 4, Version: "v1"})
	request.Written(second)
	late := request.Accept(attempt.Frame{Attempt: first, Offset: 3, Tokens: 1, Indexed: true})
	fmt.Println("late frame dropped:", late == attempt.Drop)
	request.Accept(attempt.Frame{Attempt: second, Offset: 3, Tokens: 2, Indexed: true, End: true})
	fmt.Println("complete:", request.Complete(), "tokens:", request.Forwarded(), "outcome:", request.Outcome())
	// Output:
	// retry: true at token 3 avoiding [draft-0]
	// late frame dropped: true
	// complete: true tokens: 5 outcome: ran
}
