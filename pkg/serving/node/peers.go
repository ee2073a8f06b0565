package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/revision"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/event"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/peer"
)

const (
	// peerTimeout bounds one request to a peer.
	peerTimeout = 5 * time.Second
	// maxIdlePeerConnections is the number of idle connections kept to each peer.
	maxIdlePeerConnections = 32
)

func (n *Node) relayConfig() peer.Config {
	return peer.Config{
		Node:           n.config.Settings.Node,
		FailureDomain:  n.config.Settings.FailureDomain,
		Environment:    n.config.Settings.Environment,
		Store:          n.store,
		Nodes:          func() []fleet.VM { return n.view.VMs(fleet.RoleEntry) },
		Fleet:          n.directory,
		OnRevision:     func(e revision.Entry, d document.Document) { n.view.SetDocument(e.Revision, d) },
		Histories:      n.observer.histories,
		Suspects:       func() peer.Suspects { return n.gateway },
		Slots:          func() peer.Slots { return n.schedulerPicker },
		OnPlatformRead: n.platform.recordRead,
		Scheme:         n.peerScheme(),
		HTTP:           n.peerClient(),
		Clock:          n.config.Clock,
		Logger:         n.config.Logger,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// peerScheme returns the URL scheme of requests to peers, which is "https" if
// nodes use TLS.
func (n *Node) peerScheme() string {
	if n.config.PeerDial != nil {
		return "https"
	}
	return "http"
}

func (n *Node) peerClient() *http.Client {
	transport := &http.Transport{
		DialTLSContext:      n.config.PeerDial,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &http.Client{
		Timeout:       peerTimeout,
		Transport:     keys.Transport{Key: n.peerKey(), Base: bounded.NewTransport(transport)},
		CheckRedirect: bounded.RefuseRedirects,
	}
}

// peerKey returns the key that authenticates this node to its peers.
func (n *Node) peerKey() keys.Secret {
	if len(n.config.Settings.Peer.Keys) == 0 {
		return keys.Secret{}
	}
	return n.config.Settings.Peer.Keys[0]
}

// peerServer returns the server for other nodes. It rejects requests without a
// valid peer key.
func (n *Node) peerServer() *http.Server {
	refused := func(r *http.Request) {
		event.KeyRefused.Log(n.config.Logger,
			zap.String("listener", "peer"), zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
	}
	return newInternalServer(keys.Require(keys.Holders(n.config.Settings.Peer.Keys), refused, n.relay.Handler()))
}

// heartbeat exchanges state with a random peer. Errors are ignored, since an
// unreachable peer is no failure of this node; the node's status shows when each
// peer was last seen.
func (n *Node) heartbeat(ctx context.Context) error {
	_ = n.relay.Heartbeat(ctx)
	return nil
}

// accepted distributes a document that this node has just accepted.
func (n *Node) accepted(ctx context.Context, environment string) {
	if environment == n.config.Settings.Environment {
		n.relay.DistributeAccepted(ctx)
	}
}
