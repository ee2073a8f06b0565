package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/gossip"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/retry"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// newNodeOfStore returns a node with the tables of a store, and what it logs.
func newNodeOfStore(t *testing.T) (*Node, *observer.ObservedLogs) {
	t.Helper()
	n := newReportingNode(t)
	core, lines := observer.New(zap.InfoLevel)
	n.config.Logger = zap.New(core)
	n.registrations = registry.NewCache(registry.CacheConfig{ReturnGrace: returnGrace, RecordRetention: recordRetention})
	n.heads = map[balance.Key]int{}
	n.losses = quarantine.NewTracker(quarantine.TrackerConfig{})
	n.tableVersions = map[string]uint64{}
	n.announceDue = make(chan struct{}, 1)
	n.config.Codec = Codec{
		ServersTable: "servers", ConfigurationTable: "op", ConfigurationKey: "config",
		DecodeServer: func(id string, _ []byte) *registry.Server {
			return &registry.Server{ID: id, Service: "svc", Slots: 6, Incarnation: 1}
		},
		DecodeConfiguration: func(value []byte) (*routes.Configuration, error) {
			c := &routes.Configuration{}
			return c, json.Unmarshal(value, &c.Version)
		},
		Unwrap: func(body []byte) (string, []byte, error) { return "", body, nil },
	}
	return n, lines
}

// TestRestoredStoreKeepsServers guards against servers that count as gone since an older copy
// of the store doesn't have them: they are given the time to register again.
func TestRestoredStoreKeepsServers(t *testing.T) {
	n, lines := newNodeOfStore(t)
	replace := func(era, version uint64, ids ...string) {
		c := platform.Changes{Version: platform.VersionIn(era, version)}
		for _, id := range ids {
			c.Rows = append(c.Rows, platform.Change{Key: id, Version: c.Version})
		}
		n.replaceServers(c)
	}
	heads := func() []string {
		var ids []string
		now := n.config.Clock.Now()
		for _, h := range registry.Heads(n.registrations.View(now), nil, now, returnGrace) {
			ids = append(ids, h.ID)
		}
		return ids
	}
	replace(0, 9, "a", "b")
	advance(n, time.Minute)
	replace(1, 4, "a")
	if diff := cmp.Diff([]string{"a", "b"}, heads()); diff != "" {
		t.Errorf("heads after the return of the store (-want +got):\n%s", diff)
	}
	if got := lines.FilterMessage(event.StoreRestored.Message).Len(); got != 1 {
		t.Errorf("%d lines about the return of the store, want 1", got)
	}
	advance(n, returnGrace+time.Millisecond)
	if diff := cmp.Diff([]string{"a"}, heads()); diff != "" {
		t.Errorf("heads once the other one had time to register (-want +got):\n%s", diff)
	}
	replace(1, 7, "a", "b")
	if diff := cmp.Diff([]string{"a", "b"}, heads()); diff != "" {
		t.Errorf("heads after it registered again (-want +got):\n%s", diff)
	}
}

// TestRestoredStoreGetsRowsOfNode guards against rows of a node that stay lost: its own, by
// which nodes that start find it, and the evidence that it contributed to.
func TestRestoredStoreGetsRowsOfNode(t *testing.T) {
	n, _ := newNodeOfStore(t)
	s := n.suspects
	f := attempt.Fingerprint{1}
	s.contributed[f], s.own[f] = true, 3
	if n.observeEra(nodesTable, platform.Changes{Version: platform.VersionIn(2, 9)}) {
		t.Error("the first table that is read counts as one of a store that was restored")
	}
	if n.observeEra(nodesTable, platform.Changes{Version: platform.VersionIn(2, 30)}) {
		t.Error("a later version of the same era counts as one of a store that was restored")
	}
	if !n.observeEra(nodesTable, platform.Changes{Version: platform.VersionIn(3, 5)}) {
		t.Fatal("the new era isn't noticed")
	}
	n.rewriteRows()
	n.rewriteRows()
	if len(n.announceDue) != 1 {
		t.Error("the node doesn't write its row again")
	}
	if !s.changed[f] || len(s.own) > 0 {
		t.Errorf("evidence to write %v, written %v; want it written again", s.changed, s.own)
	}
}

