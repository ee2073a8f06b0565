package schedule_test

import (
	"errors"
	"fmt"
	"time"

	"almondbay.example/core/schedule"
)

// A request is refused while no replica group serves its model, and is
// dispatched once a group does.
func ExampleScheduler() {
	now := time.Unix(1_700_000_000, 0)
	scheduler := schedule.New(schedule.Config{FailureDomain: "lisbon-1", Seed: 1})
	request := schedule.Request{
		Workspace: "lisbon", Model: "draft", PromptTokens: 100,
		Notify: func(d schedule.Decision) { fmt.Println("send to", d.Group) },
	}
	_, err := scheduler.Submit(request, now)
	var refusal *schedule.Refusal
	fmt.Println(errors.As(err, &refusal), refusal.Reason)

	scheduler.SetGroups([]schedule.Group{{ID: "draft-0", Model: "draft", FailureDomain: "lisbon-1", Slots: 16, Schedulers: 1}}, now)
	ticket, err := scheduler.Submit(request, now)
	fmt.Println(err)
	scheduler.Finish(ticket, 50, now.Add(time.Second))
	// Output:
	// true noGroup
	// send to draft-0
	// <nil>
}
