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

var errCut = errors.New("cut")

func TestUnmodifiedClientLibrary(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1, groups: 1})
	client := openai.NewClient(option.WithBaseURL(r.nodes[0].URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	_, want := chat("hello", true, 20)
	p := openai.ChatCompletionNewParams{
		Model: "demo", MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	whole, err := client.Chat.Completions.New(t.Context(), p)
	if err != nil || whole.Choices[0].Message.Content != want {
		t.Fatalf("whole answer %v, %v", whole, err)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), p)
	var sum openai.ChatCompletionAccumulator
	for stream.Next() {
		if !sum.AddChunk(stream.Current()) {
			t.Fatal("the chunks do not belong to one answer")
		}
	}
	if stream.Err() != nil || sum.Choices[0].Message.Content != want {
		t.Fatalf("streamed %q, %v", sum.Choices[0].Message.Content, stream.Err())
	}
	models, err := client.Models.List(t.Context())
	if err != nil || models.Data[0].ID != "demo" {
		t.Fatalf("models %v, %v", models, err)
	}
	p.Model = "other"
	var refused *openai.Error
	if _, err := client.Chat.Completions.New(t.Context(), p); !errors.As(err, &refused) || refused.Code != caller.CodeUnknownModel {
		t.Fatalf("unknown model: %v", err)
	}
}

// TestBrokenStreams cuts or falsifies streams on the way and checks that the
// caller gets the whole answer to its request, or an explicit error.
func TestBrokenStreams(t *testing.T) {
	const tokens = 12
	cutOnce := func(at int) func(int, *enginestandin.Config) {
		var cuts atomic.Int32
		return func(_ int, c *enginestandin.Config) {
			c.BeforeToken = func(_ *http.Request, i int) error {
				if i == at && cuts.Add(1) == 1 {
					return errCut
				}
				return nil
			}
		}
	}
	var other atomic.Bool // Set when the second group has answered.
	head := func(name, value string) func(int, *enginestandin.Config) {
		return func(group int, c *enginestandin.Config) {
			if group == 0 {
				c.BeforeHead = func(h http.Header) { h.Set(name, value) }
				return
			}
			c.BeforeToken = func(*http.Request, int) error {
				other.Store(true)
				return nil
			}
		}
	}
	unindexed := func(inner func(int, *enginestandin.Config)) func(int, *enginestandin.Config) {
		return func(i int, c *enginestandin.Config) {
			inner(i, c)
			c.Unindexed = true
		}
	}
	once := headers{caller.HeaderIdempotent: "false"}
	tests := []struct {
		name    string
		engine  func(int, *enginestandin.Config)
		headers headers
		whole   bool
		outcome string
	}{
		{"cut before the first token", cutOnce(0), nil, true, ""},
		{"cut in the middle", cutOnce(5), nil, true, ""},
		{"cut, not resumable", unindexed(cutOnce(5)), nil, false, "ran"},
		{"cut before the first token, not resumable", unindexed(cutOnce(0)), nil, true, ""},
		{"cut, non-idempotent", cutOnce(5), once, false, "ran"},
		{"head of another epoch", head(enginewire.HeaderEpoch, "9"), nil, true, ""},
		{"head of another boot", head(enginewire.HeaderBoot, "x"), nil, true, ""},
		{"head of another version", head(enginewire.HeaderVersion, "2"), nil, true, ""},
		{"head of another group", head(enginewire.HeaderGroup, "g1"), nil, true, ""},
		{"head of another attempt", head(enginewire.HeaderAttempt, "other-1"), nil, true, ""},
		{"late answer, non-idempotent", head(enginewire.HeaderAttempt, "other-1"), once, false, "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, rigConfig{nodes: 1, groups: 2, engine: tt.engine})
			body, want := chat("p", true, tokens)
			other.Store(false)
			got := r.send(0, chatPath, body, tt.headers)
			if tt.whole && strings.Contains(tt.name, "head of") && !other.Load() {
				t.Error("the answer of the wrong group reached the caller")
			}
			if tt.whole && (got.text != want || !got.done || got.code != "") {
				t.Errorf("%+v", got)
			}
			if !tt.whole && (got.done || got.outcome != tt.outcome || !strings.HasPrefix(want, got.text)) {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestFramesOutOfOrder has an engine repeat and skip tokens.
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
			r := newRig(t, rigConfig{nodes: 1, groups: 2})
			var sent atomic.Int32
			for _, g := range r.groups {
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
			if got := r.send(0, chatPath, body, nil); got.text != "t0 t1 t2 " || !got.done {
				t.Fatalf("%+v", got)
			}
		})
	}
}

// TestEngineErrors has every engine answer with an error.
func TestEngineErrors(t *testing.T) {
	tests := []struct {
		name          string
		status        int
		notStarted    bool
		code, outcome string
		calls         int32
	}{
		{"own error", 500, false, caller.CodeBrokenAnswer, "unknown", 2},
		{"busy, not started", 503, true, caller.CodeUnavailable, "notRun", 2},
		{"busy", 503, false, caller.CodeBrokenAnswer, "unknown", 2},
		{"invalid, not started", 400, true, caller.CodeRejected, "notRun", 1},
		{"rejected", 422, false, caller.CodeRejected, "unknown", 1},
		{"redirect", 307, false, caller.CodeBrokenAnswer, "unknown", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, rigConfig{nodes: 1, groups: 2})
			var calls atomic.Int32
			for _, g := range r.groups {
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
			got := r.send(0, chatPath, body, nil)
			if got.code != tt.code || got.outcome != tt.outcome || calls.Load() != tt.calls {
				t.Errorf("%d calls, %+v", calls.Load(), got)
			}
		})
	}
}

func TestBadInput(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1, groups: 1})
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
		{"no JSON", chatPath, "{", nil, 400, caller.CodeMalformedBody},
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
		{"passed deadline", chatPath, good, headers{caller.HeaderTimeout: "1ns"}, 504, caller.CodeDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := r.send(0, tt.path, tt.body, tt.headers)
			if got.status != tt.status || got.code != tt.code || got.outcome != "notRun" {
				t.Errorf("status %d, code %q, outcome %q, %v", got.status, got.code, got.outcome, got.err)
			}
		})
	}
}