// TestOlderConfigurationOfRestoredStoreIsNotRelayed guards against nodes that start after the
// store came back from a copy and take a configuration that was replaced before.
func TestOlderConfigurationOfRestoredStoreIsNotRelayed(t *testing.T) {
	n, _ := newNodeOfStore(t)
	for _, tt := range []struct {
		old, next string
		want      bool
	}{{"7", "8", true}, {"8", "7", false}, {"8", "8", false}, {"x", "7", true}, {"7", "x", true}} {
		t.Run(fmt.Sprint(tt.old, " to ", tt.next), func(t *testing.T) {
			if got := configurationSupersedes(n.decodeConfigurationVersion([]byte(tt.old)), n.decodeConfigurationVersion([]byte(tt.next))); got != tt.want {
				t.Errorf("supersedes: got %v, want %v", got, tt.want)
			}
		})
	}
}

// writtenStore is a store that takes all writes and keeps their keys.
type writtenStore struct {
	Store
	written, deleted []string
}

// CommitVersion implements platform.Committer.
func (s *writtenStore) CommitVersion(_ context.Context, t platform.Transaction) (uint64, error) {
	for _, w := range t.Writes {
		if w.Delete {
			s.deleted = append(s.deleted, w.Key)
			continue
		}
		s.written = append(s.written, w.Key)
	}
	return 1, nil
}

// newWritingNode returns a node and what it writes to the store.
func newWritingNode(t *testing.T) (*Node, *writtenStore) {
	t.Helper()
	n, _ := newNodeOfStore(t)
	s := &writtenStore{}
	n.store = &instrumentedStore{store: s, clock: n.config.Clock, metrics: n.metrics}
	n.config.Store = n.store
	n.budget = retry.NewBudget(retry.Config{})
	n.eventLog = newEventLog(zap.NewNop(), n.config.Clock, func() uint64 { return 0 })
	return n, s
}

// advance lets time pass on the clock of a node.
func advance(n *Node, d time.Duration) {
	n.config.Clock.(interface{ Advance(time.Duration) }).Advance(d)
}

// crashingEvidence returns evidence that suffices to reject a request.
func crashingEvidence() quarantine.Evidence {
	e := quarantine.Evidence{Evidence: attempt.Evidence{Fingerprint: attempt.Fingerprint{7}}, Quick: 7}
	for i := range uint64(maxCrashes) {
		e.Observations = append(e.Observations, attempt.CrashObservation{
			Crash: attempt.Crash{Group: "server", Epoch: i, Site: "server"}, Age: time.Second,
		})
	}
	return e
}

// evidenceRow returns the row that a node has written about a request.
func evidenceRow(t *testing.T, node string, e quarantine.Evidence, version uint64) platform.Change {
	t.Helper()
	value, err := quarantine.EncodeEvidence(e)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Change{Key: rowPrefix(e.Fingerprint) + node, Version: version, Value: value}
}

