package peer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/feed"
	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
)

// Fleet tells what this node knows of the fleet from the platform. Few nodes of
// each failure domain read the platform; the rest hear from them.
type Fleet interface {
	// Since returns what a listener at p lacks, and how long ago the platform
	// was read for it. The position is empty while nothing is known.
	Since(p feed.Position) (feed.Delta, time.Duration)
}

// PollsPlatform tells whether this node is a poller of its failure domain.
func (r *Relay) PollsPlatform() bool {
	return relay.IsPoller(r.config.Node, r.domainNodes())
}

// PollerAddresses returns the addresses of the other pollers of this node's
// failure domain. The first differs between nodes, so that the pollers share
// the questions.
func (r *Relay) PollerAddresses() []string {
	members := r.domainNodes()
	var ids, addresses []string
	for _, vm := range r.config.Nodes() {
		near := vm.FailureDomain == r.config.FailureDomain && vm.ID != r.config.Node
		if near && vm.State == fleet.VMLive && relay.IsPoller(vm.ID, members) {
			ids = append(ids, vm.ID)
			addresses = append(addresses, vm.Address)
		}
	}
	first := slices.Index(ids, relay.Owner(r.config.Node, ids))
	if first < 0 {
		return nil
	}
	return slices.Concat(addresses[first:], addresses[:first])
}

// FetchFleet asks the node at address for what has changed since a position. It
// also returns how long ago the platform was read for it.
func (r *Relay) FetchFleet(ctx context.Context, address string, since feed.Position) (feed.Delta, time.Duration, error) {
	var answer wireFleet
	if err := r.post(ctx, address, pathFleet, wirePositionOf(since), &answer); err != nil {
		return feed.Delta{}, 0, err
	}
	return toFleetDelta(answer.Delta), time.Duration(answer.AgeMillis) * time.Millisecond, nil
}

// serveFleet tells another node what it lacks, or answers 404 when this node
// knows nothing yet.
func (r *Relay) serveFleet(c echo.Context) error {
	var position wirePosition
	if err := decode(c, &position); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	delta, age := r.config.Fleet.Since(toPosition(position))
	if delta.Position.Source == "" {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, wireFleet{Delta: wireFleetDeltaOf(delta), AgeMillis: age.Milliseconds()})
}
