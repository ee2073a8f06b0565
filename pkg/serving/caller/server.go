package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// readHeaderTimeout bounds the time that a caller takes to send its head.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes bounds the head of a request. A longer one is refused
	// before it reaches the gateway, with status 431 and no body.
	maxHeadBytes = 64 << 10
	// lingerTime is how long a stopping node still takes connections, so that
	// the balancer sees that it is not ready and stops to send.
	lingerTime = 15 * time.Second
)

type connectionKey struct{}

// Server returns a server for callers, with the gateway's limits.
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

// connect counts a connection and marks those over the limit.
func (g *Gateway) connect(ctx context.Context, _ net.Conn) context.Context {
	over := g.connected.Add(1) > int64(g.limits.config.Connections)
	return context.WithValue(ctx, connectionKey{}, over)
}

func (g *Gateway) disconnect(_ net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		g.connected.Add(-1)
	}
}

// overLimit reports whether a request came over a connection above the limit.
func overLimit(ctx context.Context) bool {
	over, _ := ctx.Value(connectionKey{}).(bool)
	return over
}

// Stop drains a server. The node first becomes unready and closes each
// connection with its next answer. It takes connections until the balancer has
// had time to notice, as one that is closed may just have been sent a request.
// Stop returns when every request has its whole answer, or when ctx is done.
func (g *Gateway) Stop(ctx context.Context, s *http.Server) error {
	g.stopping.Store(true)
	if g.limits.config.Linger > 0 {
		g.pause(ctx, g.limits.config.Linger)
	}
	if err := s.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(g.suspects.announce.Wait())
}
