package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pause is the Retry-After of a server that has just started, and pauseReaction the time
	// after that answer from which the rule counts. It allows maxPaused requests.
	pause         = 5 * time.Second
	pauseReaction = 500 * time.Millisecond
	maxPaused     = 2
	// machineHeader is a header of the clients that names the machine they send to; other
	// headers are forwarded.
	machineHeader = "Via-Machine"
)

// pausedRestart: a server starts again under the ID that it had, and asks each machine for a
// pause before its first liveness report is due.
func pausedRestart(ctx context.Context, r *run) ([]string, error) {
	const service = "wuno96b"
	if err := r.putManifest(7, []map[string]any{plainRoute("/puxa403/", "non_idempotent", service)}, []map[string]any{plainService(service)}); err != nil {
		return nil, err
	}
	f := newFleet(r, service)
	defer f.close()
	for range 3 {
		if err := f.start(ctx, nil); err != nil {
			return nil, err
		}
	}
	if err := r.startNodes(ctx, 2); err != nil {
		return nil, err
	}
	c := newClient(r.record)
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			n := r.nodes[i%len(r.nodes)]
			g.Go(func() {
				c.send(ctx, n, "POST", "/puxa403/2f", fmt.Appendf(nil, "slot %d", i), timeBudget, map[string]string{machineHeader: n.name})
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	asked := map[string]time.Time{}
	broken := map[string]int{}
	pausing := func(w http.ResponseWriter, req *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()

		m := req.Header.Get(machineHeader)
		at, ok := asked[m]
		if !ok {
			asked[m] = time.Now()
			w.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
			r.record.line("the server asks %s for a pause of %v", m, pause)
			return true
		}
		if d := time.Since(at); d > pauseReaction && d < pause {
			broken[m]++
		}
		return false
	}
	old := f.servers[0]
	s := old
	if r.trouble {
		address, id := old.address, old.id
		old.end()
		r.record.line("server %s ends", id)
		time.Sleep(300 * time.Millisecond)
		s = &server{record: r.record, store: r.store, id: id, service: service, zone: r.zones[0], address: address, slots: 6, work: 30 * time.Millisecond, pauses: pausing, firstBeat: 800 * time.Millisecond}
		if err := startServer(ctx, s); err != nil {
			return nil, err
		}
		defer s.end()
		r.record.line("server %s has started again; its first liveness report comes 0.8 s later", id)
	} else {
		s.mu.Lock()
		s.pauses = pausing
		s.mu.Unlock()
	}
	time.Sleep(7 * time.Second)
	cancel()
	g.Wait()
	r.record.line("answers by status: %v", c.counts())
	mu.Lock()
	defer mu.Unlock()

	if len(asked) == 0 {
		return nil, fmt.Errorf("no pause was asked for")
	}
	var out []string
	for m, n := range broken {
		r.record.line("%d requests from %s in the pause", n, m)
		if n > maxPaused {
			out = append(out, fmt.Sprintf("BUDGET: %d requests reach server %s from %s in the pause that it asked for", n, s.id, m))
		}
	}
	return out, nil
}
