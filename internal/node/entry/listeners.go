package entry

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"almondbay.example/internal/routing/caller"
	"almondbay.example/serving/event"
)

const (
	// maxInternalHeaderBytes and maxInternalBody limit a request of the platform or of
	// another node. The longest is a probe, which names the members of a group.
	maxInternalHeaderBytes = 4 << 10
	maxInternalBody        = 64 << 10
)

// listen opens a TCP listener with a limit of connections and logs its address. Connections
// are charged to memory unless it is nil.
func (n *Node) listen(ctx context.Context, name, address string, connections int, memory caller.Memory) (*caller.Listener, error) {
	l, err := caller.Listen(ctx, address, caller.Config{
		Clock:          n.config.Clock,
		MaxConnections: connections,
		Memory:         memory,
		OnClosing:      func(c caller.Closing) { n.metrics.ClosedConnections.WithLabelValues(name, string(c)).Inc() },
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.metrics.WatchConnections(name, connections, l.Connections)
	event.NodeListening.Log(n.config.Logger, zap.String("listener", name), zap.String("address", l.Addr().String()))
	return l, nil
}

// addReadiness serves the load balancer's readiness probe.
func (n *Node) addReadiness(g *run.Group, l *caller.Listener) {
	e := echo.New()
	e.GET(n.config.ReadyPath, func(c echo.Context) error {
		if !n.logReadiness() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	n.addServer(g, l, e)
}

// addMetrics serves the metrics in the Prometheus format.
func (n *Node) addMetrics(g *run.Group, l *caller.Listener) {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(n.metrics.Handler()))
	n.addServer(g, l, e)
}

// addServer serves h, whose requests have no bodies or small ones, until the group stops.
func (n *Node) addServer(g *run.Group, l *caller.Listener, h http.Handler) {
	server := &http.Server{
		Handler:           http.MaxBytesHandler(h, maxInternalBody),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleCallerTimeout,
		MaxHeaderBytes:    maxInternalHeaderBytes,
		ErrorLog:          n.ErrorLog(),
		ConnState:         l.Track,
	}
	g.Add(func() error { return Error.Wrap(server.Serve(l)) }, func(error) { _ = server.Close() })
}
