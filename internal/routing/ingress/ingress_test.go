package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
)

// dialect is a plain mapping of headers.
type dialect struct{}

func (dialect) Call(h http.Header) exchange.Call {
	return exchange.Call{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), ResumeAfter: h.Get("Resume")}
}

func (dialect) Forward(from http.Header, f exchange.Forward) http.Header {
	to := from.Clone()
	to.Set("Server-Id", f.Server)
	to.Set("Workspace", f.Workspace)
	to.Del("Key")
	if f.ResumeAfter != "" {
		to.Set("Resume", f.ResumeAfter)
	}
	return to
}

func (dialect) Answer(_ int, h http.Header) exchange.Answer {
	return exchange.Answer{
		ID: h.Get("Id"), Signed: h.Get("Signature") != "", NotExecuted: h.Get("Not-Run") != "",
		Encoded: h.Get("Content-Encoding") != "",
	}
}

func (dialect) CopyAnswer(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (dialect) SetRefusal(h http.Header, id string, after time.Duration) {
	h.Set("Id", id)
	if after > 0 {
		h.Set("Come-Back", after.String())
	}
}

// server is a backend server that runs a script.
type server struct {
	*httptest.Server
	mu  sync.Mutex
	got []*http.Request
}

func newServer(t *testing.T, script http.HandlerFunc) *server {
	t.Helper()
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		s.mu.Lock()
		s.got = append(s.got, r)
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		script(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.got)
}

func good(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	_, _ = io.WriteString(w, "good")
}

// reset cuts the connection after the request was read.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "its own failure")
}

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") }

func another(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "somebody else's")
	w.Header().Set("Signature", "x")
	_, _ = io.WriteString(w, "not yours")
}

func unpromised(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// events streams the events from one to last, after the one that is asked for.
func events(last int, end func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", r.Host)
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("Resume"), &after)
		for i := after + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i)
		}
		if end != nil {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			end()
		}
	}
}

// rig is a handler before some servers. Servers are tried in their order.
type rig struct {
	handler *ingress.Handler
	front   *httptest.Server
	results chan ingress.Result
	clock   *clockwork.FakeClock
}

