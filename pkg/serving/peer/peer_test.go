package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/core/attempt"
	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/relay"
	"almondbay.example/core/revision"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/platform"
)

const seed = 7

var peerKey = keys.NewSecret("key shared by all peers")

// relayCluster is a set of relays that send each other HTTP requests on loopback.
type relayCluster struct {
	store  *interruptibleStore
	nodes  []fleet.VM
	relays map[string]*Relay
	// suspects records the evidence and the grants of each node.
	suspects map[string]*suspectRecorder
	// down holds the IDs of the nodes that abort all requests.
	down sync.Map
	// revisionChanges counts the calls of OnRevision at all nodes.
	revisionChanges atomic.Int64
}

// interruptibleStore is a store on the platform with simulated outages.
type interruptibleStore struct {
	*environment.Store
	unavailable bool
}

func (s *interruptibleStore) Read(ctx context.Context, name string) (revision.Row, error) {
	if s.unavailable {
		return revision.Row{}, errors.New("platform unavailable")
	}
	return s.Store.Read(ctx, name)
}

// newRelayCluster starts perDomain nodes in each of the failure domains.
func newRelayCluster(t testing.TB, domains, perDomain int) *relayCluster {
	t.Helper()
	memory := platform.NewMemory()
	c := &relayCluster{
		store: &interruptibleStore{Store: environment.New(environment.Config{
			Table: memory, Objects: memory, Clock: clockwork.NewFakeClock(), Attempts: 1,
		})},
		relays:   make(map[string]*Relay),
		suspects: make(map[string]*suspectRecorder),
	}
	for i := range domains * perDomain {
		c.add(t, fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%domains))
	}
	return c
}

// add starts a node and adds it to the list of all nodes.
func (c *relayCluster) add(t testing.TB, id, domain string) {
	t.Helper()
	r := New(Config{
		Node: id, FailureDomain: domain, Environment: "trial",
		Store:          c.store,
		Nodes:          func() []fleet.VM { return c.nodes },
		OnRevision:     func(revision.Entry, document.Document) { c.revisionChanges.Add(1) },
		Histories:      func() []burn.History { return c.histories(id) },
		Suspects:       func() Suspects { return c.suspects[id] },
		OnPlatformRead: func(error) {},
		Scheme:         "http",
		HTTP:           &http.Client{Transport: keys.Transport{Key: peerKey, Base: http.DefaultTransport}},
		Clock:          clockwork.NewFakeClock(),
		Logger:         zap.NewNop(),
		Random:         rand.New(rand.NewPCG(seed, uint64(len(c.nodes)))),
	})
	guarded := keys.Require(keys.Holders([]keys.Secret{peerKey}), func(*http.Request) {}, r.Handler())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if c.isDown(id) {
			panic(http.ErrAbortHandler)
		}
		guarded.ServeHTTP(w, q)
	}))
	t.Cleanup(server.Close)
	c.nodes = append(c.nodes, fleet.VM{ID: id, FailureDomain: domain, Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEntry})
	c.relays[id] = r
	c.suspects[id] = &suspectRecorder{SuspectGrants: attempt.NewSuspectGrants()}
}

// suspectRecorder counts the evidence that a node receives and grants groups.
type suspectRecorder struct {
	*attempt.SuspectGrants
	evidence atomic.Int64
}

func (s *suspectRecorder) MergeEvidence(attempt.Evidence) { s.evidence.Add(1) }

func (s *suspectRecorder) Grant(group string, f attempt.Fingerprint) bool {
	return s.SuspectGrants.Grant(group, f, time.Unix(0, 0), time.Hour)
}

func (c *relayCluster) isDown(id string) bool {
	_, down := c.down.Load(id)
	return down
}

// histories returns one request of the node: a bad one of entry-0 and a good one of
// any other node.
func (c *relayCluster) histories(id string) []burn.History {
	recorder := burn.NewRecorder()
	now := time.Unix(1_700_000_000, 0)
	recorder.Record(burn.Series{Workspace: "lisbon", Model: "draft"}, id != "entry-0", now)
	return recorder.Histories(now)
}

