package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/lease"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// publishHeldLease updates the lease that HeldLeases returns.
func (d *domain) publishHeldLease() {
	row, ok := d.candidate.Row()
	if !ok || !d.candidate.Holds(d.config.Clock.Now()) {
		d.heldLease.Store(nil)
		return
	}
	row.FabricDomain = d.name
	d.heldLease.Store(&HeldLease{Row: row, Version: d.leaseVersion})
}

// renew performs the next read or write of the lease, if one is due.
func (d *domain) renew(ctx context.Context, now time.Time) error {
	command := d.candidate.Next(now)
	switch command.Action {
	case lease.ActionRead:
		return d.readLease(ctx)
	case lease.ActionWrite:
		return d.writeLease(ctx, command)
	default:
		return nil
	}
}

// readLease reads the lease from the store.
func (d *domain) readLease(ctx context.Context) error {
	row, err := d.config.Table.Read(ctx, d.leaseKey())
	now := d.config.Clock.Now()
	if err != nil {
		d.candidate.RecordReadFailure(now)
		return Error.Wrap(err)
	}
	seen := lease.Versioned{Row: lease.Row{FabricDomain: d.name}, Operation: row.Operation}
	era := platform.Era(row.Version)
	if row.Version > 0 {
		seen.Row, era, err = decodeLease(d.name, row.Value)
		if err != nil {
			d.candidate.RecordReadFailure(now)
			return err
		}
	}
	seen.Version = seen.Sequence
	restored := era < platform.Era(row.Version) || row.Version == 0 && d.leaseVersion != 0
	if restored && row.Version != d.leaseVersion {
		d.recordRestoredLease(seen, row.Version, max(1, platform.Era(row.Version)-era), now)
		return nil
	}
	d.recordLeaseVersion(seen.Sequence, row.Version)
	d.candidate.RecordRead(seen, now)
	return nil
}

// recordRestoredLease records a lease that was written before the store came back from an
// older copy, so that later rows of it may be lost, and how often it did since.
func (d *domain) recordRestoredLease(row lease.Versioned, version, times uint64, now time.Time) {
	held := d.candidate.Holds(now)
	d.candidate.RecordRestored(row, times, now)
	d.leaseVersion = version
	if held {
		// Has the plan read, and written again.
		d.term = 0
	} else {
		d.sequence = row.Sequence
	}
	event.LeaseRestored.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.Bool("held", held), zap.Uint64("era", platform.Era(version)),
		zap.Uint64("term", row.Term), zap.Uint64("sequence", row.Sequence), zap.Uint64("knownSequence", d.sequence))
}

// recordLeaseVersion records the version of a lease row unless a newer row is
// known.
func (d *domain) recordLeaseVersion(sequence, version uint64) {
	if sequence < d.sequence {
		return
	}
	d.sequence = sequence
	d.leaseVersion = version
}

// versionOf returns the store version of the lease row with the given sequence
// number. It returns zero if the row isn't the newest, so that a write
// conditional on it fails.
func (d *domain) versionOf(sequence uint64) uint64 {
	if sequence != d.sequence {
		return 0
	}
	return d.leaseVersion
}

// writeLease writes the lease on condition that it hasn't changed since it was
// read.
func (d *domain) writeLease(ctx context.Context, c lease.Command) error {
	value, err := encodeLease(c.Row, platform.Era(d.leaseVersion))
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := d.config.Table.CommitVersion(ctx, platform.Transaction{
		Operation:  c.Operation,
		Conditions: []platform.Condition{{Key: d.leaseKey(), Version: d.versionOf(c.Version)}},
		Writes:     []platform.Write{{Key: d.leaseKey(), Value: value}},
	})
	now := d.config.Clock.Now()
	outcome := platform.WriteOutcome(err)
	if outcome == lease.OutcomeApplied {
		d.recordLeaseVersion(c.Row.Sequence, version)
	}
	d.candidate.RecordWrite(outcome, now)
	if outcome == lease.OutcomeConflict {
		return nil
	}
	return Error.Wrap(err)
}
