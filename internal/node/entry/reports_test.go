package entry

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/peer/gossip"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/serving/event"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/platform"
)

// newReportingNode returns a node that has reported loads to the collector "c" of its
// failure domain under sequence number 1.
func newReportingNode(t *testing.T) *Node {
	t.Helper()
	clock := clockwork.NewFakeClock()
	self := gossip.Peer{Node: "n", FailureDomain: "a", Address: "127.0.0.1", Capacity: 0.2}
	n := &Node{
		config: Config{
			Clock: clock, Logger: zap.NewNop(),
			Settings: deployment.Settings{Node: "n", FailureDomain: "a", Address: netip.MustParseAddr("127.0.0.1")},
		},
		board:     balance.NewBoard(balance.Policy{FailureDomain: "a", MeanDuration: time.Second}),
		demand:    newDemand(),
		metrics:   metric.NewEntry(),
		collected: newCollected(),
		suspects:  newSuspects(),
		peers: gossip.NewPeerSet(gossip.Config{
			Self: self, DeadAfter: time.Second, MeshPeers: 1, CollectInterval: time.Second, CollectorTimeout: time.Minute,
		}),
	}
	n.peers.SetPeers([]gossip.Peer{
		{Node: "c", FailureDomain: "a", Address: "127.0.0.2", Capacity: 0.8},
		{Node: "d", FailureDomain: "a", Address: "127.0.0.3", Capacity: 0.2},
	})
	n.sentLoads.add(1, map[string]int{"head": 2})
	return n
}

// TestDigestIsTakenWithoutOwnRequests guards against requests that count twice: the
// collector's digest includes those that this node reported itself.
func TestDigestIsTakenWithoutOwnRequests(t *testing.T) {
	n := newReportingNode(t)
	d := &gossip.Digest{
		Loads:     map[string]int{"head": 5, "other": 3},
		Sequences: map[string]uint64{"n": 1, "d": 1},
	}
	n.handleMessage(gossip.Message{
		Node: "c", FailureDomain: "a", Address: "127.0.0.2", Capacity: 0.8, Incarnation: 1, Sequence: 1, Digest: d,
	})
	now := n.config.Clock.Now()
	if got := n.board.DomainReport([]string{digestSource}, now).Loads; got["head"] != 3 || got["other"] != 3 {
		t.Errorf("loads of the other nodes %v, want 3 at each head", got)
	}
}

// TestMalformedDigestIsHarmless guards against a node that stops because a message of
// another node lacks fields or names heads that the receiver never reported.
func TestMalformedDigestIsHarmless(t *testing.T) {
	digests := []*gossip.Digest{
		{},
		{Sequences: map[string]uint64{"n": 1, "": 1, "x": 9}},
		{Members: []gossip.Member{{}, {Node: "x"}, {Address: "127.0.0.9"}}},
		{Loads: map[string]int{"head": 1}, Sequences: map[string]uint64{"n": 1}},
		{Remote: map[string]gossip.DomainReport{"": {}, "b": {}}},
	}
	for i, d := range digests {
		n := newReportingNode(t)
		n.handleMessage(gossip.Message{
			Node: "c", FailureDomain: "a", Address: "127.0.0.2", Capacity: 0.8, Incarnation: 1, Sequence: 1, Digest: d,
		})
		for _, p := range n.peers.Alive("", n.config.Clock.Now()) {
			if p.Node == "" || p.Address == "" {
				t.Errorf("digest %d: added the peer %+v", i, p)
			}
		}
		for head, count := range n.board.DomainReport([]string{digestSource}, n.config.Clock.Now()).Loads {
			if count < 0 {
				t.Errorf("digest %d: %d requests in flight at head %q", i, count, head)
			}
		}
	}
}

// TestChangeOfCollectorIsLogged guards against a change of where a node's loads go, and
// where those of others come from, that no log shows.
func TestChangeOfCollectorIsLogged(t *testing.T) {
	n := newReportingNode(t)
	core, lines := observer.New(zap.InfoLevel)
	n.config.Logger = zap.New(core)
	for _, name := range []string{"", "c", "c", "n"} {
		n.setCollector(name)
	}
	var chosen []string
	for _, l := range lines.FilterMessage(event.CollectorChosen.Message).All() {
		chosen = append(chosen, l.ContextMap()["collector"].(string))
	}
	if !slices.Equal(chosen, []string{"c", "n"}) || !n.collects() {
		t.Errorf("logged the collectors %v, collects %v; want c and n, true", chosen, n.collects())
	}
}

// TestNodeKeepsNothingToPassOnWithoutReceivers guards against a node that becomes the
// collector and passes on what it was told long before: a head that has recovered since
// would be passed over by the whole failure domain.
func TestNodeKeepsNothingToPassOnWithoutReceivers(t *testing.T) {
	n := newReportingNode(t)
	n.handleMessage(gossip.Message{
		Node: "c", FailureDomain: "a", Address: "127.0.0.2", Capacity: 0.8, Incarnation: 1, Sequence: 1, Digest: &gossip.Digest{},
	})
	n.handleMessage(gossip.Message{
		Node: "far", FailureDomain: "b", Address: "127.1.0.1", Incarnation: 1, Sequence: 1, DomainLoads: map[string]int{"head": 1},
	})
	now := n.config.Clock.Now()
	n.setCollector(n.peers.Collector(now))
	if receivers := n.peers.DigestReceivers(now); len(receivers) > 0 {
		t.Fatalf("digests go to %v, want none", receivers)
	}
	n.sendDigest(balance.Report{}, false, now)
	if len(n.collected.remote)+len(n.collected.stalled)+len(n.collected.leases) > 0 {
		t.Errorf("kept to pass on: %+v", n.collected)
	}
}

