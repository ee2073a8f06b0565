package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval of the liveness reports of engines, as in the users' settings.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of an engine of a plain service. Each start has an id of its own.
type engine struct {
	store   *store
	record  *record
	service string
	zone    string
	address string
	name    string
	// crashes reports whether a request ends the engine that begins to run it.
	crashes func(r *http.Request) bool
	// fails reports whether the engine answers a request with 500, after it has run.
	fails func(r *http.Request) bool
	// back is the time until an engine that crashed starts again.
	back time.Duration

	mu      sync.Mutex
	up      bool
	starts  int
	beats   int
	born    int64
	running int
	server  *http.Server
}

// id is the id of the present start. mu must be held.
func (e *engine) id() string { return fmt.Sprintf("i-%s-%d", e.name, e.starts) }

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	start := e.starts
	e.up, e.beats, e.running, e.born = true, 0, 0, time.Now().UnixMilli()
	s := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	e.server = s
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go func() {
		for e.report(start) {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// report writes the registration of a start, and reports whether that start is still up.
func (e *engine) report(start int) bool {
	e.mu.Lock()
	if !e.up || e.starts != start {
		e.mu.Unlock()
		return false
	}
	e.beats++
	id := e.id()
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "callSeq": e.beats, "born": e.born,
	})
	e.mu.Unlock()
	e.store.put("servers", id, value)
	return true
}

// stop ends the engine at once; its connections and its address are gone.
func (e *engine) stop() bool {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return false
	}
	e.up = false
	s := e.server
	e.mu.Unlock()
	_ = s.Close()
	return true
}

// crash ends the engine, which is back some seconds later.
func (e *engine) crash() {
	if !e.stop() {
		return
	}
	time.AfterFunc(e.back, func() {
		if err := e.start(); err != nil {
			e.record.fail("engine %s does not start again: %v", e.name, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, born := e.id(), e.born
	e.mu.Unlock()
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", id)
		return
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"colocated","models":[],"busy":false,"callSeq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":0,"handles":0,"born":%d}`, born)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.record.add(event{What: "reaches", Engine: id, Request: attempt, Path: r.URL.Path})
	e.mu.Lock()
	full := e.running >= 6+24
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.record.add(event{What: "runs", Engine: id, Request: attempt, Path: r.URL.Path})
	if e.crashes(r) {
		// It ends while it begins to run.
		time.Sleep(5 * time.Millisecond)
		e.record.add(event{What: "crashes", Engine: id, Request: attempt, Path: r.URL.Path})
		e.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Response-Signature", id)
	if e.fails(r) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer to %s", attempt)
}
