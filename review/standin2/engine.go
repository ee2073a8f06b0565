package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "rada7437b5"
	// smallGroup and largeGroup are sizes of groups.
	smallGroup = 2
	largeGroup = 4
	// loadTime is that of a load; before the first request it is a tenth.
	loadTime  = 12 * time.Second
	warmTime  = 1100 * time.Millisecond
	againTime = 200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	stallTime = 4 * time.Second
	// Streams have streamEvents events.
	streamEvents = 20
	eventGap     = 50 * time.Millisecond
)

// membership is what an engine knows of its group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
}

// pool is the engines of a service and what was seen of the rules on groups.
type pool struct {
	run     *run
	service string

	mu      sync.Mutex
	engines map[string]*engine
	// ctx is that of engines that come back.
	ctx     context.Context
	crashes []time.Time
	// began has the requests that an engine began to write an answer on.
	began map[string]bool
	// joins has the joins that break the rule TWO, in words.
	joins []string
	// onJoining is called with the entry of an engine that begins to join a group, before it is
	// written. If it reports true, it has taken over the write.
	onJoining func(e *engine, value []byte) bool
}

// engine is a stand-in of a model engine.
type engine struct {
	pool    *pool
	id      string
	domain  string
	address string
	http    *http.Server
	stopped context.CancelFunc

	// The mutex of the pool guards the following.
	born     int64
	state    string
	beats    int
	orders   uint64
	maxEpoch uint64
	model    string
	staged   []string
	group    *membership
	standing time.Time
	running  map[string]context.CancelFunc
}

func newPool(r *run, service string) *pool {
	return &pool{run: r, service: service, engines: map[string]*engine{}, began: map[string]bool{}}
}

// start starts an engine.
func (p *pool) start(ctx context.Context, id, domain string) (*engine, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		pool: p, id: id, domain: domain, address: l.Addr().String(), born: time.Now().UnixMilli(), state: "ready",
		running: map[string]context.CancelFunc{},
	}
	e.http = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.http.Serve(l) }()
	ctx, e.stopped = context.WithCancel(ctx)
	p.mu.Lock()
	p.engines[id] = e
	e.beat()
	p.mu.Unlock()
	go func() {
		beat, watch := time.NewTicker(heartbeat), time.NewTicker(50*time.Millisecond)
		defer beat.Stop()
		defer watch.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-beat.C:
				p.mu.Lock()
				e.beat()
				p.mu.Unlock()
			case <-watch.C:
				p.mu.Lock()
				e.watch()
				p.mu.Unlock()
			}
		}
	}()
	return e, nil
}

// loadTime returns the time of a load that begins now.
func (p *pool) loadTime() time.Duration {
	if !p.run.requested.Load() {
		return loadTime / 10
	}
	return loadTime
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, e := range p.engines {
		e.stopped()
		_ = e.http.Close()
	}
}

// entry returns the next entry of the engine in the store. Its callers hold the mutex.
func (e *engine) entry() []byte {
	e.beats++
	entry := map[string]any{
		"service": e.pool.service, "address": e.address, "zone": e.pool.run.zones[0], "version": "v1", "slots": 17, "state": e.state,
		"coldLeftMs": 0, "phase": "colocated", "models": e.models(), "callSeq": e.beats, "born": e.born,
		"domain": e.domain, "staged": slices.Concat([]string{}, e.staged),
	}
	if e.group != nil {
		entry["group"] = e.group
	}
	// Marshaling plain values cannot fail.
	value, _ := json.Marshal(entry)
	return value
}

func (e *engine) models() []map[string]any {
	if e.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": e.model, "version": 1, "adapters": []string{}}}
}

// beat writes the entry, as the engine does at each change and interval.
func (e *engine) beat() {
	value := e.entry()
	if e.group != nil && e.group.State == "joining" && e.pool.onJoining != nil && e.pool.onJoining(e, value) {
		return
	}
	e.pool.run.store.put("servers", e.id, value)
}

