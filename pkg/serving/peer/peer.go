// Package peer implements the protocol between nodes. It distributes revisions of
// the document, exchanges node states, collects request counts, grants slots and
// announces requests that crash backend servers. Every message carries a peer key.
package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
	"almondbay.example/core/revision"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/event"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

const (
	// pushTimeout bounds the time to send a revision to one peer.
	pushTimeout = 2 * time.Second
	// nonPollerInterval is the interval at which a node that is not a poller of its
	// failure domain reads the platform.
	nonPollerInterval = 30 * time.Second
	// maxConcurrentRequests bounds the concurrent requests to peers, separately for
	// pushes of revisions, each query for histories and each announcement.
	maxConcurrentRequests = 64
	// crossDomainEvery is n where on average one heartbeat in n goes to another
	// failure domain.
	crossDomainEvery = 4
)

// Store reads the environments and their documents from the platform.
type Store interface {
	Read(ctx context.Context, name string) (revision.Row, error)
	Document(ctx context.Context, hash string) ([]byte, error)
}

// Config configures a Relay.
type Config struct {
	// Node is the ID of the VM that the node runs on.
	Node          string
	FailureDomain string
	Environment   string
	Store         Store
	// Nodes returns the entry VMs in the platform's list.
	Nodes func() []fleet.VM
	// Fleet serves the fleet data of this node to other nodes.
	Fleet Fleet
	// OnRevision is called with each revision that takes effect, in order.
	OnRevision func(e revision.Entry, d document.Document)
	// Histories returns the request counts of this node.
	Histories func() []burn.History
	// Suspects returns the handler of crash evidence and grants. It is not called
	// before the node serves.
	Suspects func() Suspects
	// Slots returns the scheduler of the models that this node owns. It is not
	// called before the node serves.
	Slots func() Slots
	// OnPlatformRead is called with the result of each read of the environment.
	OnPlatformRead func(err error)
	// Scheme is "https" if nodes use TLS and "http" otherwise.
	Scheme string
	// HTTP sends the requests; it adds the peer key.
	HTTP   *http.Client
	Clock  clockwork.Clock
	Logger *zap.Logger
	Random *rand.Rand
}

// Relay keeps the revision in force at a node and forwards it to other nodes. It
// is safe for concurrent use, except that Poll and Heartbeat must each be called
// by one goroutine only.
type Relay struct {
	config   Config
	follower *revision.Follower
	pushes   errgroup.Group
	// polledAt is when Poll last read the platform.
	polledAt time.Time

	mu sync.Mutex
	// body is the document in force; lastPush holds its revision and its delta to
	// the previous document.
	body     []byte
	lastPush push
	// forwarded maps the root of a distribution tree to the last revision that
	// was forwarded in it.
	forwarded map[string]uint64
	// inFlight is the number of pushes in progress; idle is signaled at the end of
	// each one.
	inFlight int
	idle     *sync.Cond
	// peerStates maps the ID of a node to its last received state.
	peerStates map[string]peerState
}

// New returns a relay without a revision.
func New(c Config) *Relay {
	r := &Relay{config: c, follower: revision.NewFollower(c.Environment), peerStates: make(map[string]peerState), forwarded: make(map[string]uint64)}
	r.idle = sync.NewCond(&r.mu)
	r.pushes.SetLimit(maxConcurrentRequests)
	return r
}

// RevisionState returns the revision in force at this node.
func (r *Relay) RevisionState() revision.FollowerState {
	return r.follower.State()
}

// Poll reads the platform if this node is a poller of its failure domain or has
// not read it for nonPollerInterval. Call it a few times a second.
func (r *Relay) Poll(ctx context.Context) error {
	now := r.config.Clock.Now()
	if !relay.IsPoller(r.config.Node, r.domainNodes()) && now.Sub(r.polledAt) < nonPollerInterval {
		return nil
	}
	if err := r.readPlatform(ctx); err != nil {
		return err
	}
	r.polledAt = now
	return nil
}

