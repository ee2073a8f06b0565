// Package node assembles one node: the gateway for callers, the admin API,
// the loops that learn about the fleet and the controller.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"almondbay.example/core/burn"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/certificate"
	"almondbay.example/serving/control"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/event"
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
	// proofTTL is the age beyond which a member's report proves nothing.
	proofTTL = 2 * time.Second
	// probeInterval is the time between two health questions to a member.
	probeInterval = 500 * time.Millisecond
	// controlInterval is the time between two steps of the controller.
	controlInterval = 500 * time.Millisecond
	// leaseInterval is the time between two looks at the leases; most of them
	// find nothing to do.
	leaseInterval = 250 * time.Millisecond
	// handOnTimeout bounds the wait for the leases to be handed on at shutdown.
	handOnTimeout = 5 * time.Second
	// heartbeatInterval is the time between two comparisons of notes with a peer.
	heartbeatInterval = time.Second
	// configurationInterval is the time between two reads of the environment.
	configurationInterval = 500 * time.Millisecond
	// scheduleInterval is the time between two reviews of waiting requests.
	scheduleInterval = 50 * time.Millisecond
	// flushInterval is the time between two messages to the owners of slots.
	flushInterval = 20 * time.Millisecond
	// listInterval is the time between two reads of the list of VMs.
	listInterval = 2 * time.Second
	// certificateInterval is the time between two reads of a certificate's
	// files.
	certificateInterval = 5 * time.Second
	// commandAttempts bounds the tries of an operator's command.
	commandAttempts = 4
	// commandPause is the time between two tries of an operator's command.
	commandPause = 250 * time.Millisecond
	// reviewInterval is the time between two looks for lost groups.
	reviewInterval = 200 * time.Millisecond
	// quarantineInterval is the time between two reads of the quarantined
	// requests.
	quarantineInterval = 5 * time.Second
	// readHeaderTimeout bounds the time that a caller takes to send its head.
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
	// Callers and Operators are the listeners of the APIs for each.
	Callers   net.Listener
	Operators net.Listener
	// Peers is the listener for other nodes; nil for a node that has none.
	Peers net.Listener
	// PeerDial connects to other nodes over TLS; nil where they speak plain
	// HTTP.
	PeerDial func(ctx context.Context, network, address string) (net.Conn, error)
	// Certificates are the certificates of the listeners, to be kept fresh.
	Certificates []*certificate.Store
	// Linger is how long the node takes connections after it was told to stop;
	// zero for the default, negative for not at all.
	Linger time.Duration
}

// Node is one node of the system.
type Node struct {
	config     Config
	guard      *platform.Guard
	view       *view.View
	picker     *caller.Scheduled
	owned      *caller.Owned
	gateway    *caller.Gateway
	operators  *operator.API
	controller *control.Controller
	store      *environment.Store
	drains     *drain.Store
	// drainsReadAt is when refreshDrains last read the platform.
	drainsReadAt time.Time
	relay        *peer.Relay
	platform     *platformWatch
	observer     *observer
}

