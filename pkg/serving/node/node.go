// Package node assembles one node from its parts: the gateway for callers, the
// admin API, the protocol between nodes, the loops that refresh the node's view of
// the fleet, and the controller of replica groups.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"almondbay.example/core/burn"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/certificate"
	"almondbay.example/serving/control"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/operator"
	"almondbay.example/serving/peer"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/service"
	"almondbay.example/serving/settings"
	"almondbay.example/serving/view"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

const (
	// reportTTL is the age beyond which a member's report no longer proves that it
	// serves.
	reportTTL = 2 * time.Second
	// probeInterval is the time between two health checks of a member.
	probeInterval = 500 * time.Millisecond
	// controlInterval is the time between two steps of the controller.
	controlInterval = 500 * time.Millisecond
	// leaseInterval is the time between two checks of the leases. Most checks find
	// no lease to acquire or renew.
	leaseInterval = 250 * time.Millisecond
	// leaseHandoverTimeout bounds the handover of the leases at shutdown.
	leaseHandoverTimeout = 5 * time.Second
	// heartbeatInterval is the time between two exchanges of state with a peer.
	heartbeatInterval = time.Second
	// revisionPollInterval is the time between two reads of the environment.
	revisionPollInterval = 500 * time.Millisecond
	// scheduleInterval is the time between two refreshes of the schedulers, which
	// also refuse the requests that have waited too long.
	scheduleInterval = 50 * time.Millisecond
	// flushInterval is the time between two reports of slot events to the nodes
	// that own the slots.
	flushInterval = 20 * time.Millisecond
	// fleetInterval is the time between two reads of the list of VMs, the rows of
	// replica groups and the drains, from the platform or a peer.
	fleetInterval = 500 * time.Millisecond
	// certificateInterval is the time between two reads of a certificate's
	// files.
	certificateInterval = 5 * time.Second
	// maxCommandAttempts bounds the attempts of an operator's command.
	maxCommandAttempts = 4
	// commandRetryDelay is the time between two attempts of an operator's command.
	commandRetryDelay = 250 * time.Millisecond
	// groupCheckInterval is the time between two checks for attempts on groups that
	// lost a member or changed.
	groupCheckInterval = 200 * time.Millisecond
	// quarantineInterval is the time between two reads of the quarantined
	// requests.
	quarantineInterval = 5 * time.Second
	// readHeaderTimeout bounds the time to receive the headers of a request on the
	// admin and peer listeners.
	readHeaderTimeout = 10 * time.Second
)

// Config configures a Node.
type Config struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Table    platform.Table
	Objects  platform.Objects
	VMs      platform.VMs
	Engine   engine.Engine
	// Callers and Operators are the listeners of the caller API and the admin API.
	Callers   net.Listener
	Operators net.Listener
	// Peers is the listener for other nodes; nil for a node without peers.
	Peers net.Listener
	// PeerDial connects to other nodes over TLS; nil if nodes use plain HTTP.
	PeerDial func(ctx context.Context, network, address string) (net.Conn, error)
	// Certificates are the certificates of the listeners. They are reloaded
	// periodically.
	Certificates []*certificate.Store
	// Linger is the time for which the node still accepts connections after a stop
	// signal. Zero means the default and a negative value means none.
	Linger time.Duration
}

// Node is one node of the system.
type Node struct {
	config          Config
	guard           *platform.Guard
	view            *view.View
	schedulerPicker *caller.SchedulerPicker
	ownerPicker     *caller.OwnerPicker
	gateway         *caller.Gateway
	operators       *operator.API
	controller      *control.Controller
	store           *environment.Store
	drains          *drain.Store
	directory       *directory
	// quarantineReadAt is when loadQuarantine last read the platform.
	quarantineReadAt time.Time
	relay            *peer.Relay
	platform         *platformMonitor
	observer         *observer
}

