// Package servicetest is a stand-in for a backend server that sends copies of its
// rejections later on the same connection, to test that clients do not take them
// for the responses to other sends.
package servicetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Headers that this package reads and sets. They are spelled out, since tests of
// both engines and plain services use it.
const (
	headerAttempt    = "Almondbay-Attempt"
	headerNotStarted = "Almondbay-Not-Started"
)

// Moment is when a server sends copies, with respect to the request under way on
// the connection.
type Moment string

// Moments of copies.
const (
	WithRejection Moment = "in the packet of the rejection"
	BeforeBody    Moment = "before the body of the request is read"
	BeforeAnswer  Moment = "before the answer"
	InAnswer      Moment = "in the packet of the answer"
)

// Moments returns all moments.
func Moments() []Moment {
	return []Moment{WithRejection, BeforeBody, BeforeAnswer, InAnswer}
}

// Rejection is the form in which a server rejects requests.
type Rejection struct {
	Status int
	Body   string
	// Unstated is set to leave out that the request was not started.
	Unstated bool
	// Anonymous is set to leave out the attempt, as engines of earlier versions do.
	Anonymous bool
}

// Name returns the name of the form in tests.
func (r Rejection) Name() string {
	name := fmt.Sprint(r.Status)
	if r.Body != "" {
		name += " with body"
	}
	if r.Unstated {
		name += " unstated"
	}
	if r.Anonymous {
		name += " without attempt"
	}
	return name
}

// Rejections returns the forms of the statuses with which servers reject, with and
// without a body.
func Rejections() []Rejection {
	var forms []Rejection
	for _, status := range []int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest,
		http.StatusConflict, http.StatusBadRequest,
	} {
		forms = append(forms, Rejection{Status: status}, Rejection{Status: status, Body: "full"})
	}
	return forms
}

// response returns the rejection of an attempt as it is sent.
func (r Rejection) response(attempt string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	if !r.Unstated {
		fmt.Fprintf(&b, "%s: true\r\n", headerNotStarted)
	}
	if !r.Anonymous && attempt != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, attempt)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return b.String()
}

// Action is what a server does with a request.
type Action struct {
	// Rejects is set if the request is rejected and not run.
	Rejects bool
	// Repeats is set if copies of all earlier rejections on the connection are sent.
	Repeats bool
	// Loses is set if the request is run and the connection closed without an answer.
	Loses bool
	// Late is set if the answer is sent when the next request on the connection comes.
	Late bool
}

// Config configures a Server.
type Config struct {
	Rejection Rejection
	Moment    Moment
}

// Server rejects or runs requests as planned. It must be created with NewServer.
type Server struct {
	// Address is the address that the server listens on.
	Address string

	config   Config
	accepter sync.WaitGroup
	handlers sync.WaitGroup

	mu          sync.Mutex
	connections []net.Conn
	plan        []Action
	runs        map[string]int
	attempts    []string
}

// NewServer starts a server, which is closed at the end of the test.
func NewServer(t testing.TB, c Config) *Server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: listener.Addr().String(), config: c, runs: make(map[string]int)}
	s.accepter.Go(func() { s.accept(listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.accepter.Wait()
		s.closeConnections()
		s.handlers.Wait()
	})
	return s
}

// Plan sets what the server does with the next requests; further ones are run.
func (s *Server) Plan(actions ...Action) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.plan = actions
}

// Runs returns how often requests with a body ran.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.runs[body]
}

// Attempts returns the attempts that requests named, in the order of their arrival.
func (s *Server) Attempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.attempts)
}

// Answer returns the body of the answer to a request with a body.
func Answer(body string) string {
	return "answer to " + body
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, c := range s.connections {
		_ = c.Close()
	}
}

func (s *Server) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections = append(s.connections, connection)
		s.mu.Unlock()
		s.handlers.Go(func() {
			defer func() { _ = connection.Close() }()
			s.serve(connection)
		})
	}
}

// serve handles the requests on a connection until it ends.
func (s *Server) serve(connection net.Conn) {
	reader := bufio.NewReader(connection)
	var rejections, late string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, late)
		late = ""
		action := s.next(request.Header.Get(headerAttempt))
		var copies string
		if action.Repeats && s.config.Moment != WithRejection {
			copies = rejections
		}
		if s.config.Moment == BeforeBody {
			_, _ = io.WriteString(connection, copies)
			copies = ""
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if action.Rejects {
			rejection := s.config.Rejection.response(request.Header.Get(headerAttempt))
			rejections += rejection
			if s.config.Moment == WithRejection {
				rejection += rejection
			}
			_, _ = io.WriteString(connection, copies+rejection)
			continue
		}
		s.countRun(string(body))
		if action.Loses {
			return
		}
		answer := answerTo(request, string(body))
		if action.Late {
			answer, late = "", answer
		}
		if s.config.Moment == InAnswer {
			answer, copies = copies+answer, ""
		}
		_, _ = io.WriteString(connection, copies)
		_, _ = io.WriteString(connection, answer)
	}
}

// answerTo returns the answer to a request as it is sent.
func answerTo(request *http.Request, body string) string {
	text := Answer(body)
	if request.Method == http.MethodHead {
		text = ""
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		headerAttempt, request.Header.Get(headerAttempt), len(text), text)
}

// next returns what to do with the next request, which names an attempt.
func (s *Server) next(attempt string) Action {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.attempts = append(s.attempts, attempt)
	if len(s.plan) == 0 {
		return Action{}
	}
	action := s.plan[0]
	s.plan = s.plan[1:]
	return action
}

func (s *Server) countRun(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runs[body]++
}
