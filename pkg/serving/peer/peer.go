// Package peer speaks to the other nodes: it spreads revisions of the document,
// compares notes, collects the counts of requests, and tells of requests that
// crash backend servers. Every request carries a peer key.
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
	// pushTimeout bounds the time to hand a revision to one peer.
	pushTimeout = 2 * time.Second
	// backstop is how often a node reads the platform that is not a poller of
	// its failure domain.
	backstop = 30 * time.Second
	// maxPushes bounds the pushes in flight.
	maxPushes = 64
	// distantShare is one over the fraction of heartbeats that go to another
	// failure domain.
	distantShare = 4
)

// Store reads the environments on the platform.
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
	// Nodes returns the entry VMs that the platform lists.
	Nodes func() []fleet.VM
	// Fleet tells what this node knows of the fleet.
	Fleet Fleet
	// Moved is called, in order, with each revision that comes into force.
	Moved func(e revision.Entry, d document.Document)
	// Histories returns what this node has counted.
	Histories func() []burn.History
	// Suspects returns what this node knows of suspects; not called before the
	// node serves.
	Suspects func() Suspects
	// Slots schedules what this node owns; not called before the node serves.
	Slots func() Slots
	// Read is told the outcome of each read of the platform.
	Read func(err error)
	// Scheme is "https" where nodes speak TLS, else "http".
	Scheme string
	// HTTP sends the requests; it adds the peer key.
	HTTP   *http.Client
	Clock  clockwork.Clock
	Logger *zap.Logger
	Random *rand.Rand
}

// Relay holds the revision in force at a node and passes it on. It is safe for
// concurrent use, but for Poll and Heartbeat, which one goroutine each calls.
type Relay struct {
	config   Config
	follower *revision.Follower
	pushes   errgroup.Group
	// polledAt is when Poll last read the platform.
	polledAt time.Time

	mu sync.Mutex
	// body holds the bytes of the document in force, and last how they came out
	// of the document before.
	body []byte
	last push
	// passed holds the revision that was last passed on in each root's tree.
	passed map[string]uint64
	// inFlight is the number of pushes on their way; idle tells of each end.
	inFlight int
	idle     *sync.Cond
	// heard holds what other nodes said last, by their ID.
	heard map[string]note
}

// New returns a relay that holds no revision.
func New(c Config) *Relay {
	r := &Relay{config: c, follower: revision.NewFollower(c.Environment), heard: make(map[string]note), passed: make(map[string]uint64)}
	r.idle = sync.NewCond(&r.mu)
	r.pushes.SetLimit(maxPushes)
	return r
}

// Held returns the revision in force at this node.
func (r *Relay) Held() revision.FollowerState {
	return r.follower.State()
}

// Poll reads the platform if this node is a poller of its failure domain, or if
// its last read is long ago. It is to be called a few times a second.
func (r *Relay) Poll(ctx context.Context) error {
	now := r.config.Clock.Now()
	if !relay.IsPoller(r.config.Node, r.domain()) && now.Sub(r.polledAt) < backstop {
		return nil
	}
	if err := r.read(ctx); err != nil {
		return err
	}
	r.polledAt = now
	return nil
}

