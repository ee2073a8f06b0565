package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of a model engine, as in PROTOCOL.md and the site cartaz-almondbay; before the
// first request a load takes a tenth of its time.
const (
	joinTime    = 200 * time.Millisecond
	loadTime    = 1200 * time.Millisecond
	formTime    = 300 * time.Millisecond
	eventTime   = 50 * time.Millisecond
	modelName   = "daka510000"
	modelSlots  = 17
	modelEvents = 34
	// drainTime is drainMs, and a little longer, for which a leaving engine serves after its
	// entry was removed. Then it stops listening and ends when its work is done, or after
	// lastWork at most.
	drainTime = 2100 * time.Millisecond
	lastWork  = 10 * time.Second
)

// membership is the group of a model engine.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// modelEngine is a stand-in of an engine that is a member of replica groups. It never
// fails. When its memory runs out, which here is while preemptAt streams or more run that
// are not preempted, the newest stream is preempted in the middle and goes on pauseTime
// later.
type modelEngine struct {
	id, zone, address string
	service           string
	born              int64
	store             *store
	record            *record
	preemptAt         int
	pauseTime         time.Duration
	// events is the number of events of a stream, eventTime the time of each.
	events    int
	eventTime time.Duration
	// others are the engines that may be in a group with this one, itself included. If it is
	// set, joins that break TWO are counted in twos.
	others []*modelEngine
	// crashes reports whether a request crashes the engine when it begins to write an
	// answer. The engine is back downTime later. onArrival is called for each request of a
	// client that reaches the engine. Both may be nil.
	crashes   func(*http.Request) bool
	onArrival func(*http.Request)
	downTime  time.Duration

	mu       sync.Mutex
	accepted uint64
	lastSeen uint64
	staged   bool
	group    *membership
	beats    int
	// leaving is set once the engine has stopped its liveness reports to leave, gone once
	// it has ended.
	leaving, gone bool
	twos          int
	listener      net.Listener
	// conns are the open channels; nil while the engine is down.
	conns   map[net.Conn]bool
	running int
	paused  int
	// finished holds the requests whose streams were sent to their end, broken those whose
	// channel was closed before.
	finished, broken map[string]bool
}

func newModelEngine(id, zone, service string, st *store, rec *record) *modelEngine {
	return &modelEngine{
		id: id, zone: zone, service: service, born: time.Now().UnixMilli(), store: st, record: rec,
		finished: map[string]bool{}, broken: map[string]bool{}, events: modelEvents, eventTime: eventTime,
	}
}

