package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/registry"
)

// copyMoment is when a server sends copies of an earlier rejection.
type copyMoment string

// Moments of copies, with respect to the request under way on the connection.
const (
	copyWithRejection copyMoment = "in the packet of the rejection"
	copyBeforeBody    copyMoment = "before the request's body is read"
	copyBeforeAnswer  copyMoment = "before the request's answer"
	copyInAnswer      copyMoment = "in the packet of the request's answer"
)

// copyingServer rejects requests, or runs them and sends copies of what it rejected on the
// same connection.
type copyingServer struct {
	rejection func(id string) string
	moment    copyMoment
	copies    int
	// rejectsFirst is set if the first request is rejected in any case.
	rejectsFirst bool

	mu sync.Mutex
	// requests is the number of requests.
	requests int
	// rejects is set while requests are rejected, repeats while copies are sent.
	rejects, repeats bool
	// ran counts the runs of each request.
	ran map[string]int
}

// newCopyingFixture starts the servers and returns a handler for them. They listen on Unix
// sockets: there are too many of them for the ports of a machine, as each TCP connection
// keeps its port for a minute.
func newCopyingFixture(t *testing.T, slack float64, servers ...*copyingServer) *fixture {
	t.Helper()
	// The folders of t have names that are too long for sockets.
	folder, err := os.MkdirTemp("", "copy")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	paths := map[string]string{}
	var all []*server
	for i, c := range servers {
		address := fmt.Sprintf("copy-%d:80", i)
		paths[address] = filepath.Join(folder, fmt.Sprint(i))
		c.start(t, paths[address])
		all = append(all, &server{Server: &httptest.Server{URL: "http://" + address}})
	}
	f := newFixture(t, slack, all...)
	f.dial = func(ctx context.Context, _, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", paths[address])
	}
	return f
}

// callDirectly calls the handler without a connection of the caller.
func (f *fixture) callDirectly(t *testing.T, path, id string) answer {
	t.Helper()
	request := f.request(t, http.MethodPost, path)
	request.Header.Set("Id", id)
	request.RequestURI = path
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	return answer{status: recorder.Code, body: recorder.Body.String(), result: <-f.results}
}

