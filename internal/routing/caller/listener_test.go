package caller_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/routing/caller"
)

// memory is an account of a fixed size.
type memory struct {
	mu   sync.Mutex
	size int64
	used int64
}

func (m *memory) ReserveConnection(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.used+n > m.size {
		return false
	}
	m.used += n
	return true
}

func (m *memory) ReleaseConnection(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.used -= n
}

func (m *memory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}

// fixture is an HTTP server behind a listener.
type fixture struct {
	*caller.Listener
	clock   *clockwork.FakeClock
	memory  *memory
	closing chan caller.Closing
	// entered has an element for each request whose handler runs.
	entered chan struct{}
	// held holds back the answers of requests for /held until it is closed.
	held chan struct{}
	// bodyErrors has the error of each read of a body.
	bodyErrors chan error
	// progress has an element for each part of a body that was read.
	progress chan struct{}
}

// awaitProgress waits until a part of a body was read.
func (f *fixture) awaitProgress() { <-f.progress }

func newFixture(t *testing.T, connections int, memorySize int64) *fixture {
	t.Helper()
	f := &fixture{
		clock: clockwork.NewFakeClock(), memory: &memory{size: memorySize}, closing: make(chan caller.Closing, 1000),
		entered: make(chan struct{}, 1000), held: make(chan struct{}), bodyErrors: make(chan error, 1000), progress: make(chan struct{}, 1000),
	}
	var err error
	f.Listener, err = caller.Listen(t.Context(), "127.0.0.1:0", caller.Config{
		Clock: f.clock, MaxConnections: connections, Memory: f.memory, OnClosing: func(c caller.Closing) { f.closing <- c },
	})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(f.handle), ConnContext: caller.WithConn, ConnState: f.Track, MaxHeaderBytes: 64 << 10}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(f.Listener) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Wait()
	})
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	conn := caller.FromContext(r.Context())
	conn.BeginBody()
	f.entered <- struct{}{}
	var err error
	for part := make([]byte, 16); err == nil; {
		_, err = r.Body.Read(part)
		f.progress <- struct{}{}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	conn.EndBody()
	f.bodyErrors <- err
	switch r.URL.Path {
	case "/held":
		<-f.held
	case "/endless":
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		f.bodyErrors <- err
	}
}

// awaitHandled waits until the body of a request was read.
func (f *fixture) awaitHandled(t *testing.T) {
	t.Helper()
	<-f.entered
	if err := <-f.bodyErrors; err != nil {
		t.Fatal(err)
	}
}

// dial opens a connection and waits until the listener has it, or has closed another.
func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	before := f.Connections()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for f.Connections() == before && len(f.closing) == 0 {
		continue
	}
	return conn
}

// send sends text on a connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// answered reports whether an answer comes on the connection, before its end.
func answered(conn net.Conn) bool {
	line := make([]byte, len("HTTP/1.1 200 OK"))
	_, err := io.ReadFull(conn, line)
	return err == nil && string(line) == "HTTP/1.1 200 OK"
}

const (
	held     = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
	ordinary = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	body     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"
)

// TestNewConnectionTakesPlaceOfStillOne guards against ordinary callers that are turned away
// by connections that sit, and against requests under way that are cut off for new ones.
func TestNewConnectionTakesPlaceOfStillOne(t *testing.T) {
	f := newFixture(t, 3, 1<<20)
	busy := f.dial(t)
	send(t, busy, held)
	f.awaitHandled(t)
	oldest := f.dial(t)
	f.clock.Advance(time.Minute)
	f.dial(t)
	f.clock.Advance(time.Minute)
	newest := f.dial(t)
	if c := <-f.closing; c != caller.ClosingMakesRoom {
		t.Errorf("closing for %q, want %q", c, caller.ClosingMakesRoom)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that stood still longest is open, want it closed")
	}
	send(t, newest, ordinary)
	if !answered(newest) {
		t.Error("no answer on the new connection")
	}
	close(f.held)
	if !answered(busy) {
		t.Error("no answer to the request that was under way")
	}
}

