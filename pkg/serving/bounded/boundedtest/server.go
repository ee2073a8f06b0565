// Package boundedtest is a stand-in for a server that sends bytes without end, to
// test that clients bound what they read.
package boundedtest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"almondbay.example/serving/bounded"
)

const (
	// defaultMaxBytes is the default of Case.MaxBytes.
	defaultMaxBytes = 64 << 20
	// writeBytes is the approximate size of one write.
	writeBytes = 32 << 10
	// readAheadBytes is the number of bytes by which a client may exceed its bound,
	// because it reads into a buffer.
	readAheadBytes = 64 << 10
	// maxConnections bounds the connections whose ends were not yet awaited.
	maxConnections = 256
)

// Starts of responses whose bodies have no end.
const (
	// HeadBody starts a body of unknown length.
	HeadBody = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	// HeadEvents starts a stream of events of unknown length.
	HeadEvents = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	// HeadUpgrade switches to another protocol.
	HeadUpgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: bytes\r\n\r\n"
)

// IDMark stands for the ID header of the request in Case.Start.
const IDMark = "<id>"

// Case is a response without end. It configures a Server.
type Case struct {
	Name string
	// Start is sent first, and then Repeat until the client closes the connection.
	// An empty Repeat sends nothing more. Start may contain IDMark.
	Start, Repeat string
	// Unread is set to send without reading a request first.
	Unread bool
	// MaxBytes ends a response that its client did not stop reading; 64 MiB if zero.
	MaxBytes int
	// Unlimited is set to send until the client closes the connection, for calls
	// that end at a deadline.
	Unlimited bool
}

// HeadCases returns responses whose heads have no end.
func HeadCases() []Case {
	return []Case{
		{Name: "status line", Start: "HTTP/1.1 200 ", Repeat: "x"},
		{Name: "header line", Start: "HTTP/1.1 200 OK\r\nName: ", Repeat: "x"},
		{Name: "header lines", Start: "HTTP/1.1 200 OK\r\n", Repeat: "Name: value\r\n"},
		{Name: "1xx responses", Repeat: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	}
}

// Server responds to the first request of each connection without end. It must be
// created with NewServer.
type Server struct {
	// Address is the address that the server listens on.
	Address string
	// Port is the port of Address.
	Port int

	response Case
	listener net.Listener
	dialer   Dialer
	accepter sync.WaitGroup
	handlers sync.WaitGroup
	started  chan struct{}
	ends     chan end

	mu sync.Mutex
	// unused holds the connections without a request.
	unused map[net.Conn]struct{}
	ids    []string
}

// end is the end of a connection that had a request.
type end struct {
	// sent is the number of bytes sent.
	sent int
	// closed is set if the client closed the connection, and not the server since
	// it had sent Case.MaxBytes.
	closed bool
}

// NewServer starts a server, which is closed at the end of the test.
func NewServer(t testing.TB, c Case) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	s := &Server{
		Address:  l.Addr().String(),
		Port:     l.Addr().(*net.TCPAddr).Port,
		response: c,
		listener: l,
		started:  make(chan struct{}, maxConnections),
		ends:     make(chan end, maxConnections),
		unused:   make(map[net.Conn]struct{}),
	}
	s.accepter.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

// Dial opens a connection whose received bytes RequireClosedWithin counts.
func (s *Server) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.Dial(ctx, network, address)
}

// Started receives a value when the first bytes of a response were sent.
func (s *Server) Started() <-chan struct{} { return s.started }

// IDs returns the ID headers of the requests received.
func (s *Server) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.ids)
}

// RequireClosed waits until the client has closed the connection of a request. It
// fails the test if the client read all bytes that the server sends at most.
func (s *Server) RequireClosed(t testing.TB) {
	t.Helper()
	if end := <-s.ends; !end.closed {
		t.Errorf("server %s: client read %d bytes and did not close the connection", s.Address, end.sent)
	}
}

// RequireClosedWithin is RequireClosed for a client that connects with Dial. It
// also fails the test if the client received more than maxBytes and a buffer.
func (s *Server) RequireClosedWithin(t testing.TB, maxBytes int64) {
	t.Helper()
	s.RequireClosed(t)
	switch n := s.dialer.Received(); {
	case n == 0:
		t.Errorf("server %s: client received nothing through Dial", s.Address)
	case n > maxBytes+readAheadBytes:
		t.Errorf("server %s: client received %d bytes, want at most %d and a buffer", s.Address, n, maxBytes)
	}
}

// RequireTooLarge fails the test unless err says that a part of the response of a
// server is too large.
func RequireTooLarge(t testing.TB, err error, part bounded.Part, server string) {
	t.Helper()
	var tooLarge *bounded.TooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.Part != part || tooLarge.Server != server {
		t.Errorf("got error %v, want one that says that the %s of the response of %s is too large", err, part, server)
	}
}

// RequireUpgradeRefused fails the test unless err says that a server switched to
// another protocol.
func RequireUpgradeRefused(t testing.TB, err error, server string) {
	t.Helper()
	var upgrade *bounded.UpgradeError
	if !errors.As(err, &upgrade) || upgrade.Server != server {
		t.Errorf("got error %v, want one that says that %s switched to another protocol", err, server)
	}
}

// stop closes the connections without a request, which a client may keep as idle
// ones. Those with a request must end by themselves.
func (s *Server) stop() {
	_ = s.listener.Close()
	s.accepter.Wait()
	s.mu.Lock()
	for c := range s.unused {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.response.Unread {
			s.mu.Lock()
			s.unused[connection] = struct{}{}
			s.mu.Unlock()
		}
		s.handlers.Go(func() { s.serve(connection) })
	}
}

func (s *Server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()

	start := s.response.Start
	if !s.response.Unread {
		id, err := readRequest(connection)
		s.mu.Lock()
		delete(s.unused, connection)
		if err == nil {
			s.ids = append(s.ids, id)
		}
		s.mu.Unlock()
		if err != nil {
			// A connection without a request is a probe.
			return
		}
		start = strings.ReplaceAll(start, IDMark, id)
	}
	select {
	case s.ends <- s.respond(connection, start):
	default:
		// Too many ends were not awaited.
	}
}

// respond sends until the client closes the connection or Case.MaxBytes were sent.
func (s *Server) respond(connection net.Conn, start string) end {
	block := strings.Repeat(s.response.Repeat, max(1, writeBytes/max(1, len(s.response.Repeat))))
	// One write, so that a client that reads the end of a response has received
	// bytes after it.
	sent, err := io.WriteString(connection, start+block)
	if err != nil {
		return end{sent: sent, closed: true}
	}
	s.started <- struct{}{}
	if block == "" {
		_, _ = io.Copy(io.Discard, connection)
		return end{sent: sent, closed: true}
	}
	for s.response.Unlimited || sent < s.response.MaxBytes {
		n, err := io.WriteString(connection, block)
		sent += n
		if err != nil {
			return end{sent: sent, closed: true}
		}
	}
	return end{sent: sent}
}

// readRequest reads a request and returns its ID header.
func readRequest(connection net.Conn) (string, error) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), err
}
