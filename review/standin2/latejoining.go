package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lateJoining: the liveness report of a head that begins to join gets no response from the
// store, which performs it seconds later, when the group is open. A member of the group begins
// to drain then.
func lateJoining(ctx context.Context, r *run) ([]string, error) {
	const service = "huvo11a"
	p := newPool(r, service)
	defer p.close()
	var head *engine
	var late []byte
	var sent time.Time
	p.onJoining = func(e *engine, value []byte) bool {
		if head == e && !sent.IsZero() {
			return false
		}
		if head != nil || e.group.Rank != 0 {
			return false
		}
		head, late, sent = e, value, time.Now()
		if r.trouble {
			r.record.line("liveness report of %s (group: %s) gets no response; the store performs it later", e.id, e.describe())
		}
		return r.trouble
	}
	for i := range 7 {
		if _, err := p.start(ctx, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "lisboa-a-d0"); err != nil {
			return nil, err
		}
	}
	if err := r.putManifest(7, []map[string]any{streamRoute("/lohu930/", service)}, []map[string]any{engineService(service, smallGroup)}); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx, 3); err != nil {
		return nil, err
	}
	// The head has to be open before its report is late.
	for open := false; !open; time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		open = head != nil && head.group != nil && head.group.State == "open"
		p.mu.Unlock()
		if ctx.Err() != nil || !sent.IsZero() && time.Since(sent) > 4*time.Second {
			return nil, fmt.Errorf("no head is open")
		}
	}
	r.record.line("head %s is open (group: %s), %.1f s after that report", head.id, head.describe(), time.Since(sent).Seconds())
	c := newClient(r.record)
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			n := r.nodes[i%len(r.nodes)]
			traffic.Go(func() {
				c.send(ctx, n, "POST", "/lohu930/2f", fmt.Appendf(nil, "prompt %d", i), 6*time.Second, map[string]string{
					"Model": modelName, "Token-Usage": "700,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%x:660", 0x91bd0000+i),
				})
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(700 * time.Millisecond)
	p.mu.Lock()
	beats := head.beats
	p.mu.Unlock()
	for next := false; !next && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		next = head.beats > beats
		p.mu.Unlock()
	}
	p.mu.Lock()
	member := p.engines[head.group.members[1]]
	member.state = "draining"
	member.beat()
	r.record.line("engine %s, a member of the group, reports that it is draining", member.id)
	if r.trouble {
		r.store.put("servers", head.id, late)
		r.record.line("the store performs the late report of %s, %.1f s after it was sent", head.id, time.Since(sent).Seconds())
	}
	lateBy := time.Since(sent)
	p.mu.Unlock()
	if lateBy > 6*time.Second {
		return nil, fmt.Errorf("the report would be late by %v", lateBy)
	}
	time.Sleep(4 * time.Second)
	stop()
	traffic.Wait()
	r.record.line("answers by status: %v", c.counts())
	p.mu.Lock()
	defer p.mu.Unlock()

	if c.counts()[200] < 10 {
		return nil, fmt.Errorf("too few requests were served: %v", c.counts())
	}
	var broken []string
	for _, j := range p.joins {
		broken = append(broken, "TWO: "+j)
	}
	return broken, nil
}
