package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"almondbay.example/core/feed"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/peer"
	"almondbay.example/serving/settings"
)

// newPeerRelay returns a relay with the peer client of a node that has a peer key.
func newPeerRelay() *peer.Relay {
	n := &Node{config: Config{Settings: settings.Settings{Peer: settings.PeerListener{Keys: []keys.Secret{keys.NewSecret("shared")}}}}}
	return peer.New(peer.Config{
		Scheme: n.peerScheme(), HTTP: n.peerClient(), Nodes: func() []fleet.VM { return nil },
	})
}

// fetchFleet sends a request with the peer client of a node.
func fetchFleet(ctx context.Context, address string) error {
	_, _, err := newPeerRelay().FetchFleet(ctx, address, feed.Position{})
	return err
}

// TestPeerHeadWithoutEnd guards against heads of up to 10 MB, the default of
// net/http.
func TestPeerHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			boundedtest.RequireTooLarge(t, fetchFleet(t.Context(), s.Address), bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestPeerUpgradeUnasked guards against a response with status 101, whose body
// reads past the timeout of the client.
func TestPeerUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: " "})
	boundedtest.RequireUpgradeRefused(t, fetchFleet(t.Context(), s.Address), s.Address)
	s.RequireClosed(t)
}

// TestPeerKeyStaysWithPeers guards against a redirect that makes a node send the
// peer key to another server.
func TestPeerKeyStaysWithPeers(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		if keys.FromHeader(r.Header) != "" {
			t.Error("another server received the peer key")
		}
	}))
	t.Cleanup(other.Close)
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(s.Close)
	if err := fetchFleet(t.Context(), s.Listener.Addr().String()); err == nil {
		t.Error("a redirect was taken for the response of a peer")
	}
	if n := reached.Load(); n > 0 {
		t.Errorf("another server received %d requests, want none", n)
	}
}
