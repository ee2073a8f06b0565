package control

import (
	"context"
	"fmt"
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
	"almondbay.example/serving/platform"
)

// domain acts for one failure domain.
type domain struct {
	config    Config
	name      string
	candidate *lease.Candidate
	// releasing is set once the node stops.
	releasing atomic.Bool
	// held is the lease while this node holds it, told what another node last
	// said of it.
	held atomic.Pointer[HeldLease]
	told atomic.Pointer[HeldLease]
	// sequence is that of the newest lease row known, and leaseVersion the row's
	// version in the store. The lease counts its own writes, the store all
	// transactions.
	sequence     uint64
	leaseVersion uint64

	// term is the term that plan was read under; zero when plan is not known.
	term        uint64
	plan        formation.Plan
	planVersion uint64
	planCount   uint64
	// loads holds when loads from the weight store began.
	loads []time.Time
	// summedAt is when the last line on what the servers do was logged.
	summedAt time.Time
	// loadsBlockedUntil covers the loads of an earlier holder.
	loadsBlockedUntil time.Time
	given             map[orderKey]time.Time

	// tasks runs orders and questions, which no step waits for.
	tasks errgroup.Group

	// countMu guards accepted, missing and loading.
	countMu sync.Mutex
	// loading holds the loads that were ordered and may be under way, by server.
	loading  map[string]load
	accepted map[string]acceptance
	missing  map[string]missingHead
}

func (d *domain) leaseKey() string { return "lease/" + d.name + "/holder" }

func (d *domain) planKey() string { return "plan/" + d.name + "/groups" }

// step renews the lease and acts under it.
func (d *domain) step(ctx context.Context) error {
	if d.releasing.Load() {
		d.candidate.Release()
	}
	now := d.config.Clock.Now()
	rank := d.config.Rank(d.name)
	if rank < 0 && !d.candidate.Holds(now) {
		return nil
	}
	d.candidate.SetRank(max(rank, 0))
	if l := d.told.Swap(nil); l != nil && l.Sequence > d.sequence {
		d.noteVersion(l.Sequence, l.Version)
		d.candidate.RecordRead(lease.Versioned{Row: l.Row, Version: l.Sequence}, now)
	}
	defer d.noteHeld()
	if err := d.renew(ctx, now); err != nil {
		return err
	}
	if !d.candidate.Holds(d.config.Clock.Now()) {
		d.lapse()
		return nil
	}
	if d.term != d.candidate.Term() {
		if err := d.readPlan(ctx); err != nil {
			return err
		}
	}
	return d.act(ctx)
}

// noteHeld keeps the lease for the others to hear of.
func (d *domain) noteHeld() {
	row, ok := d.candidate.Row()
	if !ok || !d.candidate.Holds(d.config.Clock.Now()) {
		d.held.Store(nil)
		return
	}
	row.FabricDomain = d.name
	d.held.Store(&HeldLease{Row: row, Version: d.leaseVersion})
}

func (d *domain) lapse() {
	if d.term != 0 {
		event.LeaseEnded.Log(d.config.Logger, zap.String("fabricDomain", d.name))
	}
	d.term = 0
}

// renew takes the lease's next step.
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

func (d *domain) readLease(ctx context.Context) error {
	row, err := d.config.Table.Read(ctx, d.leaseKey())
	now := d.config.Clock.Now()
	if err != nil {
		d.candidate.RecordReadFailure(now)
		return Error.Wrap(err)
	}
	seen := lease.Versioned{Row: lease.Row{FabricDomain: d.name}, Operation: row.Operation}
	if row.Version > 0 {
		seen.Row, err = decodeLease(d.name, row.Value)
		if err != nil {
			d.candidate.RecordReadFailure(now)
			return err
		}
	}
	seen.Version = seen.Sequence
	d.noteVersion(seen.Sequence, row.Version)
	d.candidate.RecordRead(seen, now)
	return nil
}

// noteVersion keeps the version of the newest lease row.
func (d *domain) noteVersion(sequence, version uint64) {
	if sequence < d.sequence {
		return
	}
	d.sequence = sequence
	d.leaseVersion = version
}

// versionAt returns the version of the lease row with a sequence. One that is no
// longer the newest has none, so that a write on it fails.
func (d *domain) versionAt(sequence uint64) uint64 {
	if sequence != d.sequence {
		return 0
	}
	return d.leaseVersion
}

