package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// contactBound is contactMs.
	contactBound = 3 * time.Second
	// backAfter is the time after which a server that crashed is back.
	backAfter = 2 * time.Second
	// crashesBefore is the number of crashes from which the bound on retries counts, and
	// maxRetries the number of retries that it allows later than contactBound after them.
	crashesBefore = 3
	maxRetries    = 3
)

// fleet is the servers of a plain service, which requests can crash. Each comes back as a new
// server.
type fleet struct {
	run     *run
	service string

	mu      sync.Mutex
	servers []*server
	// crashes has the times at which requests of a path crashed servers.
	crashes map[string][]time.Time
	closed  bool
}

func newFleet(r *run, service string) *fleet {
	return &fleet{run: r, service: service, crashes: map[string][]time.Time{}}
}

// start starts a server. It fails the requests for which fails reports true; fails may be nil.
func (f *fleet) start(ctx context.Context, fails func() bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.closed {
		return nil
	}
	s := &server{
		record: f.run.record, store: f.run.store, id: fmt.Sprintf("i-%08x", 0x5ae19b40+len(f.servers)), service: f.service,
		zone: f.run.zones[0], address: "127.0.0.1:0", slots: 6, work: 30 * time.Millisecond, fails: fails,
	}
	s.crash = func(path string) {
		f.mu.Lock()
		f.crashes[path] = append(f.crashes[path], time.Now())
		f.mu.Unlock()
		time.AfterFunc(backAfter, func() { _ = f.start(ctx, fails) })
	}
	f.servers = append(f.servers, s)
	return startServer(ctx, s)
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.closed = true
	for _, s := range f.servers {
		s.end()
	}
}

// check returns which of the crashing requests reached servers too often. paths has the path
// of each client attempt with such a request.
func (f *fleet) check(paths map[string]string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.crashes) == 0 {
		return nil, fmt.Errorf("no request crashed a server")
	}
	var broken []string
	for path, at := range f.crashes {
		if len(at) < crashesBefore {
			return nil, fmt.Errorf("request %s crashed only %d servers", path, len(at))
		}
		late := 0
		for _, s := range f.servers {
			for _, a := range s.arrivalsSince(at[crashesBefore-1].Add(contactBound)) {
				if paths[a.request] == path {
					late++
				}
			}
		}
		f.run.record.line("request %s crashed %d servers; %d retries reach servers later than %v after the third crash", path, len(at), late, contactBound)
		if late > maxRetries {
			broken = append(broken, fmt.Sprintf("BUDGET: request %s reaches servers in %d retries later than %v after it has crashed the third; it crashed %d servers",
				path, late, contactBound, len(at)))
		}
	}
	return broken, nil
}

// traffic sends sound requests to all nodes, each in its turn, until the returned function is
// called.
func (r *run) traffic(ctx context.Context, c *client, path string, gap time.Duration) (stop func()) {
	trafficCtx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	g.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			n := r.nodes[i%len(r.nodes)]
			g.Go(func() { c.send(ctx, n, "POST", path, fmt.Appendf(nil, "slot %d", i), timeBudget, nil) })
			time.Sleep(gap)
		}
	})
	return func() {
		cancel()
		g.Wait()
	}
}

// timeBudget is that of requests for plain services.
const timeBudget = 1500 * time.Millisecond
