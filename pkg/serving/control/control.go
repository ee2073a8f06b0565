// Package control speaks to the platform's table service and to the members
// of replica groups to bring the fleet to the document in force.
//
// The decisions are made by the packages lease and group. This package reads
// the rows, keeps one lease for each fabric domain that falls to this node,
// writes the transactions and gives the orders that group.Plan asks for.
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

// Timing holds the times that leases are kept by.
type Timing struct {
	// Duration is the length of a lease.
	Duration time.Duration
	// Margin is the most by which two nodes' clocks drift apart in Duration.
	Margin time.Duration
	// Interval is the time between two renewals or reads of a lease.
	Interval time.Duration
	// Timeout bounds one call of the table service or of a member.
	Timeout time.Duration
}

// DefaultTiming returns the times that leases are kept by.
func DefaultTiming() Timing {
	return Timing{
		Duration: 10 * time.Second,
		Margin:   time.Second,
		Interval: 2 * time.Second,
		Timeout:  2 * time.Second,
	}
}

// DefaultPolicy returns the policy that groups are planned by, for
// dispatchers that rely on a proof for proofTTL.
func DefaultPolicy(proofTTL time.Duration) group.Policy {
	return group.Policy{
		ReportTTL:        proofTTL,
		ProofTTL:     proofTTL,
		MemberTimeout:  10 * time.Second,
		DrainTimeout: 10 * time.Minute,
		LoadTimeout:  30 * time.Minute,
		RetryBackoff:   30 * time.Second,
		ClaimDelay:     30 * time.Second,
		LossRate:     0.08,
		Replacement:  30 * time.Minute,
		Risk:         0.01,
	}
}

// Config configures a Controller.
type Config struct {
	// Node is the ID of the VM that the node runs on.
	Node string
	// Holder is unique to this start of the node's process.
	Holder string
	// Environment names the environment that the node serves. Environments
	// that share a table service must not share a fabric domain.
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
// RenewLeases and Step may run at the same time, each from one goroutine.
type Controller struct {
	config Config

	// The readers belong to Step.

	groups   *rowReader[group.Row]
	vms      *rowReader[group.VMRow]
	rollouts *rowReader[group.Rollout]

	mu      sync.Mutex
	domains map[string]*domain
}

// New returns a controller.
func New(c Config) *Controller {
	return &Controller{
		config:   c,
		groups:   newGroupReader(c.Environment),
		vms:      newVMReader(),
		rollouts: newRolloutReader(c.Environment),
		domains:  map[string]*domain{},
	}
}

// maxCalls bounds the calls in flight to the table service and to members.
const maxCalls = 32

// RenewLeases takes the next step of the lease of each fabric domain that this
// node is a candidate for.
func (c *Controller) RenewLeases(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for _, d := range c.candidates() {
		g.Go(func() error { return d.renew(ctx) })
	}
	return g.Wait()
}

// Step reads the rows, makes the groups known to the node, and takes the next
// steps in each fabric domain whose lease this node holds. A node that holds
// none reads nothing.
func (c *Controller) Step(ctx context.Context) error {
	if len(c.held()) == 0 {
		return nil
	}
	rows, err := c.read(ctx)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for _, d := range c.held() {
		g.Go(func() error { return d.step(ctx, rows) })
	}
	return g.Wait()
}

// HandOn gives up all leases so that other nodes take them at once. It returns
// when it has, or when ctx is done.
func (c *Controller) HandOn(ctx context.Context) error {
	var g errgroup.Group
	for _, d := range c.all() {
		g.Go(func() error { return d.handOn(ctx) })
	}
	return g.Wait()
}

// Holds returns the fabric domains whose leases the node holds.
func (c *Controller) Holds() []string {
	var names []string
	for _, d := range c.held() {
		names = append(names, d.name)
	}
	return names
}

func (c *Controller) all() []*domain {
	c.mu.Lock()
	defer c.mu.Unlock()

	var all []*domain
	for _, name := range slices.Sorted(maps.Keys(c.domains)) {
		all = append(all, c.domains[name])
	}
	return all
}

func (c *Controller) held() []*domain {
	now := c.config.Clock.Now()
	return slices.DeleteFunc(c.all(), func(d *domain) bool {
		_, ok := d.term(now)
		return !ok
	})
}

// candidates returns the domains that this node may hold the lease of, with
// the node's rank set. A domain that it holds stays until it is handed on.
func (c *Controller) candidates() []*domain {
	ranks := rank(c.config.Node, c.config.View.VMs(fleet.RoleBackend), c.config.View.VMs(fleet.RoleEntry))

	c.mu.Lock()
	for name, r := range ranks {
		d, ok := c.domains[name]
		if !ok {
			d = newDomain(c.config, name)
			c.domains[name] = d
		}
		d.setRank(r)
	}
	c.mu.Unlock()

	now := c.config.Clock.Now()
	return slices.DeleteFunc(c.all(), func(d *domain) bool {
		_, candidate := ranks[d.name]
		_, holds := d.term(now)
		return !candidate && !holds
	})
}

// snapshot is what one read of the rows returned.
type snapshot struct {
	groups   map[string]group.Versioned[group.Row]
	vms      map[string]group.Versioned[group.VMRow]
	rollouts map[string]group.Versioned[group.Rollout]
}

// read reads the rows of groups, and what a holder needs besides. Roll-outs
// are read before groups; see group.View.
func (c *Controller) read(ctx context.Context) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timing.Timeout)
	defer cancel()

	s := snapshot{}
	var err error
	if len(c.held()) > 0 {
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
	c.config.View.SetGroups(s.rows())
	return s, nil
}

// rows returns the rows of the groups.
func (s snapshot) rows() []group.Row {
	rows := make([]group.Row, 0, len(s.groups))
	for _, g := range s.groups {
		rows = append(rows, g.Value)
	}
	return rows
}
