package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// row is a row of the platform's store.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

// transaction is the body of rows-tx.
type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Writes      []row `json:"writes"`
	Remove      []row `json:"remove"`
}

// store is a stand-in of the platform's store: linearizable, with all of its history.
type store struct {
	address string
	server  *http.Server

	mu        sync.Mutex
	rows      map[string]row
	version   uint64
	renewedAt map[string]time.Time
	changed   chan struct{}
}

func startStore(ctx context.Context) (*store, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), rows: map[string]row{}, renewedAt: map[string]time.Time{}, changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.expire(ctx)
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// expire drops registrations after three intervals of silence.
func (s *store) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		var lapsed []row
		for name, at := range s.renewedAt {
			if time.Since(at) > 3*heartbeat {
				lapsed = append(lapsed, s.rows[name])
			}
		}
		if len(lapsed) > 0 {
			s.apply(nil, lapsed)
		}
		s.mu.Unlock()
	}
}

// put writes a row without a condition and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
	return s.version
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply must be called with mu held.
func (s *store) apply(writes, remove []row) {
	s.version++
	for _, r := range writes {
		r.RowVersion, r.Deleted = s.version, false
		s.rows[r.name()] = r
		if r.Table == "servers" {
			s.renewedAt[r.name()] = time.Now()
		}
	}
	for _, r := range remove {
		r.RowVersion, r.Deleted, r.Value = s.version, true, nil
		s.rows[r.name()] = r
		delete(s.renewedAt, r.name())
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.transact(w, r)
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, x := range slices.Concat(t.Writes, t.Remove) {
		if x.Table == "servers" || x.Table == "op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	holds := true
	for _, c := range t.ExpectedRev {
		now := s.rows[c.name()]
		if now.Deleted {
			now = row{}
		}
		holds = holds && now.RowVersion == c.RowVersion
		if now.RowVersion > 0 {
			current = append(current, now)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(t.Writes, t.Remove)
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": s.version, "nowMs": time.Now().UnixMilli(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()

	var rows []row
	for _, x := range s.rows {
		if !x.Deleted && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	waitMs, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.RowVersion > after {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || expired {
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.RowVersion, b.RowVersion) })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
