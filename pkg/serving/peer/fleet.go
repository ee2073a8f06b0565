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

// Fleet provides the fleet data of this node, which come from the platform. Only
// the pollers of each failure domain read the platform; the other nodes fetch the
// data from them.
type Fleet interface {
	// Since returns the changes after position p, and the time since the platform
	// was read for them. The position of the delta is empty while this node has no
	// data.
	Since(p feed.Position) (feed.Delta, time.Duration)
}

// PollsPlatform reports whether this node is a poller of its failure domain.
func (r *Relay) PollsPlatform() bool {
	return relay.IsPoller(r.config.Node, r.domainNodes())
}

// PollerAddresses returns the addresses of the other live pollers of this node's
// failure domain. The first differs between nodes, which spreads the queries over
// the pollers.
func (r *Relay) PollerAddresses() []string {
	members := r.domainNodes()
	var ids, addresses []string
	for _, vm := range r.config.Nodes() {
		eligible := vm.FailureDomain == r.config.FailureDomain && vm.ID != r.config.Node
		if eligible && vm.State == fleet.VMLive && relay.IsPoller(vm.ID, members) {
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

// FetchFleet fetches the changes to the fleet after position since from the node at
// address. It also returns the time since the platform was read for them.
func (r *Relay) FetchFleet(ctx context.Context, address string, since feed.Position) (feed.Delta, time.Duration, error) {
	var reply wireFleet
	if err := r.post(ctx, address, pathFleet, wirePositionOf(since), &reply); err != nil {
		return feed.Delta{}, 0, err
	}
	return toFleetDelta(reply.Delta), time.Duration(reply.AgeMillis) * time.Millisecond, nil
}

// serveFleet responds with the changes after the requested position, or with 404
// while this node has no fleet data.
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
