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

// PathSightings is where nodes of one failure domain exchange what they see.
const PathSightings = "/v1/sightings"

// SightingsConfig configures Sightings.
type SightingsConfig struct {
	// Node is the ID of the VM that the node runs on.
	Node          string
	FailureDomain string
	// Nodes returns the entry VMs that the platform lists.
	Nodes      func() []fleet.VM
	Membership membership.Config
	// Scheme is "https" where nodes speak TLS, else "http".
	Scheme string
	// HTTP sends the requests; it adds the peer key.
	HTTP  *http.Client
	Clock clockwork.Clock
}

// Sightings shares the probing of backend servers among the nodes of a failure
// domain and exchanges what they see. It is safe for concurrent use.
type Sightings struct {
	config SightingsConfig
	sender *Relay

	mu    sync.Mutex
	table *membership.Table
	links map[string]*membership.Link
	// assigned caches the outcome of Assign for the nodes and members that it
	// was made for.
	nodes, members, assigned []string

	news chan struct{}
}

// NewSightings returns Sightings that know nothing yet.
func NewSightings(c SightingsConfig) *Sightings {
	return &Sightings{
		config: c,
		sender: &Relay{config: Config{Scheme: c.Scheme, HTTP: c.HTTP}},
		table:  membership.NewTable(c.Membership, c.Clock.Now()),
		links:  make(map[string]*membership.Link),
		news:   make(chan struct{}, 1),
	}
}

// Assign returns which of a failure domain's members this node is to probe.
func (s *Sightings) Assign(members []string) []string {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.live(now)
	if slices.Equal(live, s.nodes) && slices.Equal(members, s.members) {
		return s.assigned
	}
	var mine []string
	for _, m := range members {
		if slices.Contains(membership.Probers(m, live), s.config.Node) {
			mine = append(mine, m)
		}
	}
	s.table.Assign(mine, now)
	s.nodes, s.members, s.assigned = live, members, mine
	return mine
}

// Observe takes the outcome of a probe sent at sentAt.
func (s *Sightings) Observe(seen membership.ProbeResult, sentAt time.Time) {
	s.mu.Lock()
	changed := s.table.RecordProbe(seen, sentAt)
	s.mu.Unlock()
	if changed {
		s.announce()
	}
}

// Reports returns the reports of the failure domain's members.
func (s *Sightings) Reports() map[string]fleet.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reports(s.config.Clock.Now())
}

// News receives a value when there is something that Push should pass on.
func (s *Sightings) News() <-chan struct{} { return s.news }

func (s *Sightings) announce() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Beat exchanges once with this node's parents.
func (s *Sightings) Beat(ctx context.Context) error {
	return s.exchangeAll(ctx, false)
}

// Push exchanges with this node's parents and children, for news.
func (s *Sightings) Push(ctx context.Context) error {
	return s.exchangeAll(ctx, true)
}

func (s *Sightings) exchangeAll(ctx context.Context, children bool) error {
	targets := s.targets(children)
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

// live returns the live nodes of the failure domain in the order of their IDs.
// The caller holds the lock.
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

// targets returns the nodes to exchange with.
func (s *Sightings) targets(children bool) []fleet.VM {
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

// exchange sends one message to a node and takes its answer.
func (s *Sightings) exchange(ctx context.Context, vm fleet.VM) error {
	var answer wireLink
	if err := s.sender.post(ctx, vm.Address, PathSightings, s.message(vm.ID), &answer); err != nil {
		return err
	}
	s.take(answer)
	return nil
}

// message returns the next message to a node.
func (s *Sightings) message(node string) wireLink {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return wireLinkOf(s.table.NextMessage(s.link(node, now), now))
}

// take takes a message and announces what is to be passed on.
func (s *Sightings) take(m wireLink) {
	now := s.config.Clock.Now()
	s.mu.Lock()
	moved := s.table.Receive(s.link(m.Node, now), toLink(m), now)
	s.mu.Unlock()
	if moved {
		s.announce()
	}
}

// link returns the link to a node. The caller holds the lock.
func (s *Sightings) link(node string, now time.Time) *membership.Link {
	l := s.links[node]
	if l == nil {
		l = membership.NewLink(now)
		s.links[node] = l
	}
	return l
}

// Handler serves the other nodes. It is to stand behind a check of keys.
func (s *Sightings) Handler() http.Handler {
	e := echo.New()
	e.POST(PathSightings, s.serve)
	return e
}

// serve takes the message of a listed node of this failure domain.
func (s *Sightings) serve(c echo.Context) error {
	var m wireLink
	if err := decode(c, &m); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	listed := slices.ContainsFunc(s.config.Nodes(), func(vm fleet.VM) bool {
		return vm.ID == m.Node && vm.FailureDomain == s.config.FailureDomain
	})
	if !listed || m.Node == s.config.Node {
		return c.NoContent(http.StatusForbidden)
	}
	s.take(m)
	return c.JSON(http.StatusOK, s.message(m.Node))
}