// saveAfterReviews lets the reviews of all nodes come and has a node save what is due.
func saveAfterReviews(t *testing.T, n *Node) {
	t.Helper()
	advance(n, firstReviewDelay+time.Duration(n.peers.Count())*reviewStep)
	if err := n.saveSuspects(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestRestoredStoreGetsEvidenceOfEndedNodes guards against a verdict on a crashing request
// that is lost when the store comes back from a copy and the nodes that found it out have
// ended: the others knew it, too, but wrote nothing.
func TestRestoredStoreGetsEvidenceOfEndedNodes(t *testing.T) {
	e := crashingEvidence()
	tests := []struct {
		name   string
		copied []platform.Change
		// want is the number of rows that a node writes after the return.
		want int
	}{
		{"copy lacks the row", nil, 1},
		{"copy has the row", []platform.Change{evidenceRow(t, "ended", e, platform.VersionIn(1, 5))}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, s := newWritingNode(t)
			known := map[string]gossip.Peer{}
			n.mergeEvidence([]quarantine.Evidence{e}, true, n.config.Clock.Now())
			n.replaceNodes(known, platform.Changes{Version: 9, Rows: []platform.Change{evidenceRow(t, "ended", e, 5)}})
			saveAfterReviews(t, n)
			if len(s.written) > 0 {
				t.Errorf("got rows %v although there was one", s.written)
			}
			n.replaceNodes(known, platform.Changes{Version: platform.VersionIn(1, 6), Rows: tt.copied})
			saveAfterReviews(t, n)
			if len(s.written) != tt.want {
				t.Errorf("got rows %v, want %d", s.written, tt.want)
			}
			n.replaceNodes(known, platform.Changes{Version: platform.VersionIn(2, 5)})
			saveAfterReviews(t, n)
			if len(s.written) != tt.want+1 {
				t.Errorf("got rows %v after another return, want %d", s.written, tt.want+1)
			}
		})
	}
}

// TestFewNodesWriteEvidenceAgain guards against writes by all nodes when the store has lost
// the evidence that all of them have: 195 rows for each request in one second are half of
// what the store takes.
func TestFewNodesWriteEvidenceAgain(t *testing.T) {
	const nodes, marks, maxWriters = 195, 20, 3
	n, _ := newWritingNode(t)
	now := n.config.Clock.Now()
	name := func(i int) string { return fmt.Sprint("node-", i) }
	for i := range nodes {
		n.peers.Record(gossip.Message{Node: name(i), FailureDomain: "a", Address: fmt.Sprint("127.0.1.", i), Incarnation: 1, Sequence: 1}, now)
	}
	for mark := range byte(marks) {
		var delays []time.Duration
		for i := range nodes {
			n.config.Settings.Node = name(i)
			delays = append(delays, n.reviewDelay(attempt.Fingerprint{mark}, now))
		}
		slices.Sort(delays)
		// A row takes up to two steps to reach all nodes.
		writers := len(slices.DeleteFunc(delays, func(d time.Duration) bool { return d > delays[0]+2*reviewStep }))
		if writers > maxWriters || delays[0] != firstReviewDelay {
			t.Errorf("mark %d: %d nodes write a row, the first after %v; want at most %d, the first after %v", mark, writers, delays[0], maxWriters, firstReviewDelay)
		}
	}
}

// TestRestoredStoreKeepsNoRefutedEvidence guards against a verdict that an answer has taken
// back and that comes back with a row in a copy of the store, or the answer being lost to
// nodes that start.
func TestRestoredStoreKeepsNoRefutedEvidence(t *testing.T) {
	e := crashingEvidence()
	n, s := newWritingNode(t)
	known := map[string]gossip.Peer{}
	n.replaceNodes(known, platform.Changes{Version: 9, Rows: []platform.Change{evidenceRow(t, "ended", e, 5)}})
	if !n.suspects.guard.Verdict(e.Fingerprint, n.config.Clock.Now()).Blamed {
		t.Fatal("the evidence in the row doesn't suffice")
	}
	n.applyNodes(known, platform.Changes{Version: 11, Rows: []platform.Change{{Key: rowPrefix(e.Fingerprint) + "ended", Version: 11, Deleted: true}}})
	advance(n, expireInterval)
	if err := n.saveSuspects(t.Context()); err != nil {
		t.Fatal(err)
	}
	row := evidenceRow(t, "ended", e, platform.VersionIn(1, 5))
	n.replaceNodes(known, platform.Changes{Version: platform.VersionIn(1, 6), Rows: []platform.Change{row}})
	if n.suspects.guard.Verdict(e.Fingerprint, n.config.Clock.Now()).Blamed {
		t.Error("the request is rejected again, since the copy has the row")
	}
	saveAfterReviews(t, n)
	if diff := cmp.Diff([]string{nodesTable + "//" + row.Key}, s.deleted); diff != "" || len(s.written) > 0 {
		t.Errorf("rows written %v; rows deleted (-want +got):\n%s", s.written, diff)
	}
	for _, rowFirst := range []bool{true, false} {
		started, _ := newWritingNode(t)
		now := started.config.Clock.Now()
		if rowFirst {
			started.replaceNodes(known, platform.Changes{Version: row.Version, Rows: []platform.Change{row}})
		}
		for _, told := range n.knowledge().Evidence {
			started.suspects.guard.Merge(told, now)
		}
		if !rowFirst {
			started.replaceNodes(known, platform.Changes{Version: row.Version, Rows: []platform.Change{row}})
		}
		if started.suspects.guard.Verdict(e.Fingerprint, now).Blamed {
			t.Errorf("a node that has just started rejects the request (row read first: %v)", rowFirst)
		}
	}
}

// TestNodeAsksAgainWithoutAnswer guards against a node that learns nothing from a failure
// domain whose only node gave no answer at the first contact, or had just started then and
func TestNodeAsksAgainWithoutAnswer(t *testing.T) {
	n, _ := newWritingNode(t)
	known, _ := newWritingNode(t)
	e := crashingEvidence()
	known.mergeEvidence([]quarantine.Evidence{e}, true, known.config.Clock.Now())
	known.startedAt = known.config.Clock.Now().Add(-time.Hour)
	peer := peerrelay.NewServer(peerrelay.ServerConfig{Clock: known.config.Clock, Knowledge: known.knowledge})
	calls := 0
	servePeer(t, n, func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		peer.ServeHTTP(w, r)
	})
	n.peers.SetPeers(nil)
	n.peers.Record(gossip.Message{Node: "other", FailureDomain: "b", Address: "127.0.0.1", Incarnation: 1, Sequence: 1}, n.config.Clock.Now())
	blamed := func() bool { return n.suspects.guard.Verdict(e.Fingerprint, n.config.Clock.Now()).Blamed }
	if err := n.learnFromPeers(t.Context()); err == nil || blamed() {
		t.Fatalf("first call: error %v, request rejected %v; want an error and no evidence", err, blamed())
	}
	for range 3 {
		if err := n.learnFromPeers(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if !blamed() || calls != 2 {
		t.Errorf("request rejected: %v after %d calls; want the evidence from the second one, and no more calls", blamed(), calls)
	}
	advance(n, contactGap+time.Millisecond)
	n.peers.Record(gossip.Message{Node: "other", FailureDomain: "b", Address: "127.0.0.1", Incarnation: 1, Sequence: 2}, n.config.Clock.Now())
	if err := n.learnFromPeers(t.Context()); err != nil || calls != 3 {
		t.Errorf("after a pause of the node: error %v, %d calls; want one more call", err, calls)
	}
}

// servePeer has a handler answer the calls of a node to all its peers.
func servePeer(t *testing.T, n *Node, serve http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, server.Listener.Addr().String())
	}
	n.peerClient = peerrelay.NewClient(peerrelay.ClientConfig{Dial: dial})
}

// TestNodesThatStartTogetherAskFewPeers guards against calls of all nodes to all others when
// the fleet starts, whose connections they kept.
func TestNodesThatStartTogetherAskFewPeers(t *testing.T) {
	const peers, maxCalls = 30, 3
	n, _ := newWritingNode(t)
	fresh, _ := newWritingNode(t)
	fresh.startedAt = fresh.config.Clock.Now()
	peer := peerrelay.NewServer(peerrelay.ServerConfig{Clock: fresh.config.Clock, Knowledge: fresh.knowledge})
	calls := 0
	servePeer(t, n, func(w http.ResponseWriter, r *http.Request) {
		calls++
		if !r.Close {
			t.Error("the connection is kept")
		}
		peer.ServeHTTP(w, r)
	})
	n.peers.SetPeers(nil)
	for i := range peers {
		n.peers.Record(gossip.Message{
			Node: fmt.Sprint("node-", i), FailureDomain: "b", Address: fmt.Sprint("127.0.0.", i+1), Incarnation: 1, Sequence: 1,
		}, n.config.Clock.Now())
	}
	for range peers {
		if err := n.learnFromPeers(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if calls != maxCalls {
		t.Errorf("%d calls, want %d", calls, maxCalls)
	}
}
