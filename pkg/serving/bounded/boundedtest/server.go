// Package boundedtest is a stand-in for a server that sends bytes without end, to
// test that clients bound what they read.
package boundedtest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"almondbay.example/serving/bounded"
)

const (
	// maxSentBytes ends a response that its client did not stop reading.
	maxSentBytes = 128 << 20
	// writeBytes is the approximate size of one write.
	writeBytes = 64 << 10
	// maxConnections bounds the connections whose ends were not yet awaited.
	maxConnections = 64
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

// Case is a response without end.
type Case struct {
	Name string
	// Start is sent first, and then Repeat until the client closes the connection.
	// An empty Repeat sends nothing more.
	Start, Repeat string
	// Unread is set to send without reading a request first.
	Unread bool
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

// errNotClosed reports a client that did not stop reading.
var errNotClosed = errors.New("client read all bytes that the server sends at most")

// Server responds to the first request of each connection without end.
type Server struct {
	// Address is the address that the server listens on.
	Address string

	response Case
	listener net.Listener
	handlers sync.WaitGroup
	ended    chan error
}

// NewServer starts a server, which is closed at the end of the test.
func NewServer(t testing.TB, c Case) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String(), response: c, listener: l, ended: make(chan error, maxConnections)}
	s.handlers.Go(s.accept)
	t.Cleanup(func() {
		_ = l.Close()
		s.handlers.Wait()
	})
	return s
}

// RequireClosed waits until the client has closed the connection of a request. It
// fails the test if the client read all bytes that the server sends at most.
func (s *Server) RequireClosed(t testing.TB) {
	t.Helper()
	if err := <-s.ended; err != nil {
		t.Errorf("server %s: %v", s.Address, err)
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

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.handlers.Go(func() {
			defer func() { _ = connection.Close() }()
			// A connection without a request is a probe.
			if s.response.Unread || readRequest(connection) == nil {
				s.end(s.respond(connection))
			}
		})
	}
}

// end records the end of a connection, unless too many were not awaited.
func (s *Server) end(err error) {
	select {
	case s.ended <- err:
	default:
	}
}

// respond returns nil once the client has closed the connection.
func (s *Server) respond(connection net.Conn) error {
	if _, err := io.WriteString(connection, s.response.Start); err != nil {
		return nil
	}
	if s.response.Repeat == "" {
		_, _ = io.Copy(io.Discard, connection)
		return nil
	}
	block := strings.Repeat(s.response.Repeat, max(1, writeBytes/len(s.response.Repeat)))
	for sent := 0; s.response.Unlimited || sent < maxSentBytes; sent += len(block) {
		if _, err := io.WriteString(connection, block); err != nil {
			return nil
		}
	}
	return errNotClosed
}

func readRequest(connection net.Conn) error {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}
