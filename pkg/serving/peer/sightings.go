package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/core/membership"
)

// PathSightings is the path at which the nodes of a failure domain exchange
// sightings, the results of probes of backend servers.
const PathSightings = "/v1/sightings"

// SightingsConfig configures Sightings.
type SightingsConfig struct {
	// Node is the ID of the VM that the node runs on.
	Node          string
	FailureDomain string
	// Nodes returns the entry VMs in the platform's list.
	Nodes      func() []fleet.VM
	Membership membership.Config
	// Scheme is "https" if nodes use TLS and "http" otherwise.
	Scheme string
	// HTTP sends the requests; it adds the peer key.
	HTTP  *http.Client
	Clock clockwork.Clock
}

// Sightings divides the probing of backend servers among the nodes of a failure
// domain and replicates the results to all of them. It is safe for concurrent use.
type Sightings struct {
	config SightingsConfig
	sender *Relay

	mu    sync.Mutex
	table *membership.Table
	links map[string]*membership.Link
	// assigned is the cached result of Assign for the given nodes and members.
	nodes, members, assigned []string

	changes chan struct{}
}

// NewSightings returns Sightings without any results.
func NewSightings(c SightingsConfig) *Sightings {
	return &Sightings{
		config:  c,
		sender:  &Relay{config: Config{Scheme: c.Scheme, HTTP: c.HTTP}},
		table:   membership.NewTable(c.Membership, c.Clock.Now()),
		links:   make(map[string]*membership.Link),
		changes: make(chan struct{}, 1),
	}
}

// Assign returns the members of the failure domain that this node probes. Members
// is the full list of the domain.
func (s *Sightings) Assign(members []string) []string {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.live(now)
	if slices.Equal(live, s.nodes) && slices.Equal(members, s.members) {
		return s.assigned
	}
	var own []string
	for _, m := range members {
		if slices.Contains(membership.Probers(m, live), s.config.Node) {
			own = append(own, m)
		}
	}
	s.table.Assign(own, now)
	s.nodes, s.members, s.assigned = live, members, own
	return own
}

// Observe records the result of a probe sent at sentAt.
func (s *Sightings) Observe(result membership.ProbeResult, sentAt time.Time) {
	s.mu.Lock()
	changed := s.table.RecordProbe(result, sentAt)
	s.mu.Unlock()
	if changed {
		s.notifyChange()
	}
}

// Reports returns the latest known reports of the failure domain's members.
func (s *Sightings) Reports() map[string]fleet.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reports(s.config.Clock.Now())
}

// Changes returns a channel that receives a value when there are changes for Push
// to send.
func (s *Sightings) Changes() <-chan struct{} { return s.changes }

func (s *Sightings) notifyChange() {
	select {
	case s.changes <- struct{}{}:
	default:
	}
}

// Heartbeat exchanges messages once with this node's parents in the distribution
// trees.
func (s *Sightings) Heartbeat(ctx context.Context) error {
	return s.exchangeAll(ctx, false)
}

// Push exchanges messages with this node's parents and children, to send changes
// at once.
func (s *Sightings) Push(ctx context.Context) error {
	return s.exchangeAll(ctx, true)
}

func (s *Sightings) exchangeAll(ctx context.Context, children bool) error {
	targets := s.exchangePeers(children)
	failed := make([]error, len(targets))
	var g errgroup.Group
	for i, vm := range targets {
		g.Go(func() error {
			failed[i] = s.exchange(ctx, vm)
			return nil
		})
	}
	_ = g.Wait()
	return errs.Combine(failed...)
}

// live returns the live nodes of the failure domain, sorted by ID. It includes
// this node. The caller holds s.mu.
func (s *Sightings) live(now time.Time) []string {
	listed := []string{s.config.Node}
	for _, vm := range s.config.Nodes() {
		if vm.FailureDomain == s.config.FailureDomain && vm.State == fleet.VMLive && vm.ID != s.config.Node {
			listed = append(listed, vm.ID)
		}
	}
	slices.Sort(listed)
	return s.table.Live(listed, now)
}

// exchangePeers returns this node's parents in the distribution trees, and also
// its children if children is true.
func (s *Sightings) exchangePeers(children bool) []fleet.VM {
	now := s.config.Clock.Now()
	s.mu.Lock()
	s.table.Expire(now)
	live := s.live(now)
	s.mu.Unlock()

	wanted := make(map[string]bool)
	for i := range membership.Trees {
		tree := membership.NewTree(i, live)
		wanted[tree.Parent(s.config.Node)] = true
		if !children {
			continue
		}
		for _, child := range tree.Children(s.config.Node) {
			wanted[child] = true
		}
	}
	var targets []fleet.VM
	for _, vm := range s.config.Nodes() {
		if wanted[vm.ID] && vm.ID != s.config.Node {
			targets = append(targets, vm)
		}
	}
	return targets
}

// exchange sends one message to a node and applies its response.
func (s *Sightings) exchange(ctx context.Context, vm fleet.VM) error {
	var reply wireMessage
	if err := s.sender.post(ctx, vm.Address, PathSightings, s.message(vm.ID), &reply); err != nil {
		return err
	}
	s.apply(reply)
	return nil
}

// message returns the next message for a node.
func (s *Sightings) message(node string) wireMessage {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return wireMessageOf(s.table.NextMessage(s.link(node, now), now))
}

// apply applies a received message and signals on Changes if it held changes to
// forward.
func (s *Sightings) apply(m wireMessage) {
	now := s.config.Clock.Now()
	s.mu.Lock()
	changed := s.table.Receive(s.link(m.Node, now), toMessage(m), now)
	s.mu.Unlock()
	if changed {
		s.notifyChange()
	}
}

// link returns the link to a node and creates it if there is none. The caller
// holds s.mu.
func (s *Sightings) link(node string, now time.Time) *membership.Link {
	l := s.links[node]
	if l == nil {
		l = membership.NewLink(now)
		s.links[node] = l
	}
	return l
}

// Handler returns the handler of requests from other nodes. It does not
// authenticate them: wrap it with a check of the peer key.
func (s *Sightings) Handler() http.Handler {
	e := echo.New()
	e.POST(PathSightings, s.serve)
	return e
}

// serve applies the message of a listed node of this failure domain and responds
// with the next message for that node. Other senders get 403.
func (s *Sightings) serve(c echo.Context) error {
	var m wireMessage
	if err := decode(c, &m); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	listed := slices.ContainsFunc(s.config.Nodes(), func(vm fleet.VM) bool {
		return vm.ID == m.Node && vm.FailureDomain == s.config.FailureDomain
	})
	if !listed || m.Node == s.config.Node {
		return c.NoContent(http.StatusForbidden)
	}
	s.apply(m)
	return c.JSON(http.StatusOK, s.message(m.Node))
}
