package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of an engine of a plain service. It speaks HTTP/1.1 on kept
// channels, runs slots requests at once, queues a few more and rejects the others with
// 503 and Not-Executed. It echoes Attempt-Id in all its responses, and drops a request
// that waits in its queue when the channel closes.
type engine struct {
	id, zone, address string
	service           string
	slots, queue      int
	work              func(*http.Request) time.Duration
	born              int64
	store             *store
	record            *record

	// loseAnswer reports whether the answer to a request that was run is lost and its
	// channel reset.
	loseAnswer func(id string) bool
	// repeatAnswer reports whether an answer is sent a second time, late: after the next
	// request has arrived on the channel.
	repeatAnswer func(id string, rejection bool) bool

	mu      sync.Mutex
	free    chan struct{}
	waiting int
	runs    map[string]int
	// answers and rejections count the answers and those of them that are rejections.
	answers, rejections int
}

func newEngine(id, zone, service string, slots, queue int, st *store, rec *record) *engine {
	e := &engine{
		id: id, zone: zone, service: service, slots: slots, queue: queue, born: time.Now().UnixMilli(), store: st, record: rec,
		work:         func(*http.Request) time.Duration { return 15*time.Millisecond + rand.N(30*time.Millisecond) },
		loseAnswer:   func(string) bool { return false },
		repeatAnswer: func(string, bool) bool { return false },
		runs:         map[string]int{},
		free:         make(chan struct{}, slots),
	}
	for range slots {
		e.free <- struct{}{}
	}
	return e
}

// start listens on a free port and registers the engine at each heartbeat.
func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	go func() {
		for beat := 1; ; beat++ {
			value, _ := json.Marshal(map[string]any{
				"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
				"state": "ready", "coldLeftMs": 0, "callSeq": beat, "born": e.born,
			})
			e.store.put("servers", e.id, value)
			time.Sleep(heartbeat)
		}
	}()
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

// serve answers the requests on one channel, one at a time.
func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	// late is an answer that is sent a second time.
	late := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if late != "" {
			e.record.line("server %s sends an earlier answer again, while request %s is on the channel: %q", e.id, id, firstLines(late))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer, ok := e.handle(conn, reader, r, id, size)
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if r.URL.Path != "/-/report" && e.repeatAnswer(id, strings.Contains(firstLines(answer), "Not-Executed")) {
			late = answer
		}
	}
}

// firstLines returns the head of an answer for the record.
func firstLines(answer string) string {
	head, _, _ := strings.Cut(answer, "\r\n\r\n")
	return head
}

// handle returns the answer to a request. The second result is false if there is none.
func (e *engine) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, id string, size int64) (string, bool) {
	if r.URL.Path == "/-/report" {
		report := fmt.Sprintf(`{"phase":"colocated","models":[],"busy":false,"callSeq":0,"queued":0,"active":0,"born":%d}`, e.born)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report), true
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id), true
	}
	if !e.takeSlot(conn, reader) {
		e.count(false)
		e.record.line("server %s rejects request %s: 503 Not-Executed", e.id, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id), true
	}
	e.mu.Lock()
	e.runs[id]++
	run := e.runs[id]
	e.mu.Unlock()
	e.record.line("server %s runs request %s (%s %s, %d bytes), run %d here", e.id, id, r.Method, r.URL.Path, size, run)
	time.Sleep(e.work(r))
	e.free <- struct{}{}
	if e.loseAnswer(id) {
		e.record.line("server %s has run request %s; its answer is lost and the channel reset", e.id, id)
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		return "", false
	}
	e.count(true)
	text := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id, id, len(text), text), true
}

// count counts an answer, which is a rejection unless ran is set.
func (e *engine) count(ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.answers++
	if !ran {
		e.rejections++
	}
}

// takeSlot takes a slot, after a wait in the queue if none is free. It reports false if
// the queue is full, or if the channel was closed meanwhile.
func (e *engine) takeSlot(conn net.Conn, reader *bufio.Reader) bool {
	select {
	case <-e.free:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	<-e.free
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	if err != nil && (!asNetError(err, &timeout) || !timeout.Timeout()) {
		e.free <- struct{}{}
		return false
	}
	return true
}

// window returns a function that reports true for every nth call within a time window.
func window(from time.Time, length time.Duration, nth int) func(string) bool {
	var mu sync.Mutex
	calls := 0
	return func(string) bool {
		mu.Lock()
		defer mu.Unlock()

		if since := time.Since(from); since < 0 || since >= length {
			return false
		}
		calls++
		return calls%nth == 0
	}
}