// New assembles a node.
func New(c Config) *Node {
	v := view.New(reportTTL)
	guard := newGuard(c)
	forControl := guarded(c, guard, platform.PriorityControl)
	n := &Node{
		config:     c,
		guard:      guard,
		view:       v,
		controller: newController(forControl, v),
		store:      NewStore(forControl),
		drains:     drain.New(drain.Config{Table: forControl.Table, Clock: c.Clock}),
		directory:  newNodeDirectory(guarded(c, guard, platform.PriorityBackground), v),
		platform:   &platformMonitor{clock: c.Clock, logger: c.Logger},
		observer:   &observer{clock: c.Clock, view: v, recorder: burn.NewRecorder()},
	}
	n.schedulerPicker = caller.NewSchedulerPicker(caller.SchedulerPickerConfig{
		View:          v,
		Clock:         c.Clock,
		FailureDomain: c.Settings.FailureDomain,
		Seed:          rand.Uint64(),
		Owns:          n.owns,
	})
	n.relay = peer.New(n.relayConfig())
	n.ownerPicker = caller.NewOwnerPicker(caller.OwnerPickerConfig{
		Node: c.Settings.Node, Local: n.schedulerPicker, Owners: n.relay, Logger: c.Logger,
	})
	metrics := metric.New(metric.Config{Clock: c.Clock, Status: n.Status, Burn: n.observer.report})
	n.observer.metrics = metrics
	n.gateway = caller.New(n.gatewayConfig())
	n.operators = operator.New(operator.Config{
		Operators:  c.Settings.Operator.Operators,
		Store:      n.store,
		Drains:     n.drains,
		Clock:      c.Clock,
		Logger:     c.Logger,
		Status:     n.Status,
		OnAccepted: n.accepted,
		Burn:       n.burn,
		Metrics:    metrics.Handler(),
	})
	return n
}

func (n *Node) gatewayConfig() caller.Config {
	c := n.config
	return caller.Config{
		View:          n.view,
		Clock:         c.Clock,
		Picker:        n.gatewayPicker(),
		Engine:        c.Engine,
		Service:       service.NewClient(),
		Table:         n.guard.Table(platform.PriorityBooking),
		FailureDomain: c.Settings.FailureDomain,
		Observer:      n.observer,
		Peers:         n.relay,
		Limits: caller.Limits{
			Connections:  c.Settings.Limits.Connections,
			Requests:     c.Settings.Limits.Requests,
			BodyTimeout:  c.Settings.Limits.BodyTimeout,
			StallTimeout: c.Settings.Limits.StallTimeout,
			Linger:       c.Linger,
		},
	}
}

// gatewayPicker returns the picker of the gateway. A node with a peer listener
// acquires slots from the owner of each model; a node without one schedules all
// models itself.
func (n *Node) gatewayPicker() caller.Picker {
	if n.config.Peers == nil {
		return n.schedulerPicker
	}
	return n.ownerPicker
}

// owns reports whether this node schedules a model for its failure domain.
func (n *Node) owns(model string) bool {
	if n.config.Peers == nil {
		return false
	}
	_, isSelf := n.relay.Owner(model)
	return isSelf
}

// NewStore returns the store of environments on the platform.
func NewStore(c Config) *environment.Store {
	return environment.New(environment.Config{
		Table:      c.Table,
		Objects:    c.Objects,
		Clock:      c.Clock,
		Attempts:   maxCommandAttempts,
		RetryDelay: commandRetryDelay,
	})
}

func newController(c Config, v *view.View) *control.Controller {
	return control.New(control.Config{
		Node:        c.Settings.Node,
		Holder:      c.Settings.Node + "/" + uuid.NewString(),
		Environment: c.Settings.Environment,
		View:        v,
		Table:       c.Table,
		Engine:      c.Engine,
		Clock:       c.Clock,
		Logger:      c.Logger,
		Timing:      control.DefaultTiming(),
		Policy:      control.DefaultPolicy(reportTTL),
		Jitter:      rand.N[time.Duration],
	})
}

func newNodeDirectory(c Config, v *view.View) *directory {
	return newDirectory(directoryConfig{
		ID:          c.Settings.Node + "/" + uuid.NewString(),
		Environment: c.Settings.Environment,
		Clock:       c.Clock,
		Table:       c.Table,
		VMs:         c.VMs,
		View:        v,
	})
}