func (e *modelEngine) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	go func() {
		for {
			e.mu.Lock()
			if e.conns != nil && !e.leaving {
				e.register()
			}
			e.mu.Unlock()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// listen begins to accept channels on a free port.
func (e *modelEngine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address, e.listener, e.conns = l.Addr().String(), l, map[net.Conn]bool{}
	e.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return nil
}

// crash ends the engine: its port is closed and its channels are reset. It is back downTime
// later, in a new boot, with its staged models.
func (e *modelEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.conns == nil {
		return
	}
	_ = e.listener.Close()
	for conn := range e.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.conns, e.group, e.accepted, e.lastSeen, e.running, e.paused = nil, nil, 0, 0, 0, 0
	time.AfterFunc(e.downTime, func() {
		e.mu.Lock()
		e.born = time.Now().UnixMilli()
		e.mu.Unlock()
		if err := e.listen(); err != nil {
			e.record.say("engine %s can't start again: %v", e.id, err)
			return
		}
		e.record.line("engine %s is back", e.id)
		e.mu.Lock()
		defer e.mu.Unlock()

		e.register()
	})
}

// entry returns what the engine says of itself. It is called with mu held.
func (e *modelEngine) entry(sequence uint64) map[string]any {
	v := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": modelSlots, "state": "ready",
		"coldLeftMs": 0, "phase": "colocated", "models": []any{}, "callSeq": sequence, "born": e.born, "domain": e.zone + "-d0",
		"staged": []string{}, "busy": false, "queued": 0, "active": e.running, "kvUsed": 0, "kvTotal": 1860000, "handles": 0,
	}
	if e.staged {
		v["staged"] = []string{modelName}
	}
	if e.group != nil {
		v["group"] = e.group
		v["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}
	}
	return v
}

// register writes the engine's entry. It is called with mu held.
func (e *modelEngine) register() {
	if e.leaving {
		return
	}
	e.beats++
	value, _ := json.Marshal(e.entry(uint64(e.beats)))
	e.store.put("servers", e.id, value)
}

type order struct {
	Op          string   `json:"op"`
	Group       string   `json:"group"`
	Epoch       uint64   `json:"epoch"`
	Model       string   `json:"model"`
	Members     []string `json:"members"`
	ExpectedRev *uint64  `json:"expectedRev"`
}

// leave takes the engine away as planned, without a report that it drains: its entry is
// removed, it serves for drainTime from then on, stops listening, and ends when its work is
// done.
func (e *modelEngine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.record.say("engine %s begins to leave", e.id)
	for e.store.has("servers", e.id) {
		time.Sleep(20 * time.Millisecond)
	}
	e.record.say("the entry of engine %s is removed", e.id)
	time.Sleep(drainTime)
	e.mu.Lock()
	_ = e.listener.Close()
	e.record.say("engine %s stops listening and has %d streams to finish", e.id, e.running)
	e.mu.Unlock()
	for end := time.Now().Add(lastWork); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
	}
	e.mu.Lock()
	e.gone, e.group = true, nil
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.record.say("engine %s has ended", e.id)
}

// openHead returns the head of the group that the engine is in, if it is another engine, in
// that group still and open. It is called without mu of any engine held.
func (e *modelEngine) openHead() (id, group string) {
	e.mu.Lock()
	g := e.group
	e.mu.Unlock()
	if g == nil {
		return "", ""
	}
	for _, h := range e.others {
		if h == e || h.id != g.members[0] {
			continue
		}
		h.mu.Lock()
		open := !h.gone && h.group != nil && h.group.Name == g.Name && h.group.Epoch == g.Epoch && (h.group.State == "open" || h.group.State == "closing")
		h.mu.Unlock()
		if open {
			return h.id, g.Name
		}
	}
	return "", ""
}

// checkedOrder carries out an order and checks TWO.
func (e *modelEngine) checkedOrder(o order) int {
	head, group := e.openHead()
	status := e.order(o)
	if o.Op == "join" && status == http.StatusAccepted && head != "" && group != o.Group {
		e.mu.Lock()
		e.twos++
		e.mu.Unlock()
		e.record.say("TWO: engine %s takes a join of group %s while group %s of its head %s is open", e.id, o.Group, group, head)
	}
	return status
}

// order carries out an order and returns the status.
func (e *modelEngine) order(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	if o.ExpectedRev != nil && *o.ExpectedRev != e.accepted {
		return http.StatusConflict
	}
	in := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if o.Epoch < e.lastSeen {
			return http.StatusPreconditionFailed
		}
		if in {
			return http.StatusOK
		}
		e.join(o)
	case "open":
		switch {
		case !in || e.group.State != "ready" && e.group.State != "open":
			return http.StatusConflict
		case e.group.State == "open":
			return http.StatusOK
		}
		g := e.group
		e.after(formTime, g, func() { g.State = "open" })
	case "close":
		if !in || e.group.State != "open" {
			return http.StatusConflict
		}
		e.group.State = "ready"
	case "leave":
		if !in {
			return http.StatusConflict
		}
		e.group = nil
	case "phase":
		if e.staged {
			return http.StatusOK
		}
		e.after(loadTime, e.group, func() { e.staged = true })
	default:
		return http.StatusBadRequest
	}
	e.accepted++
	e.record.line("engine %s takes order %s, group %s epoch %d", e.id, o.Op, o.Group, o.Epoch)
	e.register()
	return http.StatusAccepted
}

