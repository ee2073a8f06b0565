package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/fleet"
	"almondbay.example/core/lease"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// term returns the term in which the lease is held at now.
func (d *domain) term(now time.Time) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Term(), d.candidate.Holds(now)
}

// Nodes that reach no member of a fabric domain are of little use as its
// holder.
const (
	// blindRank is the number of places by which such a node stands back.
	blindRank = 10
	// blindAfter is how long a holder keeps its lease, as a multiple of MemberTimeout. It is
	// longer than a holder takes to yield the groups of a domain that is dark
	// for everyone.
	blindAfter = 1.5
)

// setRank sets the node's place among the candidates. A node that reaches no
// member stands back behind the others, and a holder that has not for a while
// gives the lease up once.
func (d *domain) setRank(r int) {
	now := d.config.Clock.Now()
	seen, known := d.lastSeen()
	blind := known && now.Sub(seen) > d.config.Policy.ReportTTL
	if blind {
		r += blindRank
	}
	limit := time.Duration(blindAfter * float64(d.config.Policy.MemberTimeout))

	d.mu.Lock()
	defer d.mu.Unlock()

	d.candidate.SetRank(r)
	if !d.candidate.Holds(now) {
		d.heldSince = time.Time{}
		return
	}
	if d.heldSince.IsZero() {
		d.heldSince = now
	}
	if blind && now.Sub(seen) > limit && now.Sub(d.heldSince) > limit {
		d.candidate.Resign()
	}
}

// lastSeen returns when a member of the fabric domain last answered, and false
// when the fabric domain has no VM.
func (d *domain) lastSeen() (time.Time, bool) {
	var last time.Time
	known := false
	for _, vm := range d.config.View.VMs(fleet.RoleBackend) {
		if vm.FabricDomain != d.name {
			continue
		}
		known = true
		if r, ok := d.config.View.Report(vm.ID); ok && r.SeenAt.After(last) {
			last = r.SeenAt
		}
	}
	return last, known
}

// renew takes the next step of the lease. It must not run twice at a time.
func (d *domain) renew(ctx context.Context) error {
	err := d.do(ctx, d.next())
	d.logLease()
	return err
}

// logLease logs a term that has begun or ended since the last call.
func (d *domain) logLease() {
	d.mu.Lock()
	defer d.mu.Unlock()

	term := d.candidate.Term()
	if !d.candidate.Holds(d.config.Clock.Now()) {
		term = 0
	}
	switch term {
	case d.held:
	case 0:
		event.LeaseEnded.Log(d.config.Logger, zap.String("fabricDomain", d.name))
	default:
		event.LeaseTaken.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.Uint64("term", term))
	}
	d.held = term
}

func (d *domain) next() lease.Command {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Next(d.config.Clock.Now())
}

func (d *domain) do(ctx context.Context, c lease.Command) error {
	switch c.Action {
	case lease.ActionRead:
		return d.readLease(ctx)
	case lease.ActionWrite:
		return d.writeLease(ctx, c)
	default:
		return nil
	}
}

func (d *domain) readLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	row, err := d.config.Table.Read(ctx, leasePrefix+d.name)
	var decoded lease.Row
	if err == nil {
		decoded, err = decodeLease(row.Value)
	}

	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	if err != nil {
		d.candidate.RecordReadFailure(now)
		return Error.Wrap(err)
	}
	d.candidate.RecordRead(lease.Versioned{Row: decoded, Version: row.Version, Operation: row.Operation}, now)
	return nil
}

// writeLease renews the lease or takes it over. A take-over also writes the
// term row, which makes every write of an earlier term fail.
func (d *domain) writeLease(ctx context.Context, c lease.Command) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Timing.Timeout)
	defer cancel()

	key := leasePrefix + d.name
	t := platform.Transaction{
		Operation:  c.Operation,
		Conditions: []platform.Condition{{Key: key, Version: c.Version}},
		Writes:     []platform.Write{{Key: key, Value: encodeLease(c.Row)}},
	}
	if c.TakeOver {
		t.Writes = append(t.Writes, platform.Write{Key: termPrefix + d.name, Value: encodeTerm(c.Row)})
	}
	err := d.config.Table.Commit(ctx, t)
	o := platform.WriteOutcome(err)

	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidate.RecordWrite(o, d.config.Clock.Now())
	if o == lease.OutcomeApplied || o == lease.OutcomeConflict {
		return nil
	}
	return Error.Wrap(err)
}

// handOn gives the lease up and waits until the row says so, or until the
// lease has lapsed. Calls that fail are repeated until ctx is done.
func (d *domain) handOn(ctx context.Context) error {
	d.release()
	defer d.logLease()
	for !d.released() {
		c := d.next()
		if c.Action != lease.ActionWait {
			_ = d.do(ctx, c)
		} else if err := d.wait(ctx, c.At); err != nil {
			return err
		}
	}
	return nil
}

func (d *domain) release() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.candidate.Release()
}

func (d *domain) released() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Released()
}

func (d *domain) wait(ctx context.Context, until time.Time) error {
	select {
	case <-d.config.Clock.After(until.Sub(d.config.Clock.Now())):
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
