package enginehttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginehttp"
)

// controlTimeout is longer than any test needs.
const controlTimeout = time.Minute

// call is one call of a client to the engine at an address.
type call struct {
	name string
	run  func(ctx context.Context, c *enginehttp.Client, address string) error
}

var controlCalls = []call{
	{"health", func(ctx context.Context, c *enginehttp.Client, address string) error {
		_, err := c.Health(ctx, address)
		return err
	}},
	{"order", func(ctx context.Context, c *enginehttp.Client, address string) error {
		return c.Order(ctx, address, fleet.Order{})
	}},
}

var generateCalls = []call{
	{"generate", func(ctx context.Context, c *enginehttp.Client, address string) error {
		return generate(ctx, c, address, false)
	}},
	{"generate once", func(ctx context.Context, c *enginehttp.Client, address string) error {
		return generate(ctx, c, address, true)
	}},
}

func generate(ctx context.Context, c *enginehttp.Client, address string, noRetry bool) error {
	a, err := c.Generate(ctx, address, engine.Request{Path: "/v1/completions", Body: []byte("{}"), NoRetry: noRetry})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	for _, call := range append(controlCalls, generateCalls...) {
		for _, c := range boundedtest.HeadCases() {
			t.Run(call.name+"/"+c.Name, func(t *testing.T) {
				s := boundedtest.NewServer(t, c)
				boundedtest.RequireTooLarge(t, call.run(t.Context(), client, s.Address), bounded.PartHead, s.Address)
				s.RequireClosed(t)
			})
		}
	}
}

// TestControlBodyWithoutEnd guards against an answer to a health check or an order
// that is cut at the limit and then read as if it were whole.
func TestControlBodyWithoutEnd(t *testing.T) {
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	heads := map[string]string{
		"ok":         boundedtest.HeadBody,
		"stale term": strings.Replace(boundedtest.HeadBody, "200 OK", "409 Conflict", 1),
		"failed":     strings.Replace(boundedtest.HeadBody, "200 OK", "500 Internal Server Error", 1),
	}
	for _, call := range controlCalls {
		for name, head := range heads {
			t.Run(call.name+"/"+name, func(t *testing.T) {
				s := boundedtest.NewServer(t, boundedtest.Case{Start: head, Repeat: " "})
				boundedtest.RequireTooLarge(t, call.run(t.Context(), client, s.Address), bounded.PartBody, s.Address)
				s.RequireClosed(t)
			})
		}
	}
}

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the deadline of its request.
func TestUpgradeUnasked(t *testing.T) {
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	for _, call := range append(controlCalls, generateCalls...) {
		t.Run(call.name, func(t *testing.T) {
			s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: "x"})
			boundedtest.RequireUpgradeRefused(t, call.run(t.Context(), client, s.Address), s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestRedirectIsNotFollowed guards against a redirect that makes the client send a
// request twice or read another server.
func TestRedirectIsNotFollowed(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	t.Cleanup(other.Close)
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(s.Close)
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	for _, call := range append(controlCalls, generateCalls...) {
		_ = call.run(t.Context(), client, s.Listener.Addr().String())
	}
	if n := reached.Load(); n > 0 {
		t.Errorf("another server received %d requests, want none", n)
	}
}
