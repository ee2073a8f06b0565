// Package servicestandin implements a fake plain service that counts how often
// it ran each call, for tests of calls that must run at most once.
package servicestandin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// Server counts how often it ran each call, by request body. It answers with
// that body and the count.
type Server struct {
	name string
	echo *echo.Echo

	mu   sync.Mutex
	runs map[string]int
	// beforeAnswer, if not nil, is called after a call ran and before the response.
	beforeAnswer func()
}

// New returns a server that sends name as the ID of its VM.
func New(name string) *Server {
	s := &Server{name: name, echo: echo.New(), runs: make(map[string]int)}
	s.echo.HideBanner = true
	s.echo.GET("/health", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	s.echo.Any("/*", s.run)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

// Runs returns the number of times that a call with body ran.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.runs[body]
}

// BeforeAnswer sets f to be called after each call ran and before its response.
// A nil f removes the hook.
func (s *Server) BeforeAnswer(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.beforeAnswer = f
}

func (s *Server) run(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.runs[string(body)]++
	count, beforeAnswer := s.runs[string(body)], s.beforeAnswer
	s.mu.Unlock()

	if beforeAnswer != nil {
		beforeAnswer()
	}
	c.Response().Header().Set("Service-Vm", s.name)
	return c.String(http.StatusOK, fmt.Sprintf("%s, run %d", body, count))
}