func newRig(t *testing.T, slack float64, servers ...*server) *rig {
	t.Helper()
	board := balance.NewBoard(balance.Policy{
		FailureDomain: "0", RemotePenalty: 1, QueueShare: 1, SuspendFirst: time.Hour, SuspendMax: time.Hour,
		FullFor: time.Hour, StalledFor: time.Hour, InitialServiceTime: time.Second,
	})
	var heads []registry.Head
	for i, s := range servers {
		heads = append(heads, registry.Head{
			ID: fmt.Sprint("s", i), Service: "svc", Address: strings.TrimPrefix(s.URL, "http://"),
			// Farther servers come later.
			FailureDomain: fmt.Sprint(min(i, 1)), Slots: 100,
		})
	}
	board.SetHeads(heads)
	configuration := &routes.Configuration{
		Version: 3, RequireKey: true, Workspaces: map[string]string{"key": "ws"},
		Routes: []routes.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.KindIdempotent, MaxAttempts: 2, Timeout: time.Hour, Targets: []routes.Target{{Service: "svc", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.KindNonIdempotent, MaxAttempts: 2, Timeout: time.Hour, Targets: []routes.Target{{Service: "svc", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routes.KindStreaming, Resumable: true, MaxAttempts: 2, Timeout: time.Hour, Targets: []routes.Target{{Service: "svc", Weight: 1}}},
		},
	}
	configuration.Index()
	r := &rig{results: make(chan ingress.Result, 10), clock: clockwork.NewFakeClock()}
	dial := (&net.Dialer{}).DialContext
	r.handler = ingress.NewHandler(ingress.Config{
		Clock: r.clock, Logger: zap.NewNop(), Dialect: dialect{}, Board: board,
		Backend:       backend.NewClient(backend.Config{Clock: r.clock, ConnectTimeout: time.Hour, IdleTimeout: time.Minute, MaxIdle: 4, Dial: dial}),
		Budget:        retry.NewBudget(retry.Config{Slack: slack, Window: time.Hour, UsableFraction: 1}),
		Configuration: func() *routes.Configuration { return configuration },
		Observe:       func(result ingress.Result) { r.results <- result },
		MaxTries:      3, StallAfter: 400 * time.Millisecond, AttemptStallAfter: time.Hour,
	})
	r.front = httptest.NewServer(r.handler)
	t.Cleanup(r.front.Close)
	return r
}

// answer is what a caller gets. Broken is set when the body ended early.
type answer struct {
	status   int
	body     string
	broken   bool
	comeBack string
	result   ingress.Result
}

func (r *rig) call(t *testing.T, method, path string, change ...func(*http.Request)) answer {
	t.Helper()
	request, err := http.NewRequest(method, r.front.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "mine")
	request.Header.Set("Key", "key")
	for _, c := range change {
		c(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, body: string(body), broken: err != nil,
		comeBack: response.Header.Get("Come-Back"), result: <-r.results,
	}
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		second http.HandlerFunc
		status int
		body   string
		// sent is the number of requests at both servers.
		sent    int
		outcome ingress.Outcome
	}{
		{"answered", "/once/x", good, good, 200, "good", 1, ingress.OutcomeAnswered},
		{"once and reset is never sent again", "/once/x", reset, good, 502, "", 1, ingress.OutcomeFailed},
		{"once and refused goes elsewhere", "/once/x", notRun, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"refused by all", "/once/x", notRun, notRun, 503, "", 2, ingress.OutcomeRefused},
		{"refused without a promise", "/once/x", unpromised, good, 502, "", 1, ingress.OutcomeFailed},
		{"once and failed", "/once/x", failed, good, 500, "its own failure", 1, ingress.OutcomeAnswered},
		{"once and truncated", "/once/x", truncated, good, 502, "", 1, ingress.OutcomeFailed},
		{"repeatable and reset", "/safe/x", reset, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"repeatable and truncated", "/safe/x", truncated, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"repeatable and failed", "/safe/x", failed, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"repeatable and failed twice", "/safe/x", failed, failed, 500, "its own failure", 2, ingress.OutcomeAnswered},
		{"an answer without signature", "/safe/x", unsigned, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"another's answer", "/safe/x", another, good, 200, "good", 2, ingress.OutcomeAnswered},
		{"another's answer, once", "/once/x", another, good, 502, "", 1, ingress.OutcomeFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			a := newRig(t, 10, first, second).call(t, http.MethodPost, tt.path)
			if a.status != tt.status || a.broken || (tt.body != "" && a.body != tt.body) {
				t.Errorf("answer %+v", a)
			}
			if a.result.Outcome != tt.outcome {
				t.Errorf("outcome %q, cause %q", a.result.Outcome, a.result.Cause)
			}
			if sent := first.requests() + second.requests(); sent != tt.sent {
				t.Errorf("%d requests sent", sent)
			}
			if (a.status == http.StatusServiceUnavailable) != (a.comeBack != "") {
				t.Errorf("status %d, time to come back %q", a.status, a.comeBack)
			}
		})
	}
}

func TestNotAllowed(t *testing.T) {
	s := newServer(t, good)
	r := newRig(t, 10, s)
	tests := []struct {
		name   string
		change func(*http.Request)
		want   int
	}{
		{"unknown route", func(q *http.Request) { q.URL.Path = "/none/x" }, http.StatusNotFound},
		{"unknown host", func(q *http.Request) { q.Host = "other" }, http.StatusNotFound},
		{"unknown key", func(q *http.Request) { q.Header.Set("Key", "stolen") }, http.StatusUnauthorized},
		{"no ID", func(q *http.Request) { q.Header.Del("Id") }, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if a := r.call(t, http.MethodPost, "/safe/x", tt.change); a.status != tt.want || a.result.Outcome != ingress.OutcomeDenied {
				t.Errorf("answer %+v", a)
			}
		})
	}
	if s.requests() != 0 {
		t.Errorf("%d requests reached a server", s.requests())
	}
}

func TestForwardsWhatTheCallerSent(t *testing.T) {
	s := newServer(t, good)
	r := newRig(t, 10, s)
	r.call(t, http.MethodPost, "/safe/a%2Fb//c?q=1&r", func(q *http.Request) { q.Header.Set("Workspace", "forged") })
	got := s.got[0]
	body, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got.RequestURI != "/safe/a%2Fb//c?q=1&r" || got.Host != "h" || string(body) != "body" {
		t.Errorf("%s %s %q", got.Host, got.RequestURI, body)
	}
	if got.Header.Get("Workspace") != "ws" || got.Header.Get("Key") != "" || got.Header.Get("Server-Id") != "s0" {
		t.Errorf("headers %v", got.Header)
	}
}

