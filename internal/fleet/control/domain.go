package control

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/lease"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/event"
)

// domain controls one failure domain.
type domain struct {
	config    Config
	name      string
	candidate *lease.Candidate
	// releasing is set when the node shuts down.
	releasing atomic.Bool
	// controls is set from a step that held the lease or competed for it until one
	// that does neither.
	controls atomic.Bool
	// heldLease is the lease while this node holds it; observedLease is the latest
	// one announced by another node.
	heldLease     atomic.Pointer[HeldLease]
	observedLease atomic.Pointer[HeldLease]
	// sequence is the sequence number of the newest known lease row, and
	// leaseVersion the row's version in the store. The sequence counts writes of
	// the lease, whereas the version counts all transactions of the store.
	sequence     uint64
	leaseVersion uint64

	// term is the lease term in which plan was read; zero if plan must be read.
	term        uint64
	plan        formation.Plan
	planVersion uint64
	// planTerm is the term in which this node last read or wrote plan.
	planTerm uint64
	// planLost is set if the store has lost plan, so that it must be written again.
	planLost bool
	// planWrites counts attempts to write the plan; it makes operation IDs unique.
	planWrites uint64
	// loadStarts holds the start times of recent loads from the weight store.
	loadStarts []time.Time
	// summaryLoggedAt is when the summary was last logged.
	summaryLoggedAt time.Time
	// loadsBlockedUntil blocks loads while those that the previous lease holder
	// started still count against the limit.
	loadsBlockedUntil time.Time
	// sentAt holds when each order was last sent in this term.
	sentAt map[orderKey]time.Time

	// tasks runs orders and probes; steps don't wait for them.
	tasks errgroup.Group

	// mu guards loading, orderCounts and probes, which are keyed by server ID.
	mu sync.Mutex
	// loading holds the loads that were ordered and may be in progress.
	loading map[string]load
	// orderCounts holds the number of orders that each server has accepted.
	orderCounts map[string]acceptedOrders
	// probes holds the state of the probes of heads that may have left their groups.
	probes map[string]*headProbe
}

// leaseKey returns the key of the lease row.
func (d *domain) leaseKey() string { return "lease/" + d.name + "/holder" }

// planKey returns the key of the plan row.
func (d *domain) planKey() string { return "plan/" + d.name + "/groups" }

// involved reports whether a step has anything to do.
func (d *domain) involved() bool {
	return d.controls.Load() || d.config.Rank(d.name) >= 0
}

// step renews or acquires the lease and, while holding it, reconciles the
// failure domain.
func (d *domain) step(ctx context.Context) error {
	if d.releasing.Load() {
		d.candidate.Release()
	}
	now := d.config.Clock.Now()
	rank := d.config.Rank(d.name)
	if rank < 0 && !d.candidate.Holds(now) {
		d.controls.Store(false)
		return nil
	}
	d.controls.Store(true)
	d.candidate.SetRank(max(rank, 0))
	if l := d.observedLease.Swap(nil); l != nil && l.Sequence > d.sequence {
		d.recordLeaseVersion(l.Sequence, l.Version)
		d.candidate.RecordRead(lease.Versioned{Row: l.Row, Version: l.Sequence}, now)
	}
	defer d.publishHeldLease()
	if err := d.renew(ctx, now); err != nil {
		return err
	}
	if !d.candidate.Holds(d.config.Clock.Now()) {
		d.endTerm()
		return nil
	}
	if d.term != d.candidate.Term() {
		if err := d.readPlan(ctx); err != nil {
			return err
		}
	}
	return d.reconcile(ctx)
}

// endTerm ends the control of the failure domain after the lease was lost.
func (d *domain) endTerm() {
	if d.term != 0 {
		event.LeaseEnded.Log(d.config.Logger, zap.String("fabricDomain", d.name))
	}
	d.term = 0
}

// reconcile updates the plan to the registered servers and orders the servers to
// follow the plan.
func (d *domain) reconcile(ctx context.Context) error {
	c := d.config.Configuration()
	if c == nil {
		return nil
	}
	now := d.config.Clock.Now()
	view := d.config.Registrations.View(now)
	if view.ReadAt.IsZero() {
		return nil
	}
	if d.planLost {
		if err := d.writePlan(ctx, formation.Decision{Plan: d.plan}); err != nil {
			return err
		}
	}
	services := slices.Sorted(maps.Keys(c.Services))
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		if err := d.reconcileService(ctx, s, services, view); err != nil {
			return err
		}
	}
	return nil
}

// reconcileService reconciles the engines of one service.
func (d *domain) reconcileService(ctx context.Context, s routes.Service, services []string, view registry.View) error {
	decision := d.decide(s, services, view)
	if decision.Changed {
		if err := d.writePlan(ctx, decision); err != nil {
			return err
		}
		// The new plan is written, so its orders may be sent too.
		decision = d.decide(s, services, view)
	}
	d.logSummary(s.Name, decision.Summary)
	d.probeHeads(ctx, decision, d.config.Clock.Now())
	d.sendOrders(ctx, decision.Orders)
	return nil
}

// decide computes the next plan and orders for one of the configured services.
func (d *domain) decide(s routes.Service, services []string, view registry.View) formation.Decision {
	now := d.config.Clock.Now()
	loading := d.loadsInProgress(s.Engine, view, now)
	budget := d.windowBudget(s.Engine, now)
	return formation.Decide(formation.View{
		Now:           now,
		Servers:       view,
		Service:       s.Name,
		FailureDomain: d.name,
		Services:      services,
		Models:        s.Engine.Models,
		Weights:       d.config.Weights(s.Engine),
		Plan:          d.plan,
		LoadBudget:    d.loadBudget(s.Engine, budget, len(loading)),
		RetryBudget:   budget,
		Loading:       loading,
		RecentlySent:  d.recentlySent,
		MissingGrace:  d.config.Grace,
		HeadStopped:   d.headStopped,
		HeadSilent:    d.headSilent,
		CloseTimeout:  closeTimeout,
	})
}

