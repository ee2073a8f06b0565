package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	modelName  = "daka510000"
	pathStream = "/lohu930/%d"
	// partFirst is the first part of all prompts, partBad the part that crashes engines.
	partFirst, partBad = "5c1e07a2", "bad0bad0"
	// groupSize and fabricSize are the numbers of engines of a group and of all.
	groupSize, fabricSize, slots = 4, 8, 17
)

// groupsConfig is a manifest with a service whose engines form groups.
func groupsConfig() []byte {
	body, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-chat", "host": host, "prefix": "/lohu930/", "routeKind": "streaming", "timeoutMs": 6000, "sloMs": 300, "priority": 1,
			"service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 200,
		}},
		"services": []any{map[string]any{
			"name": "pool", "healthPath": "/healthz", "maxConns": 485, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": slots, "kvCapacity": 1860000, "kvBytes": 96256, "linkMbps": 400000.0, "stride": 5,
				"models":  []any{map[string]any{"name": modelName, "size": groupSize, "share": 1.0, "pace": 1.0, "loadS": 16.0, "warmupS": 1.6}},
				"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
				"report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7, "usual": map[string]int{"prompt": 979, "answer": 154},
				"cachedPrefixes": 1, "far_x": 2.5, "formMs": 300.0,
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return body
}

// openFabric starts the engines, which have no groups yet.
func (w *world) openFabric(address func(kind, index int) string) error {
	w.fabric = &fabric{
		engines: map[string]*member{}, store: w.store, record: w.record, ready: map[string]bool{},
		models: map[string]model{modelName: {modelName, groupSize, 16 * time.Second, 1600 * time.Millisecond}}, back: 3 * time.Second, slots: slots,
	}
	for i := range fabricSize {
		e := &member{w: w.fabric, name: fmt.Sprintf("%02d", i), host: address(2, i), domain: "domain-0", zone: "zone-a", service: "pool"}
		if err := e.start(); err != nil {
			return err
		}
		w.closers = append(w.closers, e.crash)
	}
	ticker := time.NewTicker(20 * time.Millisecond)
	w.closers = append(w.closers, ticker.Stop)
	go func() {
		for range ticker.C {
			w.fabric.tick()
		}
	}()
	return nil
}

// stream sends one streaming request to a node, with the given parts of its prompt before its
// own, and returns its ID.
func (w *world) stream(n *node, parts string) {
	number := w.ids.Add(1)
	id, path := fmt.Sprintf("%016x", 0x9c41d07b00000000+number), fmt.Sprintf(pathStream, number)
	client := http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, portFrontend, path), nil)
	if err != nil {
		w.record.fail("request: %v", err)
		return
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "6000", "X-Api-Key": apiKey, "Model": modelName, "Token-Usage": "100,20",
		"Prefix-Hash": fmt.Sprintf("%s,%x:60", parts, 0x91bd0000+number),
	} {
		request.Header.Set(name, value)
	}
	w.record.add(event{What: "sent", Request: id, Path: path, Node: n.name, Parts: parts})
	status, note := 0, ""
	if response, err := client.Do(request); err != nil {
		note = err.Error()
	} else {
		status = response.StatusCode
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			note = "cut off"
		}
		_ = response.Body.Close()
	}
	w.record.add(event{What: "answered", Request: id, Path: path, Node: n.name, Status: status, Note: note})
}

// openGroups returns the number of groups that are open.
func (w *fabric) openGroups() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := 0
	for _, e := range w.engines {
		if e.up && e.group != nil && e.group.Rank == 0 && e.group.State == "open" {
			open++
		}
	}
	return open
}

// began returns how many sound requests of a span were sent, and how many of them began.
func (w *world) began(from, to int64) (sent, began int) {
	started := map[string]bool{}
	all := w.record.all()
	for _, e := range all {
		if e.What == "begins" {
			started[e.Request] = true
		}
	}
	for _, e := range all {
		if e.What == "sent" && e.Parts == soundParts && e.Ms >= from && e.Ms < to {
			sent++
			if started[e.Request] {
				began++
			}
		}
	}
	return sent, began
}

const (
	soundParts = partFirst + ":40"
	badParts   = partFirst + ":40," + partBad + ":410"
	// badTime is how long requests with the part come.
	badTime = 14 * time.Second
)

// wait plays requests with a part that crashes engines, which come for some seconds. It
// returns whether the rule held.
func wait(w *world, trouble string) (held bool, verdict string) {
	f := w.fabric
	f.crashing = partBad
	for end := time.Now().Add(20 * time.Second); f.openGroups() < fabricSize/groupSize; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.record.fail("the groups don't form")
			return false, ""
		}
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			go w.stream(w.nodes[i%len(w.nodes)], soundParts)
		}
	}()
	calm := w.record.now()
	time.Sleep(8 * time.Second)
	first := w.record.now()
	last := first
	for i := 0; w.record.now() < first+badTime.Milliseconds(); i++ {
		if trouble != troubleNone {
			go w.stream(w.nodes[i%len(w.nodes)], badParts)
		}
		last = w.record.now()
		time.Sleep(time.Second)
	}
	time.Sleep(12 * time.Second)
	sent, began := w.began(calm, first)
	f.mu.Lock()
	crashes := f.crashes
	f.mu.Unlock()
	from := first
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1]
	}
	lateSent, lateBegan := w.began(from+6000, last)
	verdict = fmt.Sprintf("%d engines crashed; of the sound requests %d of %d began before, and %d of %d from 6 s after the last crash until the last request with the part", len(crashes), began, sent, lateBegan, lateSent)
	if sent < 20 || lateSent < 20 || trouble != troubleNone && len(crashes) == 0 {
		w.record.fail("too few requests: %s", verdict)
		return false, ""
	}
	return 2*lateBegan*sent >= began*lateSent, verdict
}
