package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/core/lease"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// domainController controls one fabric domain. Only the state of the lease is
// guarded by mu, so that a slow step does not delay a renewal.
type domainController struct {
	config Config
	name   string

	mu        sync.Mutex
	candidate *lease.Candidate
	// heldSince is when updateRank first found the lease held; zero while it is
	// not held.
	heldSince time.Time
	// loggedTerm is the term that was last logged as held; zero if none is.
	loggedTerm uint64

	// The following fields are used by step only.

	timers *group.StateTimers
	// fenceVersion is the version of the term row in the term fenceTerm; zero
	// until it has been read.
	fenceVersion uint64
	fenceTerm    uint64
	// pending is the transaction whose outcome is not known; nil if there is
	// none. pendingPlan is the planned transaction that it was created from.
	pending     *platform.Transaction
	pendingPlan group.Transaction
	// operations counts the transactions, to make their operation IDs unique.
	operations uint64
	// lastOrderAt holds the time of the last order to each member, by ID.
	lastOrderAt map[string]time.Time
}

func newDomainController(c Config, name string) *domainController {
	return &domainController{
		config: c,
		name:   name,
		candidate: lease.New(lease.Config{
			FabricDomain: name,
			Holder:       c.Holder,
			Duration:     c.Timing.Duration,
			Margin:       c.Timing.Margin,
			Interval:     c.Timing.Interval,
			Jitter:       c.Jitter,
		}),
		timers:      group.NewStateTimers(),
		lastOrderAt: map[string]time.Time{},
	}
}

// step retries the pending transaction if there is one. Otherwise it plans the
// next changes, commits their transactions and sends their orders. The snapshot
// must have been read after the previous step.
func (d *domainController) step(ctx context.Context, s snapshot) error {
	term, ok := d.heldTerm(d.config.Clock.Now())
	if !ok {
		return nil
	}
	if d.fenceTerm != term {
		return d.beginTerm(ctx, term)
	}
	if d.pending != nil {
		return d.submitPending(ctx)
	}
	commands := group.Plan(d.planInput(s, term), d.config.Policy)
	if err := d.commitAll(ctx, commands.Transactions); err != nil {
		return err
	}
	return d.sendOrders(ctx, commands.Orders)
}

// beginTerm reads the version of the term row, on which every write of the term
// is conditional. It drops a pending transaction of an earlier term, which can't
// take effect any more since the term row has changed.
func (d *domainController) beginTerm(ctx context.Context, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	row, err := d.config.Table.Read(ctx, termPrefix+d.name)
	if err != nil {
		return Error.Wrap(err)
	}
	written, err := decodeTerm(row.Value)
	if err != nil || written != term {
		return err
	}
	d.pending = nil
	d.timers = group.NewStateTimers()
	d.fenceVersion = row.Version
	d.fenceTerm = term
	return nil
}

// planInput returns the input of group.Plan for this fabric domain.
func (d *domainController) planInput(s snapshot, term uint64) group.View {
	doc, revision := d.config.View.Document()
	v := group.View{
		Now:          d.config.Clock.Now(),
		FabricDomain: d.name,
		Term:         term,
		Revision:     revision,
		Models:       doc.Models,
		Groups:       s.groups,
		Rollouts:     s.rollouts,
		VMs:          map[string]group.Versioned[group.VMRow]{},
		Reports:      map[string]fleet.Report{},
		Timers:       d.timers,
	}
	for id, row := range s.vms {
		if row.Value.FabricDomain == d.name {
			v.VMs[id] = row
		}
	}
	backends := d.config.View.VMs(fleet.RoleBackend)
	if len(backends) > 0 {
		v.Listed = map[string]fleet.VM{}
	}
	for _, vm := range backends {
		if vm.FabricDomain != d.name {
			continue
		}
		v.Listed[vm.ID] = vm
		if r, ok := d.config.View.Report(vm.ID); ok {
			v.Reports[vm.ID] = r
		}
	}
	return v
}

