package entry

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/node/clock"
	"almondbay.example/internal/node/recovery"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/caller"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/serving/event"
)

const (
	// controlInterval is the time between two steps of the controller.
	controlInterval = 200 * time.Millisecond
	// drainDelay is how long connections are still accepted after SIGTERM. The
	// load balancer stops routing after two failed readiness probes, a second
	// apart.
	drainDelay = 2300 * time.Millisecond
	// killMargin is how long before SIGKILL the remaining requests are aborted.
	killMargin = 300 * time.Millisecond
	// readHeaderTimeout limits the time to read a request's headers.
	readHeaderTimeout = 5 * time.Second
	// idleCallerTimeout exceeds the idle time of any configuration, so that callers
	// close idle connections first.
	idleCallerTimeout = time.Minute
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx is done, then drains requests in flight and returns.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	s := n.config.Settings
	limits := NewLimits(s.Descriptors, s.MemoryBytes)
	callers, err := n.listen(ctx, "callers", s.CallerListen, limits.Callers, n.handler)
	if err != nil {
		return err
	}
	readiness, err := n.listen(ctx, "readiness", s.ReadinessListen, limits.Readiness, nil)
	if err != nil {
		return err
	}
	peers, err := n.listen(ctx, "peers", net.JoinHostPort(s.Address.String(), strconv.Itoa(s.PeerPort)), limits.Peers, nil)
	if err != nil {
		return err
	}
	metrics, err := n.listen(ctx, "metrics", net.JoinHostPort(s.Address.String(), strconv.Itoa(s.MetricsPort)), limits.Metrics, nil)
	if err != nil {
		return err
	}
	n.handler.SetRoom(callers)
	n.addLoop(&g, every(caller.SweepInterval), func(context.Context) error {
		for _, l := range []*caller.Listener{callers, readiness, peers, metrics} {
			l.Sweep()
		}
		return nil
	})
	n.addCallers(ctx, &g, callers)
	n.addReadiness(&g, readiness)
	n.addMetrics(&g, metrics)
	n.addServer(&g, peers, peerrelay.NewServer(peerrelay.ServerConfig{
		Clock:  n.config.Clock,
		Logs:   n.tableLogs,
		Prober: n.prober(),

		Knowledge: n.knowledge,
	}))
	g.Add(n.socket.Run, func(error) { _ = n.socket.Close() })
	n.addLoops(&g)
	n.addAnnounce(&g)
	n.addReload(&g)
	return g.Run()
}

// every returns a constant interval.
func every(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// addLoops adds the periodic tasks and the followers of the store's tables.
func (n *Node) addLoops(g *run.Group) {
	nodes, others := n.followers()
	n.addTask(g, nodes.Run)
	for _, f := range others {
		n.addTask(g, func(ctx context.Context) {
			if n.waitForPeer(ctx) {
				f.Run(ctx)
			}
		})
	}
	n.addLoop(g, every(reportInterval), func(ctx context.Context) error {
		now := n.config.Clock.Now()
		n.watch.run("check of requests in flight", func() { n.handler.Check(now) })
		n.watch.run("refresh of loads", func() {
			n.board.Refresh(now, balance.ReportAge{
				Peer:   n.peers.MaxLoadAge() + reportInterval,
				Domain: domainReportInterval + reportInterval,
			})
		})
		n.watch.run("refresh of heads", n.refreshHeads)
		n.watch.run("match of losses", func() { n.matchLosses(ctx, now) })
		n.watch.run("questions to servers in doubt", func() { n.askInDoubt(ctx, now) })
		return n.sendReport(ctx)
	})
	n.addLoop(g, every(demandInterval), n.sampleDemand)
	n.addLoop(g, every(reportInterval), n.sendDomainReport)
	n.addLoop(g, every(suspectsInterval), n.saveSuspects)
	n.addLoop(g, every(contactInterval), n.learnFromPeers)
	n.addLoop(g, every(summaryInterval), func(context.Context) error {
		n.eventLog.logSuppressed()
		return nil
	})
	n.runController(g)
}

// controlledDomain steps the controller of one failure domain when it is signaled.
type controlledDomain struct {
	control.DomainStep
	due chan struct{}
}

// runController steps the controllers of the failure domains that this node may
// control, each in a task of its own, since a step may wait for the store.
func (n *Node) runController(g *run.Group) {
	var domains []controlledDomain
	for _, step := range n.controller.Steps() {
		d := controlledDomain{DomainStep: step, due: make(chan struct{}, 1)}
		domains = append(domains, d)
		n.addTask(g, func(ctx context.Context) { n.stepWhenDue(ctx, d) })
	}
	n.addLoop(g, func() time.Duration { return controlInterval }, func(ctx context.Context) error {
		if !n.waitForPeer(ctx) {
			return nil
		}
		for _, d := range domains {
			if !d.Involved() {
				continue
			}
			select {
			case d.due <- struct{}{}:
			default:
			}
		}
		return nil
	})
}

// stepWhenDue steps the controller of a failure domain each time that it is due.
func (n *Node) stepWhenDue(ctx context.Context, d controlledDomain) {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.due:
		}
		failures = n.runStep(ctx, d.Step, failures)
	}
}

