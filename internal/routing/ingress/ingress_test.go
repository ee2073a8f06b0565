package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
)

// dialect maps to plain header names.
type dialect struct{}

func (dialect) Call(h http.Header) exchange.Call {
	call := exchange.Call{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), ResumeAfter: h.Get("Resume")}
	if part := h.Get("Shared-Part"); part != "" {
		call.SharedParts = []string{part}
	}
	return call
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

func (dialect) Answer(id string, _ int, h http.Header) (exchange.Answer, error) {
	if got := h.Get("Id"); got != id {
		return exchange.Answer{}, &exchange.OtherRequestError{Request: id, Response: got}
	}
	pause, err := time.ParseDuration(h.Get("Pause"))
	if err != nil {
		pause = 0
	}
	return exchange.Answer{
		Leaving: h.Get("Leaving") != "", RetryAfter: pause,
		Signed: h.Get("Signature") != "", NotExecuted: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != "",
	}, nil
}

func (dialect) CopyAnswer(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func (dialect) SetRefusal(h http.Header, id string, after time.Duration) {
	h.Set("Id", id)
	if after > 0 {
		h.Set("Retry-After", after.String())
	}
}

// server is a backend server that records requests and runs a handler.
type server struct {
	*httptest.Server
	mu sync.Mutex
	// received holds the requests received.
	received []*http.Request
}

func newServer(t *testing.T, handle http.HandlerFunc) *server {
	t.Helper()
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		s.mu.Lock()
		s.received = append(s.received, r)
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		handle(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.received)
}

func success(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	_, _ = io.WriteString(w, "good")
}

// reset closes the connection after it has read the request.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncated closes the connection in the middle of the body.
func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// rejectedNotRun rejects the request and states that it has not run.
func rejectedNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serverError returns a signed server error.
func serverError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signature", "x")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "its own failure")
}

// unsigned returns a response without the server's signature.
func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") }

// unsignedError returns a server error without the server's signature.
func unsignedError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

// otherResponse returns the response to another request.
func otherResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "somebody else's")
	w.Header().Set("Signature", "x")
	_, _ = io.WriteString(w, "not yours")
}

