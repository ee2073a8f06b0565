package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"almondbay.example/internal/node/clock"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/serving/event"
)

const (
	// checkInterval is the time between two looks at all attempts.
	checkInterval = 50 * time.Millisecond
	// controlInterval is the time between two steps of control.
	controlInterval = 200 * time.Millisecond
	// refreshInterval is the time between two sums of others' loads.
	refreshInterval = 40 * time.Millisecond
	// unreadyFor is how long connections are still taken after SIGTERM: the
	// balancer notices after two questions, a second apart.
	unreadyFor = 2300 * time.Millisecond
	// cutMargin is how long before SIGKILL what is left is cut.
	cutMargin = 300 * time.Millisecond
	// readHeaderTimeout bounds the reading of a request's head.
	readHeaderTimeout = 5 * time.Second
	// idleCallerTimeout is above the idle time that any configuration names, so
	// that it is callers who close.
	idleCallerTimeout = time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx is done, then ends gracefully.
func (n *Node) Run(ctx context.Context) error {
	s := n.config.Settings
	callers, err := n.listen("callers", s.CallerListen)
	if err != nil {
		return err
	}
	readiness, err := n.listen("readiness", s.ReadinessListen)
	if err != nil {
		return err
	}
	peers, err := n.listen("peers", net.JoinHostPort(s.Address.String(), strconv.Itoa(s.PeerPort)))
	if err != nil {
		return err
	}
	metrics, err := n.listen("metrics", net.JoinHostPort(s.Address.String(), strconv.Itoa(s.MetricsPort)))
	if err != nil {
		return err
	}
	var g run.Group
	n.addCallers(ctx, &g, callers)
	n.addReadiness(&g, readiness)
	n.addMetrics(&g, metrics)
	n.addServer(&g, peers, peerrelay.NewServer(peerrelay.ServerConfig{
		Clock:      n.config.Clock,
		Logs:       n.logs,
		QueryState: n.config.Orders.QueryState,
	}))
	g.Add(n.socket.Run, func(error) { _ = n.socket.Close() })
	n.addLoops(&g)
	n.addAnnounce(&g)
	n.addReload(&g)
	return g.Run()
}

// listen opens a listener.
func (n *Node) listen(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	event.NodeListening.Log(n.config.Logger, zap.String("listener", name), zap.String("address", l.Addr().String()))
	return l, nil
}

// addLoops adds what runs at intervals and what follows the store.
func (n *Node) addLoops(g *run.Group) {
	nodes, others := n.followers()
	n.addContext(g, nodes.Run)
	for _, f := range others {
		n.addContext(g, func(ctx context.Context) {
			if n.meet(ctx) {
				f.Run(ctx)
			}
		})
	}
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	n.addLoop(g, every(checkInterval), func(context.Context) error {
		n.handler.Check(n.config.Clock.Now())
		return nil
	})
	n.addLoop(g, every(refreshInterval), func(context.Context) error {
		n.board.Refresh(n.config.Clock.Now())
		n.refreshHeads()
		return nil
	})
	n.addLoop(g, every(demandInterval), n.measureDemand)
	n.addLoop(g, every(tellInterval), n.tell)
	n.addLoop(g, every(remoteInterval), n.tellRemote)
	n.addLoop(g, every(countInterval), func(context.Context) error {
		n.journal.flush()
		return nil
	})
	for _, step := range n.controller.Steps() {
		n.addLoop(g, every(controlInterval), func(ctx context.Context) error {
			if !n.meet(ctx) {
				return nil
			}
			return step(ctx)
		})
	}
}

const (
	// meetTimeout is how long a node that has just started waits for another of
	// its failure domain, from which it would rather read than from the store:
	// two reads of the table of nodes and an answer.
	meetTimeout = 1200 * time.Millisecond
	// meetInterval is the time between two looks.
	meetInterval = 40 * time.Millisecond
)

// meet waits until another node of the failure domain was heard of, for a
// limited time after the start. It returns false once ctx is done.
func (n *Node) meet(ctx context.Context) bool {
	for {
		now := n.config.Clock.Now()
		if now.Sub(n.startedAt) >= meetTimeout || len(n.members.Alive(n.config.Settings.FailureDomain, now)) > 0 {
			return true
		}
		if !clock.Sleep(ctx, n.config.Clock, meetInterval) {
			return false
		}
	}
}

// addCallers serves callers until ctx is done and all requests have ended.
func (n *Node) addCallers(ctx context.Context, g *run.Group, l net.Listener) {
	server := &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleCallerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	ended := make(chan struct{})
	g.Add(func() error {
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		<-ended
		return nil
	}, func(error) { _ = server.Close() })
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-stop.Done()
		n.drain(server)
		close(ended)
		return nil
	}, func(error) { cancel() })
}

