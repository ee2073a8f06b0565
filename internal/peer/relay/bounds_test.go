package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/relay"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

// calls holds a call of each kind and the bound of its response.
var calls = []struct {
	name     string
	maxBytes int64
	call     func(ctx context.Context, c *relay.Client) error
}{
	{"snapshot", 8 << 20, func(ctx context.Context, c *relay.Client) error {
		_, err := c.Snapshot(ctx, "127.0.0.1", table, 0)
		return err
	}},
	{"changes", 8 << 20, func(ctx context.Context, c *relay.Client) error {
		_, err := c.Changes(ctx, "127.0.0.1", table, relay.Position{Log: "l", Index: 1}, time.Minute)
		return err
	}},
	{"knowledge", 4 << 20, func(ctx context.Context, c *relay.Client) error {
		_, err := c.Knowledge(ctx, "127.0.0.1")
		return err
	}},
	{"probe", 16 << 10, func(ctx context.Context, c *relay.Client) error {
		_, err := c.ProbeServer(ctx, "127.0.0.1", registry.Server{ID: "i-1"})
		return err
	}},
}

// TestBodyWithoutEndIsRefused guards against a node whose body without end fills
// the memory.
func TestBodyWithoutEndIsRefused(t *testing.T) {
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			server := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[", Repeat: " "})
			c := relay.NewClient(relay.ClientConfig{Port: server.Port, Dial: server.Dial})
			err := tt.call(context.Background(), c)
			var tooLarge *bounded.TooLargeError
			if !relay.Error.Has(err) || !errors.As(err, &tooLarge) || tooLarge.Server != server.Address || tooLarge.Limit != tt.maxBytes {
				t.Errorf("error %v, want a TooLargeError of %s with %d bytes", err, server.Address, tt.maxBytes)
			}
			server.RequireClosedWithin(t, tt.maxBytes)
		})
	}
}

// TestRefusalWithoutEndIsNotRead guards against a refusal whose body without end
// fills the memory.
func TestRefusalWithoutEndIsNotRead(t *testing.T) {
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			server := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 404 Not Found\r\n\r\n", Repeat: "x"})
			c := relay.NewClient(relay.ClientConfig{Port: server.Port, Dial: server.Dial})
			if err := tt.call(context.Background(), c); err == nil || !strings.Contains(err.Error(), "status 404") {
				t.Errorf("error %v, want status 404", err)
			}
			server.RequireClosedWithin(t, 0)
		})
	}
}

// TestHeadWithoutEndIsRefused guards against a head without end that fills the
// memory up to the default bound of 10 MB for each call.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	heads := map[string][2]string{
		"line":          {"HTTP/1.1 200 OK\r\nName: ", "value"},
		"lines":         {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n"},
	}
	for name, head := range heads {
		for _, tt := range calls {
			t.Run(name+" "+tt.name, func(t *testing.T) {
				server := boundedtest.NewServer(t, boundedtest.Case{Start: head[0], Repeat: head[1]})
				c := relay.NewClient(relay.ClientConfig{Port: server.Port, Dial: server.Dial})
				err := tt.call(context.Background(), c)
				if !relay.Error.Has(err) || !strings.Contains(err.Error(), server.Address) || !strings.Contains(err.Error(), " exceeds 16384 bytes") {
					t.Errorf("error %v, want one that names %s and the bound", err, server.Address)
				}
				server.RequireClosedWithin(t, 16<<10)
			})
		}
	}
}

// TestRedirectIsNotFollowed guards against a table that is read from another
// server than the source.
func TestRedirectIsNotFollowed(t *testing.T) {
	var followed atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	for _, tt := range calls {
		err := tt.call(context.Background(), client(t, server.URL))
		if err == nil || !strings.Contains(err.Error(), "status 307") || followed.Load() > 0 {
			t.Errorf("%s: error %v, %d redirects followed; want status 307, 0", tt.name, err, followed.Load())
		}
	}
}
