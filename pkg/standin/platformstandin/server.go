// Package platformstandin implements a fake platform for tests and local runs:
// the table service, the object store and the list of VMs, with fault injection.
package platformstandin

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformwire"
)

const (
	// maxObjectBytes bounds the size of one stored object.
	maxObjectBytes = 64 << 20
	// maxDelayedCommits bounds the commits queued under FaultDelayedCommit.
	maxDelayedCommits = 64
)

// Server serves a platform.Memory over the platform's HTTP protocol.
type Server struct {
	memory *platform.Memory
	echo   *echo.Echo

	mu    sync.Mutex
	fault Fault
	// frozen is the list of VMs served under FaultFrozenList.
	frozen []fleet.VM
	// delayed queues the commits received under FaultDelayedCommit.
	delayed chan platform.Transaction
}

// New returns a server that stores rows, objects and VMs in the given Memory.
func New(memory *platform.Memory) *Server {
	s := &Server{
		memory:  memory,
		echo:    echo.New(),
		delayed: make(chan platform.Transaction, maxDelayedCommits),
	}
	s.echo.HideBanner = true
	s.echo.Use(s.injectFault)
	s.echo.POST(platformwire.PathRead, s.read)
	s.echo.POST(platformwire.PathRange, s.readRange)
	s.echo.POST(platformwire.PathCommit, s.commit)
	s.echo.PUT(platformwire.PathObjects+":name", s.put)
	s.echo.GET(platformwire.PathObjects+":name", s.get)
	s.echo.GET(platformwire.PathVMs, s.list)
	s.echo.PUT(PathControlVM, s.setVM)
	s.echo.DELETE(PathControlVM+"/:id", s.removeVM)
	s.echo.PUT(PathControlFault+"/:fault", s.setFault)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.echo.ServeHTTP(w, r)
}

func (s *Server) read(c echo.Context) error {
	var request platformwire.KeyRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	row, err := s.memory.Read(c.Request().Context(), request.Key)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, platformwire.FromRow(row))
}

func (s *Server) readRange(c echo.Context) error {
	var request platformwire.KeyRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	rows, err := s.memory.Range(c.Request().Context(), request.Key)
	if err != nil {
		return err
	}
	answer := platformwire.Rows{Rows: make([]platformwire.Row, 0, len(rows))}
	for _, r := range rows {
		answer.Rows = append(answer.Rows, platformwire.FromRow(r))
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) commit(c echo.Context) error {
	var request platformwire.Transaction
	if err := c.Bind(&request); err != nil {
		return err
	}
	transaction := platformwire.ToTransaction(request)
	if s.currentFault() == FaultDelayedCommit {
		s.delayed <- transaction
		panic(http.ErrAbortHandler)
	}
	err := s.memory.Commit(c.Request().Context(), transaction)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return c.JSON(http.StatusConflict, platformwire.Conflict{Key: conflict.Key, Version: conflict.Version})
	}
	if err != nil {
		return err
	}
	if s.currentFault() == FaultLostAnswer {
		panic(http.ErrAbortHandler)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) put(c echo.Context) error {
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObjectBytes))
	if err != nil {
		return err
	}
	if err := s.memory.Put(c.Request().Context(), name, body); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) get(c echo.Context) error {
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	body, err := s.memory.Get(c.Request().Context(), name)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return c.NoContent(http.StatusNotFound)
	}
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (s *Server) list(c echo.Context) error {
	vms, err := s.visibleVMs(c.Request().Context())
	if err != nil {
		return err
	}
	answer := platformwire.VMs{VMs: make([]platformwire.VM, 0, len(vms))}
	for _, v := range vms {
		answer.VMs = append(answer.VMs, platformwire.FromVM(v))
	}
	return c.JSON(http.StatusOK, answer)
}