const (
	// peerWaitTimeout is how long a node that has just started waits for a peer of
	// its failure domain, to read from the peer in place of the store. It covers
	// two reads of the nodes table and the peer's reply.
	peerWaitTimeout = 1200 * time.Millisecond
	// peerWaitInterval is the polling interval of waitForPeer.
	peerWaitInterval = 40 * time.Millisecond
)

// waitForPeer waits until a peer of the failure domain is alive or
// peerWaitTimeout has passed since the start. It returns false once ctx is done.
func (n *Node) waitForPeer(ctx context.Context) bool {
	for {
		now := n.config.Clock.Now()
		if now.Sub(n.startedAt) >= peerWaitTimeout || len(n.peers.Alive(n.config.Settings.FailureDomain, now)) > 0 {
			return true
		}
		if !clock.Sleep(ctx, n.config.Clock, peerWaitInterval) {
			return false
		}
	}
}

// addCallers serves callers until ctx is done and the requests in flight have
// ended.
func (n *Node) addCallers(ctx context.Context, g *run.Group, l *caller.Listener) {
	requests := &requestTracker{handler: n.handler}
	server := &http.Server{
		Handler:           requests,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleCallerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.ErrorLog(),
		ConnContext:       caller.WithConn,
		ConnState:         l.Track,
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
		n.drain(server, requests)
		close(ended)
		return nil
	}, func(error) { cancel() })
}

// drain shuts the callers' server down gracefully: it reports unready, releases
// leases, still accepts connections for drainDelay and then waits for the
// requests in flight until killMargin before the end of the grace period. It
// returns once all requests have ended.
func (n *Node) drain(server *http.Server, requests *requestTracker) {
	start := n.config.Clock.Now()
	event.NodeDraining.Log(n.config.Logger)
	n.stopping.Store(true)
	n.logReadiness()
	n.controller.ReleaseLeases()
	server.SetKeepAlivesEnabled(false)
	n.config.Clock.Sleep(drainDelay)
	remaining := n.config.Settings.Bounds.Grace - killMargin - n.config.Clock.Since(start)
	ctx, cancel := clockwork.WithTimeout(context.Background(), n.config.Clock, remaining)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		event.StepFailed.Log(n.config.Logger, zap.String("error", "requests aborted at the end of the grace period: "+err.Error()), zap.Int("failures", 1))
		_ = server.Close()
		requests.wait()
	}
}

// requestTracker is an HTTP handler that knows when its requests have ended.
type requestTracker struct {
	handler http.Handler

	mu       sync.Mutex
	stopped  bool
	requests sync.WaitGroup
}

// ServeHTTP implements http.Handler.
func (t *requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.begin() {
		panic(http.ErrAbortHandler)
	}
	defer t.requests.Done()
	t.handler.ServeHTTP(w, r)
}

// begin counts a request. It returns false once wait was called.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.stopped {
		t.requests.Add(1)
	}
	return !t.stopped
}

