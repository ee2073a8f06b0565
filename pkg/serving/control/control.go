// Package control reconciles the fleet with the document in force, through the
// platform's table service and the members of replica groups.
//
// The packages lease and group make the decisions. This package reads the rows,
// renews the lease of each fabric domain that this node controls, commits the
// transactions that group.Plan returns and sends its orders to the members.
package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/view"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Timing holds the durations and timeouts of leases.
type Timing struct {
	// Duration is the time after which a lease expires unless it is renewed.
	Duration time.Duration
	// Margin is the maximum drift between the clocks of two nodes within
	// Duration.
	Margin time.Duration
	// Interval is the time between renewals or reads of a lease.
	Interval time.Duration
	// Timeout bounds each call to the table service or to a member.
	Timeout time.Duration
}

// DefaultTiming returns the default timing of leases.
func DefaultTiming() Timing {
	return Timing{
		Duration: 10 * time.Second,
		Margin:   time.Second,
		Interval: 2 * time.Second,
		Timeout:  2 * time.Second,
	}
}

// DefaultPolicy returns the default policy for planning groups. Dispatchers rely
// on a proof of a group for proofTTL; see group.Prove.
func DefaultPolicy(proofTTL time.Duration) group.Policy {
	return group.Policy{
		ReportTTL:     proofTTL,
		ProofTTL:      proofTTL,
		MemberTimeout: 10 * time.Second,
		DrainTimeout:  10 * time.Minute,
		LoadTimeout:   30 * time.Minute,
		RetryBackoff:  30 * time.Second,
		ClaimDelay:    30 * time.Second,
		LossRate:      0.08,
		Replacement:   30 * time.Minute,
		Risk:          0.01,
	}
}

// Config configures a Controller.
type Config struct {
	// Node is the ID of the VM that the node runs on.
	Node string
	// Holder identifies this process as the holder of a lease. It must differ
	// after each start of the node.
	Holder string
	// Environment is the name of the environment that the node serves.
	// Environments that share a table service must not share a fabric domain.
	Environment string
	View        *view.View
	Table       platform.Table
	Engine      engine.Engine
	Clock       clockwork.Clock
	Logger      *zap.Logger
	Timing      Timing
	Policy      group.Policy
	// Jitter returns a random duration in [0, limit).
	Jitter func(limit time.Duration) time.Duration
}

// Controller controls the fabric domains whose leases this node holds.
// RenewLeases and Step may run concurrently, but each of them must be called
// from one goroutine only.
type Controller struct {
	config Config

	// The following readers are used by Step only.

	groups   *rowReader[group.Row]
	vms      *rowReader[group.VMRow]
	rollouts *rowReader[group.Rollout]

	mu      sync.Mutex
	domains map[string]*domainController
}

// New returns a controller.
func New(c Config) *Controller {
	return &Controller{
		config:   c,
		groups:   newGroupReader(c.Environment),
		vms:      newVMReader(),
		rollouts: newRolloutReader(c.Environment),
		domains:  map[string]*domainController{},
	}
}

// maxConcurrency is the maximum number of fabric domains that are processed
// concurrently, and of concurrent orders within a fabric domain.
const maxConcurrency = 32

// RenewLeases reads, acquires or renews the lease of each fabric domain that
// this node is a candidate for, if such a call is due.
func (c *Controller) RenewLeases(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxConcurrency)
	for _, d := range c.candidateDomains() {
		g.Go(func() error { return d.renew(ctx) })
	}
	return g.Wait()
}

// Step reads the rows, stores the groups in the node's view, and plans and
// executes the next changes in each fabric domain whose lease this node holds.
// It does nothing while the node holds no lease.
func (c *Controller) Step(ctx context.Context) error {
	if len(c.heldDomains()) == 0 {
		return nil
	}
	rows, err := c.readRows(ctx)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrency)
	for _, d := range c.heldDomains() {
		g.Go(func() error { return d.step(ctx, rows) })
	}
	return g.Wait()
}

// ReleaseLeases releases all leases, so that other nodes can acquire them
// without waiting for them to expire. It returns when every release is
// confirmed or the lease has expired, or when ctx is done.
func (c *Controller) ReleaseLeases(ctx context.Context) error {
	var g errgroup.Group
	for _, d := range c.allDomains() {
		g.Go(func() error { return d.handOver(ctx) })
	}
	return g.Wait()
}

// HeldLeases returns the fabric domains whose leases this node holds.
func (c *Controller) HeldLeases() []string {
	var names []string
	for _, d := range c.heldDomains() {
		names = append(names, d.name)
	}
	return names
}

func (c *Controller) allDomains() []*domainController {
	c.mu.Lock()
	defer c.mu.Unlock()

	var all []*domainController
	for _, name := range slices.Sorted(maps.Keys(c.domains)) {
		all = append(all, c.domains[name])
	}
	return all
}

func (c *Controller) heldDomains() []*domainController {
	now := c.config.Clock.Now()
	return slices.DeleteFunc(c.allDomains(), func(d *domainController) bool {
		_, ok := d.heldTerm(now)
		return !ok
	})
}

// candidateDomains returns the domains whose lease this node may acquire, and
// updates the node's rank in them. A domain whose lease the node holds is
// included until the lease has been handed over.
func (c *Controller) candidateDomains() []*domainController {
	ranks := candidateRanks(c.config.Node, c.config.View.VMs(fleet.RoleBackend), c.config.View.VMs(fleet.RoleEntry))

	c.mu.Lock()
	for name, r := range ranks {
		d, ok := c.domains[name]
		if !ok {
			d = newDomainController(c.config, name)
			c.domains[name] = d
		}
		d.updateRank(r)
	}
	c.mu.Unlock()

	now := c.config.Clock.Now()
	return slices.DeleteFunc(c.allDomains(), func(d *domainController) bool {
		_, candidate := ranks[d.name]
		_, holds := d.heldTerm(now)
		return !candidate && !holds
	})
}

// snapshot holds the rows of one read, by ID or by model.
type snapshot struct {
	groups   map[string]group.Versioned[group.Row]
	vms      map[string]group.Versioned[group.VMRow]
	rollouts map[string]group.Versioned[group.Rollout]
}

// readRows reads the rows of groups and, while a lease is held, those of
// rollouts and VMs. Rollouts must be read before groups; see group.View.
func (c *Controller) readRows(ctx context.Context) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timing.Timeout)
	defer cancel()

	s := snapshot{}
	var err error
	if len(c.heldDomains()) > 0 {
		if s.rollouts, err = c.rollouts.read(ctx, c.config.Table); err != nil {
			return snapshot{}, err
		}
		if s.vms, err = c.vms.read(ctx, c.config.Table); err != nil {
			return snapshot{}, err
		}
	}
	if s.groups, err = c.groups.read(ctx, c.config.Table); err != nil {
		return snapshot{}, err
	}
	c.config.View.SetGroups(s.groupRows())
	return s, nil
}

// groupRows returns the rows of all groups, in no particular order.
func (s snapshot) groupRows() []group.Row {
	rows := make([]group.Row, 0, len(s.groups))
	for _, g := range s.groups {
		rows = append(rows, g.Value)
	}
	return rows
}
