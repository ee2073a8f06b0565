// Package control reconciles the replica groups of each failure domain with
// their plan. One node at a time controls a failure domain: the holder of its
// lease. The plan and the lease are rows in the same partition of the platform's
// store, and a plan is written only on condition that the lease is unchanged.
package control

import (
	"context"
	"errors"
	"fmt"
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

// Table is the part of the store's interface that the controller uses.
type Table interface {
	platform.Table
	platform.Committer
}

// State is a server's reply to a state query.
type State struct {
	// Accepted is the number of orders that this incarnation of the server has
	// accepted.
	Accepted uint64
	// Incarnation is zero if the server doesn't report it.
	Incarnation int64
	Group       registry.Membership
	// Leaving is set when the server states that it is about to shut down.
	Leaving bool
}

// ErrOtherServer is the error of a state query that another server answered: the one
// that was asked is no longer at its address.
var ErrOtherServer = errors.New("another server answered")

// StatusError reports a server that answered a state query with an unexpected status.
type StatusError struct {
	Server string
	Status int
	// Leaving is set when the server states that it is about to shut down.
	Leaving bool
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("query state of server %q: status %d", e.Server, e.Status)
}

// Orders sends orders and state queries to backend servers.
type Orders interface {
	// Send sends one order and returns the HTTP status of the reply, zero without
	// one. The server executes the order only if it has accepted exactly the given
	// number of orders before. An order whose reply is lost may still be executed.
	Send(ctx context.Context, o formation.Order, accepted, term uint64) (status int, err error)
	// QueryState queries the state of a server.
	QueryState(ctx context.Context, s registry.Server) (State, error)
}

// ProbeResult combines the results of several nodes that queried the state of a
// server. Each node that answered counts in one of Replies, Refused, Unclear and Witnesses,
// or in none if it may be cut off from the server.
type ProbeResult struct {
	// Probed is the number of nodes that sent a query, including this node.
	Probed int
	// Replies holds the replies of the server that they got.
	Replies []State
	// Refused is the number of nodes whose connection the server's address refused, or
	// that got a reply of another server there. The server accepts nothing new then, but
	// may still work on what it accepted before.
	Refused int
	// Unclear is the number of nodes at which something at the server's address reacted in
	// another way. The server may live.
	Unclear int
	// Witnesses is the number of nodes that saw no reaction although they reached another
	// server of its failure domain.
	Witnesses int
}

// Config configures a Controller.
type Config struct {
	// Clock must advance while the VM is suspended, since lease expiry depends on
	// it.
	Clock  clockwork.Clock
	Logger *zap.Logger
	Table  Table
	Orders Orders
	// ProbeHead lets several nodes query the state of a head.
	ProbeHead     func(ctx context.Context, s registry.Server) ProbeResult
	Registrations *registry.Cache
	Configuration func() *routes.Configuration
	// Rank returns the rank of this node among the candidates for the lease of a
	// failure domain, or a negative number if it isn't one.
	Rank func(failureDomain string) int
	// Weights returns the fraction of the engines that each model should have.
	Weights func(e *routes.Engine) map[string]float64
	// Serving reports whether callers have begun to send requests. Until then, the
	// limit on concurrent loads doesn't apply and LoadWindow is shortened.
	Serving func() bool
	// Holder identifies this node in leases. It is unique for each start.
	Holder         string
	FailureDomains []string
	// In any interval of length LoadSpan, all failure domains together may start
	// LoadSlack loads from the weight store, plus LoadOverrun times the number that
	// the rate of the weight store allows. LoadWindow is LoadSpan plus a margin for
	// orders in transit.
	LoadSpan    time.Duration
	LoadWindow  time.Duration
	LoadOverrun float64
	LoadSlack   float64
	// Grace is how long a server whose registration is missing still counts as
	// registered after an outage of the store.
	Grace time.Duration
	// UnreachableTimeout is how long a head without a registration must have been
	// unreachable before it counts as stopped even though the nodes that probed it may be
	// cut off from it, or its address isn't known.
	UnreachableTimeout time.Duration
	// GroupStall is how long a group that lacks a member stands still before it is broken;
	// zero if that isn't known.
	GroupStall time.Duration
	Jitter     func(limit time.Duration) time.Duration
}

const (
	// leaseDuration limits how long a failure domain has no controller. Two
	// renewals in a row may fail before the lease expires.
	leaseDuration = 3 * time.Second
	// leaseMargin covers clock drift and the time between checking the lease and
	// sending an order that depends on it.
	leaseMargin = 600 * time.Millisecond
	// leaseInterval is the time between renewals: three per lease duration.
	leaseInterval = 900 * time.Millisecond
	// maxTasks limits the concurrent orders and probes of a failure domain.
	maxTasks = 64
	// orderTimeout limits the time for one order, which takes one round trip.
	orderTimeout = time.Second
	// orderRepeat is the time after which an order without a visible effect is sent
	// again. It covers the order's timeout and two updates of the registration.
	orderRepeat = 1500 * time.Millisecond
	// closeTimeout is the time that a closing head has to finish its requests. It is
	// shorter than the ten seconds for which a leaving member keeps running at most.
	closeTimeout = 6 * time.Second
)

// Controller controls the failure domains whose leases it holds.
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
			sentAt:      map[orderKey]time.Time{},
			loading:     map[string]load{},
			probes:      map[string]*headProbe{},
			orderCounts: map[string]acceptedOrders{},
		}
		next.tasks.SetLimit(maxTasks)
		controller.domains = append(controller.domains, next)
	}
	return controller
}

// DomainStep steps the control of one failure domain.
type DomainStep struct {
	// Step must be called several times a second while Involved reports true, and
	// not concurrently with itself.
	Step func(context.Context) error
	// Involved reports whether this node holds the lease or may compete for it.
	Involved func() bool
}

// Steps returns the steps of all failure domains.
func (c *Controller) Steps() []DomainStep {
	steps := make([]DomainStep, 0, len(c.domains))
	for _, d := range c.domains {
		steps = append(steps, DomainStep{Step: d.step, Involved: d.involved})
	}
	return steps
}

// HeldLease is a lease row with its version in the store. Package lease names the
// leased domain FabricDomain; here it is a failure domain.
type HeldLease struct {
	lease.Row
	Version uint64
}

// HeldLeases returns the leases that this node holds, for announcement to the
// other nodes.
func (c *Controller) HeldLeases() []HeldLease {
	var held []HeldLease
	for _, d := range c.domains {
		if l := d.heldLease.Load(); l != nil {
			held = append(held, *l)
		}
	}
	return held
}

// ObserveLease records a lease announced by its holder. Announcements save the
// other candidates from reading the store while the holder is alive. They never
// make a lease appear free.
func (c *Controller) ObserveLease(l HeldLease) {
	for _, d := range c.domains {
		if d.name == l.FabricDomain {
			d.observedLease.Store(&l)
		}
	}
}

// ReleaseLeases starts the release of all leases. The step functions must still
// be called until HeldLeases returns none.
func (c *Controller) ReleaseLeases() {
	for _, d := range c.domains {
		d.releasing.Store(true)
	}
}
