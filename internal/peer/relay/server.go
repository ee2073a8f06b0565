package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock clockwork.Clock
	// Logs holds the tables that are passed on by name.
	Logs map[string]*Log
	// QueryState asks a backend server for its state.
	QueryState func(ctx context.Context, s registry.Server) (control.State, error)
}

// Server answers other nodes.
type Server struct {
	config ServerConfig
	echo   *echo.Echo
}

// NewServer returns a server.
func NewServer(c ServerConfig) *Server {
	s := &Server{config: c, echo: echo.New()}
	s.echo.GET(pathFeed, s.feed)
	s.echo.POST(pathProbe, s.probe)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// maxWait bounds how long a listener may wait for a change.
const maxWait = 5 * time.Second

func (s *Server) feed(c echo.Context) error {
	log, ok := s.config.Logs[c.QueryParam("table")]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if c.QueryParam("after") == "" {
		a := log.Snapshot(s.config.Clock.Now())
		if !a.Available {
			return c.NoContent(http.StatusNotFound)
		}
		return c.JSON(http.StatusOK, fromLogChanges(a))
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	waitMs, err := strconv.ParseInt(c.QueryParam("waitMs"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	a := s.wait(c.Request().Context(), log, after, min(time.Duration(waitMs)*time.Millisecond, maxWait))
	switch {
	case !a.Available:
		return c.NoContent(http.StatusNotFound)
	case a.HistoryLost:
		return c.NoContent(http.StatusGone)
	default:
		return c.JSON(http.StatusOK, fromLogChanges(a))
	}
}

// wait returns the answer once there are rows to tell of, or after the wait.
func (s *Server) wait(ctx context.Context, log *Log, after uint64, wait time.Duration) LogChanges {
	timer := s.config.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		a := log.Since(after, s.config.Clock.Now())
		if !a.Available || a.HistoryLost || len(a.Rows) > 0 {
			return a
		}
		select {
		case <-a.changed:
		case <-timer.Chan():
			return log.Since(after, s.config.Clock.Now())
		case <-ctx.Done():
			return a
		}
	}
}

// ProbeTimeout bounds a question to a backend server: two lost packets within a
// region.
const ProbeTimeout = 450 * time.Millisecond

func (s *Server) probe(c echo.Context) error {
	var w probeWire
	if err := c.Bind(&w); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), ProbeTimeout)
	defer cancel()
	state, err := s.config.QueryState(ctx, w.server())
	return c.JSON(http.StatusOK, probeResultWire{
		Reached:  err == nil,
		Accepted: state.Accepted,
		Born:     state.Incarnation,
		Group:    state.Group.Name,
		Epoch:    state.Group.Epoch,
		Rank:     state.Group.Rank,
		State:    string(state.Group.State),
	})
}
