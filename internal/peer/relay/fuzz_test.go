package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/relay"
)

// FuzzPeerAnswers checks that no answer of another node makes this one panic.
func FuzzPeerAnswers(f *testing.F) {
	f.Add([]byte(`{"rows":[{"key":"k","version":3,"value":"e30="}],"version":3,"log":"l","index":2,"ageMs":5}`))
	f.Add([]byte(`{"rows":[null],"ageMs":-9223372036854775808}`))
	f.Add([]byte(`{"evidence":[{"quick":"1","evidence":{"fingerprint":"00","crashes":[null]}},null],"uptimeMs":5}`))
	f.Add([]byte(`{"reached":true,"born":"x"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		defer server.Close()
		address, portText, err := net.SplitHostPort(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		port, err := strconv.Atoi(portText)
		if err != nil {
			t.Fatal(err)
		}
		c := relay.NewClient(relay.ClientConfig{Port: port, Dial: (&net.Dialer{}).DialContext})
		ctx := context.Background()
		_, _ = c.Snapshot(ctx, address, "servers", 0)
		_, _ = c.Changes(ctx, address, "servers", relay.Position{Log: "l", Index: 1}, 0)
		_, _ = c.Knowledge(ctx, address)
		_, _ = c.ProbeServer(ctx, address, registry.Server{ID: "s"})
	})
}