// start serves at a path until the end of the test.
func (c *copyingServer) start(t *testing.T, path string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	c.ran = map[string]int{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				c.serve(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
}

// serve handles the requests on a connection until it ends.
func (c *copyingServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var rejections strings.Builder
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		rejects, copies := c.plan(rejections.String())
		if c.moment == copyBeforeBody {
			_, _ = io.WriteString(conn, copies)
			copies = ""
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if rejects {
			rejection := c.rejection(id)
			rejections.WriteString(rejection)
			if c.moment == copyWithRejection {
				rejection += rejection
			}
			_, _ = io.WriteString(conn, rejection)
			continue
		}
		c.mu.Lock()
		c.ran[id]++
		c.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\nContent-Length: 4\r\n\r\ngood", id)
		if c.moment == copyInAnswer {
			answer, copies = copies+answer, ""
		}
		_, _ = io.WriteString(conn, copies)
		_, _ = io.WriteString(conn, answer)
	}
}

// plan returns whether a request is rejected, and the copies to send with it, given the
// rejections that were sent on its connection.
func (c *copyingServer) plan(rejections string) (rejects bool, copies string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.repeats && c.moment != copyWithRejection {
		copies = strings.Repeat(rejections, c.copies)
	}
	c.requests++
	return c.rejects || c.rejectsFirst && c.requests == 1, copies
}

// set changes what the server does with the next requests.
func (c *copyingServer) set(rejects, repeats bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.rejects, c.repeats = rejects, repeats
}

// runs returns how often a request ran.
func (c *copyingServer) runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.ran[id]
}

// rejectionForms are the forms in which servers reject requests that they have not run,
// by what stands between the ID and the end of the response.
var rejectionForms = map[string]struct{ status, rest string }{
	"503":                       {"503 Service Unavailable", "Content-Length: 0\r\n\r\n"},
	"503 with a body":           {"503 Service Unavailable", "Content-Length: 4\r\n\r\nfull"},
	"503 in chunks":             {"503 Service Unavailable", "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
	"503 with a pause":          {"503 Service Unavailable", "Pause: 30s\r\nContent-Length: 0\r\n\r\n"},
	"503 of a leaving server":   {"503 Service Unavailable", "Leaving: 1\r\nContent-Length: 0\r\n\r\n"},
	"503 that closes":           {"503 Service Unavailable", "Connection: close\r\nContent-Length: 0\r\n\r\n"},
	"429":                       {"429 Too Many Requests", "Content-Length: 0\r\n\r\n"},
	"421":                       {"421 Misdirected Request", "Content-Length: 0\r\n\r\n"},
	"400":                       {"400 Bad Request", "Content-Length: 0\r\n\r\n"},
	"400 with a body in chunks": {"400 Bad Request", "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
}

// copyCall is one call of a caller in a sequence.
type copyCall struct {
	id string
	// rejected is set if all servers reject the call, repeats if the first server sends
	// copies with it.
	rejected, repeats bool
}

// copySequences are the calls of a caller, the last of which comes with copies.
var copySequences = map[string][]copyCall{
	"first request":          {{id: "x", repeats: true}},
	"other request next":     {{id: "x", rejected: true}, {id: "y", repeats: true}},
	"same ID next":           {{id: "x", rejected: true}, {id: "x", repeats: true}},
	"same ID two later":      {{id: "x", rejected: true}, {id: "y"}, {id: "x", repeats: true}},
	"same ID three later":    {{id: "x", rejected: true}, {id: "y", rejected: true}, {id: "z"}, {id: "x", repeats: true}},
	"same ID rejected twice": {{id: "x", rejected: true}, {id: "x", rejected: true}, {id: "x", repeats: true}},
}

// TestCopyOfRejectionIsNotBelieved guards against a request that runs twice, or that is
// refused as not run though it has run: its server sent a copy of a rejection, which may be
// that of an earlier request with the same ID.
func TestCopyOfRejectionIsNotBelieved(t *testing.T) {
	for formName, form := range rejectionForms {
		for _, moment := range []copyMoment{copyWithRejection, copyBeforeBody, copyBeforeAnswer, copyInAnswer} {
			for sequenceName, calls := range copySequences {
				for _, path := range []string{"/once/x", "/safe/x"} {
					for _, copies := range []int{1, 3} {
						name := fmt.Sprintf("%s, %s, %s, %s, %d copies", path, sequenceName, formName, moment, copies)
						t.Run(name, func(t *testing.T) {
							rejection := func(id string) string {
								return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nNot-Run: 1\r\n%s", form.status, id, form.rest)
							}
							for _, count := range []int{2, 1} {
								playCopies(t, path, calls, []*copyingServer{
									{rejection: rejection, moment: moment, copies: copies},
									{rejection: rejection},
								}[:count])
							}
						})
					}
				}
			}
		}
	}
}

// playCopies makes the calls at servers, of which the first sends copies.
func playCopies(t *testing.T, path string, calls []copyCall, servers []*copyingServer) {
	t.Helper()
	f := newCopyingFixture(t, 100, servers...)
	rejected := map[string]bool{}
	for _, call := range calls {
		for _, c := range servers {
			c.set(call.rejected, call.repeats)
		}
		a := f.callDirectly(t, path, call.id)
		// The servers count as full or failed for an hour after a rejection.
		f.clock.Advance(2 * time.Hour)
		runs := 0
		for _, c := range servers {
			runs += c.runs(call.id)
		}
		switch {
		case impliesNotRun(a.status) && runs > 0:
			t.Errorf("%d servers: request %s got status %d and has run: %+v", len(servers), call.id, a.status, a.result.Tries)
		case path == "/once/x" && runs > 1:
			t.Errorf("%d servers: request %s ran %d times: %+v", len(servers), call.id, runs, a.result.Tries)
		case a.status == http.StatusOK && call.rejected:
			t.Errorf("%d servers: request %s got status 200, but was rejected", len(servers), call.id)
		case rejected[call.id] && !call.rejected && a.status != http.StatusOK:
			t.Errorf("%d servers: repeat of request %s got status %d, want its answer", len(servers), call.id, a.status)
		}
		rejected[call.id] = call.rejected
	}
}

// impliesNotRun reports whether callers take a status for a promise that the request has not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// TestCopyAtSecondRegistrationIsNotBelieved guards against a request that is refused though
// it has run: two registrations have one address, as when a server is back there under a new
// ID, so that the node tried the same server again on the connection on which it had rejected
// the request, and believed a copy of that.
func TestCopyAtSecondRegistrationIsNotBelieved(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "421 Misdirected Request"} {
		for _, moment := range []copyMoment{copyBeforeBody, copyBeforeAnswer, copyInAnswer} {
			t.Run(status+", "+string(moment), func(t *testing.T) {
				c := &copyingServer{moment: moment, copies: 1, rejectsFirst: true}
				c.rejection = func(id string) string {
					return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
				}
				c.set(false, true)
				f := newCopyingFixture(t, 10, c)
				head := registry.Head{ID: "s0", Service: "svc", Address: "copy-0:80", FailureDomain: "0", Slots: 100}
				second := head
				second.ID = "s1"
				f.board.SetHeads([]registry.Head{head, second})
				a := f.callDirectly(t, "/once/x", "mine")
				if a.status != http.StatusOK || c.runs("mine") != 1 {
					t.Errorf("answer %+v after %d runs, want that of the only run", a, c.runs("mine"))
				}
			})
		}
	}
}
