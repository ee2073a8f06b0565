// Package servicestandin stands in for a plain service that keeps bookings.
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

// Server counts the calls that it ran. It answers with the body of the call and
// the number of times that it has run.
type Server struct {
	name string
	echo *echo.Echo

	mu   sync.Mutex
	runs map[string]int
	// before is called after each call was run and before it is answered.
	before func()
}

// New returns a server for the VM called name.
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

// Runs returns how often a call with body was run.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.runs[body]
}

// BeforeAnswer calls f after each call was run and before it is answered.
func (s *Server) BeforeAnswer(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.before = f
}

func (s *Server) run(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.runs[string(body)]++
	run, before := s.runs[string(body)], s.before
	s.mu.Unlock()

	if before != nil {
		before()
	}
	c.Response().Header().Set("Service-Vm", s.name)
	return c.String(http.StatusOK, fmt.Sprintf("%s, run %d", body, run))
}