// wait admits no more requests and returns once all have ended.
func (t *requestTracker) wait() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.requests.Wait()
}

// ready reports whether the node can serve, and otherwise the reason.
func (n *Node) ready() (bool, string) {
	if step := n.watch.stuck(); step != "" {
		return false, "step does not end: " + step
	}
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case n.configuration.Load() == nil:
		return false, "no configuration received yet"
	case n.registrations.ReadAt().IsZero():
		return false, "registrations not read yet"
	case !n.headsKnown.Load():
		return false, "backend servers not known yet"
	default:
		return true, ""
	}
}

// logReadiness returns the current readiness and logs a change.
func (n *Node) logReadiness() bool {
	ready, cause := n.ready()
	if n.lastReady.Swap(ready) != ready {
		n.metrics.Ready.Set(gaugeValue(ready))
		event.ReadinessChanged.Log(n.config.Logger, zap.Bool("ready", ready), zap.String("cause", cause))
	}
	return ready
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ErrorLog returns a logger for errors that net/http reports.
func (n *Node) ErrorLog() *log.Logger {
	return log.New(n.eventLog, "", 0)
}

// addTask runs f with a context that is canceled when the group stops.
func (n *Node) addTask(g *run.Group, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		f(ctx)
		return nil
	}, func(error) { cancel() })
}

// addLoop runs step at once and then after each interval, until the group stops.
func (n *Node) addLoop(g *run.Group, interval func() time.Duration, step func(context.Context) error) {
	n.addTask(g, func(ctx context.Context) {
		failures := 0
		for {
			failures = n.runStep(ctx, step, failures)
			if !clock.Sleep(ctx, n.config.Clock, interval()) {
				return
			}
		}
	})
}

// runStep runs a step and logs its failure. It takes and returns the number of
// consecutive failures.
func (n *Node) runStep(ctx context.Context, step func(context.Context) error, failures int) int {
	err := recovery.Call(func() error { return step(ctx) })
	switch {
	case err == nil:
		return 0
	case ctx.Err() == nil:
		failures++
		n.eventLog.stepFailed(err, failures)
	}
	return failures
}

// addAnnounce writes this node's row at each announceInterval, and when it is due because the
// store may have lost it. It retries failed writes after retryMax.
func (n *Node) addAnnounce(g *run.Group) {
	n.addTask(g, func(ctx context.Context) {
		for failures := 1; ; failures++ {
			err := n.announce(ctx)
			if err != nil {
				n.eventLog.stepFailed(err, failures)
			}
			wait := retryMax
			if err == nil {
				wait = announceInterval
			}
			if !n.waitToAnnounce(ctx, wait) {
				return
			}
		}
	})
}

// waitToAnnounce waits until this node must write its row again, for the given time at most.
// It returns false if ctx is done.
func (n *Node) waitToAnnounce(ctx context.Context, wait time.Duration) bool {
	timer := n.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	case <-n.announceDue:
		return clock.Sleep(ctx, n.config.Clock, rand.N(announceSpread))
	}
}

// announceSpread spreads the writes of all nodes when the store has lost their rows: 195
// nodes write half of what the store takes in that time.
const announceSpread = time.Second

// announceInterval is the time after which a node rewrites its row, in case it
// was removed.
const announceInterval = 10 * time.Minute

// addReload reads and checks the settings again on SIGHUP.
func (n *Node) addReload(g *run.Group) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	n.addTask(g, func(ctx context.Context) {
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

// observe records a finished request in the metrics and the log.
func (n *Node) observe(r ingress.Result) {
	n.serving.Store(true)
	n.recordMetrics(r)
	now := n.config.Clock.Now()
	n.eventLog.request(r, now.Sub(n.registrations.ReadAt()))
}

// recordMetrics updates the metrics for a finished request.
func (n *Node) recordMetrics(r ingress.Result) {
	if c := n.configuration.Load(); c == nil || !c.HasModel(r.Model) {
		// Callers may name any model; unknown ones must not become metric labels.
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
