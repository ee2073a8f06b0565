package callertest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/standin/enginestandin"
)

// errConnectionCut, returned by BeforeToken, makes a fake engine close the
// connection.
var errConnectionCut = errors.New("cut")

// TestUnmodifiedClientLibrary checks that the OpenAI client library works with
// the gateway: complete and streamed chats, the list of models and errors.
func TestUnmodifiedClientLibrary(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 1})
	client := openai.NewClient(option.WithBaseURL(f.nodes[0].URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	_, want := chat("hello", true, 20)
	p := openai.ChatCompletionNewParams{
		Model: "demo", MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	complete, err := client.Chat.Completions.New(t.Context(), p)
	if err != nil || complete.Choices[0].Message.Content != want {
		t.Fatalf("complete answer: got %v, error %v, want content %q", complete, err, want)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), p)
	var sum openai.ChatCompletionAccumulator
	for stream.Next() {
		if !sum.AddChunk(stream.Current()) {
			t.Fatal("the accumulator rejected a chunk, want chunks of one answer")
		}
	}
	if stream.Err() != nil || sum.Choices[0].Message.Content != want {
		t.Fatalf("streamed answer: got %q, error %v, want %q", sum.Choices[0].Message.Content, stream.Err(), want)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || models.Data[0].ID != "demo" {
		t.Fatalf("list of models: got %v, error %v, want demo", models, err)
	}
	p.Model = "other"
	var refused *openai.Error
	if _, err := client.Chat.Completions.New(t.Context(), p); !errors.As(err, &refused) || refused.Code != caller.CodeUnknownModel {
		t.Fatalf("unknown model: got error %v, want code unknownModel", err)
	}
}

// TestBrokenStreams cuts streams or falsifies their headers, and checks that the
// caller receives the complete answer to its own request or an explicit error. A
// late answer from an earlier attempt or a restarted member must not be passed on.
func TestBrokenStreams(t *testing.T) {
	const tokens = 12
	cutOnce := func(at int) func(int, *enginestandin.Config) {
		var cuts atomic.Int32
		return func(_ int, c *enginestandin.Config) {
			c.BeforeToken = func(_ *http.Request, i int) error {
				if i == at && cuts.Add(1) == 1 {
					return errConnectionCut
				}
				return nil
			}
		}
	}
	var secondGroupAnswered atomic.Bool
	header := func(name, value string) func(int, *enginestandin.Config) {
		return func(group int, c *enginestandin.Config) {
			if group == 0 {
				c.BeforeHeaders = func(h http.Header) { h.Set(name, value) }
				return
			}
			c.BeforeToken = func(*http.Request, int) error {
				secondGroupAnswered.Store(true)
				return nil
			}
		}
	}
	notResumable := func(inner func(int, *enginestandin.Config)) func(int, *enginestandin.Config) {
		return func(i int, c *enginestandin.Config) {
			inner(i, c)
			c.OmitEventIDs = true
		}
	}
	nonIdempotent := headers{caller.HeaderIdempotent: "false"}
	tests := []struct {
		name     string
		engine   func(int, *enginestandin.Config)
		headers  headers
		complete bool
		outcome  string
	}{
		{"cut before the first token", cutOnce(0), nil, true, ""},
		{"cut in the middle", cutOnce(5), nil, true, ""},
		{"cut, not resumable", notResumable(cutOnce(5)), nil, false, "ran"},
		{"cut before the first token, not resumable", notResumable(cutOnce(0)), nil, true, ""},
		{"cut, non-idempotent", cutOnce(5), nonIdempotent, false, "ran"},
		{"header of another epoch", header(enginewire.HeaderEpoch, "9"), nil, true, ""},
		{"header of another boot", header(enginewire.HeaderBoot, "x"), nil, true, ""},
		{"header of another version", header(enginewire.HeaderVersion, "2"), nil, true, ""},
		{"header of another group", header(enginewire.HeaderGroup, "g1"), nil, true, ""},
		{"header of another attempt", header(enginewire.HeaderAttempt, "other-1"), nil, true, ""},
		{"late answer, non-idempotent", header(enginewire.HeaderAttempt, "other-1"), nonIdempotent, false, "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 1, groups: 2, engine: tt.engine})
			body, want := chat("p", true, tokens)
			secondGroupAnswered.Store(false)
			got := f.send(0, chatPath, body, tt.headers)
			if tt.complete && strings.Contains(tt.name, "header of") && !secondGroupAnswered.Load() {
				t.Error("the answer with the wrong header was accepted, want a retry on the second group")
			}
			if tt.complete && (got.text != want || !got.done || got.code != "") {
				t.Errorf("got %+v, want the complete text %q", got, want)
			}
			if !tt.complete && (got.done || got.outcome != tt.outcome || !strings.HasPrefix(want, got.text)) {
				t.Errorf("got %+v, want outcome %q and no more than a prefix of %q", got, tt.outcome, want)
			}
		})
	}
}

// TestFramesOutOfOrder checks that a caller receives each token once and in order
// when an engine repeats, skips or swaps tokens, or ends the stream early. The
// answers are those of consecutive attempts.
func TestFramesOutOfOrder(t *testing.T) {
	event := func(i int) string {
		return fmt.Sprintf("id: %d+1\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i)
	}
	const done = "data: [DONE]\n\n"
	tests := map[string][]string{
		"repeated": {event(0) + event(1) + event(0) + event(1) + event(2) + done},
		"skipped":  {event(0) + event(2) + done, event(1) + event(2) + done},
		"swapped":  {event(1) + event(0) + event(2) + done, event(0) + event(1) + event(2) + done},
		"no end":   {event(0) + event(1), event(2) + done},
	}
	for name, answers := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 1, groups: 2})
			var sent atomic.Int32
			for _, g := range f.groups {
				g.members[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					enginewire.SetIdentity(w.Header(), fleet.Identity{Member: g.id + "-0", Boot: "1", Group: g.id, Epoch: 1, Model: "demo", Version: "1"})
					w.Header().Set(enginewire.HeaderAttempt, q.Header.Get(enginewire.HeaderAttempt))
					w.Header().Set("Content-Type", "text/event-stream")
					if q.Method == http.MethodPost {
						_, _ = io.WriteString(w, answers[sent.Add(1)-1])
					}
				})
			}
			body, _ := chat("p", true, 3)
			if got := f.send(0, chatPath, body, nil); got.text != "t0 t1 t2 " || !got.done {
				t.Fatalf("got %+v, want the complete text \"t0 t1 t2 \"", got)
			}
		})
	}
}