// TestQuarantineIsToldOn guards against a quarantine that a node keeps to itself: those
// that found out about the ends may not reach all others.
func TestQuarantineIsToldOn(t *testing.T) {
	n := newReportingNode(t)
	n.peers.Record(gossip.Message{Node: "c", FailureDomain: "a", Address: "127.0.0.2", Sequence: 1}, n.config.Clock.Now())
	bad := quarantine.Mark{Fingerprint: attempt.NewFingerprint([]byte("bad")), Quick: 7}
	told := func(server string) []attempt.Fingerprint {
		n.mergeEvidence([]quarantine.Evidence{{
			Evidence: attempt.Evidence{
				Fingerprint:  bad.Fingerprint,
				Observations: []attempt.CrashObservation{{Crash: attempt.Crash{Group: server, Epoch: 1, Site: server}}},
			},
			Quick: bad.Quick,
		}}, true, n.config.Clock.Now())
		return n.suspects.reports.Take(9)
	}
	for _, server := range []string{"s1", "s2"} {
		if got := told(server); len(got) != 0 {
			t.Errorf("evidence of a peer is told on after the end of %s", server)
		}
	}
	if got := told("s3"); len(got) != 1 || got[0] != bad.Fingerprint {
		t.Errorf("told on after the third end: %v, want the request", got)
	}
}

// TestOtherDomainsAreToldSoonOfNewPart guards against evidence that other failure domains
// learn of only with the next report, while a new part of prompts ends their servers.
func TestOtherDomainsAreToldSoonOfNewPart(t *testing.T) {
	tests := []struct {
		name string
		mark quarantine.Mark
		want time.Duration
	}{
		{"content", quarantine.Mark{Fingerprint: attempt.NewFingerprint([]byte("bad")), Quick: 7}, domainReportInterval},
		{"new part", quarantine.NewParts([]string{"bad"})[0].Mark(), urgentDomainInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newReportingNode(t)
			now := n.config.Clock.Now()
			n.domainReportDue(now)
			n.mergeEvidence([]quarantine.Evidence{{
				Evidence: attempt.Evidence{
					Fingerprint:  tt.mark.Fingerprint,
					Observations: []attempt.CrashObservation{{Crash: attempt.Crash{Group: "s1", Epoch: 1, Site: "s1"}}},
				},
				Quick: tt.mark.Quick, Part: tt.mark.Part,
			}}, true, now)
			waited := reportInterval
			for !n.domainReportDue(now.Add(waited)) {
				waited += reportInterval
			}
			if waited != tt.want {
				t.Errorf("next report after %v, want %v", waited, tt.want)
			}
		})
	}
}

// recordingStore counts the writes of evidence and runs a function during the first.
type recordingStore struct {
	Store
	during  func()
	written []quarantine.Evidence
}

func (s *recordingStore) CommitVersion(_ context.Context, t platform.Transaction) (uint64, error) {
	for _, w := range t.Writes {
		e, err := quarantine.DecodeEvidence(w.Value)
		if err != nil {
			return 0, err
		}
		s.written = append(s.written, e)
	}
	if s.during != nil {
		during := s.during
		s.during = nil
		during()
	}
	return 1, nil
}

// TestEvidenceThatComesDuringWriteIsWritten guards against evidence that is taken for
// written because an older state of it was being written when it came.
func TestEvidenceThatComesDuringWriteIsWritten(t *testing.T) {
	n := newReportingNode(t)
	end := func(server string) {
		n.recordEnds([]quarantine.End{{
			Server: registry.Life{ID: server, Incarnation: 1}, Crash: attempt.Crash{Group: server, Epoch: 1, Site: server},
			Proof: quarantine.ProofRefused, At: n.config.Clock.Now(), Marks: []quarantine.Mark{{Fingerprint: attempt.NewFingerprint([]byte("bad")), Quick: 7}},
		}})
	}
	s := &recordingStore{during: func() { end("s3") }}
	n.store = &instrumentedStore{store: s, clock: n.config.Clock, metrics: n.metrics}
	n.config.Store = n.store
	end("s1")
	end("s2")
	for range 2 {
		if err := n.saveSuspects(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.written) != 2 || len(s.written[1].Observations) != 3 {
		t.Errorf("written %+v, want evidence of two ends and then of three", s.written)
	}
}

// FuzzSuspectRow checks that no row of the nodes table that looks like evidence makes a
// node panic.
func FuzzSuspectRow(f *testing.F) {
	f.Add("quarantine/", []byte("{}"), false)
	f.Add("quarantine/00/node", []byte(`{"quick":"1","evidence":{"fingerprint":"00"}}`), true)
	f.Fuzz(func(t *testing.T, key string, value []byte, deleted bool) {
		n := newReportingNode(t)
		n.config.Codec.Unwrap = func(body []byte) (string, []byte, error) { return "", body, nil }
		// An unreadable row is an error that is logged.
		_ = n.applySuspect(platform.Change{Key: key, Value: value, Deleted: deleted, Version: 1})
	})
}