// New assembles a node.
func New(c Config) *Node {
	v := view.New(proofTTL)
	guard := newGuard(c)
	n := &Node{
		config:     c,
		guard:      guard,
		view:       v,
		controller: control.New(controlConfig(guarded(c, guard, platform.PriorityControl), v)),
		store:      NewStore(guarded(c, guard, platform.PriorityControl)),
		drains:     drain.New(drain.Config{Table: guard.Table(platform.PriorityBackground), Clock: c.Clock}),
		platform:   &platformWatch{clock: c.Clock, logger: c.Logger},
		observer:   &observer{clock: c.Clock, view: v, recorder: burn.NewRecorder()},
	}
	n.picker = caller.NewScheduled(caller.ScheduledConfig{
		View:          v,
		Clock:         c.Clock,
		FailureDomain: c.Settings.FailureDomain,
		Seed:          rand.Uint64(),
		Owns:          n.owns,
	})
	n.relay = peer.New(n.relayConfig())
	n.owned = caller.NewOwned(caller.OwnedConfig{
		Node: c.Settings.Node, Local: n.picker, Owners: n.relay, Logger: c.Logger,
	})
	metrics := metric.New(metric.Config{Clock: c.Clock, Status: n.Status, Burn: n.observer.report})
	n.observer.metrics = metrics
	n.gateway = caller.New(n.gatewayConfig())
	n.operators = operator.New(operator.Config{
		Operators: c.Settings.Operator.Operators,
		Store:     n.store,
		Drains:    n.drains,
		Clock:     c.Clock,
		Logger:    c.Logger,
		Status:    n.Status,
		Accepted:  n.accepted,
		Burn:      n.burn,
		Metrics:   metrics.Handler(),
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

// gatewayPicker returns the picker of the gateway: a node that others can reach
// takes part in the division of models among owners.
func (n *Node) gatewayPicker() caller.Picker {
	if n.config.Peers == nil {
		return n.picker
	}
	return n.owned
}

// owns tells whether this node schedules a model for its failure domain.
func (n *Node) owns(model string) bool {
	if n.config.Peers == nil {
		return false
	}
	_, isSelf := n.relay.Owner(model)
	return isSelf
}

// NewStore returns the store of the environments that a node reads.
func NewStore(c Config) *environment.Store {
	return environment.New(environment.Config{
		Table:    c.Table,
		Objects:  c.Objects,
		Clock:    c.Clock,
		Attempts: commandAttempts,
		Pause:    commandPause,
	})
}

func controlConfig(c Config, v *view.View) control.Config {
	return control.Config{
		Node:        c.Settings.Node,
		Holder:      c.Settings.Node + "/" + uuid.NewString(),
		Environment: c.Settings.Environment,
		View:        v,
		Table:       c.Table,
		Engine:      c.Engine,
		Clock:       c.Clock,
		Logger:      c.Logger,
		Timing:      control.DefaultTiming(),
		Policy:      control.DefaultPolicy(proofTTL),
		Jitter:      rand.N[time.Duration],
	}
}

// Run serves until ctx is done, then waits for the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	callers := n.gateway.Server()
	n.addServer(&g, n.config.Callers, callers, func(ctx context.Context) error {
		return n.gateway.Stop(ctx, callers)
	})
	operators := &http.Server{Handler: n.operators, ReadHeaderTimeout: readHeaderTimeout}
	n.addServer(&g, n.config.Operators, operators, operators.Shutdown)
	n.addLoop(&g, scheduleInterval, n.picker.Refresh)
	n.addLoop(&g, flushInterval, n.owned.Flush)
	n.addLoop(&g, listInterval, n.refreshVMs)
	n.addLoop(&g, configurationInterval, n.relay.Poll)
	n.addLoop(&g, heartbeatInterval, n.heartbeat)
	n.addLoop(&g, probeInterval, n.probe)
	n.addLoop(&g, controlInterval, n.controller.Step)
	n.addLoop(&g, reviewInterval, n.gateway.Review)
	n.addLoop(&g, quarantineInterval, n.gateway.LoadQuarantine)
	n.addLeases(&g)
	if n.config.Peers != nil {
		peers := n.peerServer()
		n.addServer(&g, n.config.Peers, peers, peers.Shutdown)
	}
	for _, store := range n.config.Certificates {
		n.addLoop(&g, certificateInterval, store.Reload)
	}
	n.addContext(ctx, &g)
	return g.Run()
}

// addContext ends the group when ctx is done.
func (n *Node) addContext(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-ctx.Done()
		event.NodeDraining.Log(n.config.Logger)
		return nil
	}, func(error) { cancel() })
}

// addServer runs server until the group ends, then stops it by drain.
func (n *Node) addServer(g *run.Group, l net.Listener, server *http.Server, drain func(context.Context) error) {
	drained := make(chan struct{})
	g.Add(func() error {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		<-drained
		return nil
	}, func(error) {
		defer close(drained)
		// Only a second signal cuts requests in flight.
		_ = drain(context.Background())
	})
}

// addLoop runs step at once and then at each interval, until the group ends.
func (n *Node) addLoop(g *run.Group, interval time.Duration, step func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		n.loop(ctx, interval, step)
		return nil
	}, func(error) { cancel() })
}

// addLeases keeps the leases until the group ends, and then hands them on.
func (n *Node) addLeases(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		n.loop(ctx, leaseInterval, n.controller.RenewLeases)
		ending, stop := context.WithTimeout(context.Background(), handOnTimeout)
		defer stop()
		if err := n.controller.HandOn(ending); err != nil {
			event.LeasesKept.Log(n.config.Logger, zap.Error(err))
		}
		return nil
	}, func(error) { cancel() })
}

// loop runs step at once and then at each interval, until ctx is done. Of the
// failures in a row the first, second, fourth and so on are logged, so that an
// outage does not fill the log.
func (n *Node) loop(ctx context.Context, interval time.Duration, step func(context.Context) error) {
	ticker := n.config.Clock.NewTicker(interval)
	defer ticker.Stop()
	failures := 0
	for {
		err := step(ctx)
		switch {
		case err == nil:
			failures = 0
		case ctx.Err() == nil:
			failures++
			n.logFailure(err, failures)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (n *Node) logFailure(err error, failures int) {
	isPowerOfTwo := failures&(failures-1) == 0
	if !isPowerOfTwo {
		return
	}
	event.StepFailed.Log(n.config.Logger, zap.String("error", err.Error()), zap.Int("failures", failures))
}