// TestConnectionsUnderWayAreKept guards against making room by cutting off requests that
// were passed on.
func TestConnectionsUnderWayAreKept(t *testing.T) {
	f := newFixture(t, 2, 1<<20)
	var busy []net.Conn
	for range 2 {
		conn := f.dial(t)
		send(t, conn, held)
		f.awaitHandled(t)
		busy = append(busy, conn)
	}
	f.clock.Advance(time.Hour)
	f.Sweep()
	refused := f.dial(t)
	if c := <-f.closing; c != caller.ClosingNoRoom {
		t.Errorf("closing for %q, want %q", c, caller.ClosingNoRoom)
	}
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("the connection beyond the limit is open, want it closed")
	}
	close(f.held)
	for _, conn := range busy {
		if !answered(conn) {
			t.Error("no answer to a request that was under way")
		}
	}
}

// TestConnectionsStayWithinMemory guards against connections and heads that hold more than
// their part of the memory, and against bytes that are never released.
func TestConnectionsStayWithinMemory(t *testing.T) {
	const room = 4
	f := newFixture(t, 1000, room*caller.ConnectionBytes)
	var conns []net.Conn
	for range 2 * room {
		conns = append(conns, f.dial(t))
		f.clock.Advance(time.Minute)
		if used := f.memory.inUse(); used > room*caller.ConnectionBytes {
			t.Fatalf("%d bytes in use, want at most %d", used, room*caller.ConnectionBytes)
		}
	}
	if n := f.Connections(); n != room {
		t.Errorf("%d connections, want %d", n, room)
	}
	send(t, conns[len(conns)-1], "GET / HTTP/1.1\r\nHost: h\r\nFiller: "+strings.Repeat("x", 30<<10))
	for f.Connections() == room {
		// The head takes the place of others.
		continue
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	for f.Connections() > 0 {
		continue
	}
	if used := f.memory.inUse(); used != 0 {
		t.Errorf("%d bytes in use without connections, want 0", used)
	}
}

// TestHeadIsReleasedAfterItsRequest guards against kept connections that are charged for the
// heads of requests that have ended.
func TestHeadIsReleasedAfterItsRequest(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	conn := f.dial(t)
	for range 3 {
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nFiller: "+strings.Repeat("x", 20<<10)+"\r\n\r\n")
		if !answered(conn) {
			t.Fatal("no answer")
		}
		<-f.entered
		for f.memory.inUse() != caller.ConnectionBytes {
			// The connection is not idle yet.
			continue
		}
		for rest := make([]byte, 1); !strings.HasSuffix(string(rest), "\r\n\r\n"); {
			one := make([]byte, 1)
			if _, err := conn.Read(one); err != nil {
				t.Fatal(err)
			}
			rest = append(rest, one...)
		}
	}
}

// TestStillBodyIsGivenUp guards against bodies that hold their memory for ever, and against
// blaming callers for a time in which the process was suspended and swept nothing.
func TestStillBodyIsGivenUp(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	conn := f.dial(t)
	send(t, conn, body)
	<-f.entered
	f.clock.Advance(time.Hour)
	f.Sweep()
	f.Sweep()
	select {
	case err := <-f.bodyErrors:
		t.Fatalf("body given up at the first sweeps after a suspension: %v", err)
	default:
	}
	for len(f.closing) == 0 {
		f.Sweep()
	}
	if err := <-f.bodyErrors; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of the body: %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if c := <-f.closing; c != caller.ClosingStandsStill {
		t.Errorf("closing for %q, want %q", c, caller.ClosingStandsStill)
	}
}

// TestBodyWithProgressIsNotGivenUp guards against a limit that hits slow, sound callers: only
// sweeps in a row without a byte count.
func TestBodyWithProgressIsNotGivenUp(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	conn := f.dial(t)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	<-f.entered
	for range 30 {
		f.Sweep()
		send(t, conn, "1\r\nx\r\n")
		f.awaitProgress()
	}
	f.AbortBody()
	if len(f.closing) != 0 {
		t.Fatalf("body given up for %q though each sweep saw progress", <-f.closing)
	}
	send(t, conn, "0\r\n\r\n")
	if err := <-f.bodyErrors; err != nil {
		t.Errorf("read of the body: %v, want all of it", err)
	}
}

// TestUnreadAnswerIsGivenUp guards against callers that hold a slot of a server by an answer
// that they do not read.
func TestUnreadAnswerIsGivenUp(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	conn := f.dial(t)
	send(t, conn, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	<-f.entered
	if err := <-f.bodyErrors; err != nil {
		t.Fatal(err)
	}
	for len(f.closing) == 0 {
		f.Sweep()
		f.AbortAnswer()
	}
	if err := <-f.bodyErrors; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write of the answer: %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
