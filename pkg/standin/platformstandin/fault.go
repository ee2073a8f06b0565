package platformstandin

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform/platformwire"
)

// Paths of the control API, which the real platform does not have.
const (
	pathControl      = "/control/"
	PathControlVM    = pathControl + "vm"
	PathControlFault = pathControl + "fault"
)

// Fault is a failure mode of the fake platform. Its value is part of the path
// of the control API.
type Fault string

// Faults that the fake platform can inject.
const (
	// FaultNone serves all requests normally.
	FaultNone Fault = "none"
	// FaultDown rejects each request with status 503 before running it.
	FaultDown Fault = "down"
	// FaultHang leaves each request unanswered until its client cancels it.
	FaultHang Fault = "hang"
	// FaultLostAnswer applies each commit, then closes the connection without a
	// response.
	FaultLostAnswer Fault = "lostAnswer"
	// FaultDelayedCommit closes the connection of each commit without a response
	// and queues the commit until ApplyDelayed.
	FaultDelayedCommit Fault = "heldCommit"
	// FaultFrozenList serves the list of VMs as of the call to SetFault.
	FaultFrozenList Fault = "frozenList"
)

// SetFault sets the fault to inject until the next call.
func (s *Server) SetFault(f Fault) {
	vms, _ := s.memory.List(context.Background())

	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f
	s.frozen = vms
}

// ApplyDelayed applies the commits queued under FaultDelayedCommit in the order
// of their arrival and returns the error of each.
func (s *Server) ApplyDelayed() []error {
	var results []error
	for {
		select {
		case t := <-s.delayed:
			results = append(results, s.memory.Commit(context.Background(), t))
		default:
			return results
		}
	}
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.fault
}

// injectFault is middleware that applies FaultDown and FaultHang to each request
// except those of the control API.
func (s *Server) injectFault(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if strings.HasPrefix(c.Path(), pathControl) {
			return next(c)
		}
		switch s.currentFault() {
		case FaultDown:
			return c.NoContent(http.StatusServiceUnavailable)
		case FaultHang:
			<-c.Request().Context().Done()
			panic(http.ErrAbortHandler)
		default:
			return next(c)
		}
	}
}

// visibleVMs returns the list of VMs to serve, which FaultFrozenList keeps from
// changing.
func (s *Server) visibleVMs(ctx context.Context) ([]fleet.VM, error) {
	if s.currentFault() != FaultFrozenList {
		return s.memory.List(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.frozen), nil
}

func (s *Server) setVM(c echo.Context) error {
	var vm platformwire.VM
	if err := c.Bind(&vm); err != nil {
		return err
	}
	s.memory.SetVM(platformwire.ToVM(vm))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) removeVM(c echo.Context) error {
	s.memory.RemoveVM(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) setFault(c echo.Context) error {
	s.SetFault(Fault(c.Param("fault")))
	return c.NoContent(http.StatusNoContent)
}
