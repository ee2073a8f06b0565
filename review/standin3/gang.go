package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstPort is the port of the first start of an engine; each start has the next one.
const firstPort = 8400

// model is a model of the manifest.
type model struct {
	name       string
	size       int
	load, warm time.Duration
}

// group is what an engine knows of its group.
type group struct {
	Name    string
	Epoch   uint64
	Members []string
	Model   string
	Rank    int
	State   string // joining ready open closing broken
}

// world is all engines, and what must hold of their groups.
type fabric struct {
	mu      sync.Mutex
	engines map[string]*member
	store   *store
	models  map[string]model
	ready   map[string]bool // group/epoch/member list/member
	broken  []string        // violations
	record  *record
	serving bool
	// crashing is a part of prompts that ends each engine that begins to write an answer on it,
	// back the time until that engine starts again, as a new one at another address.
	crashing string
	back     time.Duration
	crashes  []int64
	slots    int
}

func (w *fabric) logf(f string, a ...any) { w.record.note(f, a...) }

// member is a stand-in of a model engine. Each start has an id and an address of its own.
type member struct {
	w       *fabric
	id      string
	host    string
	address string
	name    string
	domain  string
	zone    string
	service string
	// the rest is guarded by w.mu
	up      bool
	life    int
	born    int64
	beats   int
	callSeq uint64
	epoch   uint64
	group   *group
	lastMod string
	staged  []string
	active  int
	cut     bool // no path to the store
	server  *http.Server
	stallAt time.Time
	leaving bool
}

// row returns the registration. w.mu must be held.
func (e *member) row() []byte {
	e.beats++
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	v := e.view()
	v["service"], v["address"], v["zone"], v["version"], v["slots"], v["state"], v["coldLeftMs"], v["callSeq"] = e.service, e.address, e.zone, "1", e.w.slots, state, 0, e.beats
	b, _ := json.Marshal(v)
	return b
}

// view returns what the engine says of itself. w.mu must be held.
func (e *member) view() map[string]any {
	mods := []map[string]any{}
	if e.lastMod != "" {
		mods = append(mods, map[string]any{"name": e.lastMod, "version": 1, "adapters": []string{}})
	}
	v := map[string]any{"born": e.born, "domain": e.domain, "staged": slices.Clone(e.staged), "models": mods, "phase": "colocated"}
	if e.group != nil {
		v["group"] = map[string]any{"name": e.group.Name, "epoch": e.group.Epoch, "rank": e.group.Rank, "state": e.group.State}
	}
	return v
}

// report writes the registration. w.mu must be held.
func (e *member) report() {
	if !e.up || e.cut {
		return
	}
	value := e.row()
	go e.w.store.put("servers", e.id, value)
}

// start starts the engine.
func (e *member) start() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", e.host, firstPort+e.life))
	if err != nil {
		return err
	}
	e.w.mu.Lock()
	e.address = l.Addr().String()
	e.up, e.born, e.beats, e.callSeq, e.epoch, e.group, e.lastMod, e.active, e.leaving = true, time.Now().UnixMilli(), 0, 0, 0, nil, "", 0, false
	if e.life++; e.id != "" {
		delete(e.w.engines, e.id)
	}
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.life)
	e.w.engines[e.id] = e
	life := e.life
	e.server = &http.Server{Handler: e}
	s := e.server
	e.report()
	e.w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.w.mu.Lock()
			if !e.up || e.life != life {
				e.w.mu.Unlock()
				return
			}
			e.report()
			e.w.mu.Unlock()
		}
	}()
	return nil
}

// crash ends the engine at once.
func (e *member) crash() {
	e.w.mu.Lock()
	e.up = false
	s := e.server
	e.w.logf("engine %s crashes", e.id)
	e.w.mu.Unlock()
	_ = s.Close()
}

// key names a member of a group under its epoch and list.
func key(g *group, member string) string {
	return fmt.Sprintf("%s/%d/%s/%s", g.Name, g.Epoch, strings.Join(g.Members, ","), member)
}

// in reports whether an engine is in a group. w.mu must be held.
func (e *member) in(g *group) bool {
	return e.up && e.group != nil && e.group.Name == g.Name && e.group.Epoch == g.Epoch
}

// whole reports whether the members of a head's group are in it. w.mu must be held.
func (e *member) whole() bool {
	for _, m := range e.group.Members {
		o := e.w.engines[m]
		if o == nil || !o.in(e.group) || o.group.State == "joining" {
			return false
		}
	}
	return true
}

