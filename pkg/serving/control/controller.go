// Package control brings the fleet to the document in force: it forms replica
// groups from free VMs and orders their members.
package control

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/view"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// GroupPrefix starts the key of each replica group's row.
const GroupPrefix = "group/"

// vmPrefix starts the key of each VM's row.
const vmPrefix = "vm/"

// Config configures a Controller.
type Config struct {
	View   *view.View
	Table  platform.Table
	Engine engine.Engine
}

// Controller forms replica groups. Each step compares the document, the rows
// and the reports, so that any node can take the next step.
type Controller struct {
	view   *view.View
	table  platform.Table
	engine engine.Engine
}

// New returns a controller.
func New(c Config) *Controller {
	return &Controller{view: c.View, table: c.Table, engine: c.Engine}
}

// Step reads the rows, forms at most one missing replica group and orders
// each member whose report differs from its group's row.
func (c *Controller) Step(ctx context.Context) error {
	rows, err := c.table.Range(ctx, GroupPrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	groups := make([]view.Group, 0, len(rows))
	for _, row := range rows {
		group, err := decodeGroup(row.Value)
		if err != nil {
			return err
		}
		groups = append(groups, group)
	}
	c.view.SetGroups(groups)
	if err := c.formNext(ctx, groups); err != nil {
		return err
	}
	return c.orderAll(ctx, groups)
}

// formNext forms the first replica group that the document asks for and that
// has no row.
func (c *Controller) formNext(ctx context.Context, groups []view.Group) error {
	d, revision := c.view.Document()
	if revision == 0 {
		return nil
	}
	for _, m := range d.Models {
		for i := range m.Groups {
			id := fmt.Sprintf("%s-%d", m.Name, i)
			if slices.ContainsFunc(groups, func(g view.Group) bool { return g.ID == id }) {
				continue
			}
			return c.form(ctx, id, m)
		}
	}
	return nil
}

// form writes the row of a new replica group and the rows of its members in
// one transaction, which fails when another node took one of the VMs.
func (c *Controller) form(ctx context.Context, id string, m document.Model) error {
	rows, err := c.table.Range(ctx, vmPrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	members := freeVMs(c.view.VMs(fleet.RoleBackend), rows, m.Span)
	if len(members) < m.Span {
		return nil
	}
	group := view.Group{ID: id, Epoch: 1, Members: members, Model: m.Name, Version: m.Version}
	err = c.table.Commit(ctx, formTransaction(group))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return Error.Wrap(err)
}

// formTransaction writes a new replica group under the condition that neither
// it nor any row of its members exists.
func formTransaction(g view.Group) platform.Transaction {
	t := platform.Transaction{Operation: uuid.NewString()}
	add := func(key string, value []byte) {
		t.Conditions = append(t.Conditions, platform.Condition{Key: key})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: value})
	}
	add(GroupPrefix+g.ID, encodeGroup(g))
	for _, member := range g.Members {
		add(vmPrefix+member, encodeMember(g.ID, g.Epoch))
	}
	return t
}

// freeVMs returns span live VMs of one fabric domain that have no row, or
// fewer when no fabric domain has as many.
func freeVMs(vms []fleet.VM, rows []platform.Row, span int) []string {
	taken := make(map[string]bool, len(rows))
	for _, row := range rows {
		taken[row.Key] = true
	}
	byFabric := make(map[string][]string)
	for _, vm := range vms {
		if vm.State != fleet.VMLive || taken[vmPrefix+vm.ID] {
			continue
		}
		free := append(byFabric[vm.FabricDomain], vm.ID)
		if len(free) == span {
			return free
		}
		byFabric[vm.FabricDomain] = free
	}
	return nil
}

// orderAll orders each member whose report differs from its group's row.
func (c *Controller) orderAll(ctx context.Context, groups []view.Group) error {
	addresses := make(map[string]string)
	for _, vm := range c.view.VMs(fleet.RoleBackend) {
		addresses[vm.ID] = vm.Address
	}
	var all errs.Group
	for _, g := range groups {
		for _, member := range g.Members {
			r, ok := c.view.Report(member)
			if !ok || inPlace(r, g) {
				continue
			}
			all.Add(c.engine.Order(ctx, addresses[member], orderFor(g)))
		}
	}
	return Error.Wrap(all.Err())
}

func inPlace(r fleet.Report, g view.Group) bool {
	return r.Identity.Group == g.ID && r.Identity.Epoch == g.Epoch &&
		r.Identity.Model == g.Model && r.Identity.Version == g.Version
}

func orderFor(g view.Group) fleet.Order {
	return fleet.Order{
		Group:   g.ID,
		Epoch:   g.Epoch,
		Members: g.Members,
		Model:   g.Model,
		Version: g.Version,
	}
}