// rejectedUnstated rejects the request without stating that it has not run.
func rejectedUnstated(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events streams the events 1 to last, starting after the one in the Resume
// header. If end is set, it then sends part of an event and calls end.
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

// fixture is a handler with backend servers. The first server is preferred,
// since it is the only one in the failure domain of the handler.
type fixture struct {
	handler *ingress.Handler
	front   *httptest.Server
	results chan ingress.Result
	clock   *clockwork.FakeClock
	// leaving lists the heads that stated that they are about to shut down.
	leaving []string
	// losses lists the tries that were reported as lost.
	losses []quarantine.Loss
	board  *balance.Board
	guard  *quarantine.Guard
	// group runs requests of callers.
	group errgroup.Group
	// check is the result of checks of heads; answered is set once an answer counted.
	check    quarantine.CheckResult
	answered atomic.Bool
	// dial opens the connections to the servers.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// connectTimeout is the time limit for a connection to a server.
const connectTimeout = 10 * time.Minute

func newFixture(t *testing.T, slack float64, servers ...*server) *fixture {
	t.Helper()
	board := balance.NewBoard(balance.Policy{
		FailureDomain: "0", RemotePenalty: 1, QueueShare: 1, SuspendFirst: time.Hour, SuspendMax: time.Hour,
		FullFor: time.Hour, StalledFor: time.Hour, MeanDuration: time.Second,
	})
	var heads []registry.Head
	for i, s := range servers {
		heads = append(heads, registry.Head{
			ID: fmt.Sprint("s", i), Service: "svc", Address: strings.TrimPrefix(s.URL, "http://"),
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
	r := &fixture{
		results: make(chan ingress.Result, 10), clock: clockwork.NewFakeClock(), board: board, dial: (&net.Dialer{}).DialContext,
		guard: quarantine.NewGuard(quarantine.GuardConfig{
			Quarantine: attempt.QuarantineConfig{MaxCrashes: 3},
			Parts: quarantine.PartPolicy{
				Quarantine: attempt.QuarantineConfig{ObservationTTL: time.Hour, MaxRequests: 9}, New: quarantine.PartThreshold{Crashes: 3, Episodes: 2},
			},
			Trials: quarantine.TrialPolicy{Sure: []time.Duration{time.Minute}, Slot: 4 * time.Second},
		}),
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return r.dial(ctx, network, address)
	}
	r.handler = ingress.NewHandler(ingress.Config{
		Clock: r.clock, Logger: zap.NewNop(), Dialect: dialect{}, Board: board,
		Backend:       backend.NewClient(backend.Config{Clock: r.clock, ConnectTimeout: connectTimeout, IdleTimeout: time.Minute, MaxIdle: 4, Dial: dial}),
		Budget:        retry.NewBudget(retry.Config{Slack: slack, Window: time.Hour, UsableFraction: 1}),
		Configuration: func() *routes.Configuration { return configuration },
		Observe:       func(result ingress.Result) { r.results <- result },
		OnLoss:        func(l quarantine.Loss) { r.losses = append(r.losses, l) },
		CheckServer:   func(context.Context, registry.Head) quarantine.CheckResult { return r.check },
		OnAnswer:      func(*quarantine.Content, time.Time) { r.answered.Store(true) },
		OnLeaving:     func(h registry.Head) { r.leaving = append(r.leaving, h.ID) },
		OnPause:       func(registry.Head, time.Duration) {},
		Guard:         r.guard,
		SendsTrial:    func(uint64) bool { return true },
		MaxTries:      3, StallAfter: 400 * time.Millisecond, AttemptStall: time.Hour,
	})
	r.front = httptest.NewServer(r.handler)
	t.Cleanup(r.front.Close)
	return r
}

// answer is a response as the caller receives it, and the recorded result.
// broken is set when the body ended early.
type answer struct {
	status     int
	body       string
	broken     bool
	retryAfter string
	result     ingress.Result
}

// request returns a request of a caller to the handler.
func (f *fixture) request(t *testing.T, method, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.front.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "mine")
	request.Header.Set("Key", "key")
	return request
}

func (f *fixture) call(t *testing.T, method, path string, change ...func(*http.Request)) answer {
	t.Helper()
	request := f.request(t, method, path)
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
		retryAfter: response.Header.Get("Retry-After"), result: <-f.results,
	}
}

// TestOutcomeOfServerFailureByRouteKind guards against two failures: a request
// that may have run is sent again although its route does not allow it, and a
// response that is truncated or does not come from the selected server reaches
// the caller.
func TestOutcomeOfServerFailureByRouteKind(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		second http.HandlerFunc
		status int
		body   string
		// sent is the number of requests received by both servers together.
		sent    int
		outcome ingress.Outcome
	}{
		{"answered", "/once/x", success, success, 200, "good", 1, ingress.OutcomeAnswered},
		{"non-idempotent, connection reset: not retried", "/once/x", reset, success, 502, "", 1, ingress.OutcomeFailed},
		{"non-idempotent, rejected: retried", "/once/x", rejectedNotRun, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"rejected by all servers", "/once/x", rejectedNotRun, rejectedNotRun, 503, "", 2, ingress.OutcomeRefused},
		{"non-idempotent, rejected, may have run: not retried", "/once/x", rejectedUnstated, success, 502, "", 1, ingress.OutcomeFailed},
		{"non-idempotent, server error: returned", "/once/x", serverError, success, 500, "its own failure", 1, ingress.OutcomeAnswered},
		{"non-idempotent, truncated: not retried", "/once/x", truncated, success, 502, "", 1, ingress.OutcomeFailed},
		{"idempotent, connection reset: retried", "/safe/x", reset, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"idempotent, truncated: retried", "/safe/x", truncated, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"idempotent, server error: retried", "/safe/x", serverError, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"idempotent, two server errors: last one returned", "/safe/x", serverError, serverError, 500, "its own failure", 2, ingress.OutcomeAnswered},
		{"idempotent, unsigned response: retried", "/safe/x", unsigned, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"idempotent, response to another request: retried", "/safe/x", otherResponse, success, 200, "good", 2, ingress.OutcomeAnswered},
		{"non-idempotent, response to another request: not retried", "/once/x", otherResponse, success, 502, "", 1, ingress.OutcomeFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newServer(t, tt.first), newServer(t, tt.second)
			a := newFixture(t, 10, first, second).call(t, http.MethodPost, tt.path)
			if a.status != tt.status || a.broken || (tt.body != "" && a.body != tt.body) {
				t.Errorf("answer %+v, want status %d, body %q", a, tt.status, tt.body)
			}
			if a.result.Outcome != tt.outcome {
				t.Errorf("outcome %q, cause %q; want outcome %q", a.result.Outcome, a.result.Cause, tt.outcome)
			}
			if sent := first.requests() + second.requests(); sent != tt.sent {
				t.Errorf("%d requests sent, want %d", sent, tt.sent)
			}
			if (a.status == http.StatusServiceUnavailable) != (a.retryAfter != "") {
				t.Errorf("status %d, retry delay %q; want a delay with status 503 only", a.status, a.retryAfter)
			}
		})
	}
}

// TestInvalidRequestsAreDenied checks that requests without a valid route, key
// or ID are denied and reach no backend server.
func TestInvalidRequestsAreDenied(t *testing.T) {
	s := newServer(t, success)
	r := newFixture(t, 10, s)
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
				t.Errorf("answer %+v, want status %d, outcome denied", a, tt.want)
			}
		})
	}
	if s.requests() != 0 {
		t.Errorf("%d requests reached the backend server, want none", s.requests())
	}
}

