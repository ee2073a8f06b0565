// Package peer speaks to the other nodes: what probers see, the revision of
// the configuration in force, and quarantined requests spread by it.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/core/membership"
	"almondbay.example/serving/keys"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// Paths of the API between nodes.
const (
	PathExchange = "/peer/exchange"
	PathDocument = "/peer/document"
)

const (
	// maxMessageBytes bounds a message; a whole domain at the target size
	// stays below it.
	maxMessageBytes = 4 << 20
	// maxNotices bounds the notices that a node remembers.
	maxNotices = 1024
)

// Configuration is the configuration in force at a node. Offer ignores a
// revision that is not above the one held.
type Configuration interface {
	Held() (revision uint64, body []byte)
	Offer(ctx context.Context, revision uint64, body []byte) error
}

// Quarantine takes notices of quarantined requests. Learn reports whether the
// notice was news.
type Quarantine interface {
	Learn(notice []byte) (bool, error)
}

// Config configures a Peer.
type Config struct {
	Node          string
	FailureDomain string
	// Keys are the keys that peers may show; the first is the one to send.
	Keys          []keys.Secret
	Client        *http.Client
	Clock         clockwork.Clock
	Membership    membership.Config
	Configuration Configuration
	Quarantine    Quarantine
	// Nodes returns the entry VMs of all failure domains.
	Nodes func() []fleet.VM
}

// Peer is one node's end of the exchange with all others. It is safe for
// concurrent use.
type Peer struct {
	config Config

	mu    sync.Mutex
	table *membership.Table
	links map[string]*membership.Link
	// notices are those that this node has learnt, oldest first.
	notices []json.RawMessage
	// peers holds what is known of each peer.
	peers map[string]*known
	// ahead is a peer that told a later revision than the one held; empty when
	// there is none.
	ahead string
	// start tells this run from former ones.
	start int64
	news  chan struct{}
}

// known is what a node knows of a peer.
type known struct {
	start int64
	// revision is the last one that the peer told.
	revision uint64
	// noticed is how many notices the peer was sent. An answer that is lost
	// loses its notices on this path; the other tree and the table service
	// are behind it.
	noticed int
}

// New returns a Peer that knows nothing yet.
func New(c Config) *Peer {
	return &Peer{
		config: c,
		table:  membership.NewTable(c.Membership, c.Clock.Now()),
		links:  make(map[string]*membership.Link),
		peers:  make(map[string]*known),
		start:  c.Clock.Now().UnixNano(),
		news:   make(chan struct{}, 1),
	}
}

// Assign returns the members that this node is to probe.
func (p *Peer) Assign(members []string) []string {
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.live(now)
	var mine []string
	for _, m := range members {
		if slices.Contains(membership.Probers(m, live), p.config.Node) {
			mine = append(mine, m)
		}
	}
	p.table.Assign(mine, now)
	return mine
}

// Observe takes the outcome of a probe sent at sentAt.
func (p *Peer) Observe(s membership.Sighting, sentAt time.Time) {
	p.mu.Lock()
	changed := p.table.Observe(s, sentAt)
	p.mu.Unlock()
	if changed {
		p.Announce()
	}
}

// Reports returns the reports of all members of the failure domain.
func (p *Peer) Reports() map[string]fleet.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reports(p.config.Clock.Now())
}

// Revisions returns the revision that each peer last told, for status.
func (p *Peer) Revisions() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revisions := make(map[string]uint64, len(p.peers))
	for node, k := range p.peers {
		revisions[node] = k.revision
	}
	return revisions
}

// News receives a value when there is something that Push should pass on.
func (p *Peer) News() <-chan struct{} { return p.news }

// Announce asks for a Push, after a new revision was put in force here.
func (p *Peer) Announce() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// Notify spreads a notice at once.
func (p *Peer) Notify(notice []byte) {
	p.mu.Lock()
	p.keep(notice)
	p.mu.Unlock()
	p.Announce()
}

// keep remembers a notice. The caller holds the lock.
func (p *Peer) keep(notice []byte) {
	if len(p.notices) == maxNotices {
		// Peers that lag by more than the bound learn from the table service.
		p.notices = slices.Delete(p.notices, 0, 1)
		for _, k := range p.peers {
			k.noticed = max(k.noticed-1, 0)
		}
	}
	p.notices = append(p.notices, notice)
}

// Beat exchanges once with the parents, and with the roots of the other failure
// domains when this node is a root. It returns the errors of all exchanges.
func (p *Peer) Beat(ctx context.Context) error {
	return p.exchangeAll(ctx, p.targets(false))
}

// Push is a Beat that reaches the children as well, for news that can't wait.
func (p *Peer) Push(ctx context.Context) error {
	return p.exchangeAll(ctx, p.targets(true))
}

func (p *Peer) exchangeAll(ctx context.Context, targets []fleet.VM) error {
	errors := make([]error, len(targets))
	var g errgroup.Group
	for i, vm := range targets {
		g.Go(func() error {
			errors[i] = p.exchange(ctx, vm)
			return nil
		})
	}
	_ = g.Wait()
	return errs.Combine(errors...)
}

