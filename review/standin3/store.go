// Command standin3 plays the cases of the third review: it starts nodes as separate processes,
// with stand-ins of the platform's store, of engines and of clients, and judges what these saw.
package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

type tx struct {
	ExpectedRev []row `json:"expectedRev"`
	Writes      []row `json:"writes"`
	Remove      []row `json:"remove"`
}

type snapshot struct {
	rows    map[string]row
	version uint64
	at      time.Time
}

// store is the platform's store: rows with versions of one counter, a feed, and copies from
// which it may come back in a new era.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	era     uint64
	copies  []snapshot
	beatAt  map[string]time.Time
	changed chan struct{}
	away    bool // no answer to anybody
	busy    bool // 503 to anybody
	config  []byte
}

const ttl = 3 * heartbeat

func newStore() *store {
	return &store{rows: map[string]row{}, beatAt: map[string]time.Time{}, changed: make(chan struct{})}
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) apply(writes, remove []row) {
	s.version++
	for _, r := range writes {
		r.RowVersion, r.Deleted = s.version, false
		s.rows[r.name()] = r
		if r.Table == "servers" {
			s.beatAt[r.name()] = time.Now()
		}
	}
	for _, r := range remove {
		r.RowVersion, r.Deleted, r.Value = s.version, true, nil
		s.rows[r.name()] = r
		delete(s.beatAt, r.name())
	}
	s.wake()
}

// put writes a row for an engine or the operator, unless the store is away.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || s.busy {
		return
	}
	if table == "op" {
		s.config = value
	}
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// tick lapses registrations and makes copies.
func (s *store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	now := time.Now()
	var gone []row
	for name, at := range s.beatAt {
		if now.Sub(at) > ttl {
			gone = append(gone, s.rows[name])
			delete(s.beatAt, name)
		}
	}
	if len(gone) > 0 {
		s.apply(nil, gone)
	}
	if n := len(s.copies); n == 0 || now.Sub(s.copies[n-1].at) >= 200*time.Millisecond {
		s.copies = append(s.copies, snapshot{maps.Clone(s.rows), s.version, now})
		if len(s.copies) > 80 {
			s.copies = s.copies[1:]
		}
	}
}

// restore has the store come back from a copy of an age, counted from the last copy.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.copies[len(s.copies)-1]
	c := s.copies[0]
	for _, o := range s.copies {
		if last.at.Sub(o.at) >= age {
			c = o
		}
	}
	s.rows, s.version, s.copies = maps.Clone(c.rows), c.version, nil
	s.era++
	s.away, s.busy = false, false
	clear(s.beatAt)
	for name, r := range s.rows {
		if r.Table == "servers" && !r.Deleted {
			s.beatAt[name] = time.Now()
		}
	}
	s.copies = []snapshot{{maps.Clone(s.rows), s.version, time.Now()}}
	s.wake()
}

// hang gives no answer while the store is away, and resets the connection once it is back.
func (s *store) hang(r *http.Request) {
	for {
		s.mu.Lock()
		away, changed := s.away, s.changed
		s.mu.Unlock()
		if !away {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// setAway has the store give no answer to anybody, or refuse all calls.
func (s *store) setAway(a, b bool) { s.mu.Lock(); s.away, s.busy = a, b; s.wake(); s.mu.Unlock() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away, busy := s.era, s.away, s.busy
	s.mu.Unlock()
	if away {
		s.hang(r)
	}
	time.Sleep(4 * time.Millisecond)
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.commit(w, r)
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t tx
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	var current []row
	holds := true
	for _, c := range t.ExpectedRev {
		o := s.rows[c.name()]
		if o.Deleted {
			o = row{}
		}
		holds = holds && o.RowVersion == c.RowVersion
		if o.RowVersion > 0 {
			current = append(current, o)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.answer(w, current, false)
		return
	}
	s.apply(t.Writes, t.Remove)
	s.answer(w, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, o := range s.rows {
		if !o.Deleted && o.Table == q.Get("table") && o.Part == q.Get("part") && o.Key >= q.Get("from") && (q.Get("target") == "" || o.Key < q.Get("target")) {
			rows = append(rows, o)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.answer(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "rowVersion": s.version, "nowMs": time.Now().UnixMilli()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		switch {
		case s.away || s.era != era:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case after > s.version:
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, o := range s.rows {
			if o.Table == q.Get("table") && o.RowVersion > after {
				rows = append(rows, o)
			}
		}
		if len(rows) > 0 || expired {
			slices.SortFunc(rows, func(a, b row) int {
				if a.RowVersion < b.RowVersion {
					return -1
				}
				return 1
			})
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
