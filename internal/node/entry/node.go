// Package entry assembles the node that runs on an entry VM. The node serves
// callers' requests, tracks backend servers and the other nodes, and controls
// replica groups.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/relay"
	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/peer/gossip"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Store is the part of the platform's store API that a node uses.
type Store interface {
	platform.Table
	platform.Committer
	platform.Feed
}

// Codec names the tables that others write and decodes their rows.
type Codec struct {
	ServersTable        string
	ConfigurationTable  string
	ConfigurationKey    string
	DecodeServer        func(id string, value []byte) *registry.Server
	DecodeConfiguration func(value []byte) (*routes.Configuration, error)
	// Unwrap splits a row that a node wrote into the ID of the write and its value.
	Unwrap func(body []byte) (operation string, value []byte, err error)
}

// Config configures a Node.
type Config struct {
	Settings deployment.Settings
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Store    Store
	Orders   control.Orders
	Dialect  exchange.Dialect
	Codec    Codec
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// Reload reads and checks the settings again.
	Reload func() (deployment.Settings, error)
	// DroppedLines returns the number of log lines dropped since the last call.
	DroppedLines func() uint64
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// Node serves callers on one entry VM.
type Node struct {
	config        Config
	board         *balance.Board
	registrations *registry.Cache
	peers         *gossip.PeerSet
	budget        *retry.Budget
	socket        *gossip.Socket
	handler       *ingress.Handler
	losses        *quarantine.Tracker
	suspects      *suspects
	// checks are the calls to heads that may have ended, and to servers in doubt.
	checks errgroup.Group
	// announceDue has an element when this node must write its row again.
	announceDue chan struct{}
	// doubtsAskedAt is when servers in doubt were last asked. It is used only by the loop
	// that runs sendReport.
	doubtsAskedAt time.Time
	controller    *control.Controller
	eventLog      *eventLog
	watch         *stepWatch
	store         *instrumentedStore
	// lastSent and collector are used only by the loop that runs sendReport.
	lastSent sentReport
	// collector is the name of the node that this one reports to; empty if the nodes of
	// its failure domain all send to each other.
	collector string
	contacts  contacts
	// domainReportAt is when a report to other failure domains was last due. It is used
	// only by the loop that runs sendDomainReport.
	domainReportAt time.Time
	demand         *demand
	metrics        *metric.Entry
	tableLogs      map[string]*peerrelay.Log
	feed           *peerrelay.Feed
	peerClient     *peerrelay.Client
	incarnation    int64
	startedAt      time.Time

	configuration atomic.Pointer[routes.Configuration]
	stopping      atomic.Bool
	lastReady     atomic.Bool
	// headsKnown is set once the heads were built from registrations.
	headsKnown atomic.Bool
	// serving is set once this node or a peer has had a request in flight.
	serving atomic.Bool

	// reportMu guards sentLoads, collected and digestSentAt.
	reportMu     sync.Mutex
	sentLoads    reportHistory
	collected    collected
	digestSentAt time.Time

	mu sync.Mutex
	// headsGeneration and headsVersion are the versions of the registrations and
	// of the configuration from which the heads were last built.
	headsGeneration uint64
	headsVersion    uint64
	headsBuiltAt    time.Time
	// tableVersions holds the version at which each table was last read as a whole.
	tableVersions map[string]uint64
	// lastHeads are the heads that the board has.
	lastHeads []registry.Head
	heads     map[balance.Key]int
}

const (
	// returnGrace is how long after an outage of the store a missing registration
	// may still reappear. The platform guarantees about two seconds.
	returnGrace = 2200 * time.Millisecond
	// recordRetention covers the time until the group of a missing head is
	// dissolved.
	recordRetention = time.Minute
	// connectTimeout exceeds a round trip between regions. Waiting longer does not
	// help after the loss of a packet, which is sent again only after a second.
	connectTimeout = 250 * time.Millisecond
	// idleConnTimeout is below the idle timeouts of backend servers, so that the
	// node closes idle connections first.
	idleConnTimeout = 2500 * time.Millisecond
	// maxIdleConns is about the number of requests that one node has in flight to
	// one head at peak load.
	maxIdleConns = 16
	// maxTries limits the heads that a request is tried on. Two rejections because
	// a head is full indicate that all are.
	maxTries = 3
	// stallAfter exceeds the longest engine pass over a long prompt.
	stallAfter = 450 * time.Millisecond
	// attemptStallAfter is when a stream without progress is abandoned while other
	// streams of its head progress. It is below the two seconds after which
	// callers give up.
	attemptStallAfter = 1400 * time.Millisecond
	// usableBudget leaves part of the retry budget to nodes that the others don't know yet.
	usableBudget = 0.7
	// unreachableTimeout is how long a head must be missing before its members may join
	// another group although the nodes that are alive may be cut off from it. It covers a
	// network partition of a failure domain, whose heads continue to serve.
	unreachableTimeout = 2 * time.Minute
	// loadSlack is the number of loads that the platform allows above its rate in
	// any time window.
	loadSlack = 3
	// loadMargin widens the load window by the time that an order takes to arrive.
	loadMargin = 500 * time.Millisecond
)

// Parameters of the load balancing between heads.
const (
	// remotePenalty is the number of requests by which the load of a local head may
	// exceed that of a remote one, since traffic between failure domains is expensive.
	remotePenalty = 3.5
	// queueShare is the fraction of an objective's slack that may be spent in a
	// queue; the rest covers the variance of request durations.
	queueShare = 0.8
	// suspendFirst is about the restart time of a process. suspendMax is short
	// enough that a request sent on trial after a suspension ends before callers
	// give up.
	suspendFirst = 300 * time.Millisecond
	suspendMax   = 3 * time.Second
	// fullTTL is the time in which a few of a head's requests end.
	fullTTL = 100 * time.Millisecond
	// stalledTTL exceeds the time between two reports of another node.
	stalledTTL = 600 * time.Millisecond
	// initialMeanDuration is the assumed mean duration of a request until
	// requests have been measured.
	initialMeanDuration = 500 * time.Millisecond
)

// Parameters of the messages between nodes.
const (
	// reportInterval is a fraction of the time in which a head fills up at peak
	// load.
	reportInterval = 50 * time.Millisecond
	// reportIntervalPerPeer limits the messages that a node receives to 100 a
	// second, which take about a hundredth of a core.
	reportIntervalPerPeer = 10 * time.Millisecond
	// domainReportInterval is longer than reportInterval, since traffic between
	// failure domains is expensive.
	domainReportInterval = 500 * time.Millisecond
	// peerTimeout tolerates a few lost datagrams.
	peerTimeout = 1500 * time.Millisecond
	// meshPeers is the number of peers above which a collector costs a node fewer
	// messages than the peers themselves.
	meshPeers = 12
	// collectInterval is the time between two reports to a collector. The way of a
	// load through the collector takes up to two of them.
	collectInterval = 100 * time.Millisecond
	// collectIntervalPerPeer limits the messages that a collector receives to 500 a
	// second.
	collectIntervalPerPeer = 2 * time.Millisecond
	// collectorTimeout tolerates the loss of two digests in a row.
	collectorTimeout = 800 * time.Millisecond
)

// New returns a node that listens for peer datagrams. The caller starts it with
// Run.
func New(c Config) (*Node, error) {
	n := &Node{
		config:      c,
		incarnation: c.Clock.Now().UnixNano(),
		startedAt:   c.Clock.Now(),
		board: balance.NewBoard(balance.Policy{
			FailureDomain: c.Settings.FailureDomain,
			RemotePenalty: remotePenalty,
			QueueShare:    queueShare,
			SuspendFirst:  suspendFirst,
			SuspendMax:    suspendMax,
			FullFor:       fullTTL,
			StalledFor:    stalledTTL,
			MeanDuration:  initialMeanDuration,
		}),
		registrations: registry.NewCache(registry.CacheConfig{
			ReturnGrace: returnGrace, RecordRetention: recordRetention, LapseMin: lapseMin(c.Settings),
		}),
		heads: map[balance.Key]int{},

		tableVersions: map[string]uint64{},
		announceDue:   make(chan struct{}, 1),
		metrics:       metric.NewEntry(),
		demand:        newDemand(),
		collected:     newCollected(),
		watch:         &stepWatch{clock: c.Clock},
		eventLog:      newEventLog(c.Logger, c.Clock, c.DroppedLines),
	}
	n.losses = quarantine.NewTracker(quarantine.TrackerConfig{
		Retention:     lapseHeartbeats*c.Settings.Heartbeat + lapseReadTime + returnGrace,
		LapseMin:      lapseMin(c.Settings),
		LapseMax:      lapseHeartbeats*c.Settings.Heartbeat + lapseReadTime,
		ReturnGrace:   returnGrace,
		CheckInterval: checkInterval,
		MaxLosses:     maxLosses,
	})
	n.suspects = newSuspects()
	n.checks.SetLimit(maxChecks)
	n.peers = gossip.NewPeerSet(gossip.Config{
		Self: n.self(), Interval: reportInterval, IntervalPerPeer: reportIntervalPerPeer, DeadAfter: peerTimeout,
		MeshPeers: meshPeers, CollectInterval: collectInterval, CollectIntervalPerPeer: collectIntervalPerPeer, CollectorTimeout: collectorTimeout,
	})
	n.store = &instrumentedStore{store: c.Store, clock: c.Clock, metrics: n.metrics}
	n.config.Store = n.store
	n.config.Orders = &instrumentedOrders{Orders: c.Orders, metrics: n.metrics, onLeaving: n.recordLeaving}
	var err error
	n.socket, err = gossip.Listen(gossip.SocketConfig{
		Clock:       c.Clock,
		Listen:      netip.AddrPortFrom(c.Settings.Address, uint16(c.Settings.PeerPort)),
		Incarnation: n.incarnation,
		OnMessage:   n.handleMessage,
		OnError:     n.eventLog.datagramFailed,
	})
	if err != nil {
		return nil, err
	}
	n.addHandler()
	n.addFeed()
	n.addController()
	return n, nil
}

// addHandler sets up the handler of callers' requests and its retry budget.
func (n *Node) addHandler() {
	c := n.config
	bounds := c.Settings.Bounds
	n.budget = retry.NewBudget(retry.Config{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow, UsableFraction: usableBudget,
		Start: n.startedAt,
	})
	n.handler = ingress.NewHandler(ingress.Config{
		Clock:   c.Clock,
		Logger:  c.Logger,
		Dialect: c.Dialect,
		Board:   n.board,
		Backend: backend.NewClient(backend.Config{
			Clock: c.Clock, ConnectTimeout: connectTimeout, IdleTimeout: idleConnTimeout, MaxIdle: maxIdleConns, Dial: c.Dial,
			OnDistrust: func(cause backend.DistrustCause) { n.metrics.Distrusted.WithLabelValues(string(cause)).Inc() },
		}),
		Budget:        n.budget,
		Configuration: n.configuration.Load,
		Observe:       n.observe,
		OnLoss:        n.losses.Add,
		CheckServer:   n.checkServer,
		OnAnswer:      n.recordAnswer,
		OnLeaving:     func(h registry.Head) { n.recordLeaving(h.Life()) },
		OnPause:       n.recordPause,
		Guard:         n.suspects.guard,
		SendsTrial:    n.sendsTrial,
		MaxTries:      maxTries,
		StallAfter:    stallAfter,
		AttemptStall:  attemptStallAfter,
		Memory:        NewLimits(c.Settings.Descriptors, c.Settings.MemoryBytes).AccountBytes,
	})
	n.metrics.WatchMemory(func() (used, size int64, refused uint64) {
		a := n.handler.Account()
		return a.Used, a.Size, a.Refused
	})
}

// addController sets up the controller of replica groups.
func (n *Node) addController() {
	c := n.config
	n.controller = control.New(control.Config{
		Clock:              c.Clock,
		Logger:             c.Logger,
		Table:              c.Store,
		Orders:             c.Orders,
		ProbeHead:          n.probeHead,
		Registrations:      n.registrations,
		Configuration:      n.configuration.Load,
		Rank:               n.rank,
		Weights:            n.weights,
		Serving:            n.serving.Load,
		Holder:             fmt.Sprintf("%s/%d", c.Settings.Node, n.incarnation),
		FailureDomains:     c.Settings.FailureDomains,
		LoadSpan:           c.Settings.Bounds.LoadWindow,
		LoadWindow:         c.Settings.Bounds.LoadWindow + loadMargin,
		LoadSlack:          loadSlack,
		LoadOverrun:        c.Settings.Bounds.LoadOverrun,
		Grace:              returnGrace,
		UnreachableTimeout: unreachableTimeout,
		GroupStall:         c.Settings.Bounds.GroupStall,
		Jitter:             func(limit time.Duration) time.Duration { return rand.N(limit + 1) },
	})
}

// self returns this node as its peers see it.
func (n *Node) self() gossip.Peer {
	s := n.config.Settings
	return gossip.Peer{Node: s.Node, FailureDomain: s.FailureDomain, Address: s.Address.String(), Capacity: s.Cores}
}

// foreignLeaseDelay is how long after its start a node may not compete for the
// lease of another failure domain that seems to have no live nodes. By then it
// has received messages of all its peers.
const foreignLeaseDelay = 6 * time.Second

// maxCandidates limits the nodes that compete for the lease of a failure domain.
const maxCandidates = 2

// rank returns the position of this node among the candidates for the lease of a
// failure domain, by rendezvous hashing, or -1 if it is no candidate. Nodes of
// the failure domain itself take precedence, since they can reach its servers
// during a network partition.
func (n *Node) rank(failureDomain string) int {
	s := n.config.Settings
	now := n.config.Clock.Now()
	if n.storeUnreachable() {
		return -1
	}
	names := storeReaders(n.peers.Alive(failureDomain, now))
	switch {
	case failureDomain == s.FailureDomain:
		names = append(names, s.Node)
	case n.peers.HasLive(failureDomain, now) || now.Sub(n.startedAt) < foreignLeaseDelay:
		return -1
	default:
		names = append(storeReaders(n.peers.Alive("", now)), s.Node)
	}
	for rank := range maxCandidates {
		owner := relay.Owner(failureDomain, names)
		if owner == s.Node {
			return rank
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == owner })
	}
	return -1
}

// storeReaders returns the names of the peers that can reach the store.
func storeReaders(peers []gossip.Peer) []string {
	var names []string
	for _, p := range peers {
		if !p.StoreUnreachable {
			names = append(names, p.Node)
		}
	}
	return names
}