// accept stores a document as the revision of the given number.
func (c *relayCluster) accept(t testing.TB, number int) {
	t.Helper()
	body := fmt.Appendf(nil, `{"models": [{"name": "draft", "version": "v%d", "groups": 1, "span": 1}]}`, number)
	_, err := c.store.Accept(t.Context(), "trial", environment.Proposal{
		Operation: fmt.Sprint(number), Parent: uint64(number - 1), Body: body,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// poll calls Poll at all nodes, and waits until all pushes have ended.
func (c *relayCluster) poll(t *testing.T) {
	t.Helper()
	for _, r := range c.relays {
		if err := r.Poll(t.Context()); err != nil && !c.store.unavailable {
			t.Fatal(err)
		}
	}
	c.settle()
}

// settle waits until no push is in flight at any level of the distribution trees.
// A push may start others at the next level, hence one pass for each level.
func (c *relayCluster) settle() {
	const maxTreeDepth = 4
	for range maxTreeDepth {
		for _, r := range c.relays {
			r.Wait()
		}
	}
}

// behind returns the IDs of the reachable nodes with an older revision.
func (c *relayCluster) behind(number uint64) []string {
	var ids []string
	for _, vm := range c.nodes {
		if !c.isDown(vm.ID) && c.relays[vm.ID].RevisionState().Revision < number {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// heartbeats runs the given number of heartbeats of each reachable node.
func (c *relayCluster) heartbeats(t *testing.T, rounds int) {
	t.Helper()
	for range rounds {
		for _, vm := range c.nodes {
			if !c.isDown(vm.ID) {
				// The random peer may be down, so an error is expected.
				_ = c.relays[vm.ID].Heartbeat(t.Context())
			}
		}
	}
}

// TestRevisionReachesAllNodes checks that polling and the distribution trees bring
// each revision into force once at every node, without heartbeats.
func TestRevisionReachesAllNodes(t *testing.T) {
	c := newRelayCluster(t, 3, 20)
	for number := 1; number <= 3; number++ {
		c.accept(t, number)
		c.poll(t)
		if ids := c.behind(uint64(number)); len(ids) > 0 {
			t.Errorf("revision %d is not in force at %v", number, ids)
		}
	}
	if got := c.revisionChanges.Load(); got != 3*60 {
		t.Errorf("OnRevision was called %d times, want 3 times at each of 60 nodes", got)
	}
	c.heartbeats(t, 1)
	for _, n := range c.relays["entry-0"].Nodes() {
		if n.Revision != 0 && n.Revision != 3 {
			t.Errorf("node %s is reported at revision %d, want 3, or 0 before its first heartbeat", n.ID, n.Revision)
		}
	}
}

// TestRevisionReachesNodesBehindLostRelay stops each node that is not a poller in
// turn. Its children in the first poller's distribution tree must get the revision
// through the tree of the second poller.
func TestRevisionReachesNodesBehindLostRelay(t *testing.T) {
	c := newRelayCluster(t, 1, 40)
	var members []string
	for _, vm := range c.nodes {
		members = append(members, vm.ID)
	}
	number := 0
	for _, lost := range members {
		if relay.IsPoller(lost, members) {
			continue
		}
		c.down.Clear()
		c.down.Store(lost, true)
		number++
		c.accept(t, number)
		c.poll(t)
		if ids := c.behind(uint64(number)); len(ids) > 0 {
			t.Errorf("without %s, revision %d is not in force at %v", lost, number, ids)
		}
	}
}

// TestAcceptedRevisionReachesAllDomains checks that a revision reaches all failure
// domains from the node that accepted it, before any node polls the platform.
func TestAcceptedRevisionReachesAllDomains(t *testing.T) {
	c := newRelayCluster(t, 3, 7)
	c.accept(t, 1)
	c.relays["entry-4"].DistributeAccepted(t.Context())
	c.settle()
	if ids := c.behind(1); len(ids) > 0 {
		t.Errorf("the accepted revision is not in force at %v", ids)
	}
}

// TestPlatformOutage checks that nodes which start during an outage of the platform
// get the revision from their peers, marked as not confirmed by the platform, and
// that all nodes get the next revision after the outage.
func TestPlatformOutage(t *testing.T) {
	c := newRelayCluster(t, 2, 4)
	c.accept(t, 1)
	c.poll(t)
	c.store.unavailable = true
	c.add(t, "new-0", "domain-0")
	c.add(t, "new-1", "domain-0")
	for _, id := range []string{"new-0", "new-1"} {
		// Only the new node sends heartbeats.
		for range 6 {
			_ = c.relays[id].Heartbeat(t.Context())
		}
		if state := c.relays[id].RevisionState(); state.Revision != 1 || state.Confirmed {
			t.Errorf("node %s has %+v, want revision 1, not confirmed", id, state)
		}
	}
	c.store.unavailable = false
	c.accept(t, 2)
	c.poll(t)
	c.heartbeats(t, 6)
	if ids := c.behind(2); len(ids) > 0 {
		t.Errorf("after the outage, revision 2 is not in force at %v", ids)
	}
}

// TestOldAndCorruptRevisionsAreIgnored checks that a push of an older revision has
// no effect, and that a document which does not match its hash is rejected.
func TestOldAndCorruptRevisionsAreIgnored(t *testing.T) {
	c := newRelayCluster(t, 1, 2)
	c.accept(t, 1)
	c.accept(t, 2)
	c.poll(t)
	r, vm := c.relays["entry-0"], c.nodes[1]
	row, err := c.store.Read(t.Context(), "trial")
	if err != nil {
		t.Fatal(err)
	}
	old := push{Entry: row.History[0], Delta: relay.Delta{Middle: []byte("{}")}}
	if err := r.push(t.Context(), vm.Address, old, nil); err != nil {
		t.Errorf("push of an older revision returned %v, want no error", err)
	}
	corrupt := push{Entry: row.Entry, ParentHash: row.Hash, Delta: relay.Delta{Middle: []byte("{}")}}
	corrupt.Entry.Revision = 3
	if err := r.push(t.Context(), vm.Address, corrupt, []byte("{}")); !isConflict(err) {
		t.Errorf("push of a document with another hash returned %v, want status 409", err)
	}
	if state := c.relays["entry-1"].RevisionState(); state.Revision != 2 {
		t.Errorf("entry-1 has %+v, want revision 2", state)
	}
}

// TestHistoriesOfAllNodes checks that the counts of all reachable nodes are merged
// and that the unreachable node is named.
func TestHistoriesOfAllNodes(t *testing.T) {
	c := newRelayCluster(t, 1, 5)
	c.down.Store("entry-4", true)
	histories, missing := c.relays["entry-1"].Histories(t.Context())
	if diff := cmp.Diff([]string{"entry-4"}, missing); diff != "" {
		t.Errorf("missing nodes (-want +got):\n%s", diff)
	}
	if len(histories) != 1 || histories[0].Coarse[0].Count != (burn.Count{Good: 3, Bad: 1}) {
		t.Errorf("histories are %+v, want one with 3 good and 1 bad requests", histories)
	}
}

// TestGroupIsGrantedToOneSuspect checks that two nodes cannot have a group granted
// to different suspects at once, and that evidence reaches all reachable nodes.
func TestGroupIsGrantedToOneSuspect(t *testing.T) {
	c := newRelayCluster(t, 2, 3)
	first, second := attempt.NewFingerprint([]byte("first")), attempt.NewFingerprint([]byte("second"))
	for group := range 10 {
		name := fmt.Sprint("draft-", group)
		if !c.relays["entry-0"].Grant(t.Context(), name, first) {
			t.Errorf("group %s was not granted to the first suspect", name)
		}
		if c.relays["entry-3"].Grant(t.Context(), name, second) {
			t.Errorf("group %s was granted to two suspects at once", name)
		}
		c.relays["entry-0"].Release(t.Context(), name, first)
		if !c.relays["entry-3"].Grant(t.Context(), name, second) {
			t.Errorf("group %s was not granted to the second suspect after its release", name)
		}
	}
	c.down.Store("entry-5", true)
	c.relays["entry-1"].Announce(t.Context(), attempt.Evidence{Fingerprint: first})
	for id, suspects := range c.suspects {
		want := int64(1)
		if id == "entry-1" || id == "entry-5" {
			want = 0
		}
		if got := suspects.evidence.Load(); got != want {
			t.Errorf("node %s received evidence %d times, want %d", id, got, want)
		}
	}
}

// TestRequestsWithoutPeerKeyAreRejected checks that all paths, also unknown ones,
// respond with 401 to a missing or wrong key. The digest of the key is no key.
func TestRequestsWithoutPeerKeyAreRejected(t *testing.T) {
	c := newRelayCluster(t, 1, 2)
	r := c.relays["entry-0"]
	for _, key := range []string{"", "a caller's key", peerKey.Digest()} {
		r.config.HTTP = &http.Client{Transport: keys.Transport{Key: keys.NewSecret(key), Base: http.DefaultTransport}}
		for _, path := range []string{pathState, pathRevision, pathHistories, pathEvidence, pathGrant, "/nowhere"} {
			var rejected *StatusError
			err := r.get(t.Context(), c.nodes[1].Address, path, nil)
			if !errors.As(err, &rejected) || rejected.Status != http.StatusUnauthorized {
				t.Errorf("request of %s with key %q returned %v, want status 401", path, key, err)
			}
		}
	}
}

// FuzzPush checks that a malformed push neither panics nor changes the revision.
func FuzzPush(f *testing.F) {
	f.Add(`{"entry": {"revision": 9, "hash": "x"}, "parentHash": "", "prefix": -1, "middle": "e30="}`)
	f.Fuzz(func(t *testing.T, body string) {
		r := &Relay{config: Config{Logger: zap.NewNop()}, follower: revision.NewFollower("trial")}
		request := httptest.NewRequest(http.MethodPost, pathRevision, strings.NewReader(body))
		response := httptest.NewRecorder()
		r.Handler().ServeHTTP(response, request)
		if r.RevisionState().Revision != 0 {
			t.Errorf("malformed push changed the revision: %q", body)
		}
	})
}

// TestMessageSizes checks that a push of a small change to a large document, and a
// message with a node's state, stay within 1 KiB.
func TestMessageSizes(t *testing.T) {
	const maxBytes = 1 << 10
	before := []byte(strings.Repeat("0123456789abcdef\n", 12_000))
	after := append([]byte("a changed line\n"), before...)
	hash := environment.Hash(after)
	operation := strings.Repeat("o", 36)
	messages := map[string]any{
		"push": wirePushOf(push{
			Root: "lisboa-1-entry-17", ParentHash: environment.Hash(before), Delta: relay.NewDelta(before, after),
			Entry: revision.Entry{Revision: 1 << 40, Hash: hash, Parent: 1<<40 - 1, Operation: operation, Kind: revision.KindPromote, Author: "ines", Source: revision.Source{Environment: "production", Revision: 1 << 40}},
		}),
		"state": wirePeerStateOf(peerState{Node: "lisboa-1-entry-17", FailureDomain: "lisboa-1", Revision: 1 << 40, Hash: hash}),
	}
	for name, message := range messages {
		body, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s message has %d bytes", name, len(body))
		if len(body) > maxBytes {
			t.Errorf("%s message has %d bytes, want at most %d", name, len(body), maxBytes)
		}
	}
}