// Accepted reads the platform at once, since this node has just accepted a
// document, and tells a node in each other failure domain, which is the root of
// a tree there. Pollers cover for what fails.
func (r *Relay) Accepted(ctx context.Context) {
	before := r.Held().Revision
	if err := r.read(ctx); err != nil || r.Held().Revision == before {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	told := map[string]bool{r.config.FailureDomain: true}
	for _, vm := range r.config.Nodes() {
		if told[vm.FailureDomain] {
			continue
		}
		told[vm.FailureDomain] = true
		r.start(vm.Address, r.last, r.body)
	}
}

// read takes the revision that the platform shows.
func (r *Relay) read(ctx context.Context) error {
	row, err := r.config.Store.Read(ctx, r.config.Environment)
	r.config.Read(err)
	if err != nil {
		return Error.Wrap(err)
	}
	if row.Revision == 0 {
		return nil
	}
	if row.Revision <= r.Held().Revision {
		return r.take(row.Entry, nil, revision.OriginPlatform, r.config.Node)
	}
	body, err := r.config.Store.Document(ctx, row.Hash)
	if err != nil {
		event.DocumentUnreadable.Log(r.config.Logger, zap.Uint64("revision", row.Revision), zap.Error(err))
		return nil
	}
	return r.take(row.Entry, body, revision.OriginPlatform, r.config.Node)
}

// take puts a revision in force if it is newer than the one held, and passes
// it on in the tree of its root. The body may be missing when it is not newer.
func (r *Relay) take(e revision.Entry, body []byte, from revision.Origin, root string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.follower.State()
	var d document.Document
	if e.Revision > held.Revision {
		if environment.Hash(body) != e.Hash {
			return &environment.CorruptError{Hash: e.Hash}
		}
		var faults error
		if d, faults = parse(e, body); faults != nil {
			event.DocumentUnreadable.Log(r.config.Logger, zap.Uint64("revision", e.Revision), zap.Error(faults))
			return nil
		}
	}
	moved, err := r.follower.Offer(e, from)
	if err != nil {
		event.RevisionSplit.Log(r.config.Logger, zap.Error(err))
		return nil
	}
	if !moved {
		return nil
	}
	r.last = push{Entry: e, ParentHash: held.Hash, Delta: relay.NewDelta(r.body, body)}
	r.body = body
	r.config.Moved(e, d)
	event.RevisionInForce.Log(r.config.Logger, zap.Uint64("revision", e.Revision),
		zap.String("hash", e.Hash), zap.String("origin", string(from)))
	r.passOn(root)
	if relay.IsPoller(r.config.Node, r.domain()) {
		r.passOn(r.config.Node)
	}
	return nil
}

func parse(e revision.Entry, body []byte) (document.Document, error) {
	d, faults := document.Parse(e.Hash, body)
	return d, faults.Err()
}

// passOn hands the revision held to the children of this node in the tree of a
// root, once for each root. A child that cannot be reached learns by other ways,
// so errors are passed over. When too many pushes are in flight the rest learn
// by heartbeats. The caller holds the lock.
func (r *Relay) passOn(root string) {
	p, body := r.last, r.body
	if r.passed[root] >= p.Entry.Revision {
		return
	}
	r.passed[root] = p.Entry.Revision
	p.Root = root
	children := relay.Children(root, r.config.Node, r.domain())
	for _, vm := range r.config.Nodes() {
		if vm.ID == r.config.Node || !slices.Contains(children, vm.ID) {
			continue
		}
		r.start(vm.Address, p, body)
	}
}

// start starts a push, unless too many are in flight. The caller holds the
// lock.
func (r *Relay) start(address string, p push, body []byte) {
	started := r.pushes.TryGo(func() error {
		defer r.pushed()
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		_ = r.push(ctx, address, p, body)
		return nil
	})
	if started {
		r.inFlight++
	}
}

// pushed notes that a push has ended.
func (r *Relay) pushed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.idle.Broadcast()
}

// passAgain passes on a revision that came a second time, in another tree.
func (r *Relay) passAgain(root string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if root != "" && number == r.last.Entry.Revision {
		r.passOn(root)
	}
}

// push sends the delta, and the whole document if the peer cannot apply it.
func (r *Relay) push(ctx context.Context, address string, p push, body []byte) error {
	err := r.post(ctx, address, pathRevision, wirePushOf(p), nil)
	if !isMissing(err) {
		return err
	}
	p.ParentHash, p.Delta = "", relay.Delta{Middle: body}
	return r.post(ctx, address, pathRevision, wirePushOf(p), nil)
}

// Heartbeat compares notes with one random peer, and takes or hands on what the
// other lacks. It is to be called about once a second.
func (r *Relay) Heartbeat(ctx context.Context) error {
	r.forget()
	vm, ok := r.randomPeer()
	if !ok {
		return nil
	}
	var answer wireNote
	if err := r.post(ctx, vm.Address, pathNote, wireNoteOf(r.note()), &answer); err != nil {
		return err
	}
	theirs := toNote(answer)
	r.hear(theirs)
	held := r.Held()
	switch {
	case theirs.Revision > held.Revision:
		return r.fetch(ctx, vm.Address)
	case theirs.Revision < held.Revision:
		p, body := r.whole()
		return r.post(ctx, vm.Address, pathRevision, wirePushOf(push{Entry: p, Delta: relay.Delta{Middle: body}}), nil)
	}
	return nil
}

// fetch takes the revision that a peer holds.
func (r *Relay) fetch(ctx context.Context, address string) error {
	var answer wirePush
	if err := r.get(ctx, address, pathRevision, &answer); err != nil {
		return err
	}
	p := toPush(answer)
	return r.take(p.Entry, p.Delta.Middle, revision.OriginPeer, r.config.Node)
}

// whole returns the revision held and its bytes.
func (r *Relay) whole() (revision.Entry, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.State().Entry, r.body
}

// domain returns the listed nodes of this node's failure domain.
func (r *Relay) domain() []string {
	var ids []string
	for _, vm := range r.config.Nodes() {
		if vm.FailureDomain == r.config.FailureDomain {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Wait returns when no push is in flight.
func (r *Relay) Wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.inFlight > 0 {
		r.idle.Wait()
	}
}