// commitAll commits the transactions in order. It stops at the first one whose
// outcome is not known; nothing is planned until that outcome is resolved.
func (d *domainController) commitAll(ctx context.Context, all []group.Transaction) error {
	for _, t := range all {
		d.operations++
		operation := fmt.Sprintf("%s/%s/%d/%s", d.name, d.config.Holder, d.operations, t.Step)
		d.pending = d.tableTransaction(t, operation)
		d.pendingPlan = t
		if err := d.submitPending(ctx); err != nil {
			return err
		}
	}
	return nil
}

// submitPending commits the pending transaction, for the first time or again
// under the same operation ID. The transaction can take effect only once, since
// it is conditional on the versions of the rows that it writes. After a
// conflict, the next read of the rows shows whether it took effect.
func (d *domainController) submitPending(ctx context.Context) error {
	if _, ok := d.heldTerm(d.config.Clock.Now()); !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	err := d.config.Table.Commit(ctx, *d.pending)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		d.pending = nil
		d.logChange(d.pendingPlan)
		return nil
	case errors.As(err, &conflict):
		d.pending = nil
		return nil
	}
	return Error.Wrap(err)
}

// logChange logs a transaction that took effect.
func (d *domainController) logChange(t group.Transaction) {
	if t.Group == nil {
		for _, w := range t.VMs {
			event.VMChanged.Log(d.config.Logger, zap.String("step", string(t.Step)), zap.String("vm", w.Value.ID),
				zap.String("fabricDomain", d.name), zap.Uint64("term", d.fenceTerm))
		}
		return
	}
	r := t.Group.Value
	event.GroupChanged.Log(d.config.Logger, zap.String("step", string(t.Step)), zap.String("group", r.ID),
		zap.String("fabricDomain", d.name), zap.Uint64("epoch", r.Epoch), zap.String("state", string(r.State)),
		zap.String("version", r.Version), zap.Strings("members", r.Members), zap.Uint64("term", d.fenceTerm))
}

// sendOrders sends the orders concurrently, except to members that have not
// reported since their last order.
func (d *domainController) sendOrders(ctx context.Context, orders []group.MemberOrder) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrency)
	var failed errs.Group
	var mu sync.Mutex
	for _, o := range orders {
		vm, ok := d.acquireOrderTarget(o.Member)
		if !ok {
			continue
		}
		g.Go(func() error {
			err := d.sendOrder(ctx, vm, o.Order)
			mu.Lock()
			defer mu.Unlock()
			failed.Add(err)
			return nil
		})
	}
	_ = g.Wait()
	return Error.Wrap(failed.Err())
}

// acquireOrderTarget returns the VM of a member and records the time of the
// order. It returns false if the member has not reported since its last order
// or is not listed by the platform.
func (d *domainController) acquireOrderTarget(member string) (fleet.VM, bool) {
	r, ok := d.config.View.Report(member)
	if !ok || !r.SeenAt.After(d.lastOrderAt[member]) {
		return fleet.VM{}, false
	}
	for _, vm := range d.config.View.VMs(fleet.RoleBackend) {
		if vm.ID == member {
			d.lastOrderAt[member] = d.config.Clock.Now()
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// sendOrder sends one order, if the lease is still held in the order's term
// immediately before. A member that has seen a higher term rejects the order,
// which is logged and is not an error.
func (d *domainController) sendOrder(ctx context.Context, vm fleet.VM, o fleet.Order) error {
	if term, ok := d.heldTerm(d.config.Clock.Now()); !ok || term != o.Term {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	err := d.config.Engine.Order(ctx, vm.Address, o)
	var stale *engine.StaleTermError
	if errors.As(err, &stale) {
		event.OrderRefused.Log(d.config.Logger, zap.String("vm", vm.ID),
			zap.Uint64("term", o.Term), zap.Uint64("accepted", stale.Term))
		return nil
	}
	return err
}