// TestRequestIsForwardedUnchanged checks that path, query, host and body reach
// the backend server as the caller sent them, that the API key is not passed
// on, and that the caller cannot set the workspace header.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newServer(t, success)
	r := newFixture(t, 10, s)
	r.call(t, http.MethodPost, "/safe/a%2Fb//c?q=1&r", func(q *http.Request) { q.Header.Set("Workspace", "forged") })
	got := s.received[0]
	body, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got.RequestURI != "/safe/a%2Fb//c?q=1&r" || got.Host != "h" || string(body) != "body" {
		t.Errorf("forwarded host %s, URI %s, body %q; want them unchanged", got.Host, got.RequestURI, body)
	}
	if got.Header.Get("Workspace") != "ws" || got.Header.Get("Key") != "" || got.Header.Get("Server-Id") != "s0" {
		t.Errorf("forwarded headers %v, want workspace ws, no key, server s0", got.Header)
	}
}

// TestStreamResumesAtAnotherServer guards against gaps, duplicates and partial
// events when a backend server crashes in the middle of a stream.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	cut := func() { panic(http.ErrAbortHandler) }
	first, second := newServer(t, events(3, cut)), newServer(t, events(6, nil))
	a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
	want := ""
	for i := range 6 {
		want += fmt.Sprintf("id: %d\ndata: piece\n\n", i+1)
	}
	if a.status != http.StatusOK || a.broken || a.body != want {
		t.Errorf("answer %+v, want body %q", a, want)
	}
	if got := second.received[0].Header.Get("Resume"); got != "3" {
		t.Errorf("resumed after event %q, want 3", got)
	}
}

// TestUnresumableStreamIsCutOff guards against a stream that looks complete to
// the caller although both servers broke it off.
func TestUnresumableStreamIsCutOff(t *testing.T) {
	cut := func() { panic(http.ErrAbortHandler) }
	first, second := newServer(t, events(3, cut)), newServer(t, events(4, cut))
	a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
	if !a.broken || a.result.Outcome != ingress.OutcomeBroken {
		t.Errorf("answer %+v, want an incomplete body, outcome broken", a)
	}
	if strings.Contains(a.body, "99") {
		t.Errorf("body %q contains a partial event", a.body)
	}
}

// TestStreamIsCutOffIfResumptionFails guards against a stream that looks complete
// to the caller although its first server crashed and the server that was asked
// for the rest answered with an error.
func TestStreamIsCutOffIfResumptionFails(t *testing.T) {
	tests := []struct {
		name   string
		second http.HandlerFunc
	}{
		{"server error", serverError},
		{"server error without a body", withStatus(http.StatusInternalServerError, "")},
		{"server error in the form of an event", withStatus(http.StatusInternalServerError, "id: 4\ndata: piece\n\n")},
		{"gateway timeout", withStatus(http.StatusGatewayTimeout, "late")},
		{"client error", withStatus(http.StatusNotFound, "no such model")},
		{"redirect", withStatus(http.StatusTemporaryRedirect, "")},
		{"gone", withStatus(http.StatusGone, "no such event")},
		{"not modified", withStatus(http.StatusNotModified, "")},
		{"unsigned error", unsignedError},
		{"unsigned client error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }},
		{"unsigned events", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, numbered(4, 6)) }},
		{"replayed events only", signedText(numbered(1, 2), nil)},
		{"half an event", signedText("id: 4\nda", nil)},
		{"rejected, not run", rejectedNotRun},
		{"rejected, may have run", rejectedUnstated},
		{"connection reset", reset},
		{"truncated error", truncated},
		{"unsigned response", unsigned},
		{"response to another request", otherResponse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newServer(t, events(3, cut)), newServer(t, tt.second)
			a := newFixture(t, 10, first, second).call(t, http.MethodPost, "/stream/x")
			if !a.broken || a.status != http.StatusOK {
				t.Errorf("answer %+v, want status 200 and an incomplete body", a)
			}
			if want := numbered(1, 3); a.body != want {
				t.Errorf("body %q, want the events of the first server %q", a.body, want)
			}
			if a.result.Outcome != ingress.OutcomeBroken || a.result.Status != http.StatusOK || a.result.Cause == "" {
				t.Errorf("result %+v, want outcome broken, the status that the caller received and a cause", a.result)
			}
			if n := second.requests(); n != 1 {
				t.Errorf("%d requests at the second server, want 1", n)
			}
		})
	}
}