// join replaces the membership. It is called with mu held.
func (e *modelEngine) join(o order) {
	wait := loadTime
	if e.staged {
		wait = joinTime
	}
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: max(0, slices.Index(o.Members, e.id)), State: "joining", members: o.Members}
	e.lastSeen, e.group = o.Epoch, g
	e.after(wait, g, func() { g.State, e.staged = "ready", true })
}

// after makes a change after some time unless the group has changed. It is called with mu
// held.
func (e *modelEngine) after(wait time.Duration, g *membership, change func()) {
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		if e.group == g {
			change()
			e.register()
		}
	})
}

func (e *modelEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	e.mu.Lock()
	down := e.conns == nil
	if !down {
		e.conns[conn] = true
	}
	e.mu.Unlock()
	if down {
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		delete(e.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(conn, reader, r, body) {
			return
		}
	}
}

func answerWith(conn net.Conn, status int, headers string, body []byte) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}

// answer answers one request. It reports whether the channel can be used again.
func (e *modelEngine) answer(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Attempt-Id")
	echo := "Attempt-Id: " + id + "\r\n"
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		return answerWith(conn, http.StatusMisdirectedRequest, echo+"Instance-Id: "+e.id+"\r\n", nil)
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		report, _ := json.Marshal(e.entry(e.accepted))
		e.mu.Unlock()
		return answerWith(conn, http.StatusOK, "Content-Type: application/json\r\n", report)
	case "/-/order":
		var o order
		if err := json.Unmarshal(body, &o); err != nil {
			return answerWith(conn, http.StatusBadRequest, "", nil)
		}
		return answerWith(conn, e.checkedOrder(o), "", nil)
	}
	if e.onArrival != nil {
		e.onArrival(r)
	}
	e.mu.Lock()
	born := e.born
	serves := e.group != nil && e.group.State == "open" && e.group.Rank == 0 && e.running < modelSlots
	newest := false
	if serves {
		e.running++
		newest = e.preemptAt > 0 && e.running-e.paused > e.preemptAt
		if newest {
			e.paused++
		}
	}
	e.mu.Unlock()
	if !serves {
		return answerWith(conn, http.StatusServiceUnavailable, echo+"Not-Executed: 1\r\n", nil)
	}
	e.record.line("engine %s runs stream %s", e.id, id)
	if e.crashes != nil && e.crashes(r) {
		time.Sleep(2 * eventTime)
		e.record.line("engine %s crashes under request %s", e.id, id)
		e.crash()
		return false
	}
	whole := e.stream(conn, reader, r, id, newest)
	e.mu.Lock()
	if e.born == born && e.conns != nil {
		e.running--
		if newest {
			e.paused--
		}
	}
	e.finished[id], e.broken[id] = whole, !whole
	e.mu.Unlock()
	return whole
}

// closed reports whether the peer has closed the channel.
func closed(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && (!asNetError(err, &timeout) || !timeout.Timeout())
}

// stream sends the events of a stream in chunks, from the one after Last-Event-Id on. It
// reports whether it was sent whole.
func (e *modelEngine) stream(conn net.Conn, reader *bufio.Reader, r *http.Request, id string, preempted bool) bool {
	next := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = n + 1
	}
	time.Sleep(2 * e.eventTime)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Type: text/event-stream\r\n"+
		"Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	for n := next; err == nil && n <= e.events; n++ {
		time.Sleep(e.eventTime)
		if preempted && n == next+4 {
			e.record.line("engine %s preempts stream %s, its newest, for %v", e.id, id, e.pauseTime)
			for end := time.Now().Add(e.pauseTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if closed(conn, reader) {
					e.record.line("engine %s finds the channel of stream %s closed while it was preempted", e.id, id)
					return false
				}
			}
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of the answer to %s\n\n", n, n, id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}