// TestEngineErrors checks the code and outcome that a caller receives when every
// engine answers with an error, and the number of attempts: the gateway must not
// retry a request that the engine rejected as invalid, nor follow a redirect.
func TestEngineErrors(t *testing.T) {
	tests := []struct {
		name          string
		status        int
		notStarted    bool
		code, outcome string
		calls         int32
	}{
		{"internal error", 500, false, caller.CodeBrokenAnswer, "unknown", 2},
		{"busy, not started", 503, true, caller.CodeUnavailable, "notRun", 2},
		{"busy", 503, false, caller.CodeBrokenAnswer, "unknown", 2},
		{"invalid, not started", 400, true, caller.CodeRejected, "notRun", 1},
		{"rejected", 422, false, caller.CodeRejected, "unknown", 1},
		{"redirect", 307, false, caller.CodeBrokenAnswer, "unknown", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, fixtureConfig{nodes: 1, groups: 2})
			var calls atomic.Int32
			for _, g := range f.groups {
				inner := g.members[0].Config.Handler
				g.members[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					if q.Method != http.MethodPost {
						inner.ServeHTTP(w, q)
						return
					}
					calls.Add(1)
					enginewire.SetIdentity(w.Header(), fleet.Identity{Member: g.id + "-0", Boot: "1", Group: g.id, Epoch: 1, Model: "demo", Version: "1"})
					w.Header().Set(enginewire.HeaderAttempt, q.Header.Get(enginewire.HeaderAttempt))
					w.Header().Set("Location", q.URL.Path)
					if tt.notStarted {
						w.Header().Set(enginewire.HeaderNotStarted, "true")
					}
					w.WriteHeader(tt.status)
				})
			}
			body, _ := chat("p", true, 3)
			got := f.send(0, chatPath, body, nil)
			if got.code != tt.code || got.outcome != tt.outcome || calls.Load() != tt.calls {
				t.Errorf("%d calls, want %d; got %+v, want code %q, outcome %q", calls.Load(), tt.calls, got, tt.code, tt.outcome)
			}
		})
	}
}