// TestLimits holds the gateway to one request, and a caller to little time for
// its body.
func TestLimits(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	r := newRig(t, rigConfig{
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
	wg.Go(func() { first <- r.send(0, chatPath, body, nil) })
	<-entered
	for range 2 {
		if got := r.send(0, chatPath, body, nil); got.status != 503 || got.code != caller.CodeOverloaded || got.outcome != "notRun" {
			t.Errorf("second request: %+v", got)
		}
	}
	idle, err := net.Dial("tcp", r.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	close(release)
	if got := <-first; got.text != want {
		t.Errorf("first request: %+v", got)
	}
	wg.Wait()
	_, _ = io.WriteString(idle, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+key+"\r\nContent-Length: 100\r\n\r\n{")
	response, err := http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("slow sender: %v, %v", response, err)
	}
	_ = response.Body.Close()
}

func TestConnectionsOverTheLimit(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1, gateway: func(c *caller.Config) { c.Limits = caller.Limits{Connections: 1, Linger: -1} }})
	first, err := net.Dial("tcp", r.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	ask := func() int {
		_, _ = io.WriteString(first, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(first), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	before := ask()
	if got := r.send(0, chatPath, "{}", nil); got.code != caller.CodeOverloaded || got.outcome != "notRun" || !got.closes {
		t.Errorf("%+v", got)
	}
	if after := ask(); before != http.StatusOK || after != http.StatusOK {
		t.Errorf("the first connection got %d, then %d", before, after)
	}
}

// TestSlowReader checks that a caller who takes nothing is cut off, and that
// its engine has been held back until then.
func TestSlowReader(t *testing.T) {
	const tokens = 1 << 20
	cancelled := make(chan int64, 1)
	var sent atomic.Int64
	r := newRig(t, rigConfig{
		nodes: 1, groups: 1,
		engine: func(_ int, c *enginestandin.Config) {
			c.BeforeToken = func(q *http.Request, i int) error {
				sent.Store(int64(i))
				if i == 0 {
					context.AfterFunc(q.Context(), func() { cancelled <- sent.Load() })
				}
				return nil
			}
		},
		gateway: func(c *caller.Config) { c.Limits = caller.Limits{StallTimeout: 200 * time.Millisecond, Linger: -1} },
	})
	body, _ := chat("p", true, tokens)
	slow, err := net.Dial("tcp", r.nodes[0].Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	_, _ = fmt.Fprintf(slow, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, key, len(body), body)
	if sent := <-cancelled; sent > tokens/10 {
		t.Errorf("the engine sent %d tokens to a caller who takes none", sent)
	}
}

func TestOptionsArePassedOn(t *testing.T) {
	passed := make(chan http.Header, 1)
	r := newRig(t, rigConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(q *http.Request, _ int) error {
			passed <- q.Header
			return nil
		}
	}})
	body, want := chat("p", true, 1)
	if got := r.send(0, chatPath, body, headers{caller.HeaderPriority: "high", caller.HeaderTimeout: "10m"}); got.text != want {
		t.Fatalf("%+v", got)
	}
	h := <-passed
	left, err := time.ParseDuration(h.Get(enginewire.HeaderTimeout))
	if h.Get(enginewire.HeaderPriority) != "high" || err != nil || left > 10*time.Minute || h.Get("Authorization") != "" {
		t.Errorf("%v", h)
	}
}

// TestCallerLeaves checks that the stream of a caller who leaves is cancelled
// at the engine.
func TestCallerLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	entered := make(chan struct{})
	r := newRig(t, rigConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(q *http.Request, i int) error {
			if i == 1 {
				close(entered)
				<-q.Context().Done()
				close(cancelled)
			}
			return nil
		}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	body, _ := chat("p", true, 5)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, r.nodes[0].URL+chatPath, strings.NewReader(body))
	request.RequestURI = ""
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	<-entered
	cancel()
	<-cancelled
}