// describe returns the engine's group in words.
func (e *engine) describe() string {
	if e.group == nil {
		return "none"
	}
	return fmt.Sprintf("%s, epoch %d, rank %d, %s", e.group.Name, e.group.Epoch, e.group.Rank, e.group.State)
}

// whole reports whether all members are in the head's group.
func (e *engine) whole() bool {
	for _, id := range e.group.members {
		m := e.pool.engines[id]
		if m == nil || m.group == nil || m.group.Name != e.group.Name || m.group.Epoch != e.group.Epoch {
			return false
		}
	}
	return true
}

// watch breaks the group of a head that has stood still for too long.
func (e *engine) watch() {
	if e.group == nil || e.group.Rank != 0 || e.group.State != "open" && e.group.State != "closing" || e.whole() {
		e.standing = time.Time{}
		return
	}
	if e.standing.IsZero() {
		e.standing = time.Now()
	}
	if time.Since(e.standing) >= stallTime {
		e.group.State = "broken"
		e.cut()
		e.beat()
	}
}

// cut ends all requests.
func (e *engine) cut() {
	for _, cancel := range e.running {
		cancel()
	}
}

// order is the body of an order.
type order struct {
	Op          string   `json:"op"`
	Group       string   `json:"group"`
	Epoch       uint64   `json:"epoch"`
	Model       string   `json:"model"`
	Members     []string `json:"members"`
	ExpectedRev *uint64  `json:"expectedRev"`
}

// carryOut carries out an order and returns the status of the answer.
func (e *engine) carryOut(o order) int {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()

	if o.ExpectedRev != nil && *o.ExpectedRev != e.orders {
		return http.StatusConflict
	}
	own := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o, own)
	case "phase":
		if slices.Contains(e.staged, o.Model) {
			return http.StatusOK
		}
		e.orders++
		e.later(e.pool.loadTime(), func() { e.staged = []string{o.Model} })
		return http.StatusAccepted
	case "leave":
		if !own {
			return http.StatusOK
		}
		e.orders++
		e.group = nil
		e.cut()
		e.beat()
		return http.StatusAccepted
	case "open":
		if own && e.group.State == "open" {
			return http.StatusOK
		}
		if !own || e.group.Rank != 0 || e.group.State != "ready" {
			return http.StatusConflict
		}
		e.orders++
		group := e.group
		e.later(formTime, func() {
			if e.group == group {
				group.State = "open"
			}
		})
		return http.StatusAccepted
	case "close":
		if !own || e.group.State != "open" {
			return http.StatusConflict
		}
		e.orders++
		e.group.State = "closing"
		e.finishClosing()
		e.beat()
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// finishClosing returns a closing head without work to ready.
func (e *engine) finishClosing() {
	if e.group != nil && e.group.State == "closing" && len(e.running) == 0 {
		e.group.State = "ready"
	}
}

// later does something after a time and writes the entry.
func (e *engine) later(after time.Duration, do func()) {
	time.AfterFunc(after, func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()

		do()
		e.beat()
	})
}