// windowBudget returns the number of loads that may start now without exceeding
// the limit on loads started within any LoadSpan.
func (d *domain) windowBudget(e *routes.Engine, now time.Time) int {
	if now.Before(d.loadsBlockedUntil) {
		return 0
	}
	recent := d.loadStarts[:0]
	for _, at := range d.loadStarts {
		if now.Sub(at) < d.config.LoadWindow {
			recent = append(recent, at)
		}
	}
	d.loadStarts = recent
	started := len(recent)
	if !d.config.Serving() {
		started = 0
		for _, at := range recent {
			if now.Sub(at) < d.config.LoadWindow/idleWindowDivisor {
				started++
			}
		}
	}
	share := (e.LoadsPerSecond*d.config.LoadSpan.Seconds()*d.config.LoadOverrun + d.config.LoadSlack) / float64(len(d.config.FailureDomains))
	return int(share) - started
}

// idleWindowDivisor divides LoadWindow before callers begin to send requests.
// The limit on loads doesn't apply until then, but this node may learn of the
// first request late, and the loads that it starts in the meantime must stay
// within the limit.
const idleWindowDivisor = 3

// loadBudget returns the number of loads that may start now, given the window
// budget and the number of loads in progress.
func (d *domain) loadBudget(e *routes.Engine, budget, inProgress int) int {
	if !d.config.Serving() {
		return budget
	}
	// Concurrent loads share bandwidth: more of them delay the first to complete.
	maxConcurrent := int(math.Ceil(float64(e.LoadsAtOnce) / float64(len(d.config.FailureDomains))))
	return min(budget, maxConcurrent-inProgress)
}

// load is a load from the weight store that was ordered.
type load struct {
	model       string
	incarnation int64
	at          time.Time
	// accepted is set once the server has accepted the order.
	accepted bool
}

const (
	// loadTimeoutFactor limits how long a load that a server has accepted counts
	// as in progress, as a multiple of its usual duration. Loads take longer than
	// usual while others share the bandwidth.
	loadTimeoutFactor = 2
	// unansweredLoadTimeout limits how long a load order without a reply counts as
	// in progress, since the server may still execute it late.
	unansweredLoadTimeout = 5 * time.Second
)

// loadsInProgress returns the models that servers may be loading, by server ID.
// It drops loads that have completed or timed out.
func (d *domain) loadsInProgress(e *routes.Engine, view registry.View, now time.Time) map[string]string {
	records := make(map[string]registry.Record, len(view.Servers))
	for _, r := range view.Servers {
		records[r.ID] = r
	}
	usual := map[string]time.Duration{}
	for _, m := range e.Models {
		usual[m.Name] = m.Load
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	models := make(map[string]string, len(d.loading))
	for id, l := range d.loading {
		r, ok := records[id]
		timeout := unansweredLoadTimeout
		if l.accepted {
			timeout = loadTimeoutFactor * usual[l.model]
		}
		if !ok || !r.MissingSince.IsZero() || r.Incarnation != l.incarnation || r.HasStaged(l.model) || now.Sub(l.at) > timeout {
			delete(d.loading, id)
			continue
		}
		models[id] = l.model
	}
	return models
}

// recordLoadReply records a server's reply to an order that starts a load. A
// load that the server refused is no longer in progress.
func (d *domain) recordLoadReply(o formation.Order, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	l, ok := d.loading[o.Server.ID]
	switch {
	case !ok || l.model != o.Model || l.incarnation != o.Server.Incarnation || status == 0:
		return
	case status == http.StatusAccepted:
		l.accepted = true
		d.loading[o.Server.ID] = l
	case !l.accepted:
		delete(d.loading, o.Server.ID)
	}
}

// countLoading returns the number of loads that may be in progress.
func (d *domain) countLoading() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return len(d.loading)
}

// summaryInterval is the minimum time between two logged summaries.
const summaryInterval = 3 * time.Second

// logSummary logs the state of the servers and groups of a service.
func (d *domain) logSummary(service string, s formation.Summary) {
	now := d.config.Clock.Now()
	if now.Sub(d.summaryLoggedAt) < summaryInterval {
		return
	}
	d.summaryLoggedAt = now
	groups := make([]string, 0, len(s.Complete)+len(s.Partial))
	for model, n := range s.Complete {
		groups = append(groups, fmt.Sprintf("%s whole=%d partial=%d", model, n, s.Partial[model]))
	}
	for model, n := range s.Partial {
		if s.Complete[model] == 0 {
			groups = append(groups, fmt.Sprintf("%s whole=0 partial=%d", model, n))
		}
	}
	idle := []string{fmt.Sprintf("cold=%d", s.Unloaded)}
	for model, n := range s.Preloaded {
		idle = append(idle, fmt.Sprintf("%s=%d", model, n))
	}
	slices.Sort(groups)
	slices.Sort(idle)
	event.FleetCounted.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.String("service", service),
		zap.Int("servers", s.Servers), zap.Int("leaving", s.Draining), zap.String("groups", strings.Join(groups, "; ")),
		zap.String("idle", strings.Join(idle, "; ")), zap.Int("loading", d.countLoading()), zap.Uint64("term", d.term))
}
