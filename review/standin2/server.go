package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// poison is the body of requests that crash each server that begins to run them.
const poison = "poison"

// arrival is a request that reached a server.
type arrival struct {
	request, server string
	at              time.Time
	// status is that of a rejection, zero if the server ran the request.
	status int
}

// server is a stand-in of a server of a plain service.
type server struct {
	record  *record
	store   *store
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration

	listener net.Listener
	http     *http.Server
	born     int64
	stopped  context.CancelFunc

	// crash is called once a request with the body poison begins to run.
	crash func(path string)
	// fails reports whether the server fails a request with an error of its own, before it
	// runs it; nil if it fails none.
	fails func() bool

	// pauses reports whether the server turns a request away, with headers that it sets; nil
	// if it never does.
	pauses func(http.ResponseWriter, *http.Request) bool
	// firstBeat is the time from the start until the first liveness report.
	firstBeat time.Duration

	mu       sync.Mutex
	ended    bool
	state    string
	callSeq  int
	running  int
	arrivals []arrival
}

// startServer starts a server and its registration.
func startServer(ctx context.Context, s *server) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.state, s.born = l, l.Addr().String(), "ready", time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 20 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	ctx, s.stopped = context.WithCancel(ctx)
	if s.firstBeat == 0 {
		s.beat()
	}
	go func() {
		if s.firstBeat > 0 {
			time.Sleep(s.firstBeat)
			s.beat()
		}
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return nil
}

// entry returns the next entry of the server in the store.
func (s *server) entry() (value []byte, callSeq int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.callSeq++
	// Marshaling a map of plain values cannot fail.
	value, _ = json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": 0, "callSeq": s.callSeq, "born": s.born,
	})
	return value, s.callSeq
}

// beat writes the entry of the server.
func (s *server) beat() {
	value, _ := s.entry()
	s.store.put("servers", s.id, value)
}

// drain reports that the server is draining, and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	return time.Now()
}

// stopBeats ends the registration's renewal.
func (s *server) stopBeats() { s.stopped() }

// end ends the server at once.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.stopped()
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"ready","models":[],"busy":false,"callSeq":0,"queued":0,"active":0,"born":%d}`, s.born)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	pauses := s.pauses
	s.mu.Unlock()
	if pauses != nil && pauses(w, r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	full := s.running >= s.slots
	a := arrival{request: id, server: s.id, at: time.Now()}
	if full {
		a.status = http.StatusServiceUnavailable
	} else {
		s.running++
	}
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if full {
		s.record.line("request %s reaches server %s, which rejects it with 503", id, s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if s.fails != nil && s.fails() {
		s.record.line("request %s reaches server %s, which fails it with 500", id, s.id)
		w.Header().Set("Response-Signature", s.id+"."+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.record.line("request %s reaches server %s, which runs it", id, s.id)
	if string(content) == poison {
		s.record.line("request %s crashes server %s", id, s.id)
		s.end()
		s.crash(r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.line("request %s: its channel to server %s is closed", id, s.id)
		return
	}
	body := "answer to " + id
	w.Header().Set("Response-Signature", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// arrivalsSince returns the arrivals since a time.
func (s *server) arrivalsSince(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()

	var since []arrival
	for _, a := range s.arrivals {
		if a.at.After(t) {
			since = append(since, a)
		}
	}
	return since
}
