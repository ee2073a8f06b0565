// Package servicestandin stands in for a plain service that keeps bookings.
package servicestandin

import (
	"io"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// Server counts the calls that it ran and echoes their bodies.
type Server struct {
	name string
	echo *echo.Echo

	mu   sync.Mutex
	runs map[string]int
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

func (s *Server) run(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()

	c.Response().Header().Set("Service-Vm", s.name)
	return c.Blob(http.StatusOK, echo.MIMETextPlain, body)
}
