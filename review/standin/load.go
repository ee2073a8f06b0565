package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// load runs closed-loop clients, spread over the nodes, until the end. They begin one after
// the other within spread.
func (d *deployment) load(clients int, spread time.Duration, end time.Time, pause time.Duration, send func(c *client) outcome) *outcomes {
	var all outcomes
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			c := &client{address: d.nodes[i%len(d.nodes)].frontend, record: d.record}
			defer c.close()
			time.Sleep(spread * time.Duration(i) / time.Duration(clients))
			for time.Now().Before(end) {
				o := send(c)
				all.add(o)
				time.Sleep(max(o.retryAfter, pause/2+rand.N(pause)))
			}
		})
	}
	g.Wait()
	return &all
}

// judgeRuns checks TWICE and REFUSED: a request that isn't idempotent ran more than once,
// or was answered with a promise that it has not run and ran.
func (d *deployment) judgeRuns(all *outcomes) bool {
	// A run that begins after the answer would count too.
	time.Sleep(time.Second)
	runs, where := d.runsOf()
	answered, promised, twice, refused := 0, 0, 0, 0
	for _, o := range all.all {
		if o.err == nil && o.status == 200 {
			answered++
		}
		if o.promise {
			promised++
		}
		if runs[o.id] > 1 {
			twice++
			d.record.say("TWICE: request %s ran %d times, at %v; its client got status %d (error %v)", o.id, runs[o.id], where[o.id], o.status, o.err)
		}
		if o.promise && runs[o.id] > 0 {
			refused++
			d.record.say("REFUSED: request %s was answered %d and ran %d times, at %v", o.id, o.status, runs[o.id], where[o.id])
		}
	}
	d.record.say("%d requests, %d answered 200, %d refused as not run; %d ran more than once, %d ran though refused", len(all.all), answered, promised, twice, refused)
	return twice+refused > 0
}
