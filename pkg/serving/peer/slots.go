package peer

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
	"almondbay.example/core/schedule"
)

// Paths of messages about slots of replica groups.
const (
	pathAcquireSlot      = "/v1/slots/ask"
	pathReportSlotEvents = "/v1/slots/tell"
)

// Slots schedules the models that this node owns in its failure domain.
type Slots interface {
	// GrantSlot submits the slot request of another node to the scheduler and waits
	// for the grant or the refusal.
	GrantSlot(ctx context.Context, req schedule.SlotRequest) schedule.Grant
	// RecordSlotEvents records events of slots that were granted to node.
	RecordSlotEvents(node string, events []schedule.SlotEvent)
}

// Owner returns the ID of the node that schedules a model in this failure domain,
// and whether it is this node. If no node is eligible the ID is empty and this
// node is the owner. Nodes that are leaving own no model.
func (r *Relay) Owner(model string) (string, bool) {
	var ids []string
	for _, vm := range r.config.Nodes() {
		if vm.FailureDomain == r.config.FailureDomain && vm.State != fleet.VMLeaving {
			ids = append(ids, vm.ID)
		}
	}
	owner := relay.Owner(model, ids)
	return owner, owner == "" || owner == r.config.Node
}

// AcquireSlot requests a slot from the owner of a model and waits for the grant or
// the refusal.
func (r *Relay) AcquireSlot(ctx context.Context, owner string, req schedule.SlotRequest) (schedule.Grant, error) {
	address, ok := r.addressOf(owner)
	if !ok {
		return schedule.Grant{}, Error.New("node %q is not listed", owner)
	}
	var reply wireSlotGrant
	if err := r.post(ctx, address, pathAcquireSlot, wireSlotRequestOf(req), &reply); err != nil {
		return schedule.Grant{}, err
	}
	return toSlotGrant(reply), nil
}

// ReportSlotEvents sends the owner of a model the events of slots that it granted
// to node. Any report, also an empty one, renews the slots.
func (r *Relay) ReportSlotEvents(ctx context.Context, owner, node string, events []schedule.SlotEvent) error {
	address, ok := r.addressOf(owner)
	if !ok {
		return Error.New("node %q is not listed", owner)
	}
	return r.post(ctx, address, pathReportSlotEvents, wireSlotEventsOf(node, events), nil)
}

func (r *Relay) addressOf(node string) (string, bool) {
	for _, vm := range r.config.Nodes() {
		if vm.ID == node {
			return vm.Address, true
		}
	}
	return "", false
}

func (r *Relay) serveAcquireSlot(c echo.Context) error {
	var wire wireSlotRequest
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	grant := r.config.Slots().GrantSlot(c.Request().Context(), toSlotRequest(wire))
	return c.JSON(http.StatusOK, wireSlotGrantOf(grant))
}

func (r *Relay) serveReportSlotEvents(c echo.Context) error {
	var wire wireSlotEvents
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.config.Slots().RecordSlotEvents(wire.Node, toSlotEvents(wire.Events))
	return c.NoContent(http.StatusNoContent)
}
