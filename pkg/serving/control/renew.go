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

// heldTerm returns the term of the lease and whether the lease is held at now.
func (d *domainController) heldTerm(now time.Time) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Term(), d.candidate.Holds(now)
}

// Limits for a node that reaches no member of a fabric domain and so can't
// control it.
const (
	// unreachableRankPenalty is added to the rank of such a node.
	unreachableRankPenalty = 10
	// resignTimeoutFactor is the time after which such a node resigns a lease
	// that it holds, as a multiple of MemberTimeout. It is longer than a holder
	// takes to yield the groups of a fabric domain that no node reaches.
	resignTimeoutFactor = 1.5
)

// updateRank sets the node's rank among the candidates. A node that reaches no
// member of the fabric domain ranks behind the other candidates. If it has held
// the lease for the resign timeout and reached no member in that time, it
// resigns; it may acquire the lease again at its rank.
func (d *domainController) updateRank(r int) {
	now := d.config.Clock.Now()
	lastReport, known := d.lastReportAt()
	unreachable := known && now.Sub(lastReport) > d.config.Policy.ReportTTL
	if unreachable {
		r += unreachableRankPenalty
	}
	resignTimeout := time.Duration(resignTimeoutFactor * float64(d.config.Policy.MemberTimeout))

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
	if unreachable && now.Sub(lastReport) > resignTimeout && now.Sub(d.heldSince) > resignTimeout {
		d.candidate.Resign()
	}
}

// lastReportAt returns the time of the latest report from any VM of the fabric
// domain, zero if none has reported. It returns false if the fabric domain has
// no VM.
func (d *domainController) lastReportAt() (time.Time, bool) {
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

// renew executes the next action of the lease, if one is due. It must not be
// called concurrently.
func (d *domainController) renew(ctx context.Context) error {
	err := d.execute(ctx, d.nextCommand())
	d.logLease()
	return err
}

// logLease logs whether the lease was acquired or lost since the last call.
func (d *domainController) logLease() {
	d.mu.Lock()
	defer d.mu.Unlock()

	term := d.candidate.Term()
	if !d.candidate.Holds(d.config.Clock.Now()) {
		term = 0
	}
	switch term {
	case d.loggedTerm:
	case 0:
		event.LeaseEnded.Log(d.config.Logger, zap.String("fabricDomain", d.name))
	default:
		event.LeaseAcquired.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.Uint64("term", term))
	}
	d.loggedTerm = term
}

func (d *domainController) nextCommand() lease.Command {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Next(d.config.Clock.Now())
}

func (d *domainController) execute(ctx context.Context, c lease.Command) error {
	switch c.Action {
	case lease.ActionRead:
		return d.readLease(ctx)
	case lease.ActionWrite:
		return d.writeLease(ctx, c)
	default:
		return nil
	}
}

func (d *domainController) readLease(ctx context.Context) error {
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

// writeLease renews, releases or acquires the lease. An acquisition also writes
// the term row, so that every later write of an earlier term fails.
func (d *domainController) writeLease(ctx context.Context, c lease.Command) error {
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

// handOver releases the lease and waits until the release is written to its row
// or the lease has expired. It retries failed calls until ctx is done.
func (d *domainController) handOver(ctx context.Context) error {
	d.release()
	defer d.logLease()
	for !d.released() {
		c := d.nextCommand()
		if c.Action != lease.ActionWait {
			_ = d.execute(ctx, c)
		} else if err := d.waitUntil(ctx, c.At); err != nil {
			return err
		}
	}
	return nil
}

func (d *domainController) release() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.candidate.Release()
}

func (d *domainController) released() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.candidate.Released()
}

func (d *domainController) waitUntil(ctx context.Context, until time.Time) error {
	select {
	case <-d.config.Clock.After(until.Sub(d.config.Clock.Now())):
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
