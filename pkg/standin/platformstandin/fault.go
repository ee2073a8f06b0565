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

// Paths of the stand-in's own control, which the platform does not have.
const (
	pathControl      = "/control/"
	PathControlVM    = pathControl + "vm"
	PathControlFault = pathControl + "fault"
)

// Fault is a way in which the stand-in misbehaves.
type Fault string

// Faults of the stand-in.
const (
	// FaultNone serves every request.
	FaultNone Fault = "none"
	// FaultDown refuses every request before running it.
	FaultDown Fault = "down"
	// FaultHang answers no request until its client gives up.
	FaultHang Fault = "hang"
	// FaultLostAnswer applies commits and then drops their answers.
	FaultLostAnswer Fault = "lostAnswer"
	// FaultDelayedCommit drops the answers of commits and keeps the commits back
	// until ApplyDelayed.
	FaultDelayedCommit Fault = "heldCommit"
	// FaultFrozenList serves the list of VMs as it was when the fault began.
	FaultFrozenList Fault = "frozenList"
)

// SetFault switches to a fault until the next call.
func (s *Server) SetFault(f Fault) {
	vms, _ := s.memory.List(context.Background())

	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f
	s.frozen = vms
}

// ApplyDelayed applies the commits kept back so far, in the order of their
// arrival, and returns the outcome of each.
func (s *Server) ApplyDelayed() []error {
	var outcomes []error
	for {
		select {
		case t := <-s.held:
			outcomes = append(outcomes, s.memory.Commit(context.Background(), t))
		default:
			return outcomes
		}
	}
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.fault
}

// misbehave applies the faults that concern every request of the platform.
func (s *Server) misbehave(next echo.HandlerFunc) echo.HandlerFunc {
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

// listed returns the list of VMs that is served at present.
func (s *Server) listed(ctx context.Context) ([]fleet.VM, error) {
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