// drain ends gracefully within the grace period.
func (n *Node) drain(server *http.Server) {
	begun := n.config.Clock.Now()
	event.NodeDraining.Log(n.config.Logger)
	n.stopping.Store(true)
	n.logReadiness()
	n.controller.ReleaseLeases()
	server.SetKeepAlivesEnabled(false)
	n.config.Clock.Sleep(unreadyFor)
	left := n.config.Settings.Bounds.Grace - cutMargin - n.config.Clock.Since(begun)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		event.StepFailed.Log(n.config.Logger, zap.String("error", "requests cut at the end of the grace period: "+err.Error()), zap.Int("failures", 1))
	}
}

// ready reports whether the node can serve, and if not why.
func (n *Node) ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case n.configuration.Load() == nil:
		return false, "no configuration known"
	case n.book.ReadAt().IsZero():
		return false, "no registrations known"
	default:
		return true, ""
	}
}

// logReadiness logs a change of readiness and returns it.
func (n *Node) logReadiness() bool {
	ready, cause := n.ready()
	if n.wasReady.Swap(ready) != ready {
		n.metrics.Ready.Set(number(ready))
		event.ReadinessChanged.Log(n.config.Logger, zap.Bool("ready", ready), zap.String("cause", cause))
	}
	return ready
}

// number returns 1 for true.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) addReadiness(g *run.Group, l net.Listener) {
	e := echo.New()
	e.GET(n.config.ReadyPath, func(c echo.Context) error {
		if !n.logReadiness() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	n.addServer(g, l, e)
}

// addMetrics serves the metrics.
func (n *Node) addMetrics(g *run.Group, l net.Listener) {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(n.metrics.Handler()))
	n.addServer(g, l, e)
}

// addServer serves h until the group ends.
func (n *Node) addServer(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return Error.Wrap(server.Serve(l)) }, func(error) { _ = server.Close() })
}

// addContext runs f until the group ends.
func (n *Node) addContext(g *run.Group, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		f(ctx)
		return nil
	}, func(error) { cancel() })
}

// addLoop runs step at once and then at each interval, until the group ends.
func (n *Node) addLoop(g *run.Group, interval func() time.Duration, step func(context.Context) error) {
	n.addContext(g, func(ctx context.Context) {
		failures := 0
		for {
			err := step(ctx)
			switch {
			case err == nil:
				failures = 0
			case ctx.Err() == nil:
				failures++
				n.journal.stepFailed(err, failures)
			}
			if !clock.Sleep(ctx, n.config.Clock, interval()) {
				return
			}
		}
	})
}

// addAnnounce writes this node's row, again until it is written.
func (n *Node) addAnnounce(g *run.Group) {
	n.addContext(g, func(ctx context.Context) {
		for failures := 1; ; failures++ {
			err := n.announce(ctx)
			if err != nil {
				n.journal.stepFailed(err, failures)
			}
			wait := retryMax
			if err == nil {
				wait = announceInterval
			}
			if !clock.Sleep(ctx, n.config.Clock, wait) {
				return
			}
		}
	})
}

// announceInterval is when a node writes its row again, in case somebody
// removed it.
const announceInterval = 10 * time.Minute

// addReload reads the settings again at SIGHUP.
func (n *Node) addReload(g *run.Group) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	n.addContext(g, func(ctx context.Context) {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				_, err := n.config.Reload()
				event.SettingsReloaded.Log(n.config.Logger, zap.Error(err))
			}
		}
	})
}

// observe takes in a request that has ended.
func (n *Node) observe(r ingress.Result) {
	n.serving.Store(true)
	n.measure(r)
	now := n.config.Clock.Now()
	n.journal.request(r, now.Sub(n.book.ReadAt()))
}

// measure counts a request that has ended.
func (n *Node) measure(r ingress.Result) {
	if c := n.configuration.Load(); c == nil || !c.HasModel(r.Model) {
		// Callers may name any model.
		r.Model = ""
	}
	n.metrics.Requests.WithLabelValues(r.Service, r.Model, string(r.Outcome), strconv.Itoa(r.Status)).Inc()
	n.metrics.Duration.WithLabelValues(r.Service, r.Model, string(r.Outcome)).Observe(r.Duration.Seconds())
	if r.FirstByte > 0 {
		n.metrics.FirstByte.WithLabelValues(r.Service, r.Model).Observe(r.FirstByte.Seconds())
	}
	if r.Events > 1 {
		n.metrics.Gap.WithLabelValues(r.Service, r.Model).Observe(r.MaxGap.Seconds())
	}
	for _, t := range r.Tries {
		n.metrics.Tries.WithLabelValues(r.Service, r.Model, string(t.End)).Inc()
	}
}
