package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the store, as PROTOCOL.md spells it.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Writes      []row `json:"writes"`
	Remove      []row `json:"remove"`
}

type rowsAnswer struct {
	Rows       []row  `json:"rows"`
	HasMore    bool   `json:"hasMore"`
	RowVersion uint64 `json:"rowVersion"`
	NowMs      int64  `json:"nowMs"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history. It is
// available unless setDown is called; then it resets the channels of all calls.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
	down    bool
	// renewed is when each registration was last written.
	renewed map[rowKey]time.Time
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), renewed: map[rowKey]time.Time{}}
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
	s.notify()
}

// notify wakes the calls that wait for a change. It is called with mu held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the registrations that were silent for three heartbeats, also while the
// store is down, until stop is closed.
func (s *store) expire(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		var lapsed []row
		for id, at := range s.renewed {
			if time.Since(at) > 3*heartbeat {
				lapsed = append(lapsed, s.rows[id])
				delete(s.renewed, id)
			}
		}
		if len(lapsed) > 0 {
			s.apply(nil, lapsed)
		}
		s.mu.Unlock()
	}
}

// reset resets the channel of a call.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.down && table == "servers" {
		return
	}
	r := row{Table: table, Key: key, Value: value}
	if table == "servers" {
		s.renewed[r.id()] = time.Now()
	}
	s.apply([]row{r}, nil)
}

// has reports whether a row exists.
func (s *store) has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	r, ok := s.rows[rowKey{table: table, key: key}]
	return ok && !r.Deleted
}

// apply writes and removes rows. It is called with mu held.
func (s *store) apply(writes, remove []row) {
	s.version++
	for _, r := range writes {
		r.RowVersion, r.Deleted = s.version, false
		s.rows[r.id()] = r
	}
	for _, r := range remove {
		r.RowVersion, r.Deleted, r.Value = s.version, true, nil
		s.rows[r.id()] = r
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		reset(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
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
	s.mu.Lock()
	defer s.mu.Unlock()

	current := []row{}
	holds := true
	for _, c := range t.ExpectedRev {
		now, ok := s.rows[c.id()]
		if !ok || now.Deleted {
			holds = holds && c.RowVersion == 0
			continue
		}
		holds = holds && now.RowVersion == c.RowVersion
		current = append(current, now)
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answer(w, current, false)
		return
	}
	for _, c := range append(slices.Clone(t.Writes), t.Remove...) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(t.Writes, t.Remove)
	s.answer(w, []row{}, false)
}

// answer writes an answer about rows. It is called with mu held.
func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	// A node that has left gets no answer.
	_ = json.NewEncoder(w).Encode(rowsAnswer{
		Rows: rows, HasMore: more, RowVersion: s.version, NowMs: time.Since(s.started).Milliseconds(),
	})
}

// maxRows is the number of rows in an answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()

	rows := []row{}
	for _, x := range s.rows {
		if !x.Deleted && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") &&
			(q.Get("target") == "" || x.Key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.answer(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reset(w)
			return
		}
		rows := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.RowVersion > since {
				rows = append(rows, x)
			}
		}
		if len(rows) > 0 || expired {
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.RowVersion, b.RowVersion) })
			s.answer(w, rows, false)
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
