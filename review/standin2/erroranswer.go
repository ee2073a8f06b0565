package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// greyShare is the share of its requests that a grey server fails, and greyTime how long.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
	// phases is the number of requests that crash servers, one after the other. Each is sent
	// repeats times.
	phases      = 6
	repeats     = 18
	repeatAfter = 800 * time.Millisecond
)

// errorAnswer: a request crashes each server that begins to run it, and comes again and again.
// Meanwhile one of three servers fails part of its requests.
func errorAnswer(ctx context.Context, r *run) ([]string, error) {
	const service = "wuno96b"
	if err := r.putManifest(7, []map[string]any{plainRoute("/puxa403/", "non_idempotent", service)}, []map[string]any{plainService(service)}); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	greyUntil := time.Time{}
	grey := func() bool {
		mu.Lock()
		defer mu.Unlock()

		return r.trouble && time.Now().Before(greyUntil) && rand.Float64() < greyShare
	}
	f := newFleet(r, service)
	defer f.close()
	for _, fails := range []func() bool{grey, nil, nil} {
		if err := f.start(ctx, fails); err != nil {
			return nil, err
		}
	}
	if err := r.startNodes(ctx, 3); err != nil {
		return nil, err
	}
	c := newClient(r.record)
	// About as many requests for each node as at a site.
	stop := r.traffic(ctx, c, "/puxa403/2f", 300*time.Millisecond)
	time.Sleep(4 * time.Second)
	paths := map[string]string{}
	for phase := range phases {
		mu.Lock()
		greyUntil = time.Now().Add(greyTime)
		mu.Unlock()
		if r.trouble {
			r.record.line("one of three servers begins to fail requests, for %v", greyTime)
		}
		path := fmt.Sprintf("/puxa403/%d", 77+phase)
		for i := range repeats {
			a := c.send(ctx, r.nodes[i%len(r.nodes)], "POST", path, []byte(poison), timeBudget, nil)
			paths[a.request] = path
			time.Sleep(repeatAfter)
		}
	}
	stop()
	r.record.line("answers by status: %v", c.counts())
	return f.check(paths)
}
