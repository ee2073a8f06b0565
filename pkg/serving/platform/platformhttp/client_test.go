package platformhttp_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformhttp"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// calls holds a call of each kind and the bound of its answer.
var calls = []struct {
	name     string
	maxBytes int64
	call     func(ctx context.Context, c *platformhttp.Client) error
}{
	{"read", mib, func(ctx context.Context, c *platformhttp.Client) error {
		_, err := c.Read(ctx, "k")
		return err
	}},
	{"range", 16 * mib, func(ctx context.Context, c *platformhttp.Client) error {
		_, err := c.Range(ctx, "k")
		return err
	}},
	{"commit", 16 * kib, func(ctx context.Context, c *platformhttp.Client) error {
		return c.Commit(ctx, platform.Transaction{})
	}},
	{"put", 16 * kib, func(ctx context.Context, c *platformhttp.Client) error {
		return c.Put(ctx, "o", nil)
	}},
	{"get", 8 * mib, func(ctx context.Context, c *platformhttp.Client) error {
		_, err := c.Get(ctx, "o")
		return err
	}},
	{"list", 16 * mib, func(ctx context.Context, c *platformhttp.Client) error {
		_, err := c.List(ctx)
		return err
	}},
}

// TestBodyWithoutEndIsRefused guards against a body without end that fills the
// memory, and against the start of a body that passes for the whole one.
func TestBodyWithoutEndIsRefused(t *testing.T) {
	for _, tt := range calls {
		t.Run(tt.name, func(t *testing.T) {
			server := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "})
			client := platformhttp.New(platformhttp.Config{
				Address:   "http://" + server.Address,
				Transport: &http.Transport{DialContext: server.Dial},
			})
			err := tt.call(context.Background(), client)
			var unknown *platform.UnknownError
			if !errors.As(err, &unknown) || !strings.Contains(err.Error(), server.Address) || !strings.Contains(err.Error(), "exceeds") {
				t.Errorf("body without end: error %v, want an UnknownError that names the server and the bound", err)
			}
			server.RequireClosedWithin(t, tt.maxBytes)
		})
	}
}

// TestHeadWithoutEndIsRefused guards against a head without end that fills the
// memory up to the default bound of 10 MB for each call.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	server := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 200 OK\r\n", Repeat: "Name: value\r\n"})
	client := platformhttp.New(platformhttp.Config{Address: "http://" + server.Address})
	_, err := client.Read(context.Background(), "k")
	var unknown *platform.UnknownError
	if !errors.As(err, &unknown) || !strings.Contains(err.Error(), server.Address) || !strings.Contains(err.Error(), " exceeds 16384 bytes") {
		t.Errorf("head without end: error %v, want an UnknownError that names the server and the bound", err)
	}
	server.RequireClosed(t)
}

// TestRedirectIsNotFollowed guards against a transaction that is sent twice and
// against answers of another server.
func TestRedirectIsNotFollowed(t *testing.T) {
	var followed atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	client := platformhttp.New(platformhttp.Config{Address: server.URL})
	for _, tt := range calls {
		err := tt.call(context.Background(), client)
		var unknown *platform.UnknownError
		if !errors.As(err, &unknown) || followed.Load() > 0 {
			t.Errorf("%s: error %v, %d redirects followed; want UnknownError, 0", tt.name, err, followed.Load())
		}
	}
}