// TestBadInput checks the status and code of each kind of invalid request. All of
// them must report that the request did not run.
func TestBadInput(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 1})
	good, _ := chat("p", false, 3)
	many := headers{}
	for i := range 200 {
		many[fmt.Sprintf("X-%d", i)] = "v"
	}
	tests := []struct {
		name, path, body string
		headers          headers
		status           int
		code             string
	}{
		{"invalid JSON", chatPath, "{", nil, 400, caller.CodeMalformedBody},
		{"no body", chatPath, "", nil, 400, caller.CodeMalformedBody},
		{"no model", chatPath, "{}", nil, 400, caller.CodeMalformedBody},
		{"wrong type", chatPath, `{"model":7}`, nil, 400, caller.CodeMalformedBody},
		{"unknown model", chatPath, `{"model":"x"}`, nil, 404, caller.CodeUnknownModel},
		{"too large", chatPath, strings.Repeat("x", 9<<20), nil, 413, caller.CodeBodyTooLarge},
		{"wrong key", chatPath, good, headers{"Authorization": "Bearer no"}, 401, caller.CodeUnknownKey},
		{"no key", chatPath, good, headers{"Authorization": "Basic x"}, 401, caller.CodeNoKey},
		{"timeout", chatPath, good, headers{caller.HeaderTimeout: "soon"}, 400, caller.CodeMalformedHeader},
		{"negative timeout", chatPath, good, headers{caller.HeaderTimeout: "-1s"}, 400, caller.CodeMalformedHeader},
		{"priority", chatPath, good, headers{caller.HeaderPriority: "most"}, 400, caller.CodeMalformedHeader},
		{"idempotent", chatPath, good, headers{caller.HeaderIdempotent: "perhaps"}, 400, caller.CodeMalformedHeader},
		{"long key", chatPath, good, headers{caller.HeaderIdempotencyKey: strings.Repeat("k", 300)}, 400, caller.CodeMalformedHeader},
		{"many headers", chatPath, good, many, 431, caller.CodeHeadersTooLarge},
		{"unknown path", "/v1/nothing", good, nil, 404, caller.CodeUnknownPath},
		{"unknown service", "/services/x/y", "", nil, 404, caller.CodeUnknownService},
		{"expired deadline", chatPath, good, headers{caller.HeaderTimeout: "1ns"}, 504, caller.CodeDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := f.send(0, tt.path, tt.body, tt.headers)
			if got.status != tt.status || got.code != tt.code || got.outcome != "notRun" {
				t.Errorf("status %d, code %q, outcome %q, error %v; want %d, %q, notRun", got.status, got.code, got.outcome, got.err, tt.status, tt.code)
			}
		})
	}
}

