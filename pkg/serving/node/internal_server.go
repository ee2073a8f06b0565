package node

import (
	"net/http"
	"time"
)

const (
	// internalHeadBytes bounds the headers of a request of an operator or another node.
	internalHeadBytes = 16 << 10
	// internalReadTimeout bounds the time to receive such a request. A document takes a
	// second at most.
	internalReadTimeout = time.Minute
	internalIdleTimeout = 2 * time.Minute
)

// Limits of connections. The listeners of Config apply them, since net/http recognizes no TLS
// below another layer.
const (
	// MaxOperatorConnections is the number of connections of operators.
	MaxOperatorConnections = 128
	// MaxPeerConnections is the number of connections of other nodes, of which a failure
	// domain has some 200.
	MaxPeerConnections = 1024
)

// newInternalServer returns a server for operators or other nodes.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       internalReadTimeout,
		IdleTimeout:       internalIdleTimeout,
		MaxHeaderBytes:    internalHeadBytes,
	}
}