// tick breaks groups that stand still.
func (w *fabric) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if !e.up || e.group == nil || e.group.Rank != 0 || e.group.State != "open" && e.group.State != "closing" {
			e.stallAt = time.Time{}
			continue
		}
		if e.whole() {
			e.stallAt = time.Time{}
			if e.group.State == "closing" && e.active == 0 {
				e.group.State = "ready"
				e.report()
			}
			continue
		}
		if e.stallAt.IsZero() {
			e.stallAt = time.Now()
			w.logf("group %s stands still", e.group.Name)
		}
		if time.Since(e.stallAt) > 4*time.Second {
			e.group.State = "broken"
			w.logf("group %s breaks", e.group.Name)
			e.report()
		}
	}
}

// order is an order as the system sends it.
type order struct {
	Op           string   `json:"op"`
	Group        string   `json:"group"`
	Epoch        uint64   `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"closeMode"`
	ExpectedRev  *uint64  `json:"expectedRev"`
	FencingToken uint64   `json:"fencingToken"`
}

// take carries an order out. w.mu must be held.
func (e *member) take(o order) int {
	w := e.w
	status := e.takes(o)
	rev := uint64(0)
	if o.ExpectedRev != nil {
		rev = *o.ExpectedRev
	}
	w.logf("engine %s: %s %s epoch %d model %s rev %d term %d -> %d", e.id, o.Op, o.Group, o.Epoch, o.Model, rev, o.FencingToken, status)
	return status
}

func (e *member) takes(o order) int {
	if o.ExpectedRev != nil && *o.ExpectedRev != e.callSeq {
		return 409
	}
	g := e.group
	same := g != nil && g.Name == o.Group && g.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o, same)
	case "open":
		return e.open(same)
	case "close":
		if !same || g.State != "open" && g.State != "closing" {
			return 409
		}
		if g.State == "closing" {
			return 200
		}
		e.callSeq++
		g.State = "closing"
		e.report()
		return 202
	case "leave":
		if !same {
			return 200
		}
		e.callSeq++
		e.group = nil
		e.report()
		return 202
	case "phase":
		return e.stage(o)
	}
	return 400
}

func (e *member) join(o order, same bool) int {
	w, g := e.w, e.group
	if o.Epoch < e.epoch {
		return 412
	}
	if same {
		if !slices.Equal(g.Members, o.Members) {
			return 412
		}
		return 200
	}
	e.judge(o)
	m, ok := w.models[o.Model]
	if !ok {
		return 400
	}
	e.callSeq++
	e.epoch = o.Epoch
	n := &group{Name: o.Group, Epoch: o.Epoch, Members: o.Members, Model: o.Model, Rank: slices.Index(o.Members, e.id), State: "joining"}
	e.group = n
	took := e.loadTime(o.Model, m)
	e.lastMod = o.Model
	life := e.life
	e.report()
	time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !e.up || e.life != life || e.group != n {
			return
		}
		e.staged = []string{o.Model}
		n.State = "ready"
		w.ready[key(n, e.id)] = true
		w.logf("engine %s ready in %s", e.id, n.Name)
		e.report()
	})
	return 202
}

// judge notes it if an engine takes a join while the head of its older group takes requests.
func (e *member) judge(o order) {
	w, g := e.w, e.group
	if g == nil {
		return
	}
	h := w.engines[g.Members[0]]
	if h == nil || !h.in(g) || h.group.Rank != 0 || h.group.Name == o.Group {
		return
	}
	if h.group.State != "open" && h.group.State != "closing" {
		return
	}
	v := fmt.Sprintf("TWO: engine %s takes a join of %s while the head %s of its group %s is %s", e.id, o.Group, h.id, g.Name, h.group.State)
	w.broken = append(w.broken, v)
	w.logf("%s", v)
}

// loadTime is the time until an engine that joins is ready.
func (e *member) loadTime(name string, m model) time.Duration {
	switch {
	case e.lastMod == name:
		return 200 * time.Millisecond
	case slices.Contains(e.staged, name):
		return m.warm
	case !e.w.serving:
		return m.load / 10
	}
	return m.load
}