func (e *engine) join(o order, own bool) int {
	switch {
	case o.Epoch < e.maxEpoch, own && !slices.Equal(e.group.members, o.Members), !slices.Contains(o.Members, e.id):
		return http.StatusPreconditionFailed
	case own:
		return http.StatusOK
	}
	if e.group != nil {
		head := e.pool.engines[e.group.members[0]]
		if head == nil {
			head = &engine{}
		}
		if g := head.group; g != nil && g.Name == e.group.Name && g.Epoch == e.group.Epoch && (g.State == "open" || g.State == "closing") {
			text := fmt.Sprintf("engine %s takes a join of group %s, epoch %d, while the head %s of its group %s, epoch %d, is %s with %d requests",
				e.id, o.Group, o.Epoch, head.id, g.Name, g.Epoch, g.State, len(head.running))
			e.pool.joins = append(e.pool.joins, text)
			e.pool.run.record.line("%s", text)
		}
	}
	e.orders++
	e.maxEpoch = o.Epoch
	took := e.pool.loadTime()
	switch {
	case e.model == o.Model:
		took = againTime
	case slices.Contains(e.staged, o.Model):
		took = warmTime
	}
	e.cut()
	e.model = o.Model
	group := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining", members: o.Members}
	e.group = group
	e.beat()
	e.later(took, func() {
		e.staged = []string{o.Model}
		if e.group == group {
			group.State = "ready"
		}
	})
	return http.StatusAccepted
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
	case "/-/order":
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := e.carryOut(o)
		e.pool.run.record.line("order to %s: %s %s, epoch %d, members %v: %d", e.id, o.Op, o.Group, o.Epoch, o.Members, status)
		w.WriteHeader(status)
	default:
		e.answer(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()

	report := map[string]any{
		"phase": "colocated", "models": e.models(), "busy": false, "callSeq": e.orders, "queued": 0, "active": len(e.running),
		"kvUsed": 0, "kvTotal": 1860000, "handles": 0, "pace": 1.0, "born": e.born,
	}
	if e.group != nil {
		report["group"] = e.group
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// answer answers a request with a stream.
func (e *engine) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.pool.mu.Lock()
	status := 0
	switch {
	case e.group != nil && e.group.Rank != 0:
		status = http.StatusMisdirectedRequest
	case e.group == nil || e.group.State != "open":
		status = http.StatusServiceUnavailable
	default:
		e.running[id] = cancel
	}
	e.pool.mu.Unlock()
	if status != 0 {
		e.pool.run.record.line("request %s reaches engine %s, which rejects it with %d", id, e.id, status)
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("At-Server", e.id)
		w.WriteHeader(status)
		return
	}
	e.pool.run.record.line("request %s reaches engine %s, which runs it", id, e.id)
	defer func() {
		e.pool.mu.Lock()
		delete(e.running, id)
		e.finishClosing()
		e.pool.mu.Unlock()
	}()
	if strings.Contains(r.Header.Get("Prefix-Hash"), crashingPart+":") {
		time.Sleep(100 * time.Millisecond)
		e.pool.run.record.line("request %s crashes engine %s", id, e.id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", e.id+"."+id)
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-ctx.Done():
			e.pool.run.record.line("request %s is cut off at engine %s", id, e.id)
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
		if n == first+1 {
			e.pool.mu.Lock()
			e.pool.began[id] = true
			e.pool.run.requested.Store(true)
			e.pool.mu.Unlock()
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// crashingPart is the ID of a part of prompts that crashes each engine that begins to write an
// answer on it.
const crashingPart = "badc0de5"

// crash ends the engine at once. It is back later as a new one.
func (e *engine) crash() {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.engines[e.id] != e {
		return
	}
	p.crashes = append(p.crashes, time.Now())
	delete(p.engines, e.id)
	e.stopped()
	_ = e.http.Close()
	id := fmt.Sprintf("i-%08x", 0x8f3a91c0+len(p.crashes))
	time.AfterFunc(3*time.Second, func() { _, _ = p.start(p.ctx, id, e.domain) })
}

// engineService returns the service of the engines.
func engineService(name string, size int) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 574, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 17, "kvCapacity": 1860000, "stride": 5, "loadsPerS": 5.0, "loads_at_once": 7, "formMs": 300.0, "cachedPrefixes": 1,
			"report_lag_ms": 200.0, "usual": map[string]int{"prompt": 979, "answer": 154},
			"models": []map[string]any{{"name": modelName, "size": size, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmupS": 1.1}},
		},
	}
}

// streamRoute returns a route to the service of the engines.
func streamRoute(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-" + service, "host": host, "prefix": prefix, "routeKind": "streaming", "timeoutMs": 6000, "sloMs": 300, "gapTargetMs": 200,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}
}
