package ingress

import (
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/quarantine"
)

// recordLoss reports a try that its head left without a complete response, in case
// the head ended.
func (q *request) recordLoss(a *attempt, head registry.Head, now time.Time) {
	if a.withdrawn.Load() {
		return
	}
	progressAt := a.lastProgress()
	if !a.abrupt && !a.abandoned && now.Sub(progressAt) < q.handler.config.StallAfter {
		// The head was sending data when the try was canceled.
		return
	}
	if a.abrupt {
		q.lostHeads = append(q.lostHeads, head)
	}
	q.result.Marks = q.content.Marks()
	marks := q.result.Marks
	if !a.abrupt && !a.abandoned || a.writingSince(now) > maxCrashDelay {
		// A part of a prompt ends a server when that begins to write.
		marks = marks[:1]
	}
	l := quarantine.Loss{Marks: marks, Head: head, Since: progressAt, At: now, Abrupt: a.abrupt}
	if a.abandoned {
		l.Until = now.Add(maxCrashDelay)
	}
	q.handler.config.OnLoss(l)
}

// maxCrashDelay is the time from the first event of a response until a part of the prompt
// has ended the server, if it does.
const maxCrashDelay = time.Second

// quarantined returns the cause for which the request must not be sent to a server;
// empty if there is none.
func (q *request) quarantined(now time.Time) string {
	c := q.handler.config
	m, ok := c.Guard.Culprit(q.content, now)
	if !ok {
		return ""
	}
	if m.Part != "" && q.possibleRuns == 0 && (q.result.Trial || c.Guard.Trial(q.content, now, c.SendsTrial)) {
		q.result.Trial = true
		return ""
	}
	q.result.Marks = q.content.Marks()
	if m.Part != "" {
		return causePartQuarantined + m.Part
	}
	return causeQuarantined
}

// Causes of requests that are not sent to a server because servers ended under them.
const (
	causeQuarantined = "request ends the backend servers that run it"
	// causePartQuarantined is followed by the ID of the part.
	causePartQuarantined = "a part of the prompt ends the backend servers that run it: "
)