func (e *member) open(same bool) int {
	w, g := e.w, e.group
	if !same || g.Rank != 0 {
		return 409
	}
	switch g.State {
	case "open":
		return 200
	case "ready":
	default:
		return 409
	}
	e.callSeq++
	life := e.life
	time.AfterFunc(300*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if e.up && e.life == life && e.group == g && g.State == "ready" {
			g.State = "open"
			w.logf("group %s opens", g.Name)
			e.report()
		}
	})
	return 202
}

// stage loads the weights of a model ahead.
func (e *member) stage(o order) int {
	w := e.w
	m, ok := w.models[o.Model]
	if !ok {
		return 400
	}
	if slices.Contains(e.staged, o.Model) {
		return 200
	}
	e.callSeq++
	life := e.life
	took := m.load
	if !w.serving {
		took /= 10
	}
	time.AfterFunc(took, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if e.up && e.life == life {
			e.staged = []string{o.Model}
			e.report()
		}
	})
	return 202
}

func (e *member) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := e.w
	rw.Header().Set("Instance-Id", e.id)
	if x := r.Header.Get("Expected-Instance"); x != "" && x != e.id {
		rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		w.mu.Lock()
		v := e.view()
		v["callSeq"], v["busy"], v["queued"], v["active"], v["kvUsed"], v["kvTotal"], v["handles"] = e.callSeq, false, 0, e.active, 0, 1860000, 0
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(v)
		return
	case "/-/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		status := e.take(o)
		w.mu.Unlock()
		rw.WriteHeader(status)
		return
	}
	e.run(rw, r)
}

// refuse rejects a request that has not run.
func (e *member) refuse(rw http.ResponseWriter, at string, status int) {
	rw.Header().Set("Not-Executed", "1")
	if at != "" {
		rw.Header().Set("At-Server", at)
	}
	rw.WriteHeader(status)
}

// run runs a request, or rejects it.
func (e *member) run(rw http.ResponseWriter, r *http.Request) {
	w := e.w
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	w.mu.Lock()
	g := e.group
	if g == nil || g.Rank != 0 || g.Model != r.Header.Get("Model") {
		w.mu.Unlock()
		e.refuse(rw, e.id, 421)
		return
	}
	if g.State != "open" || e.active >= 2*e.w.slots {
		w.mu.Unlock()
		e.refuse(rw, e.id, 503)
		return
	}
	w.serving = true
	e.active++
	for e.group == g && g.State == "open" && !e.whole() {
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
	}
	if e.group != g || g.State != "open" && g.State != "closing" || r.Context().Err() != nil {
		e.active--
		w.mu.Unlock()
		e.refuse(rw, e.id, 503)
		return
	}
	w.judge(g)
	w.mu.Unlock()
	defer func() { w.mu.Lock(); e.active--; w.mu.Unlock() }()
	w.record.add(event{What: "begins", Engine: e.id, Request: id, Path: r.URL.Path})
	if w.crashing != "" && strings.Contains(r.Header.Get("Prefix-Hash"), w.crashing+":") {
		w.mu.Lock()
		w.crashes = append(w.crashes, w.record.now())
		w.mu.Unlock()
		e.crash()
		time.AfterFunc(w.back, func() {
			if err := e.start(); err != nil {
				w.record.fail("engine %s does not start again: %v", e.name, err)
			}
		})
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Response-Signature", e.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	e.write(rw, r, g, id)
}

// judge notes a request that begins in a group that isn't complete. w.mu must be held.
func (w *fabric) judge(g *group) {
	if len(g.Members) != w.models[g.Model].size {
		w.broken = append(w.broken, "PARTIAL: size of "+g.Name)
	}
	for _, m := range g.Members {
		if !w.ready[key(g, m)] {
			v := fmt.Sprintf("PARTIAL: request runs in %s, member %s was never ready", g.Name, m)
			w.broken = append(w.broken, v)
			w.logf("%s", v)
		}
	}
}

// write writes the events of an answer.
func (e *member) write(rw http.ResponseWriter, r *http.Request, g *group, id string) {
	w := e.w
	from := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n
	}
	for i := from + 1; i <= 5; i++ {
		time.Sleep(40 * time.Millisecond)
		for {
			w.mu.Lock()
			ok, same := e.up && e.group == g && e.whole(), e.up && e.group == g && g.State != "broken"
			w.mu.Unlock()
			if ok {
				break
			}
			if !same || r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(rw).Flush()
	}
}
