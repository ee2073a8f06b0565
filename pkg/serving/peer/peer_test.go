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

var peerKey = keys.NewSecret("the key that the peers share")

// fleetOf is several relays that reach each other over HTTP on loopback.
type fleetOf struct {
	store  *cutStore
	nodes  []fleet.VM
	relays map[string]*Relay
	// suspects holds what each node was told.
	suspects map[string]*told
	// dead holds the nodes that answer nothing.
	dead sync.Map
	// moves counts the revisions that came into force.
	moves atomic.Int64
}

// cutStore is the platform's store, which can be cut off.
type cutStore struct {
	*environment.Store
	cut bool
}

func (s *cutStore) Read(ctx context.Context, name string) (revision.Row, error) {
	if s.cut {
		return revision.Row{}, errors.New("cut off")
	}
	return s.Store.Read(ctx, name)
}

func newFleet(t testing.TB, domains, perDomain int) *fleetOf {
	t.Helper()
	memory := platform.NewMemory()
	f := &fleetOf{
		store: &cutStore{Store: environment.New(environment.Config{
			Table: memory, Objects: memory, Clock: clockwork.NewFakeClock(), Attempts: 1,
		})},
		relays:   make(map[string]*Relay),
		suspects: make(map[string]*told),
	}
	for i := range domains * perDomain {
		f.add(t, fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%domains))
	}
	return f
}

func (f *fleetOf) add(t testing.TB, id, domain string) {
	t.Helper()
	r := New(Config{
		Node: id, FailureDomain: domain, Environment: "trial",
		Store:     f.store,
		Nodes:     func() []fleet.VM { return f.nodes },
		Moved:     func(revision.Entry, document.Document) { f.moves.Add(1) },
		Histories: func() []burn.History { return f.histories(id) },
		Suspects:  func() Suspects { return f.suspects[id] },
		Read:      func(error) {},
		Scheme:    "http",
		HTTP:      &http.Client{Transport: keys.Transport{Key: peerKey, Base: http.DefaultTransport}},
		Clock:     clockwork.NewFakeClock(),
		Logger:    zap.NewNop(),
		Random:    rand.New(rand.NewPCG(seed, uint64(len(f.nodes)))),
	})
	guarded := keys.Require(keys.Holders([]keys.Secret{peerKey}), func(*http.Request) {}, r.Handler())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if f.isDead(id) {
			panic(http.ErrAbortHandler)
		}
		guarded.ServeHTTP(w, q)
	}))
	t.Cleanup(server.Close)
	f.nodes = append(f.nodes, fleet.VM{ID: id, FailureDomain: domain, Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEntry})
	f.relays[id] = r
	f.suspects[id] = &told{SuspectGrants: attempt.NewSuspectGrants()}
}

// told is what a node was told of suspects.
type told struct {
	*attempt.SuspectGrants
	learnt atomic.Int64
}

func (d *told) MergeEvidence(attempt.Evidence) { d.learnt.Add(1) }

func (d *told) Grant(group string, f attempt.Fingerprint) bool {
	return d.SuspectGrants.Grant(group, f, time.Unix(0, 0), time.Hour)
}

func (f *fleetOf) isDead(id string) bool {
	_, dead := f.dead.Load(id)
	return dead
}

func (f *fleetOf) histories(id string) []burn.History {
	recorder := burn.NewRecorder()
	now := time.Unix(1_700_000_000, 0)
	recorder.Record(burn.Series{Workspace: "lisbon", Model: "draft"}, id != "entry-0", now)
	return recorder.Histories(now)
}

