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
	pathAsk  = "/v1/slots/ask"
	pathTell = "/v1/slots/tell"
)

// Slots schedules the models that this node owns in its failure domain.
type Slots interface {
	// GrantSlot processes the slot request of another node and waits for the
	// decision.
	GrantSlot(ctx context.Context, a schedule.SlotRequest) schedule.Grant
	// RecordSlotEvents records events of the slots granted to a node.
	RecordSlotEvents(node string, news []schedule.SlotEvent)
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

// AcquireSlot requests a slot from the owner of a model and waits for the grant
// or refusal.
func (r *Relay) AcquireSlot(ctx context.Context, owner string, a schedule.SlotRequest) (schedule.Grant, error) {
	address, ok := r.addressOf(owner)
	if !ok {
		return schedule.Grant{}, Error.New("node %q is not listed", owner)
	}
	var answer wireSlotGrant
	if err := r.post(ctx, address, pathAsk, wireAskOf(a), &answer); err != nil {
		return schedule.Grant{}, err
	}
	return toSlotGrant(answer), nil
}

// ReportSlotEvents reports events of slots to the owner of their model.
func (r *Relay) ReportSlotEvents(ctx context.Context, owner, node string, news []schedule.SlotEvent) error {
	address, ok := r.addressOf(owner)
	if !ok {
		return Error.New("node %q is not listed", owner)
	}
	return r.post(ctx, address, pathTell, wireTellOf(node, news), nil)
}

func (r *Relay) addressOf(node string) (string, bool) {
	for _, vm := range r.config.Nodes() {
		if vm.ID == node {
			return vm.Address, true
		}
	}
	return "", false
}

func (r *Relay) serveAsk(c echo.Context) error {
	var wire wireAsk
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	grant := r.config.Slots().GrantSlot(c.Request().Context(), toAsk(wire))
	return c.JSON(http.StatusOK, wireSlotGrantOf(grant))
}

func (r *Relay) serveTell(c echo.Context) error {
	var wire wireTell
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.config.Slots().RecordSlotEvents(wire.Node, toNews(wire.News))
	return c.NoContent(http.StatusNoContent)
}
