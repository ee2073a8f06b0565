// Package control keeps the replica groups of each failure domain at their
// plan. One node at a time acts for a failure domain: the holder of its lease.
// The plan and the lease are rows of one part of the platform's store, and a
// plan is written only on condition that the lease has not changed.
package control

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"almondbay.example/core/lease"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("control")

// Table is what the controller needs of the store.
type Table interface {
	platform.Table
	platform.Committer
}

// State is what a server says of itself when asked.
type State struct {
	// Accepted is the number of orders that this life of the server has accepted.
	Accepted uint64
	// Incarnation is zero when the server doesn't say.
	Incarnation int64
	Group       registry.Membership
}

// Orders gives orders to backend servers.
type Orders interface {
	// Send gives one order and returns the status of its answer. The order takes
	// effect only if the server has accepted exactly so many before. An order
	// whose answer is lost may still be carried out.
	Send(ctx context.Context, o formation.Order, accepted, term uint64) (status int, err error)
	// QueryState asks a server for its state.
	QueryState(ctx context.Context, s registry.Server) (State, error)
}

// ProbeResult is what several nodes found when they asked a server for its state.
type ProbeResult struct {
	// Probed is the number of nodes that tried, this one included.
	Probed int
	// SameDomain is the number of those in the server's own failure domain. Nodes of
	// others may be cut off from it as a whole.
	SameDomain int
	// Reached is set when any of them got an answer, which State holds.
	Reached bool
	State   State
}

// Config configures a Controller.
type Config struct {
	// Clock goes on while the VM is suspended: leases hang on it.
	Clock  clockwork.Clock
	Logger *zap.Logger
	Table  Table
	Orders Orders
	// ProbeHead has several nodes ask a server for its state.
	ProbeHead     func(ctx context.Context, s registry.Server) ProbeResult
	Registrations *registry.Cache
	Configuration func() *routes.Configuration
	// Rank returns the place of this node among those that may act for a failure
	// domain; negative if it may not.
	Rank func(failureDomain string) int
	// Weights returns the part of the engines that each model should have.
	Weights func(e *routes.Engine) map[string]float64
	// Serving reports whether callers' requests have begun. Loads are short
	// before that.
	Serving func() bool
	// Holder is unique to this start of this node.
	Holder         string
	FailureDomains []string
	// In any LoadSpan all failure domains together may begin LoadSlack loads from
	// the weight store, and LoadOverrun times those that the rate of the weight
	// store gives. LoadWindow is LoadSpan with a margin for orders on their way.
	LoadSpan    time.Duration
	LoadWindow  time.Duration
	LoadOverrun float64
	LoadSlack   float64
	// Grace is how long a missing registration may return after an outage.
	Grace time.Duration
	// ProbeQuorum is the number of nodes that must have asked a head without a
	// registration in vain, twice, before its group counts as broken.
	ProbeQuorum int
	// UnreachableTimeout is how long a head without a registration must have been out of
	// reach before its group counts as broken though fewer nodes, or none of its
	// own failure domain, could be asked.
	UnreachableTimeout time.Duration
	Jitter             func(limit time.Duration) time.Duration
}

const (
	// leaseDuration bounds how long a failure domain is without a controller;
	// two renewals may fail in it.
	leaseDuration = 3 * time.Second
	// leaseMargin covers the drift of clocks and the time between the check of
	// the lease and the order that hangs on it.
	leaseMargin = 600 * time.Millisecond
	// leaseInterval makes three renewals of a lease.
	leaseInterval = 900 * time.Millisecond
	// maxTasks bounds the orders and questions of a failure domain that are under
	// way at once.
	maxTasks = 64
	// orderTimeout bounds one order; an answer takes one round trip.
	orderTimeout = time.Second
	// orderRepeat is when an order that had no visible effect is given again:
	// the order's timeout and two changes of the registration.
	orderRepeat = 1500 * time.Millisecond
	// closeTimeout is how long a closing head may finish its requests: a
	// member that leaves stays for as long as ten seconds.
	closeTimeout = 6 * time.Second
)

// Controller acts for the failure domains whose leases it holds.
type Controller struct {
	config  Config
	domains []*domain
}

// New returns a controller.
func New(c Config) *Controller {
	controller := &Controller{config: c}
	for _, d := range c.FailureDomains {
		next := &domain{
			config: c,
			name:   d,
			candidate: lease.New(lease.Config{
				FabricDomain: d,
				Holder:       c.Holder,
				Duration:     leaseDuration,
				Margin:       leaseMargin,
				Interval:     leaseInterval,
				Jitter:       c.Jitter,
			}),
			given:    map[orderKey]time.Time{},
			loading:  map[string]load{},
			missing:  map[string]missingHead{},
			accepted: map[string]acceptance{},
		}
		next.tasks.SetLimit(maxTasks)
		controller.domains = append(controller.domains, next)
	}
	return controller
}

// Steps returns a step function for each failure domain, to be called
// several times a second and not concurrently with itself.
func (c *Controller) Steps() []func(context.Context) error {
	steps := make([]func(context.Context) error, 0, len(c.domains))
	for _, d := range c.domains {
		steps = append(steps, d.step)
	}
	return steps
}

// HeldLease is a lease row with its version in the store.
type HeldLease struct {
	lease.Row
	Version uint64
}

// HeldLeases returns the leases that this node holds, to be told to the others.
func (c *Controller) HeldLeases() []HeldLease {
	var held []HeldLease
	for _, d := range c.domains {
		if l := d.held.Load(); l != nil {
			held = append(held, *l)
		}
	}
	return held
}

// ObserveLease takes in a lease as its holder tells of it. It saves the nodes that wait
// for the lease from reading the store while the holder lives; it never makes a
// lease look free.
func (c *Controller) ObserveLease(l HeldLease) {
	for _, d := range c.domains {
		if d.name == l.FabricDomain {
			d.told.Store(&l)
		}
	}
}

// ReleaseLeases hands all leases on. The step functions must go on until it is done.
func (c *Controller) ReleaseLeases() {
	for _, d := range c.domains {
		d.releasing.Store(true)
	}
}