func (f *fleetOf) accept(t testing.TB, number int) {
	t.Helper()
	body := fmt.Appendf(nil, `{"models": [{"name": "draft", "version": "v%d", "groups": 1, "span": 1}]}`, number)
	_, err := f.store.Accept(t.Context(), "trial", environment.Proposal{
		Operation: fmt.Sprint(number), Parent: uint64(number - 1), Body: body,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// poll has all nodes poll, and waits until all pushes have ended.
func (f *fleetOf) poll(t *testing.T) {
	t.Helper()
	for _, r := range f.relays {
		if err := r.Poll(t.Context()); err != nil && !f.store.cut {
			t.Fatal(err)
		}
	}
	f.settle()
}

// settle waits until no push goes on, down all levels of the trees.
func (f *fleetOf) settle() {
	const depth = 4
	for range depth {
		for _, r := range f.relays {
			r.Wait()
		}
	}
}

// behind lists the living nodes that hold less than a revision.
func (f *fleetOf) behind(number uint64) []string {
	var ids []string
	for _, vm := range f.nodes {
		if !f.isDead(vm.ID) && f.relays[vm.ID].Held().Revision < number {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// heartbeats has all living nodes compare notes for a number of rounds.
func (f *fleetOf) heartbeats(t *testing.T, rounds int) {
	t.Helper()
	for range rounds {
		for _, vm := range f.nodes {
			if !f.isDead(vm.ID) {
				// A dead peer is no fault of this node.
				_ = f.relays[vm.ID].Heartbeat(t.Context())
			}
		}
	}
}

func TestRevisionReachesAllNodes(t *testing.T) {
	f := newFleet(t, 3, 20)
	for number := 1; number <= 3; number++ {
		f.accept(t, number)
		f.poll(t)
		if ids := f.behind(uint64(number)); len(ids) > 0 {
			t.Errorf("revision %d is not in force at %v", number, ids)
		}
	}
	if got := f.moves.Load(); got != 3*60 {
		t.Errorf("%d revisions came into force, want each once at each of 60 nodes", got)
	}
	f.heartbeats(t, 1)
	for _, n := range f.relays["entry-0"].Nodes() {
		if n.Revision != 0 && n.Revision != 3 {
			t.Errorf("%s is shown at revision %d", n.ID, n.Revision)
		}
	}
}

// TestLostRelaysDelayNobody kills a relay in each place of the first poller's
// tree in turn: the second poller's tree reaches the nodes below it.
func TestLostRelaysDelayNobody(t *testing.T) {
	f := newFleet(t, 1, 40)
	var members []string
	for _, vm := range f.nodes {
		members = append(members, vm.ID)
	}
	number := 0
	for _, lost := range members {
		if relay.IsPoller(lost, members) {
			continue
		}
		f.dead.Clear()
		f.dead.Store(lost, true)
		number++
		f.accept(t, number)
		f.poll(t)
		if ids := f.behind(uint64(number)); len(ids) > 0 {
			t.Errorf("without %s, revision %d is not in force at %v", lost, number, ids)
		}
	}
}

func TestAcceptingNodeTellsAllDomains(t *testing.T) {
	f := newFleet(t, 3, 7)
	f.accept(t, 1)
	f.relays["entry-4"].Accepted(t.Context())
	f.settle()
	if ids := f.behind(1); len(ids) > 0 {
		t.Errorf("the accepted revision is not in force at %v", ids)
	}
}

func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.accept(t, 1)
	f.poll(t)
	f.store.cut = true
	// All nodes of a domain but one are replaced, then the last one too.
	f.add(t, "new-0", "domain-0")
	f.add(t, "new-1", "domain-0")
	for _, id := range []string{"new-0", "new-1"} {
		// The new node alone compares notes.
		for range 6 {
			_ = f.relays[id].Heartbeat(t.Context())
		}
		if held := f.relays[id].Held(); held.Revision != 1 || held.Confirmed {
			t.Errorf("%s holds %+v, want revision 1, not confirmed", id, held)
		}
	}
	f.store.cut = false
	f.accept(t, 2)
	f.poll(t)
	f.heartbeats(t, 6)
	if ids := f.behind(2); len(ids) > 0 {
		t.Errorf("after the outage, revision 2 is not in force at %v", ids)
	}
}

func TestNeverRevertsAndRefusesWrongBytes(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.accept(t, 1)
	f.accept(t, 2)
	f.poll(t)
	r, vm := f.relays["entry-0"], f.nodes[1]
	row, err := f.store.Read(t.Context(), "trial")
	if err != nil {
		t.Fatal(err)
	}
	old := push{Entry: row.History[0], Delta: relay.Delta{Middle: []byte("{}")}}
	if err := r.push(t.Context(), vm.Address, old, nil); err != nil {
		t.Errorf("an old revision got %v, want it passed over", err)
	}
	forged := push{Entry: row.Entry, ParentHash: row.Hash, Delta: relay.Delta{Middle: []byte("{}")}}
	forged.Entry.Revision = 3
	if err := r.push(t.Context(), vm.Address, forged, []byte("{}")); !isMissing(err) {
		t.Errorf("bytes of another digest got %v", err)
	}
	if held := f.relays["entry-1"].Held(); held.Revision != 2 {
		t.Errorf("entry-1 holds %+v", held)
	}
}

func TestHistoriesOfAllNodes(t *testing.T) {
	f := newFleet(t, 1, 5)
	f.dead.Store("entry-4", true)
	histories, missing := f.relays["entry-1"].Histories(t.Context())
	if diff := cmp.Diff([]string{"entry-4"}, missing); diff != "" {
		t.Error(diff)
	}
	if len(histories) != 1 || histories[0].Coarse[0].Count != (burn.Count{Good: 3, Bad: 1}) {
		t.Errorf("got %+v", histories)
	}
}

func TestSuspectsAreKeptApart(t *testing.T) {
	f := newFleet(t, 2, 3)
	first, second := attempt.NewFingerprint([]byte("first")), attempt.NewFingerprint([]byte("second"))
	for group := range 10 {
		name := fmt.Sprint("draft-", group)
		if !f.relays["entry-0"].Grant(t.Context(), name, first) {
			t.Errorf("%s is not granted to its first suspect", name)
		}
		if f.relays["entry-3"].Grant(t.Context(), name, second) {
			t.Errorf("%s is granted to two suspects at once", name)
		}
		f.relays["entry-0"].Release(t.Context(), name, first)
		if !f.relays["entry-3"].Grant(t.Context(), name, second) {
			t.Errorf("%s is not granted after its release", name)
		}
	}
	f.dead.Store("entry-5", true)
	f.relays["entry-1"].Announce(t.Context(), attempt.Evidence{Fingerprint: first})
	for id, suspects := range f.suspects {
		want := int64(1)
		if id == "entry-1" || id == "entry-5" {
			want = 0
		}
		if got := suspects.learnt.Load(); got != want {
			t.Errorf("%s learnt %d times, want %d", id, got, want)
		}
	}
}

func TestOnlyPeersGetIn(t *testing.T) {
	f := newFleet(t, 1, 2)
	r := f.relays["entry-0"]
	for _, key := range []string{"", "a caller's key", peerKey.Digest()} {
		r.config.HTTP = &http.Client{Transport: keys.Transport{Key: keys.NewSecret(key), Base: http.DefaultTransport}}
		for _, path := range []string{pathNote, pathRevision, pathHistories, pathConviction, pathGrant, "/nowhere"} {
			var refused *StatusError
			err := r.get(t.Context(), f.nodes[1].Address, path, nil)
			if !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized {
				t.Errorf("%s with key %q got %v", path, key, err)
			}
		}
	}
}

func FuzzPush(f *testing.F) {
	f.Add(`{"entry": {"revision": 9, "hash": "x"}, "parentHash": "", "prefix": -1, "middle": "e30="}`)
	f.Fuzz(func(t *testing.T, body string) {
		fl := &Relay{config: Config{Logger: zap.NewNop()}, follower: revision.NewFollower("trial")}
		request := httptest.NewRequest(http.MethodPost, pathRevision, strings.NewReader(body))
		answer := httptest.NewRecorder()
		fl.Handler().ServeHTTP(answer, request)
		if fl.Held().Revision != 0 {
			t.Errorf("took %q", body)
		}
	})
}

// TestMessagesAreSmall holds the size of what is sent for a change of a large
// document, and of a comparison of notes.
func TestMessagesAreSmall(t *testing.T) {
	const most = 1 << 10
	before := []byte(strings.Repeat("0123456789abcdef\n", 12_000))
	after := append([]byte("a changed line\n"), before...)
	hash := environment.Hash(after)
	operation := strings.Repeat("o", 36)
	messages := map[string]any{
		"push": wirePushOf(push{
			Root: "lisboa-1-entry-17", ParentHash: environment.Hash(before), Delta: relay.NewDelta(before, after),
			Entry: revision.Entry{Revision: 1 << 40, Hash: hash, Parent: 1<<40 - 1, Operation: operation, Kind: revision.KindPromote, Author: "ines", Source: revision.Source{Environment: "production", Revision: 1 << 40}},
		}),
		"note": wireNoteOf(note{Node: "lisboa-1-entry-17", FailureDomain: "lisboa-1", Revision: 1 << 40, Hash: hash}),
	}
	for name, message := range messages {
		body, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("a %s has %d bytes", name, len(body))
		if len(body) > most {
			t.Errorf("a %s has %d bytes, the most is %d", name, len(body), most)
		}
	}
}
