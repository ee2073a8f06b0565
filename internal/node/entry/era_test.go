package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/internal/routing/quarantine"
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
	advance := func(d time.Duration) { n.config.Clock.(interface{ Advance(time.Duration) }).Advance(d) }
	replace(0, 9, "a", "b")
	advance(time.Minute)
	replace(1, 4, "a")
	if diff := cmp.Diff([]string{"a", "b"}, heads()); diff != "" {
		t.Errorf("heads after the return of the store (-want +got):\n%s", diff)
	}
	if got := lines.FilterMessage(event.StoreRestored.Message).Len(); got != 1 {
		t.Errorf("%d lines about the return of the store, want 1", got)
	}
	advance(returnGrace + time.Millisecond)
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
