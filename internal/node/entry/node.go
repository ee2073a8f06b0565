// Package entry assembles a node on an entry VM: callers' requests, what is
// known of backend servers and of the other nodes, and the control of replica
// groups.
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

	"almondbay.example/core/lease"
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
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Store is what a node needs of the platform's store.
type Store interface {
	platform.Table
	platform.Committer
	platform.Feed
}

// Codec translates what others write into the store.
type Codec struct {
	ServersTable        string
	ConfigurationTable  string
	ConfigurationKey    string
	DecodeServer        func(id string, value []byte) *registry.Server
	DecodeConfiguration func(value []byte) (*routes.Configuration, error)
	// Unwrap returns the value of a row that this system wrote.
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
	// Reload reads the settings again.
	Reload func() (deployment.Settings, error)
	// DroppedLines returns the number of log lines dropped since the last call.
	DroppedLines func() uint64
	// ReadyPath is what the balancer asks for.
	ReadyPath string
}

// Node is one node.
type Node struct {
	config     Config
	board      *balance.Board
	book       *registry.Cache
	members    *gossip.Members
	budget     *retry.Budget
	socket     *gossip.Socket
	handler    *ingress.Handler
	controller *control.Controller
	journal    *journal
	store      *countedStore
	// told belongs to the loop that tells the others.
	told        told
	demand      *demand
	metrics     *metric.Entry
	logs        map[string]*peerrelay.Log
	feed        *peerrelay.Feed
	peers       *peerrelay.Client
	incarnation int64
	startedAt   time.Time

	configuration atomic.Pointer[routes.Configuration]
	stopping      atomic.Bool
	wasReady      atomic.Bool
	// serving is set once any node has had a request in flight.
	serving atomic.Bool

	mu sync.Mutex
	// generation and version are what the heads were last made from.
	generation uint64
	version    uint64
	headsAt    time.Time
	heads      map[balance.Key]int
}

const (
	// returnGrace is how long after an outage of the store a registration may
	// still return; the platform promises about two seconds.
	returnGrace = 2200 * time.Millisecond
	// rememberGone covers the time until a lost head's group is given up.
	rememberGone = time.Minute
	// connectTimeout allows for two lost packets within a region.
	connectTimeout = 450 * time.Millisecond
	// idleConnection is below the idle timeouts of backend servers.
	idleConnection = 2500 * time.Millisecond
	// maxIdle is about what one node has in flight to one head at a crest.
	maxIdle = 16
	// maxTries bounds the heads that a request is offered to: two refusals for
	// want of room are enough to tell that there is none.
	maxTries = 3
	// stallAfter is above the longest pass of an engine that reads a long prompt.
	stallAfter = 450 * time.Millisecond
	// silentAfter is when a single stream among others that move is given up;
	// below the two seconds after which callers give up.
	silentAfter = 1400 * time.Millisecond
	// budgetUse leaves part of the retry budget to nodes that have restarted.
	budgetUse = 0.7
	// quietAfter is how long a head that no node of its failure domain could ask
	// must be missing before its members may join another group. It covers a
	// failure domain that is cut off, whose heads serve on; a failure domain
	// without any node is without service anyway.
	quietAfter = 2 * time.Minute
	// loadSlack is the number of loads by which the platform's bound on any span
	// lies above its rate.
	loadSlack = 3
	// loadMargin widens the window of loads by what orders take to arrive.
	loadMargin = 500 * time.Millisecond
)

// Figures of the balance between heads.
const (
	// remotePenalty outweighs a third of a head's slots: bytes between failure
	// domains are dear.
	remotePenalty = 0.35
	// queueShare leaves the rest of an objective's slack to the spread of
	// durations.
	queueShare = 0.8
	// suspendFirst is about the time in which a process is back; suspendMax keeps
	// a trial request within the callers' patience.
	suspendFirst = 300 * time.Millisecond
	suspendMax   = 3 * time.Second
	// fullFor is the time in which a few of a head's requests end.
	fullFor = 100 * time.Millisecond
	// stalledFor is above the time between two words of other nodes.
	stalledFor = 600 * time.Millisecond
	// usualService stands until a duration was measured.
	usualService = 500 * time.Millisecond
)

