package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Host and paths of the requests.
const (
	host      = "ficu95.example"
	pathSound = "/puxa403/orders/%d"
	pathBad   = "/puxa403/orders/crash"
	apiKey    = "n2ctnfzs989anu6wsjnb"
)

// zones are those of all cases.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// plainConfig is a manifest with one service and one route of idempotent requests.
func plainConfig() []byte {
	body, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": host, "prefix": "/puxa403/", "routeKind": "idempotent", "timeoutMs": 2000, "sloMs": 300, "priority": 2,
			"service": "workshop", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "workshop", "healthPath": "/healthz", "maxConns": 121, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	return body
}

// world is one run of a case.
type world struct {
	record  *record
	store   *store
	engines []*engine
	nodes   []*node
	fabric  *fabric
	ids     atomic.Uint64
	closers []func()
}

// send sends one request to a node as a client attempt of its own, and returns the status;
// zero without a whole answer.
func (w *world) send(n *node, path string) int { return w.sendWith(n, path, apiKey) }

// sendWith sends one request with a key.
func (w *world) sendWith(n *node, path, key string) int {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+w.ids.Add(1))
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.ip, portFrontend, path), nil)
	if err != nil {
		w.record.fail("request: %v", err)
		return 0
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("X-Api-Key", key)
	w.record.add(event{What: "sent", Request: id, Path: path, Node: n.name, Key: key})
	status, note := 0, ""
	response, err := client.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err = readErr; err == nil {
			status, note = response.StatusCode, string(body)
		}
	}
	if err != nil {
		note = err.Error()
	}
	w.record.add(event{What: "answered", Request: id, Path: path, Node: n.name, Status: status, Note: note})
	return status
}

// burst sends a request to a node several times at the same moment.
func (w *world) burst(n *node, path string, count int) {
	var g sync.WaitGroup
	for range count {
		g.Add(1)
		go func() {
			defer g.Done()
			w.send(n, path)
		}()
	}
	g.Wait()
}

// sound sends ordinary requests to all nodes until stop is closed.
func (w *world) sound(stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		go w.send(w.nodes[i%len(w.nodes)], fmt.Sprintf(pathSound, i))
	}
}

// crashes returns when engines crashed under pathBad, in ms.
func (w *world) crashes() []int64 {
	var at []int64
	for _, e := range w.record.all() {
		if e.What == "crashes" && e.Path == pathBad {
			at = append(at, e.Ms)
		}
	}
	return at
}

// forget plays a drill of the store in which the machine that found out a request that
// crashes engines restarts. It returns whether the rule held.
func forget(w *world, trouble string) (held bool, verdict string) {
	a := w.nodes[0]
	stop := make(chan struct{})
	defer close(stop)
	go w.sound(stop)
	time.Sleep(2 * time.Second)

	w.record.note("the request that crashes engines comes, at machine %s, until it is refused", a.name)
	for range 12 {
		if w.send(a, pathBad) == http.StatusServiceUnavailable && len(w.crashes()) >= 3 {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	if n := len(w.crashes()); n < 3 {
		w.record.fail("%d engines crashed, want 3", n)
		return false, ""
	}
	third := w.crashes()[2]
	time.Sleep(1500 * time.Millisecond)
	w.record.note("the request comes again, once at each machine")
	for _, n := range w.nodes {
		w.send(n, pathBad)
	}
	time.Sleep(200 * time.Millisecond)

	if !w.drill(a, third, trouble) {
		return false, ""
	}
	calm := w.record.now()
	if !a.awaitReady(10 * time.Second) {
		w.record.fail("machine %s is not ready", a.name)
		return false, ""
	}
	for w.record.now() < calm+6000 {
		time.Sleep(50 * time.Millisecond)
	}
	w.record.note("all machines are in touch; the request comes again, five times at machine %s", a.name)
	from := w.record.now()
	w.burst(a, pathBad, 5)
	time.Sleep(2 * time.Second)
	w.burst(a, pathBad, 2)
	time.Sleep(time.Second)

	late := 0
	for _, e := range w.record.all() {
		if e.What == "reaches" && e.Path == pathBad && e.Ms >= from && e.Ms > third+3000 {
			late++
		}
	}
	verdict = fmt.Sprintf("the request had crashed its third engine at %d ms; later than contactMs after that, and from %d ms on, when all machines were in touch, it reached engines %d times (3 are allowed); %d engines crashed in all",
		third, from, late, len(w.crashes()))
	return late <= 3, verdict
}

// drill has the store go away and come back from a copy that was made before the request
// crashed its third engine, and kills a machine meanwhile. trouble is troubleDrill or
// troubleKill for one of the two, troubleNone for neither.
func (w *world) drill(a *node, third int64, trouble string) bool {
	drills, kills := trouble == troubleAll || trouble == troubleDrill, trouble == troubleAll || trouble == troubleKill
	away := w.record.now()
	if drills {
		w.record.note("drill: the store is away")
		w.store.setAway(true, false)
	}
	if kills {
		w.record.note("machine %s is killed", a.name)
		a.kill()
	}
	time.Sleep(500 * time.Millisecond)
	if kills {
		if err := a.start(); err != nil {
			w.record.fail("start: %v", err)
			return false
		}
	}
	time.Sleep(time.Second)
	if drills {
		age := time.Duration(away-third+copyBefore) * time.Millisecond
		w.store.restore(age)
		w.store.put("op", "config", w.store.config)
		w.record.note("drill: the store is back, from a copy that was %v old when it went away, in era %d; the operator's manifest is written again", age, w.store.era)
	}
	return true
}

// copyBefore is the time in ms from the copy to the third crash.
const copyBefore = 1500

// Values of TROUBLE: all of it if it isn't set.
const (
	troubleAll   = ""
	troubleNone  = "0"
	troubleDrill = "drill"
	troubleKill  = "kill"
)
