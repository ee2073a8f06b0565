package trial

import (
	"container/heap"
	"time"
)

// eventLoop runs events in order of virtual time.
type eventLoop struct {
	start  time.Time
	now    time.Duration
	events events
	serial uint64
}

func newEventLoop() *eventLoop {
	return &eventLoop{start: time.Unix(1_000_000, 0)}
}

// clock returns the current virtual time.
func (l *eventLoop) clock() time.Time {
	return l.start.Add(l.now)
}

// after schedules run after a delay.
func (l *eventLoop) after(delay time.Duration, run func()) {
	l.serial++
	heap.Push(&l.events, event{at: l.now + delay, serial: l.serial, run: run})
}

// every schedules run now and then at each interval.
func (l *eventLoop) every(interval time.Duration, run func()) {
	l.after(0, func() {
		run()
		l.after(interval, func() { l.every(interval, run) })
	})
}

// runUntil runs all events up to and including the end time.
func (l *eventLoop) runUntil(end time.Duration) {
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

// events implements heap.Interface; events at the same time run in the order in
// which they were scheduled.
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
