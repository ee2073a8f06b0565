package peer

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
	"almondbay.example/core/schedule"
)

// Paths for slots of replica groups.
const (
	pathAcquireSlot      = "/v1/slots/ask"
	pathReportSlotEvents = "/v1/slots/tell"
)

// Slots schedules the models that this node owns in its failure domain.
type Slots interface {
	// GrantSlot answers the ask of another node once it is decided.
	GrantSlot(ctx context.Context, a schedule.SlotRequest) schedule.Grant
	// RecordSlotEvents takes in what became of slots that a node was granted.
	RecordSlotEvents(node string, events []schedule.SlotEvent)
}

// Owner returns the ID of the node that schedules a model in this failure
// domain, and whether it is this node; it is this node also when it knows of no
// other. Nodes that are leaving own nothing.
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

// AcquireSlot asks the owner of a model for a slot and waits for its answer.
func (r *Relay) AcquireSlot(ctx context.Context, owner string, a schedule.SlotRequest) (schedule.Grant, error) {
	address, ok := r.addressOf(owner)
	if !ok {
		return schedule.Grant{}, Error.New("node %q is not listed", owner)
	}
	var answer wireSlotGrant
	if err := r.post(ctx, address, pathAcquireSlot, wireSlotRequestOf(a), &answer); err != nil {
		return schedule.Grant{}, err
	}
	return toSlotGrant(answer), nil
}

// ReportSlotEvents tells the owner of a model what became of its slots.
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