// TestStreamGoesOnElsewhere answers the pattern srv_crash during a stream: the
// caller sees each event once, and nothing of the one that was cut.
func TestStreamGoesOnElsewhere(t *testing.T) {
	cut := func() { panic(http.ErrAbortHandler) }
	first, second := newServer(t, events(3, cut)), newServer(t, events(6, nil))
	a := newRig(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
	want := ""
	for i := range 6 {
		want += fmt.Sprintf("id: %d\ndata: piece\n\n", i+1)
	}
	if a.status != http.StatusOK || a.broken || a.body != want {
		t.Errorf("answer %+v", a)
	}
	if got := second.got[0].Header.Get("Resume"); got != "3" {
		t.Errorf("resumed after %q", got)
	}
}

func TestStreamThatCannotGoOnLooksBroken(t *testing.T) {
	cut := func() { panic(http.ErrAbortHandler) }
	first, second := newServer(t, events(3, cut)), newServer(t, events(4, cut))
	a := newRig(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
	if !a.broken || a.result.Outcome != ingress.OutcomeBroken {
		t.Errorf("answer %+v", a)
	}
	if strings.Contains(a.body, "99") {
		t.Errorf("half an event: %q", a.body)
	}
}

// TestAStalledTryIsKeptWithoutBudget answers the grown deployments, where the
// retry budget of a node is a few requests: a try that nothing can take the
// place of is waited for.
func TestAStalledTryIsKeptWithoutBudget(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 2)
	slow := func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		good(w, r)
	}
	for _, slack := range []float64{0, 1} {
		t.Run(fmt.Sprint("slack ", slack), func(t *testing.T) {
			first, second := newServer(t, slow), newServer(t, good)
			r := newRig(t, slack, first, second)
			done := make(chan answer, 1)
			var group sync.WaitGroup
			group.Go(func() { done <- r.call(t, http.MethodPost, "/safe/x") })
			<-begun
			r.clock.Advance(time.Second)
			r.handler.Check(r.clock.Now())
			if slack == 0 {
				release <- struct{}{}
			}
			a := <-done
			group.Wait()
			if slack > 0 {
				release <- struct{}{}
			}
			if a.status != http.StatusOK || second.requests() != int(slack) {
				t.Errorf("answer %+v, %d requests at the second server", a, second.requests())
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	s := newServer(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	defer close(release)
	r := newRig(t, 10, s)
	done := make(chan answer, 1)
	var group sync.WaitGroup
	group.Go(func() { done <- r.call(t, http.MethodPost, "/once/x") })
	<-begun
	r.clock.Advance(time.Hour)
	if a := <-done; a.status != http.StatusGatewayTimeout || a.result.Outcome != ingress.OutcomeFailed {
		t.Errorf("answer %+v", a)
	}
	group.Wait()
}

// TestCallerLeaves answers the pattern give_up: once its caller has left, a
// request is broken off at the server, goes to no other, and ends as left.
func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name string
		path string
		// begin is what the server answers before it waits.
		begin func(http.ResponseWriter)
	}{
		{"before the answer", "/safe/x", func(http.ResponseWriter) {}},
		{"within a stream", "/stream/x", func(w http.ResponseWriter) {
			w.Header().Set("Signature", "x")
			_, _ = io.WriteString(w, "id: 1\ndata: piece\n\n")
			_ = http.NewResponseController(w).Flush()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			first := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				tt.begin(w)
				close(begun)
				<-r.Context().Done()
				close(ended)
			})
			second := newServer(t, good)
			r := newRig(t, 10, first, second)
			ctx, leave := context.WithCancel(context.Background())
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+tt.path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			request.Host = "h"
			request.Header.Set("Id", "mine")
			request.Header.Set("Key", "key")
			var caller sync.WaitGroup
			caller.Go(func() {
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return
				}
				// The stream ends when the caller leaves.
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
			<-begun
			leave()
			<-ended
			if result := <-r.results; result.Outcome != ingress.OutcomeCallerLeft || len(result.Tries) != 1 {
				t.Errorf("result %+v", result)
			}
			if n := second.requests(); n != 0 {
				t.Errorf("%d requests went on elsewhere", n)
			}
			caller.Wait()
		})
	}
}
