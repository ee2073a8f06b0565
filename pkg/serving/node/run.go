package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"almondbay.example/serving/event"
)

// Run serves until ctx is done, then waits for the requests in flight to end.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	callers := n.gateway.Server()
	n.addServer(&g, n.config.Callers, callers, func(ctx context.Context) error {
		return n.gateway.Stop(ctx, callers)
	})
	operators := newInternalServer(n.operators)
	n.addServer(&g, n.config.Operators, operators, operators.Shutdown)
	n.addLoop(&g, scheduleInterval, n.schedulerPicker.Refresh)
	n.addLoop(&g, flushInterval, n.ownerPicker.Flush)
	n.addLoop(&g, fleetInterval, n.refreshFleet)
	n.addLoop(&g, revisionPollInterval, n.relay.Poll)
	n.addLoop(&g, heartbeatInterval, n.heartbeat)
	n.addLoop(&g, probeInterval, n.probe)
	n.addLoop(&g, controlInterval, n.controller.Step)
	n.addLoop(&g, groupCheckInterval, n.gateway.CheckGroups)
	n.addLoop(&g, quarantineInterval, n.loadQuarantine)
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

// addContext adds an actor that ends the group when ctx is done.
func (n *Node) addContext(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-ctx.Done()
		event.NodeDraining.Log(n.config.Logger)
		return nil
	}, func(error) { cancel() })
}

// addServer adds an actor that runs server until the group ends, and then shuts it
// down by calling drain.
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
		// The drain has no deadline: only a second signal to the process interrupts
		// requests in flight.
		_ = drain(context.Background())
	})
}

// addLoop adds an actor that runs step at once and then at each interval, until
// the group ends.
func (n *Node) addLoop(g *run.Group, interval time.Duration, step func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		n.loop(ctx, interval, step)
		return nil
	}, func(error) { cancel() })
}

// addLeases adds an actor that renews the leases until the group ends, and then
// hands them over to other nodes.
func (n *Node) addLeases(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		n.loop(ctx, leaseInterval, n.controller.RenewLeases)
		handoverCtx, stop := context.WithTimeout(context.Background(), leaseHandoverTimeout)
		defer stop()
		if err := n.controller.ReleaseLeases(handoverCtx); err != nil {
			event.LeasesNotReleased.Log(n.config.Logger, zap.Error(err))
		}
		return nil
	}, func(error) { cancel() })
}

// loop runs step at once and then at each interval, until ctx is done.
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

// logFailure logs the error of a step. It skips most of a long series of
// consecutive failures.
func (n *Node) logFailure(err error, failures int) {
	if !event.ShouldLog(failures) {
		return
	}
	event.StepFailed.Log(n.config.Logger, zap.String("error", err.Error()), zap.Int("failures", failures))
}
