package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// steadyAfter is the time after the ack of a manifest from which the state is steady: the
	// engines of the later route need 12 s to load their model.
	steadyAfter = 20 * time.Second
	// minLater is the number of requests on routes that were added later from which the rule
	// counts; they must be served at least laterShare as often as those on the first routes.
	minLater   = 20
	laterShare = 0.25
)

// addedService: a manifest adds a route to a second service of engines, which are there
// already.
func addedService(ctx context.Context, r *run) ([]string, error) {
	const plain = "reva31c"
	first, second := newPool(r, "huvo11a"), newPool(r, "wuno96b")
	defer first.close()
	defer second.close()
	for i := range 7 {
		if _, err := first.start(ctx, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "lisboa-a-d0"); err != nil {
			return nil, err
		}
		if _, err := second.start(ctx, fmt.Sprintf("i-%08x", 0x12d9e6b0+i), "lisboa-a-d1"); err != nil {
			return nil, err
		}
	}
	f := newFleet(r, plain)
	defer f.close()
	for range 2 {
		if err := f.start(ctx, nil); err != nil {
			return nil, err
		}
	}
	routes := []map[string]any{streamRoute("/lohu930/", first.service), plainRoute("/cufi504/", "idempotent", plain)}
	services := []map[string]any{engineService(first.service, modelName, smallGroup), plainService(plain)}
	if err := r.putManifest(7, routes, services); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx, 3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	c := newClient(r.record)
	var mu sync.Mutex
	served := map[string]map[bool]int{}
	var steadyFrom time.Time
	count := func(route string, a answer) {
		mu.Lock()
		defer mu.Unlock()

		if !steadyFrom.IsZero() && a.sentAt.After(steadyFrom) {
			if served[route] == nil {
				served[route] = map[bool]int{}
			}
			served[route][a.status == 200 && a.err == nil]++
		}
	}
	later, laterModel := first.service, modelName
	if r.trouble {
		later, laterModel = second.service, secondModel
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			n := r.nodes[i%len(r.nodes)]
			stream := func(path, model string) answer {
				return c.send(ctx, n, "POST", path, fmt.Appendf(nil, "prompt %d", i), 6*time.Second, map[string]string{
					"Model": model, "Token-Usage": "700,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%x:660", 0x91bd0000+i),
				})
			}
			traffic.Go(func() { count("first", c.send(ctx, n, "GET", "/cufi504/fi50/2f", nil, timeBudget, nil)) })
			traffic.Go(func() { count("first", stream("/lohu930/2f", modelName)) })
			mu.Lock()
			steady := !steadyFrom.IsZero() && time.Now().After(steadyFrom)
			mu.Unlock()
			if steady {
				traffic.Go(func() { count("later", stream("/pufi791/2f", laterModel)) })
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(5 * time.Second)
	before := len(c.answers)
	routes = append(routes, streamRoute("/pufi791/", later))
	if r.trouble {
		services = append(services, engineService(second.service, secondModel, smallGroup))
	}
	if err := r.putManifest(9, routes, services); err != nil {
		return nil, err
	}
	mu.Lock()
	steadyFrom = time.Now().Add(steadyAfter)
	mu.Unlock()
	time.Sleep(steadyAfter + 15*time.Second)
	stop()
	traffic.Wait()
	c.mu.Lock()
	cut := 0
	for _, a := range c.answers[before:] {
		if a.status == 200 && a.err != nil || a.status == 0 {
			cut++
		}
	}
	c.mu.Unlock()
	r.record.line("answers by status: %v; %d got no complete answer after the change", c.counts(), cut)
	r.record.line("in steady state after the change: requests on the first routes served %d, not served %d; on the later route served %d, not served %d",
		served["first"][true], served["first"][false], served["later"][true], served["later"][false])
	share := func(route string) float64 {
		return float64(served[route][true]) / float64(max(1, served[route][true]+served[route][false]))
	}
	if n := served["later"][true] + served["later"][false]; n < minLater {
		return nil, fmt.Errorf("only %d requests on the later route", n)
	}
	if share("later") >= laterShare*share("first") {
		return nil, nil
	}
	return []string{fmt.Sprintf("CONFIG: requests on the later route are served %.2f as often as those on the first routes (%d of %d and %d of %d); %d requests got no complete answer after the change",
		share("later")/share("first"), served["later"][true], served["later"][true]+served["later"][false],
		served["first"][true], served["first"][true]+served["first"][false], cut)}, nil
}
