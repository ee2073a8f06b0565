package enginestandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"almondbay.example/serving/engine/enginewire"
)

// Server serves a member over the HTTP protocol of the engines.
type Server struct {
	member *Member
	echo   *echo.Echo
}

// NewServer returns a server for member.
func NewServer(member *Member) *Server {
	s := &Server{member: member, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.GET(enginewire.PathHealth, s.health)
	s.echo.POST(enginewire.PathOrder, s.order)
	s.echo.POST(enginewire.PathChatCompletions, s.generate)
	s.echo.POST(enginewire.PathCompletions, s.generate)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

func (s *Server) health(c echo.Context) error {
	return c.JSON(http.StatusOK, enginewire.FromReport(s.member.Report()))
}

func (s *Server) order(c echo.Context) error {
	var order enginewire.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	term, ok := s.member.ApplyOrder(enginewire.ToOrder(order))
	if !ok {
		return c.JSON(http.StatusConflict, enginewire.StaleTerm{Term: term})
	}
	return c.NoContent(http.StatusOK)
}

// generate handles one attempt at a request: it checks that the member is the
// leader of the expected group and epoch, waits for a slot and writes the answer.
func (s *Server) generate(c echo.Context) error {
	request := c.Request()
	epoch, err := strconv.ParseUint(request.Header.Get(enginewire.HeaderEpoch), 10, 64)
	if err != nil {
		epoch = 0
	}
	var g generationRequest
	if err := json.NewDecoder(request.Body).Decode(&g); err != nil {
		return s.rejectNotStarted(c, http.StatusBadRequest)
	}
	if !s.member.isLeader(request.Header.Get(enginewire.HeaderGroup), epoch) {
		return s.rejectNotStarted(c, http.StatusConflict)
	}
	if !s.member.acquire(request.Context().Done()) {
		return s.rejectNotStarted(c, http.StatusServiceUnavailable)
	}
	defer s.member.release()

	if marker := s.member.config.CrashMarker; marker != "" && strings.Contains(g.prompt(), marker) {
		s.member.config.Crash()
		panic(http.ErrAbortHandler)
	}
	a := s.newAnswer(c, g)
	if g.Stream {
		return a.writeStream()
	}
	return a.writeJSON()
}

// rejectNotStarted answers with status, the attempt and the header that marks a
// request as not started.
func (s *Server) rejectNotStarted(c echo.Context, status int) error {
	c.Response().Header().Set(enginewire.HeaderAttempt, c.Request().Header.Get(enginewire.HeaderAttempt))
	c.Response().Header().Set(enginewire.HeaderNotStarted, "true")
	return c.NoContent(status)
}

// wait sleeps for d on the member's clock. It returns false if the request is
// canceled first.
func (s *Server) wait(c echo.Context, d time.Duration) bool {
	if d <= 0 {
		return c.Request().Context().Err() == nil
	}
	timer := s.member.config.Clock.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.Chan():
		return true
	case <-c.Request().Context().Done():
		return false
	}
}