// live returns the live nodes of the own failure domain. The caller holds the
// lock.
func (p *Peer) live(now time.Time) []string {
	listed := []string{p.config.Node}
	for _, vm := range p.config.Nodes() {
		if vm.FailureDomain == p.config.FailureDomain && vm.State == fleet.VMLive && vm.ID != p.config.Node {
			listed = append(listed, vm.ID)
		}
	}
	return p.table.Live(listed, now)
}

// targets returns the nodes to exchange with.
func (p *Peer) targets(children bool) []fleet.VM {
	now := p.config.Clock.Now()
	p.mu.Lock()
	p.table.Forget(now)
	live := p.live(now)
	wanted := map[string]bool{p.ahead: true}
	p.ahead = ""
	p.mu.Unlock()

	for i := range membership.Trees {
		tree := membership.NewTree(i, live)
		wanted[tree.Parent(p.config.Node)] = true
		if children {
			for _, child := range tree.Children(p.config.Node) {
				wanted[child] = true
			}
		}
		if tree.Root() == p.config.Node {
			for _, root := range p.otherRoots(i) {
				wanted[root] = true
			}
		}
	}
	var targets []fleet.VM
	for _, vm := range p.config.Nodes() {
		if wanted[vm.ID] && vm.ID != p.config.Node {
			targets = append(targets, vm)
		}
	}
	return targets
}

// otherRoots returns the root of tree i in each other failure domain.
func (p *Peer) otherRoots(i int) []string {
	domains := make(map[string][]string)
	for _, vm := range p.config.Nodes() {
		if vm.FailureDomain != p.config.FailureDomain && vm.State == fleet.VMLive {
			domains[vm.FailureDomain] = append(domains[vm.FailureDomain], vm.ID)
		}
	}
	var roots []string
	for _, nodes := range domains {
		roots = append(roots, membership.NewTree(i, nodes).Root())
	}
	return roots
}

// exchange sends one message to a node and takes its answer.
func (p *Peer) exchange(ctx context.Context, vm fleet.VM) error {
	request := p.message(vm.ID, vm.FailureDomain)
	body, err := p.call(ctx, http.MethodPost, vm.Address, PathExchange, request)
	if err != nil {
		return err
	}
	var answer wireMessage
	if err := json.Unmarshal(body, &answer); err != nil {
		return Error.Wrap(err)
	}
	if err := p.take(answer); err != nil {
		return err
	}
	return p.catchUp(ctx, vm, answer.Revision)
}

// catchUp fetches the configuration from a node that holds a later revision.
func (p *Peer) catchUp(ctx context.Context, vm fleet.VM, revision uint64) error {
	held, _ := p.config.Configuration.Held()
	if revision <= held {
		return nil
	}
	body, err := p.call(ctx, http.MethodGet, vm.Address, fmt.Sprintf("%s/%d", PathDocument, revision), nil)
	if err != nil {
		return err
	}
	if err := p.config.Configuration.Offer(ctx, revision, body); err != nil {
		return Error.Wrap(err)
	}
	p.Announce()
	return nil
}

// message returns the next message to a node.
func (p *Peer) message(node, domain string) wireMessage {
	revision, _ := p.config.Configuration.Held()
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.peer(node)
	m := wireMessage{
		Node: p.config.Node, Domain: p.config.FailureDomain, Start: p.start, Revision: revision,
		Notices: slices.Clone(p.notices[k.noticed:]),
	}
	k.noticed = len(p.notices)
	if domain == p.config.FailureDomain {
		m.Link = linkToWire(p.table.Send(p.link(node, now), now))
	}
	return m
}

// peer returns what is known of a node. The caller holds the lock.
func (p *Peer) peer(node string) *known {
	k := p.peers[node]
	if k == nil {
		k = &known{}
		p.peers[node] = k
	}
	return k
}

// link returns the link to a node. The caller holds the lock.
func (p *Peer) link(node string, now time.Time) *membership.Link {
	l := p.links[node]
	if l == nil {
		l = membership.NewLink(now)
		p.links[node] = l
	}
	return l
}

// take takes a message and announces what is to be passed on.
func (p *Peer) take(m wireMessage) error {
	held, _ := p.config.Configuration.Held()
	if p.takeLink(m, held) {
		p.Announce()
	}
	for _, notice := range m.Notices {
		fresh, err := p.config.Quarantine.Learn(notice)
		if err != nil {
			return Error.Wrap(err)
		}
		if fresh {
			p.Notify(notice)
		}
	}
	return nil
}

// takeLink takes the message but for its notices, and reports whether there is
// something to pass on or to fetch.
func (p *Peer) takeLink(m wireMessage, held uint64) bool {
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.peer(m.Node)
	if k.start != m.Start {
		*k = known{start: m.Start}
	}
	k.revision = m.Revision
	news := m.Revision > held
	if news {
		p.ahead = m.Node
	}
	if m.Link != nil && m.Domain == p.config.FailureDomain {
		news = p.table.Take(p.link(m.Node, now), linkFromWire(m.Node, m.Link), now) || news
	}
	return news
}

// call sends a request to a node and returns the body of its answer.
func (p *Peer) call(ctx context.Context, method, address, path string, message any) ([]byte, error) {
	var body io.Reader = http.NoBody
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.config.Keys[0].Authorize(request.Header)
	response, err := p.config.Client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, Error.New("%s %s: %s", address, path, response.Status)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	return answer, Error.Wrap(err)
}
