package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// readHeaderTimeout bounds the time to receive the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes bounds the headers of a request. net/http rejects longer ones
	// with status 431 and no body before they reach the gateway.
	maxHeadBytes = 64 << 10
	// lingerTime is how long a stopping node keeps accepting connections, so
	// that the load balancer detects that it is not ready and stops sending.
	lingerTime = 15 * time.Second
)

type connectionKey struct{}

// Server returns an HTTP server for callers with the limits of the gateway.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnContext:       g.connect,
		ConnState:         g.disconnect,
	}
}

// connect counts a connection and marks it if it exceeds the limit.
func (g *Gateway) connect(ctx context.Context, _ net.Conn) context.Context {
	over := g.connected.Add(1) > int64(g.limits.config.Connections)
	return context.WithValue(ctx, connectionKey{}, over)
}

func (g *Gateway) disconnect(_ net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		g.connected.Add(-1)
	}
}

// overLimit reports whether a request arrived on a connection that exceeds the
// limit.
func overLimit(ctx context.Context) bool {
	over, _ := ctx.Value(connectionKey{}).(bool)
	return over
}

// Stop drains a server. The node first becomes unready and closes each
// connection after its next answer. It keeps accepting connections until the
// load balancer has had time to detect this, because a request may just have
// been sent on a connection that is closed. Stop returns when all requests are
// answered or when ctx is done.
func (g *Gateway) Stop(ctx context.Context, s *http.Server) error {
	g.stopping.Store(true)
	if g.limits.config.Linger > 0 {
		g.sleep(ctx, g.limits.config.Linger)
	}
	if err := s.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(g.suspects.background.Wait())
}