func (d *domain) writeLease(ctx context.Context, c lease.Command) error {
	value, err := encodeLease(c.Row)
	if err != nil {
		return Error.Wrap(err)
	}
	version, err := d.config.Table.CommitAt(ctx, platform.Transaction{
		Operation:  c.Operation,
		Conditions: []platform.Condition{{Key: d.leaseKey(), Version: d.versionAt(c.Version)}},
		Writes:     []platform.Write{{Key: d.leaseKey(), Value: value}},
	})
	now := d.config.Clock.Now()
	outcome := platform.WriteOutcome(err)
	if outcome == lease.OutcomeApplied {
		d.noteVersion(c.Row.Sequence, version)
	}
	d.candidate.RecordWrite(outcome, now)
	if outcome == lease.OutcomeConflict {
		return nil
	}
	return Error.Wrap(err)
}

// readPlan reads the plan under a new term, or after a write of it whose
// outcome is not known.
func (d *domain) readPlan(ctx context.Context) error {
	row, err := d.config.Table.Read(ctx, d.planKey())
	if err != nil {
		return Error.Wrap(err)
	}
	plan := formation.Plan{}
	if row.Version > 0 {
		if plan, err = decodePlan(row.Value); err != nil {
			return err
		}
	}
	d.plan = plan
	d.planVersion = row.Version
	if term := d.candidate.Term(); term != d.term {
		d.term = term
		d.given = map[orderKey]time.Time{}
		d.forgetCounts()
		if row.Version > 0 {
			d.loadsBlockedUntil = d.config.Clock.Now().Add(d.config.LoadWindow)
		}
		event.LeaseTaken.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.Uint64("term", term))
	}
	return nil
}

// act brings the servers closer to the plan, and the plan to the servers.
func (d *domain) act(ctx context.Context) error {
	c := d.config.Configuration()
	if c == nil {
		return nil
	}
	now := d.config.Clock.Now()
	view := d.config.Book.View(now)
	if view.ReadAt.IsZero() {
		return nil
	}
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		if err := d.actFor(ctx, s, view); err != nil {
			return err
		}
	}
	return nil
}

// actFor acts for the engines of one service.
func (d *domain) actFor(ctx context.Context, s routes.Service, view registry.View) error {
	decision := d.decide(s, view)
	if decision.Changed {
		if err := d.writePlan(ctx, decision); err != nil {
			return err
		}
		// The plan that is now written allows more orders.
		decision = d.decide(s, view)
	}
	d.logSummary(s.Name, decision.Summary)
	d.ask(ctx, decision.Suspects, d.config.Clock.Now())
	d.give(ctx, decision.Orders)
	return nil
}

func (d *domain) decide(s routes.Service, view registry.View) formation.Decision {
	now := d.config.Clock.Now()
	loading := d.loadsUnderWay(s.Engine, view, now)
	inWindow := d.loadsInWindow(s.Engine, now)
	return formation.Decide(formation.View{
		Now:           now,
		Servers:       view,
		Service:       s.Name,
		FailureDomain: d.name,
		Models:        s.Engine.Models,
		Weights:       d.config.Weights(s.Engine),
		Plan:          d.plan,
		Loads:         d.loadsLeft(s.Engine, inWindow, len(loading)),
		Repeats:       inWindow,
		Loading:       loading,
		GivenLately:   d.givenLately,
		Grace:         d.config.Grace,
		Quiet:         d.quiet,
		CloseTimeout:  closeTimeout,
	})
}

// loadsInWindow returns the number of loads that the bound on any span allows
// to begin now.
func (d *domain) loadsInWindow(e *routes.Engine, now time.Time) int {
	if now.Before(d.loadsBlockedUntil) {
		return 0
	}
	kept := d.loads[:0]
	for _, at := range d.loads {
		if now.Sub(at) < d.config.LoadWindow {
			kept = append(kept, at)
		}
	}
	d.loads = kept
	begun := len(kept)
	if !d.config.Serving() {
		begun = 0
		for _, at := range kept {
			if now.Sub(at) < d.config.LoadWindow/quietShare {
				begun++
			}
		}
	}
	share := (e.LoadsPerSecond*d.config.LoadSpan.Seconds()*d.config.LoadOverrun + d.config.LoadSlack) / float64(len(d.config.FailureDomains))
	return int(share) - begun
}

// quietShare is the part of the window of loads, one in so many, that counts
// before callers' requests begin. The bound doesn't hold until then; what this
// node orders while it hears of the first request late must stay within it.
const quietShare = 3

// loadsLeft returns the number of loads that may begin now beside those under
// way.
func (d *domain) loadsLeft(e *routes.Engine, inWindow, underWay int) int {
	if !d.config.Serving() {
		return inWindow
	}
	// More loads at once make each of them slower, and the first one late.
	atOnce := int(math.Ceil(float64(e.LoadsAtOnce) / float64(len(d.config.FailureDomains))))
	return min(inWindow, atOnce-underWay)
}