// TestStalledTryIsNotCanceledWithoutBudget guards against requests that fail in
// large deployments, where each node can retry only a few requests: a stalled
// try was canceled although the budget allowed no retry.
func TestStalledTryIsNotCanceledWithoutBudget(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	slow := func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		success(w, r)
	}
	for _, slack := range []float64{0, 1} {
		t.Run(fmt.Sprint("slack ", slack), func(t *testing.T) {
			first, second := newServer(t, slow), newServer(t, success)
			r := newFixture(t, slack, first, second)
			done := make(chan answer, 1)
			var group sync.WaitGroup
			group.Go(func() { done <- r.call(t, http.MethodPost, "/safe/x") })
			<-started
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
				t.Errorf("answer %+v, %d requests at the second server; want status 200, %d requests", a, second.requests(), int(slack))
			}
		})
	}
}

// TestUnreachableServerIsReported guards against each node of a failure domain waiting
// for a connection to the same server that is down: 129 of 306 late requests of one
// kind on a calm day of 195 nodes.
func TestUnreachableServerIsReported(t *testing.T) {
	first, second := newServer(t, success), newServer(t, success)
	r := newFixture(t, 0, first, second)
	dialing := make(chan struct{}, 1)
	r.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if "http://"+address != first.URL {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	done := make(chan answer, 1)
	var group sync.WaitGroup
	group.Go(func() { done <- r.call(t, http.MethodPost, "/once/x") })
	<-dialing
	r.clock.Advance(connectTimeout)
	if a := <-done; a.status != http.StatusOK || second.requests() != 1 {
		t.Errorf("answer %+v, %d requests at the second server; want status 200, 1 request", a, second.requests())
	}
	group.Wait()
	now := r.clock.Now()
	if got := r.board.LocalReport(now, now).Stalled; !slices.Equal(got, []string{"s0"}) {
		t.Errorf("reported as stalled: %v, want s0", got)
	}
}

// TestTimeoutOfRunningRequestFails checks that a request still running at the
// route's timeout ends with status 504 and counts as failed, since it may
// have run.
func TestTimeoutOfRunningRequestFails(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	s := newServer(t, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	defer close(release)
	r := newFixture(t, 10, s)
	done := make(chan answer, 1)
	var group sync.WaitGroup
	group.Go(func() { done <- r.call(t, http.MethodPost, "/once/x") })
	<-started
	r.clock.Advance(time.Hour)
	if a := <-done; a.status != http.StatusGatewayTimeout || a.result.Outcome != ingress.OutcomeFailed {
		t.Errorf("answer %+v, want status 504, outcome failed", a)
	}
	group.Wait()
}

// TestDisconnectOfCallerCancelsRequest guards against work for callers that have
// disconnected: the request is canceled at the server, is not retried, and is
// recorded as left by its caller.
func TestDisconnectOfCallerCancelsRequest(t *testing.T) {
	tests := []struct {
		name string
		path string
		// begin sends the part of the response that precedes the disconnect.
		begin func(http.ResponseWriter)
	}{
		{"before the response", "/safe/x", func(http.ResponseWriter) {}},
		{"within a stream", "/stream/x", func(w http.ResponseWriter) {
			w.Header().Set("Signature", "x")
			_, _ = io.WriteString(w, "id: 1\ndata: piece\n\n")
			_ = http.NewResponseController(w).Flush()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			first := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				tt.begin(w)
				close(started)
				<-r.Context().Done()
				close(ended)
			})
			second := newServer(t, success)
			r := newFixture(t, 10, first, second)
			ctx, disconnect := context.WithCancel(context.Background())
			request := r.request(t, http.MethodPost, tt.path).WithContext(ctx)
			var caller sync.WaitGroup
			caller.Go(func() {
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return
				}
				// The read fails when the context is canceled.
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
			<-started
			disconnect()
			<-ended
			if result := <-r.results; result.Outcome != ingress.OutcomeCallerLeft || len(result.Tries) != 1 {
				t.Errorf("result %+v, want outcome callerLeft after one try", result)
			}
			if n := second.requests(); n != 0 {
				t.Errorf("%d requests at the second server, want none", n)
			}
			caller.Wait()
		})
	}
}
