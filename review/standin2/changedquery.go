package main

import (
	"context"
	"fmt"
	"time"
)

// changedQuery: a request crashes each server that begins to run it, and comes again with the
// same path, caller and body. Its query counts the client's tries.
func changedQuery(ctx context.Context, r *run) ([]string, error) {
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
	if err := r.startNodes(ctx, 3); err != nil {
		return nil, err
	}
	c := newClient(r.record)
	stop := r.traffic(ctx, c, "/puxa403/2f", 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	const path = "/puxa403/77"
	paths := map[string]string{}
	for i := range 25 {
		query := "?try=1"
		if r.trouble {
			query = fmt.Sprintf("?try=%d", i+1)
		}
		a := c.send(ctx, r.nodes[i%len(r.nodes)], "POST", path+query, []byte(poison), timeBudget, nil)
		paths[a.request] = path
		time.Sleep(time.Second)
	}
	stop()
	r.record.line("answers by status: %v", c.counts())
	return f.check(paths)
}
