// Package floodtest provides a backend server for tests that answers a request
// with bytes without end.
package floodtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Limit is the number of bytes after which a Server gives up, so that a test of a
// client that reads without bound ends.
const Limit = 64 << 20

// Config configures a Server.
type Config struct {
	// Begin is sent once after each request. It may contain IDMark.
	Begin string
	// Repeat is sent after Begin until the client closes the connection. If it is
	// empty, nothing more is sent.
	Repeat string
}

// IDMark stands for the ID header of the request in Config.Begin.
const IDMark = "<id>"

// Server is a backend server that serves one request on each connection. It must
// be created with New.
type Server struct {
	listener net.Listener
	config   Config
	started  chan struct{}
	ends     chan End
	group    sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
	ids   []string
}

// End is the end of a connection that had a request.
type End struct {
	// Sent is the number of bytes sent.
	Sent int
	// Closed is set if the client closed the connection, and not the server since
	// it had sent Limit bytes.
	Closed bool
}

// maxConns is the number of connections that a test may use.
const maxConns = 256

// New starts a server that is stopped at the end of the test.
func New(t testing.TB, c Config) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener, config: c, started: make(chan struct{}, maxConns), ends: make(chan End, maxConns)}
	s.group.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Started receives a value when the first bytes of a response were sent.
func (s *Server) Started() <-chan struct{} { return s.started }

// Ends receives a value when a connection that had a request has ended.
func (s *Server) Ends() <-chan End { return s.ends }

// IDs returns the ID headers of the requests received.
func (s *Server) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.ids...)
}

// stop closes the connections, without which a client that neither reads nor
// closes would block the server.
func (s *Server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.group.Go(func() { s.serve(conn) })
	}
}

// serve reads one request and floods the client.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("Id")
	s.mu.Lock()
	s.ids = append(s.ids, id)
	s.mu.Unlock()
	s.ends <- s.flood(conn, strings.ReplaceAll(s.config.Begin, IDMark, id))
}

// pieceBytes is the size of one write.
const pieceBytes = 32 << 10

func (s *Server) flood(conn net.Conn, begin string) End {
	piece := strings.Repeat(s.config.Repeat, pieceBytes/max(1, len(s.config.Repeat)))
	// One write, so that a client that reads the end of a response has received
	// bytes after it.
	sent, err := io.WriteString(conn, begin+piece)
	if err != nil {
		return End{Sent: sent, Closed: true}
	}
	s.started <- struct{}{}
	if piece == "" {
		// Ends when the client closes the connection.
		_, _ = io.Copy(io.Discard, conn)
		return End{Sent: sent, Closed: true}
	}
	for sent < Limit {
		n, err := io.WriteString(conn, piece)
		sent += n
		if err != nil {
			return End{Sent: sent, Closed: true}
		}
	}
	return End{Sent: sent}
}
