// Package trial runs the real scheduler against fake engines under a fake
// clock and measures the service that callers get. It is for experiments on
// scheduling policies; it does not model replicas, control or the platform.
package trial

import (
	"container/heap"
	"time"
)

// loop runs events in order of time.
type loop struct {
	start  time.Time
	now    time.Duration
	events events
	serial uint64
}

func newLoop() *loop {
	return &loop{start: time.Unix(1_000_000, 0)}
}

// clock returns the present time of the trial.
func (l *loop) clock() time.Time {
	return l.start.Add(l.now)
}

// after runs the event after a delay.
func (l *loop) after(delay time.Duration, run func()) {
	l.serial++
	heap.Push(&l.events, event{at: l.now + delay, serial: l.serial, run: run})
}

// every runs the event at once and then at each interval.
func (l *loop) every(interval time.Duration, run func()) {
	l.after(0, func() {
		run()
		l.after(interval, func() { l.every(interval, run) })
	})
}

// runUntil runs all events up to the end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