// TestLimits checks that a gateway limited to one request rejects a second one as
// overloaded, and that a caller which sends its body too slowly gets status 408.
// Without these limits slow or numerous callers could use up the node's resources.
func TestLimits(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	f := newFixture(t, fixtureConfig{
		nodes: 1, groups: 1,
		engine: func(_ int, c *enginestandin.Config) {
			c.BeforeToken = func(*http.Request, int) error {
				entered <- struct{}{}
				<-release
				return nil
			}
		},
		gateway: func(c *caller.Config) {
			c.Limits = caller.Limits{Requests: 1, BodyTimeout: 1, Linger: -1}
		},
	})
	body, want := chat("p", true, 1)
	first := make(chan reply)
	var wg sync.WaitGroup
	wg.Go(func() { first <- f.send(0, chatPath, body, nil) })
	<-entered
	for range 2 {
		if got := f.send(0, chatPath, body, nil); got.status != 503 || got.code != caller.CodeOverloaded || got.outcome != "notRun" {
			t.Errorf("second request: got %+v, want 503 overloaded, not run", got)
		}
	}
	slow, err := net.Dial("tcp", f.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	close(release)
	if got := <-first; got.text != want {
		t.Errorf("first request: got %+v, want text %q", got, want)
	}
	wg.Wait()
	_, _ = io.WriteString(slow, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\n{")
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("slow sender: got %v, error %v, want status 408", response, err)
	}
	_ = response.Body.Close()
}

// TestConnectionsOverTheLimit checks that a connection above the limit is answered
// with an error and closed, and that the connections below it stay usable.
func TestConnectionsOverTheLimit(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, gateway: func(c *caller.Config) { c.Limits = caller.Limits{Connections: 1, Linger: -1} }})
	first, err := net.Dial("tcp", f.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	getReady := func() int {
		_, _ = io.WriteString(first, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(first), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	before := getReady()
	if got := f.send(0, chatPath, "{}", nil); got.code != caller.CodeOverloaded || got.outcome != "notRun" || !got.connectionClose {
		t.Errorf("second connection: got %+v, want overloaded, not run, Connection: close", got)
	}
	if after := getReady(); before != http.StatusOK || after != http.StatusOK {
		t.Errorf("first connection: got status %d, then %d, want 200 twice", before, after)
	}
}

// TestSlowReader checks that a caller that reads nothing is disconnected after the
// stall timeout, and that backpressure stops the engine until then. Without it the
// engine would generate the complete answer although its caller reads none of it.
func TestSlowReader(t *testing.T) {
	const tokens = 1 << 20
	canceled := make(chan int64, 1)
	var sent atomic.Int64
	f := newFixture(t, fixtureConfig{
		nodes: 1, groups: 1,
		engine: func(_ int, c *enginestandin.Config) {
			c.BeforeToken = func(q *http.Request, i int) error {
				sent.Store(int64(i))
				if i == 0 {
					context.AfterFunc(q.Context(), func() { canceled <- sent.Load() })
				}
				return nil
			}
		},
		gateway: func(c *caller.Config) { c.Limits = caller.Limits{StallTimeout: 200 * time.Millisecond, Linger: -1} },
	})
	body, _ := chat("p", true, tokens)
	slow, err := net.Dial("tcp", f.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	_, _ = fmt.Fprintf(slow, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, key, len(body), body)
	if sent := <-canceled; sent > tokens/10 {
		t.Errorf("the engine sent %d tokens to a caller that reads none, want at most %d", sent, tokens/10)
	}
}

// TestOptionsArePassedOn checks that the engine receives the priority and the
// remaining time of a request, but not the API key of the caller.
func TestOptionsArePassedOn(t *testing.T) {
	received := make(chan http.Header, 1)
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(q *http.Request, _ int) error {
			received <- q.Header
			return nil
		}
	}})
	body, want := chat("p", true, 1)
	if got := f.send(0, chatPath, body, headers{caller.HeaderPriority: "high", caller.HeaderTimeout: "10m"}); got.text != want {
		t.Fatalf("got %+v, want text %q", got, want)
	}
	h := <-received
	left, err := time.ParseDuration(h.Get(enginewire.HeaderTimeout))
	if h.Get(enginewire.HeaderPriority) != "high" || err != nil || left > 10*time.Minute || h.Get("Authorization") != "" {
		t.Errorf("headers at the engine: got %v, want priority high, timeout at most 10m, no Authorization", h)
	}
}

// TestCallerLeaves checks that a stream is canceled at the engine when its caller
// disconnects, so that the engine does not generate for nobody.
func TestCallerLeaves(t *testing.T) {
	canceled := make(chan struct{})
	entered := make(chan struct{})
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(q *http.Request, i int) error {
			if i == 1 {
				close(entered)
				<-q.Context().Done()
				close(canceled)
			}
			return nil
		}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	body, _ := chat("p", true, 5)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, f.nodes[0].URL+chatPath, strings.NewReader(body))
	request.RequestURI = ""
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	<-entered
	cancel()
	<-canceled
}
