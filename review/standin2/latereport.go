package main

import (
	"context"
	"fmt"
	"time"
)

// drainBound is drainMs.
const drainBound = 2 * time.Second

const (
	// lateBy is the time after which the store performs a write that got no response.
	lateBy = 5900 * time.Millisecond
	// drainAfter is the time from that write until the server reports that it is draining. The
	// store has been sound for longer than contactMs then.
	drainAfter = 3500 * time.Millisecond
)

// lateReport: a liveness report gets no response from the store, which performs it seconds
// later. In between the server reports that it is draining.
func lateReport(ctx context.Context, r *run) ([]string, error) {
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
	stop := r.traffic(ctx, c, "/puxa403/2f", 40*time.Millisecond)
	time.Sleep(5 * time.Second)
	leaving := f.servers[0]
	value, callSeq := leaving.entry()
	sent := time.Now()
	if r.trouble {
		r.record.line("liveness report %d of server %s (ready) gets no response; the store performs it %v later", callSeq, leaving.id, lateBy)
	} else {
		r.store.put("servers", leaving.id, value)
	}
	time.Sleep(time.Until(sent.Add(drainAfter)))
	drained := leaving.drain()
	r.record.line("server %s reports that it is draining; the store acknowledges it", leaving.id)
	time.Sleep(time.Until(sent.Add(lateBy)))
	if r.trouble {
		r.store.put("servers", leaving.id, value)
		r.record.line("the store performs the late report %d of server %s", callSeq, leaving.id)
	}
	time.Sleep(time.Until(sent.Add(9500 * time.Millisecond)))
	stop()
	r.record.line("answers by status: %v", c.counts())
	if c.counts()[200] < 100 {
		return nil, fmt.Errorf("too few requests were served: %v", c.counts())
	}
	late := leaving.arrivalsSince(drained.Add(drainBound))
	if len(late) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reach server %s later than %v after the store acknowledged that it is draining, the first %.3f s after",
		len(late), leaving.id, drainBound, late[0].at.Sub(drained).Seconds())}, nil
}