// load is a load from the weight store that was ordered.
type load struct {
	model string
	born  int64
	at    time.Time
	// accepted is set once the server has said that it loads.
	accepted bool
}

const (
	// loadPatience is how long, in times of its usual duration, a load that a
	// server has accepted counts as under way: others may share its bandwidth.
	loadPatience = 2
	// lateOrder is how long an order without an answer may still begin a load.
	lateOrder = 5 * time.Second
)

// loadsUnderWay returns the models that servers may be loading.
func (d *domain) loadsUnderWay(e *routes.Engine, view registry.View, now time.Time) map[string]string {
	records := make(map[string]registry.Record, len(view.Servers))
	for _, r := range view.Servers {
		records[r.ID] = r
	}
	usual := map[string]time.Duration{}
	for _, m := range e.Models {
		usual[m.Name] = m.Load
	}
	d.countMu.Lock()
	defer d.countMu.Unlock()

	models := make(map[string]string, len(d.loading))
	for id, l := range d.loading {
		r, ok := records[id]
		longest := lateOrder
		if l.accepted {
			longest = loadPatience * usual[l.model]
		}
		if !ok || !r.LapsedAt.IsZero() || r.Born != l.born || r.HasStaged(l.model) || now.Sub(l.at) > longest {
			delete(d.loading, id)
			continue
		}
		models[id] = l.model
	}
	return models
}

// loadAnswered notes what a server said to an order to load: one that it
// refused is not under way.
func (d *domain) loadAnswered(o formation.Order, status int) {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	l, ok := d.loading[o.Server.ID]
	switch {
	case !ok || l.model != o.Model || l.born != o.Server.Born || status == 0:
		return
	case status == http.StatusAccepted:
		l.accepted = true
		d.loading[o.Server.ID] = l
	case !l.accepted:
		delete(d.loading, o.Server.ID)
	}
}

// loadsCount returns the number of loads that may be under way.
func (d *domain) loadsCount() int {
	d.countMu.Lock()
	defer d.countMu.Unlock()

	return len(d.loading)
}

// writePlan writes a plan on condition that neither it nor the lease has
// changed.
func (d *domain) writePlan(ctx context.Context, decision formation.Decision) error {
	value, err := encodePlan(decision.Plan)
	if err != nil {
		return Error.Wrap(err)
	}
	if !d.candidate.Holds(d.config.Clock.Now()) {
		return nil
	}
	d.planCount++
	version, err := d.config.Table.CommitAt(ctx, platform.Transaction{
		Operation: fmt.Sprintf("plan/%s/%s/%d", d.name, d.config.Holder, d.planCount),
		Conditions: []platform.Condition{
			{Key: d.leaseKey(), Version: d.leaseVersion},
			{Key: d.planKey(), Version: d.planVersion},
		},
		Writes: []platform.Write{{Key: d.planKey(), Value: value}},
	})
	if err != nil {
		// Whether it was written shows when it is read again.
		d.term = 0
		return Error.Wrap(err)
	}
	d.plan = decision.Plan
	d.planVersion = version
	d.logPlan(decision)
	return nil
}

// summaryInterval is the time between two lines on what the servers do.
const summaryInterval = 3 * time.Second

func (d *domain) logSummary(service string, s formation.Summary) {
	now := d.config.Clock.Now()
	if now.Sub(d.summedAt) < summaryInterval {
		return
	}
	d.summedAt = now
	groups := make([]string, 0, len(s.Whole)+len(s.Partial))
	for model, n := range s.Whole {
		groups = append(groups, fmt.Sprintf("%s whole=%d partial=%d", model, n, s.Partial[model]))
	}
	for model, n := range s.Partial {
		if s.Whole[model] == 0 {
			groups = append(groups, fmt.Sprintf("%s whole=0 partial=%d", model, n))
		}
	}
	idle := []string{fmt.Sprintf("cold=%d", s.Cold)}
	for model, n := range s.Hot {
		idle = append(idle, fmt.Sprintf("%s=%d", model, n))
	}
	slices.Sort(groups)
	slices.Sort(idle)
	event.FleetCounted.Log(d.config.Logger, zap.String("fabricDomain", d.name), zap.String("service", service),
		zap.Int("servers", s.Servers), zap.Int("leaving", s.Leaving), zap.String("groups", strings.Join(groups, "; ")),
		zap.String("idle", strings.Join(idle, "; ")), zap.Int("loading", d.loadsCount()), zap.Uint64("term", d.term))
}

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
