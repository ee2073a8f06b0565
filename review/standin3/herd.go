package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pathFails is the path of lookups that the engines answer with 500.
	pathFails = "/puxa403/fails/%d"
	// herdRate is the number of these that each machine gets in a second; each comes once more,
	// as clients repeat idempotent requests once after a failure.
	herdRate = 9
	// window, ratio and slack are those of the retry budget.
	window, ratio, slack = int64(10000), 0.2, 225.0
)

// repeats returns, for the worst window, the arrivals beyond the first of each request, and
// how many are allowed.
func (w *world) repeats() (worst int, allowed float64) {
	var sent, again []int64
	arrived := map[string]bool{}
	for _, e := range w.record.all() {
		switch {
		case e.What == "sent":
			sent = append(sent, e.Ms)
		case e.What == "reaches" && arrived[e.Request]:
			again = append(again, e.Ms)
		case e.What == "reaches":
			arrived[e.Request] = true
		}
	}
	count := func(at []int64, from int64) int {
		n := 0
		for _, t := range at {
			if t >= from && t < from+window {
				n++
			}
		}
		return n
	}
	excess := -1.0
	for _, from := range again {
		requests := max(count(sent, from), count(sent, from-window), count(sent, from-window/2))
		n, bound := count(again, from), ratio*float64(requests)+slack
		if over := float64(n) / bound; over > excess {
			excess, worst, allowed = over, n, bound
		}
	}
	return worst, allowed
}

// herd plays lookups that fail, and the kill of all machines at the same moment. It returns
// whether the rule held.
func herd(w *world, trouble string) (held bool, verdict string) {
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for k, n := range w.nodes {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / herdRate):
				}
				go func() {
					path := fmt.Sprintf(pathFails, 3*i+k)
					if w.send(n, path) >= http.StatusInternalServerError {
						w.send(n, path)
					}
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if trouble != troubleNone {
		w.record.note("all machines are killed")
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range w.nodes {
			if err := n.start(); err != nil {
				w.record.fail("start: %v", err)
			}
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	senders.Wait()
	time.Sleep(2 * time.Second)
	worst, allowed := w.repeats()
	verdict = fmt.Sprintf("in the worst window of 10 s the service got %d arrivals beyond the first of each request, %.0f are allowed", worst, allowed)
	return float64(worst) <= allowed, verdict
}
