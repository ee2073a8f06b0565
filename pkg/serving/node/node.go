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

	"almondbay.example/serving/caller"
	"almondbay.example/serving/control"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/event"
	"almondbay.example/serving/operator"
	"almondbay.example/serving/platform"
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
	// configurationInterval is the time between two reads of the environment.
	configurationInterval = 500 * time.Millisecond
	// listInterval is the time between two reads of the list of VMs.
	listInterval = 2 * time.Second
	// drainTimeout bounds the wait for requests in flight at shutdown.
	drainTimeout = 10 * time.Minute
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
	// Callers and Operators are the listeners of the two APIs.
	Callers   net.Listener
	Operators net.Listener
}

// Node is one node of the system.
type Node struct {
	config     Config
	view       *view.View
	gateway    *caller.Gateway
	operators  *operator.API
	controller *control.Controller
}

// New assembles a node.
func New(c Config) *Node {
	v := view.New(proofTTL)
	return &Node{
		config: c,
		view:   v,
		gateway: caller.New(caller.Config{
			View:   v,
			Picker: caller.NewLeastInFlight(v, c.Clock),
			Engine: c.Engine,
		}),
		operators:  operator.New(operatorConfig(c)),
		controller: control.New(controlConfig(c, v)),
	}
}

func operatorConfig(c Config) operator.Config {
	return operator.Config{
		Environment: c.Settings.Environment,
		KeyHashes:   c.Settings.Operator.KeyHashes,
		Table:       c.Table,
		Objects:     c.Objects,
	}
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
		Timing:      control.DefaultTiming(),
		Policy:      control.DefaultPolicy(proofTTL),
		Jitter:      rand.N[time.Duration],
	}
}

// Run serves until ctx is done, then waits for the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	n.addServer(&g, n.config.Callers, n.gateway)
	n.addServer(&g, n.config.Operators, n.operators)
	n.addLoop(&g, listInterval, n.refreshVMs)
	n.addLoop(&g, configurationInterval, n.refreshDocument)
	n.addLoop(&g, probeInterval, n.probe)
	n.addLoop(&g, controlInterval, n.controller.Step)
	n.addLeases(&g)
	addContext(ctx, &g)
	return g.Run()
}

// addContext ends the group when ctx is done.
func addContext(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// addServer serves handler until the group ends, then drains it.
func (n *Node) addServer(g *run.Group, l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
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
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
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
			n.config.Logger.Warn("leases not handed on", zap.Error(err))
		}
		return nil
	}, func(error) { cancel() })
}

// loop runs step at once and then at each interval, until ctx is done.
func (n *Node) loop(ctx context.Context, interval time.Duration, step func(context.Context) error) {
	ticker := n.config.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := step(ctx); err != nil && ctx.Err() == nil {
			event.StepFailed.Log(n.config.Logger, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}
