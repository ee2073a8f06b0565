package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// baseTime is the time without a crash, comesFor that from the last crash until no more
	// requests with the crashing part come.
	baseTime = 8 * time.Second
	comesFor = 46 * time.Second
	// minSound is the number of sound requests from which the rule counts, soundShare the share
	// of the usual that must begin.
	minSound = 20
	// fifthCrash is the number of the crash from which the rule counts.
	fifthCrash = 5
	soundShare = 0.5
)

// lostHeads: requests with a part that crashes engines end the heads of all groups, until the
// part is known. The engines are back after some seconds.
func lostHeads(ctx context.Context, r *run) ([]string, error) {
	nodes := 3
	if n, err := strconv.Atoi(os.Getenv("NODES")); err == nil {
		// To see that the rule holds with more nodes.
		nodes = n
	}
	const service = "huvo11a"
	p := newPool(r, service)
	p.ctx = ctx
	defer p.close()
	for i := range 8 {
		if _, err := p.start(ctx, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "lisboa-a-d0"); err != nil {
			return nil, err
		}
	}
	if err := r.putManifest(7, []map[string]any{streamRoute("/lohu930/", service)}, []map[string]any{engineService(service, largeGroup)}); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx, nodes); err != nil {
		return nil, err
	}
	time.Sleep(9 * time.Second)
	c := newClient(r.record)
	send := func(i int, part string) answer {
		n := r.nodes[i%len(r.nodes)]
		return c.send(ctx, n, "POST", "/lohu930/2f", fmt.Appendf(nil, "prompt %d", i), 6*time.Second, map[string]string{
			"Model": modelName, "Token-Usage": "700,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%s:300,%x:360", part, 0x91bd0000+i),
		})
	}
	var mu sync.Mutex
	var sound []answer
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			traffic.Go(func() {
				a := send(i, fmt.Sprintf("%x", 0x51bd0000+i%5))
				mu.Lock()
				sound = append(sound, a)
				mu.Unlock()
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(baseTime)
	began := time.Now()
	last := func() time.Time {
		p.mu.Lock()
		defer p.mu.Unlock()

		if len(p.crashes) == 0 {
			return time.Time{}
		}
		return p.crashes[len(p.crashes)-1]
	}
	for i := 100000; time.Since(began) < 70*time.Second; i++ {
		if r.trouble {
			traffic.Go(func() { send(i, crashingPart) })
		}
		if l := last(); !l.IsZero() && time.Since(l) > comesFor {
			break
		}
		time.Sleep(time.Second)
	}
	ended := time.Now()
	stop()
	traffic.Wait()
	r.record.line("answers by status: %v; %d crashes", c.counts(), len(p.crashes))
	if !r.trouble {
		return nil, nil
	}
	if len(p.crashes) == 0 {
		return nil, errors.New("no request crashed an engine")
	}
	p.mu.Lock()
	from := p.crashes[min(fifthCrash, len(p.crashes))-1].Add(2 * contactBound)
	p.mu.Unlock()
	served := map[string]int{}
	all := map[string]int{}
	for _, a := range sound {
		when := ""
		switch {
		case a.sentAt.Before(began):
			when = "before"
		case a.sentAt.After(from) && a.sentAt.Before(ended):
			when = "after"
		}
		all[when]++
		if p.began[a.request] {
			served[when]++
		}
	}
	r.record.line("sound requests that began: %d of %d before, %d of %d from %v after the last crash", served["before"], all["before"], served["after"], all["after"], 2*contactBound)
	if all["before"] < minSound || all["after"] < minSound {
		return nil, fmt.Errorf("too few sound requests: %v", all)
	}
	before, after := float64(served["before"])/float64(all["before"]), float64(served["after"])/float64(all["after"])
	if after >= soundShare*before {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: from %v after the last of %d crashes %d of %d sound requests begin, before %d of %d",
		2*contactBound, len(p.crashes), served["after"], all["after"], served["before"], all["before"])}, nil
}