// Figures of the messages between nodes.
const (
	// tellInterval is a fraction of the time in which a head fills at a crest.
	tellInterval = 50 * time.Millisecond
	// tellPerPeer bounds what a node takes in to 100 messages a second, which
	// take about a hundredth of a core.
	tellPerPeer = 10 * time.Millisecond
	// remoteInterval is for messages between failure domains, which are dear.
	remoteInterval = 500 * time.Millisecond
	// deadAfter covers a few lost datagrams.
	deadAfter = 1500 * time.Millisecond
)

// New assembles a node.
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
			FullFor:       fullFor,
			StalledFor:    stalledFor,
			UsualService:  usualService,
		}),
		book:    registry.NewCache(registry.CacheConfig{ReturnGrace: returnGrace, RecordRetention: rememberGone}),
		heads:   map[balance.Key]int{},
		metrics: metric.NewEntry(),
		demand:  newDemand(),
		journal: newJournal(c.Logger, c.Clock, c.DroppedLines),
	}
	n.members = gossip.NewMembers(gossip.Config{
		Self: n.self(), Interval: tellInterval, IntervalPerPeer: tellPerPeer, DeadAfter: deadAfter,
	})
	n.store = &countedStore{store: c.Store, clock: c.Clock, metrics: n.metrics}
	n.config.Store = n.store
	n.config.Orders = &countedOrders{Orders: c.Orders, metrics: n.metrics}
	var err error
	n.socket, err = gossip.Listen(gossip.SocketConfig{
		Clock:       c.Clock,
		Listen:      netip.AddrPortFrom(c.Settings.Address, uint16(c.Settings.PeerPort)),
		Incarnation: n.incarnation,
		OnMessage:   n.received,
		OnError:     n.journal.datagramFailed,
	})
	if err != nil {
		return nil, err
	}
	n.addHandler()
	n.addFeed()
	n.addController()
	return n, nil
}

// addHandler assembles what serves callers.
func (n *Node) addHandler() {
	c := n.config
	bounds := c.Settings.Bounds
	n.budget = retry.NewBudget(retry.Config{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow, Use: budgetUse,
	})
	n.handler = ingress.NewHandler(ingress.Config{
		Clock:   c.Clock,
		Logger:  c.Logger,
		Dialect: c.Dialect,
		Board:   n.board,
		Backend: backend.NewClient(backend.Config{
			Clock: c.Clock, ConnectTimeout: connectTimeout, IdleTimeout: idleConnection, MaxIdle: maxIdle, Dial: c.Dial,
		}),
		Budget:        n.budget,
		Configuration: n.configuration.Load,
		Observe:       n.observe,
		MaxTries:      maxTries,
		StallAfter:    stallAfter,
		SilentAfter:   silentAfter,
	})
}

// addController assembles what controls replica groups.
func (n *Node) addController() {
	c := n.config
	n.controller = control.New(control.Config{
		Clock:              c.Clock,
		Logger:             c.Logger,
		Table:              c.Store,
		Orders:             c.Orders,
		ProbeHead:          n.look,
		ProbeQuorum:        vantagePoints,
		Registrations:      n.book,
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
		UnreachableTimeout: quietAfter,
		Jitter:             func(limit time.Duration) time.Duration { return rand.N(limit + 1) },
	})
}

// self returns this node as others know it.
func (n *Node) self() gossip.Peer {
	s := n.config.Settings
	return gossip.Peer{Node: s.Node, FailureDomain: s.FailureDomain, Address: s.Address.String(), Capacity: s.Cores}
}

// foreignAfter is how long a node waits after its start before it acts for a
// failure domain without live nodes: until it has heard of the others.
const foreignAfter = 6 * time.Second

// maxRank bounds the nodes that watch a lease.
const maxRank = 2

// rank returns the place of this node among those that may act for a failure
// domain, by rendezvous hashing. Nodes of the failure domain itself come first,
// since they reach its servers when it is cut off.
func (n *Node) rank(failureDomain string) int {
	s := n.config.Settings
	now := n.config.Clock.Now()
	if n.blind() {
		return -1
	}
	names := sighted(n.members.Alive(failureDomain, now))
	switch {
	case failureDomain == s.FailureDomain:
		names = append(names, s.Node)
	case len(names) > 0 || now.Sub(n.startedAt) < foreignAfter:
		return -1
	default:
		names = append(sighted(n.members.Alive("", now)), s.Node)
	}
	for rank := range maxRank {
		owner := relay.Owner(failureDomain, names)
		if owner == s.Node {
			return rank
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == owner })
	}
	return -1
}