// DistributeAccepted is called after this node has accepted a document. It reads
// the platform at once and pushes the revision to one node in each other failure
// domain, which becomes the root of a distribution tree there. Errors are ignored:
// the pollers distribute the revision as well.
func (r *Relay) DistributeAccepted(ctx context.Context) {
	before := r.RevisionState().Revision
	if err := r.readPlatform(ctx); err != nil || r.RevisionState().Revision == before {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	notified := map[string]bool{r.config.FailureDomain: true}
	for _, vm := range r.config.Nodes() {
		if notified[vm.FailureDomain] {
			continue
		}
		notified[vm.FailureDomain] = true
		r.startPush(vm.Address, r.lastPush, r.body)
	}
}

// readPlatform reads the environment from the platform and applies its revision.
// The document is fetched only if the revision is newer than the current one.
func (r *Relay) readPlatform(ctx context.Context) error {
	row, err := r.config.Store.Read(ctx, r.config.Environment)
	r.config.OnPlatformRead(err)
	if err != nil {
		return Error.Wrap(err)
	}
	if row.Revision == 0 {
		return nil
	}
	if row.Revision <= r.RevisionState().Revision {
		return r.apply(row.Entry, nil, revision.OriginPlatform, r.config.Node)
	}
	body, err := r.config.Store.Document(ctx, row.Hash)
	if err != nil {
		event.DocumentUnreadable.Log(r.config.Logger, zap.Uint64("revision", row.Revision), zap.Error(err))
		return nil
	}
	return r.apply(row.Entry, body, revision.OriginPlatform, r.config.Node)
}

// apply puts a revision in force if it is newer than the current one, and
// forwards it in the distribution tree of root. If this node is a poller, it also
// forwards the revision in its own tree. The body may be nil if the revision is
// not newer.
func (r *Relay) apply(e revision.Entry, body []byte, from revision.Origin, root string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.follower.State()
	var d document.Document
	if e.Revision > current.Revision {
		if environment.Hash(body) != e.Hash {
			return &environment.CorruptError{Hash: e.Hash}
		}
		var parseErr error
		if d, parseErr = parse(e, body); parseErr != nil {
			event.DocumentUnreadable.Log(r.config.Logger, zap.Uint64("revision", e.Revision), zap.Error(parseErr))
			return nil
		}
	}
	changed, err := r.follower.Offer(e, from)
	if err != nil {
		event.RevisionDivergence.Log(r.config.Logger, zap.Error(err))
		return nil
	}
	if !changed {
		return nil
	}
	r.lastPush = push{Entry: e, ParentHash: current.Hash, Delta: relay.NewDelta(r.body, body)}
	r.body = body
	r.config.OnRevision(e, d)
	event.RevisionInForce.Log(r.config.Logger, zap.Uint64("revision", e.Revision),
		zap.String("hash", e.Hash), zap.String("origin", string(from)))
	r.forward(root)
	if relay.IsPoller(r.config.Node, r.domainNodes()) {
		r.forward(r.config.Node)
	}
	return nil
}

func parse(e revision.Entry, body []byte) (document.Document, error) {
	d, faults := document.Parse(e.Hash, body)
	return d, faults.Err()
}

// forward pushes the current revision to this node's children in the distribution
// tree of root, once for each root. Errors are ignored: a child that cannot be
// reached gets the revision through another tree or a heartbeat. Children beyond
// the limit on concurrent pushes get it by heartbeat. The caller holds r.mu.
func (r *Relay) forward(root string) {
	p, body := r.lastPush, r.body
	if r.forwarded[root] >= p.Entry.Revision {
		return
	}
	r.forwarded[root] = p.Entry.Revision
	p.Root = root
	children := relay.Children(root, r.config.Node, r.domainNodes())
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node || !slices.Contains(children, vm.ID) {
			continue
		}
		r.startPush(vm.Address, p, body)
	}
}

// startPush starts a push in the background, or drops it if
// maxConcurrentRequests pushes are in flight. The caller holds r.mu.
func (r *Relay) startPush(address string, p push, body []byte) {
	started := r.pushes.TryGo(func() error {
		defer r.pushDone()
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		_ = r.push(ctx, address, p, body)
		return nil
	})
	if started {
		r.inFlight++
	}
}

// pushDone records the end of a push.
func (r *Relay) pushDone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.idle.Broadcast()
}

// forwardAgain forwards the current revision when it has been received once more,
// in the distribution tree of another root.
func (r *Relay) forwardAgain(root string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if root != "" && number == r.lastPush.Entry.Revision {
		r.forward(root)
	}
}

// push sends the delta, and then the full document if the peer cannot apply the
// delta.
func (r *Relay) push(ctx context.Context, address string, p push, body []byte) error {
	err := r.post(ctx, address, pathRevision, wirePushOf(p), nil)
	if !isConflict(err) {
		return err
	}
	p.ParentHash, p.Delta = "", relay.Delta{Middle: body}
	return r.post(ctx, address, pathRevision, wirePushOf(p), nil)
}

// Heartbeat exchanges states with one random peer. If the revisions differ, it
// fetches the newer revision from the peer or pushes its own. Call it about once a
// second.
func (r *Relay) Heartbeat(ctx context.Context) error {
	r.pruneUnlisted()
	vm, ok := r.randomPeer()
	if !ok {
		return nil
	}
	var reply wirePeerState
	if err := r.post(ctx, vm.Address, pathState, wirePeerStateOf(r.localState()), &reply); err != nil {
		return err
	}
	theirs := toPeerState(reply)
	r.recordState(theirs)
	current := r.RevisionState()
	switch {
	case theirs.Revision > current.Revision:
		return r.fetch(ctx, vm.Address)
	case theirs.Revision < current.Revision:
		p, body := r.snapshot()
		return r.post(ctx, vm.Address, pathRevision, wirePushOf(push{Entry: p, Delta: relay.Delta{Middle: body}}), nil)
	}
	return nil
}

// fetch gets the current revision of a peer and applies it.
func (r *Relay) fetch(ctx context.Context, address string) error {
	var reply wirePush
	if err := r.get(ctx, address, pathRevision, &reply); err != nil {
		return err
	}
	p := toPush(reply)
	return r.apply(p.Entry, p.Delta.Middle, revision.OriginPeer, r.config.Node)
}

// snapshot returns the current revision and the bytes of its document.
func (r *Relay) snapshot() (revision.Entry, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.State().Entry, r.body
}

// domainNodes returns the IDs of the listed nodes of this node's failure domain.
func (r *Relay) domainNodes() []string {
	var ids []string
	for _, vm := range r.config.Nodes() {
		if vm.FailureDomain == r.config.FailureDomain {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Wait blocks until no push is in flight.
func (r *Relay) Wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.inFlight > 0 {
		r.idle.Wait()
	}
}
