package main

import (
	"cmp"
	"encoding/json"
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

// store is a stand-in of the platform's metadata store. It is always available and keeps
// its whole history.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
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
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
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