// sighted returns the names of the peers that can reach the store.
func sighted(peers []gossip.Peer) []string {
	var names []string
	for _, p := range peers {
		if !p.StoreUnreachable {
			names = append(names, p.Node)
		}
	}
	return names
}

// received takes in a message of another node.
func (n *Node) received(m gossip.Message) {
	now := n.config.Clock.Now()
	met := n.members.ReceivedFrom(m.Node, now)
	if !n.members.Record(m, now) {
		return
	}
	if !met && !m.Leaving && m.FailureDomain == n.config.Settings.FailureDomain {
		// A node that has just started needn't wait for the next round.
		n.socket.Send(n.report(n.board.Own(now, now)), []gossip.Peer{{Node: m.Node, Address: m.Address}})
	}
	if len(m.Loads)+len(m.DomainLoads) > 0 {
		n.serving.Store(true)
	}
	for _, l := range m.Leases {
		n.controller.ObserveLease(control.HeldLease{
			Row: lease.Row{
				FabricDomain: l.FailureDomain, Holder: l.Holder, Term: l.Term, Sequence: l.Sequence, Duration: l.Duration,
			},
			Version: l.Version,
		})
	}
	report := balance.Report{Loads: m.Loads, Moved: m.Progressed, Stalled: m.Stalled}
	from := "node/" + m.Node
	if m.DomainLoads != nil {
		n.demand.Remote(m.FailureDomain, m.DomainDemand, now)
		report.Loads = m.DomainLoads
		from = "domain/" + m.FailureDomain
	}
	n.board.Report(from, report, now)
}

// tell sends what this node has in flight to its failure domain when it is time
// to, and at once when a head stands still or the store is lost or back.
func (n *Node) tell(context.Context) error {
	now := n.config.Clock.Now()
	report := n.board.Own(n.told.at, now)
	blind := n.blind()
	due := now.Sub(n.told.at) >= n.members.Interval()-tellInterval/2
	news := blind != n.told.blind || slices.ContainsFunc(report.Stalled, func(head string) bool {
		return !slices.Contains(n.told.stalled, head)
	})
	if !due && !news {
		return nil
	}
	n.told = told{at: now, blind: blind, stalled: report.Stalled}
	n.socket.Send(n.report(report), n.members.Known(n.config.Settings.FailureDomain))
	return nil
}

// told is what this node last told its failure domain.
type told struct {
	at time.Time
	// blind is set when it did not reach the store.
	blind   bool
	stalled []string
}

// report returns the message of this node to its failure domain.
func (n *Node) report(r balance.Report) gossip.Message {
	m := n.message()
	m.Loads, m.Progressed, m.Stalled = r.Loads, r.Moved, r.Stalled
	m.Demand = n.demand.Own()
	held := n.controller.HeldLeases()
	n.metrics.Leases.Set(float64(len(held)))
	for _, l := range held {
		m.Leases = append(m.Leases, gossip.Lease{
			FailureDomain: l.FabricDomain, Holder: l.Holder, Term: l.Term,
			Sequence: l.Sequence, Duration: l.Duration, Version: l.Version,
		})
	}
	return m
}

// message returns a message that tells of the node itself only.
func (n *Node) message() gossip.Message {
	return gossip.Message{
		Node:             n.config.Settings.Node,
		FailureDomain:    n.config.Settings.FailureDomain,
		Capacity:         n.config.Settings.Cores,
		Leaving:          n.stopping.Load(),
		StoreUnreachable: n.blind(),
	}
}

// tellRemote sends what the failure domain has in flight to the others, if
// this node speaks for it.
func (n *Node) tellRemote(context.Context) error {
	now := n.config.Clock.Now()
	if !n.members.IsReporter(now) {
		return nil
	}
	s := n.config.Settings
	var sources []string
	for _, p := range n.members.Alive(s.FailureDomain, now) {
		sources = append(sources, "node/"+p.Node)
	}
	m := n.message()
	m.DomainLoads = n.board.Domain(sources, now).Loads
	m.DomainDemand = n.demand.Sum(n.members.Demand(s.FailureDomain, now))
	n.socket.Send(m, n.members.Remote())
	return nil
}
