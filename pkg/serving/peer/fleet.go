package peer

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"almondbay.example/core/fleet"
)

// Fleet is what a node knows of the fleet from the platform. A node that
// starts while the platform gives no answers learns it from a peer.
type Fleet struct {
	VMs []fleet.VM
	// Groups holds the rows of replica groups as the table service keeps them.
	Groups [][]byte
}

// LearnFleet asks the nodes at the given addresses, in their order, until one
// of them knows the fleet.
func (r *Relay) LearnFleet(ctx context.Context, addresses []string) (Fleet, error) {
	var failed errs.Group
	for _, address := range addresses {
		var wire wireFleet
		err := r.get(ctx, address, pathFleet, &wire)
		if err == nil {
			return toFleet(wire), nil
		}
		failed.Add(err)
	}
	return Fleet{}, Error.Wrap(failed.Err())
}

// serveFleet tells what this node knows of the fleet, or answers 404 when it
// has not learned it yet.
func (r *Relay) serveFleet(c echo.Context) error {
	known := r.config.Fleet()
	if len(known.VMs) == 0 {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, wireFleetOf(known))
}
