package boundedtest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Copier is a server that sends each of its rejections, the responses with a status of 300
// or more, a second time on the same connection. It must be created with NewCopier.
type Copier struct {
	// Address is the address that the server listens on.
	Address string

	config   CopierConfig
	listener net.Listener
	group    sync.WaitGroup
	// changed is signalled when a connection was closed.
	changed *sync.Cond

	mu          sync.Mutex
	connections []net.Conn
	// open is the number of connections that neither side has closed.
	open   int
	copies int
	// afterRejection is the number of requests on connections with a rejection.
	afterRejection int
}

// CopierConfig configures a Copier.
type CopierConfig struct {
	// Handler responds to the requests.
	Handler http.Handler
	// Delay is the number of requests on the connection after which the copy is sent, in
	// place of the response that is due; each response that is due then comes one request
	// later. If it is zero, the copy follows the rejection at once. No copy is sent if it
	// is negative.
	Delay int
}

// NewCopier starts a server, which is closed at the end of the test.
func NewCopier(t testing.TB, c CopierConfig) *Copier {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Copier{Address: l.Addr().String(), config: c, listener: l}
	s.changed = sync.NewCond(&s.mu)
	s.group.Go(s.accept)
	t.Cleanup(s.stop)
	return s
}

// Connections returns the number of connections accepted.
func (s *Copier) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.connections)
}

// Copies returns the number of copies sent.
func (s *Copier) Copies() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.copies
}

// AfterRejection returns the number of requests that came on a connection after a rejection.
func (s *Copier) AfterRejection() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.afterRejection
}

// AwaitOpen waits until at most n connections are open.
func (s *Copier) AwaitOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for s.open > n {
		s.changed.Wait()
	}
}

// closed closes a connection whose client has closed it or that failed.
func (s *Copier) closed(connection net.Conn) {
	_ = connection.Close()
	s.mu.Lock()
	defer s.mu.Unlock()

	s.open--
	s.changed.Broadcast()
}

func (s *Copier) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Copier) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, connection)
		s.open++
		s.mu.Unlock()
		s.group.Go(func() { s.serve(connection) })
	}
}

// pendingCopy is a rejection that is to be sent again.
type pendingCopy struct {
	response []byte
	// after is the number of requests before the copy.
	after int
}

func (s *Copier) serve(connection net.Conn) {
	defer s.closed(connection)

	reader := bufio.NewReader(connection)
	// due holds the responses that were not sent yet.
	var due [][]byte
	var copies []pendingCopy
	for anyRejected := false; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if anyRejected {
			s.count(&s.afterRejection)
		}
		response, rejected, err := s.respond(request)
		if err != nil {
			return
		}
		anyRejected = anyRejected || rejected
		due = append(due, response)
		for i := range copies {
			copies[i].after--
		}
		for len(copies) > 0 && copies[0].after <= 0 {
			due = append([][]byte{copies[0].response}, due...)
			copies = copies[1:]
			s.count(&s.copies)
		}
		if rejected && s.config.Delay > 0 {
			copies = append(copies, pendingCopy{response: response, after: s.config.Delay})
		}
		next := due[0]
		due = due[1:]
		if rejected && s.config.Delay == 0 {
			next = append(bytes.Clone(next), response...)
			s.count(&s.copies)
		}
		if _, err := connection.Write(next); err != nil {
			return
		}
	}
}

// respond returns the handler's response, and whether it is a rejection.
func (s *Copier) respond(request *http.Request) ([]byte, bool, error) {
	recorder := httptest.NewRecorder()
	s.config.Handler.ServeHTTP(recorder, request)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, false, err
	}
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	var encoded bytes.Buffer
	if err := response.Write(&encoded); err != nil {
		return nil, false, err
	}
	return encoded.Bytes(), response.StatusCode >= http.StatusMultipleChoices, nil
}

// count increments one of the server's counters.
func (s *Copier) count(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	*counter++
}
