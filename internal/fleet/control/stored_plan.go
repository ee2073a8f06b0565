package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/formation"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// readPlan reads the plan at the start of a term, or after a plan write that
// failed or whose outcome is unknown.
func (d *domain) readPlan(ctx context.Context) error {
	row, err := d.config.Table.Read(ctx, d.planKey())
	if err != nil {
		return Error.Wrap(err)
	}
	plan, era := formation.Plan{}, uint64(0)
	if row.Version > 0 {
		if plan, era, err = decodePlan(row.Value); err != nil {
			return err
		}
	}
	term := d.candidate.Term()
	present := platform.Era(d.leaseVersion)
	d.planLost = era < platform.Era(row.Version) || row.Version == 0 && present > 0
	switch {
	case !d.planLost:
		d.plan = plan
	case d.planTerm != term || d.plan.LastEpoch < plan.LastEpoch:
		// Another node may have written it later.
		d.plan = plan.Restored(max(1, present-era))
	}
	d.planVersion, d.planTerm = row.Version, term
	if term != d.term {
		d.term = term
		d.sentAt = map[orderKey]time.Time{}
		d.clearOrderCounts()
		d.clearProbes()
		if row.Version > 0 {
			d.loadsBlockedUntil = d.config.Clock.Now().Add(d.config.LoadWindow)
		}
		event.LeaseAcquired.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.Uint64("term", term))
	}
	return nil
}

// writePlan writes a plan on condition that neither the stored plan nor the
// lease has changed.
func (d *domain) writePlan(ctx context.Context, decision formation.Decision) error {
	value, err := encodePlan(decision.Plan, platform.Era(d.leaseVersion))
	if err != nil {
		return Error.Wrap(err)
	}
	if !d.candidate.Holds(d.config.Clock.Now()) {
		return nil
	}
	d.planWrites++
	version, err := d.config.Table.CommitVersion(ctx, platform.Transaction{
		Operation: fmt.Sprintf("plan/%s/%s/%d", d.name, d.config.Holder, d.planWrites),
		Conditions: []platform.Condition{
			{Key: d.leaseKey(), Version: d.leaseVersion},
			{Key: d.planKey(), Version: d.planVersion},
		},
		Writes: []platform.Write{{Key: d.planKey(), Value: value}},
	})
	if err != nil {
		// The plan may have been written nevertheless: read it again.
		d.term = 0
		return Error.Wrap(err)
	}
	d.plan = decision.Plan
	d.planVersion = version
	d.planLost = false
	d.logPlan(decision)
	return nil
}

// logPlan logs the groups that a plan adds and removes.
func (d *domain) logPlan(decision formation.Decision) {
	for _, r := range decision.Released {
		event.GroupReleased.Log(d.config.Logger, zap.String("group", r.Group.Name), zap.Uint64("epoch", r.Group.Epoch),
			zap.String("model", r.Group.Model), zap.String("reason", r.Reason), zap.Uint64("term", d.term))
	}
	for _, g := range decision.Formed {
		ids := make([]string, 0, len(g.Members))
		for _, m := range g.Members {
			ids = append(ids, m.ID)
		}
		event.GroupPlanned.Log(d.config.Logger, zap.String("group", g.Name), zap.Uint64("epoch", g.Epoch),
			zap.String("model", g.Model), zap.String("fabricDomain", g.FabricDomain),
			zap.String("members", strings.Join(ids, ",")), zap.Uint64("term", d.term))
	}
}
