package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock clockwork.Clock
	// Logs holds the relayed tables by name.
	Logs map[string]*Log
	// Prober queries the state of backend servers on behalf of other nodes.
	Prober Prober
	// Knowledge returns all that this node knows of requests that crash servers.
	Knowledge func() Knowledge
}

// Server serves the relayed tables and probes of backend servers to other nodes.
type Server struct {
	config ServerConfig
	echo   *echo.Echo
}

// NewServer returns the HTTP handler of a node's peer port.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, echo: echo.New()}
	s.echo.GET(pathFeed, s.feed)
	s.echo.POST(pathProbe, s.probe)
	s.echo.GET(pathEvidence, s.evidence)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// maxWait limits how long a follower may wait for a change.
const maxWait = 5 * time.Second

// feed returns a whole table, or after a wait the changes since a position.
func (s *Server) feed(c echo.Context) error {
	log, ok := s.config.Logs[c.QueryParam("table")]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	waitMs := int64(0)
	if text := c.QueryParam("waitMs"); text != "" {
		var err error
		if waitMs, err = strconv.ParseInt(text, 10, 64); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	if c.QueryParam("after") == "" {
		changes := s.waitForTable(c.Request().Context(), log, wait)
		if !changes.Available {
			return c.NoContent(http.StatusNotFound)
		}
		return c.JSON(http.StatusOK, fromLogChanges(changes))
	}
	index, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	changes := s.wait(c.Request().Context(), log, Position{Log: c.QueryParam("log"), Index: index}, wait)
	switch {
	case !changes.Available:
		return c.NoContent(http.StatusNotFound)
	case changes.HistoryLost:
		return c.NoContent(http.StatusGone)
	default:
		return c.JSON(http.StatusOK, fromLogChanges(changes))
	}
}

// wait returns the changes after a position as soon as there are any, or without
// rows after the wait. It returns early if the table becomes unavailable.
func (s *Server) wait(ctx context.Context, log *Log, after Position, wait time.Duration) LogChanges {
	timer := s.config.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changes := log.Since(after, s.config.Clock.Now())
		if !changes.Available || changes.HistoryLost || len(changes.Rows) > 0 {
			return changes
		}
		select {
		case <-changes.changed:
		case <-timer.Chan():
			return log.Since(after, s.config.Clock.Now())
		case <-ctx.Done():
			return changes
		}
	}
}

// waitForTable returns the whole table, after a wait if it was not read yet.
func (s *Server) waitForTable(ctx context.Context, log *Log, wait time.Duration) LogChanges {
	timer := s.config.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changes := log.Snapshot(s.config.Clock.Now())
		if !changes.Unread {
			return changes
		}
		select {
		case <-changes.changed:
		case <-timer.Chan():
			return changes
		case <-ctx.Done():
			return changes
		}
	}
}

// probe queries a backend server on behalf of another node.
func (s *Server) probe(c echo.Context) error {
	var w probeWire
	if err := c.Bind(&w); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, fromProbeReply(s.config.Prober.Probe(c.Request().Context(), w.server())))
}
