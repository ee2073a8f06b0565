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

// domain controls one fabric domain. The lease has a lock of its own, so that
// a slow step does not delay the renewal.
type domain struct {
	config Config
	name   string

	mu        sync.Mutex
	candidate *lease.Candidate
	// heldSince is when the lease was found held; zero while it is not.
	heldSince time.Time
	// held is the term that was last logged as held.
	held uint64

	// The fields below belong to step.

	ages *group.StateTimers
	// fence is the version of the term row in fenceTerm; zero until it was read.
	fence     uint64
	fenceTerm uint64
	// pending is a transaction whose outcome is not known, and planned what it
	// was made from.
	pending *platform.Transaction
	planned group.Transaction
	count   uint64
	// ordered is when each member was last given an order.
	ordered map[string]time.Time
}

func newDomain(c Config, name string) *domain {
	return &domain{
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
		ages:    group.NewStateTimers(),
		ordered: map[string]time.Time{},
	}
}

// step resolves what is pending, then plans once and carries the plan out.
// The rows must have been read after the last step.
func (d *domain) step(ctx context.Context, s snapshot) error {
	term, ok := d.term(d.config.Clock.Now())
	if !ok {
		return nil
	}
	if d.fenceTerm != term {
		return d.begin(ctx, term)
	}
	if d.pending != nil {
		return d.resubmit(ctx)
	}
	commands := group.Plan(d.view(s, term), d.config.Policy)
	if err := d.commitAll(ctx, commands.Transactions); err != nil {
		return err
	}
	return d.orderAll(ctx, commands.Orders)
}

// begin learns the version of the term row, which every write of the term is
// conditional on. A write left pending from another term can't take effect any
// more, since the term row has changed.
func (d *domain) begin(ctx context.Context, term uint64) error {
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
	d.ages = group.NewStateTimers()
	d.fence = row.Version
	d.fenceTerm = term
	return nil
}

func (d *domain) view(s snapshot, term uint64) group.View {
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
		Timers:         d.ages,
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

// commitAll writes the transactions one after the other. It stops at the first
// whose outcome is not known: nothing is planned until that is resolved.
func (d *domain) commitAll(ctx context.Context, all []group.Transaction) error {
	for _, t := range all {
		d.count++
		operation := fmt.Sprintf("%s/%s/%d/%s", d.name, d.config.Holder, d.count, t.Step)
		d.pending = d.transaction(t, operation)
		d.planned = t
		if err := d.resubmit(ctx); err != nil {
			return err
		}
	}
	return nil
}

// resubmit sends the pending transaction, for the first time or again under
// the same operation. It can take effect only once, since it is conditional on
// the rows that it writes. When a condition fails, the next read of the rows
// tells what took effect.
func (d *domain) resubmit(ctx context.Context) error {
	if _, ok := d.term(d.config.Clock.Now()); !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	err := d.config.Table.Commit(ctx, *d.pending)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		d.pending = nil
		d.logChange(d.planned)
		return nil
	case errors.As(err, &conflict):
		d.pending = nil
		return nil
	}
	return Error.Wrap(err)
}

func (d *domain) logChange(t group.Transaction) {
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

// orderAll gives the orders, except to members that have not answered since
// their last one.
func (d *domain) orderAll(ctx context.Context, orders []group.MemberOrder) error {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	var failed errs.Group
	var mu sync.Mutex
	for _, o := range orders {
		vm, ok := d.reorder(o.Member)
		if !ok {
			continue
		}
		g.Go(func() error {
			err := d.order(ctx, vm, o.Order)
			mu.Lock()
			defer mu.Unlock()
			failed.Add(err)
			return nil
		})
	}
	_ = g.Wait()
	return Error.Wrap(failed.Err())
}

// reorder returns the VM if it may be given an order now.
func (d *domain) reorder(member string) (fleet.VM, bool) {
	r, ok := d.config.View.Report(member)
	if !ok || !r.SeenAt.After(d.ordered[member]) {
		return fleet.VM{}, false
	}
	for _, vm := range d.config.View.VMs(fleet.RoleBackend) {
		if vm.ID == member {
			d.ordered[member] = d.config.Clock.Now()
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// order gives one order. The lease is checked right before it is sent; a
// member that has seen a higher term refuses it.
func (d *domain) order(ctx context.Context, vm fleet.VM, o fleet.Order) error {
	if term, ok := d.term(d.config.Clock.Now()); !ok || term != o.Term {
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
