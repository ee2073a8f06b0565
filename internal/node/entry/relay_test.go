package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondbay.example/internal/fleet/registry"
	peerrelay "almondbay.example/internal/peer/relay"
	"almondbay.example/serving/platform"
)

// Tables and keys of the tests of relayed tables.
const (
	serversTable       = "servers"
	configurationTable = "op"
	configurationKey   = "config"
	serverID           = "a"
)

// copiedStore is a store that may come back from a copy.
type copiedStore struct {
	era, version uint64
	tables       map[string]map[string]platform.Change
}

// put writes a row as JSON.
func (s *copiedStore) put(t *testing.T, table, key string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if s.tables[table] == nil {
		s.tables[table] = map[string]platform.Change{}
	}
	s.version++
	s.tables[table][key] = platform.Change{Key: key, Version: platform.VersionIn(s.era, s.version), Value: body}
}

// copy returns a copy of the rows and the version.
func (s *copiedStore) copy() copiedStore {
	c := copiedStore{version: s.version, tables: map[string]map[string]platform.Change{}}
	for name, rows := range s.tables {
		c.tables[name] = maps.Clone(rows)
	}
	return c
}

// restore brings a copy back in a new era.
func (s *copiedStore) restore(c copiedStore) {
	s.era, s.version, s.tables = s.era+1, c.version, c.tables
	for _, rows := range s.tables {
		for key, row := range rows {
			row.Version = platform.VersionIn(s.era, platform.VersionWithinEra(row.Version))
			rows[key] = row
		}
	}
}

// Scan implements platform.Feed.
func (s *copiedStore) Scan(ctx context.Context, table string) (platform.Changes, error) {
	return s.Changes(ctx, table, platform.VersionIn(s.era, 0), 0)
}

// Changes implements platform.Feed.
func (s *copiedStore) Changes(_ context.Context, table string, after uint64, _ time.Duration) (platform.Changes, error) {
	if platform.Era(after) != s.era {
		return platform.Changes{}, &platform.HistoryLostError{Table: table, Version: after}
	}
	c := platform.Changes{Version: platform.VersionIn(s.era, s.version)}
	for _, row := range s.tables[table] {
		if row.Version > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b platform.Change) int { return cmp.Compare(a.Version, b.Version) })
	return c, nil
}

// followingNode is a node whose reads of the tables the test triggers.
type followingNode struct {
	*Node
	// source is the address that it reads from; empty for the store.
	source string
	// witness is the address of the node that it asks for newer values.
	witness string
	// versions holds the versions of the tables that it has read.
	versions map[string]uint64
	port     int
}

// newFollowingNode returns a node that serves its tables at 127.0.0.1. It reads from nodes
// at the given port; zero for that of its own server.
func newFollowingNode(t *testing.T, store platform.Feed, port int) *followingNode {
	t.Helper()
	n, _ := newNodeOfStore(t)
	n.config.Codec.ServersTable, n.config.Codec.ConfigurationTable = serversTable, configurationTable
	n.config.Codec.ConfigurationKey = configurationKey
	n.config.Codec.DecodeServer = func(id string, value []byte) *registry.Server {
		s := &registry.Server{}
		if err := json.Unmarshal(value, s); err != nil {
			return nil
		}
		s.ID, s.Service, s.Slots, s.Incarnation = id, "svc", 6, 1
		return s
	}
	f := &followingNode{Node: n, versions: map[string]uint64{}, port: port}
	n.addFeed()
	server := httptest.NewServer(peerrelay.NewServer(peerrelay.ServerConfig{Clock: n.config.Clock, Logs: n.tableLogs}))
	t.Cleanup(server.Close)
	if f.port == 0 {
		_, text, err := net.SplitHostPort(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if f.port, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	n.feed = peerrelay.NewFeed(peerrelay.FeedConfig{
		Clock: n.config.Clock, Store: store, Logs: n.tableLogs,
		Client:  peerrelay.NewClient(peerrelay.ClientConfig{Port: f.port, Dial: (&net.Dialer{}).DialContext}),
		Source:  func(func(string) bool) (string, int) { return f.source, 1 },
		Witness: func(int) string { return f.witness }, OnWitnessError: func(err error) { t.Error(err) },

		AgeSlack: time.Minute, MaxWait: func(string) time.Duration { return 0 }, ResponseMargin: time.Minute,
	})
	return f
}

// read reads all changes of both tables as a follower does.
func (f *followingNode) read(t *testing.T) {
	t.Helper()
	apply := map[string]func(platform.Changes){
		serversTable:       func(c platform.Changes) { f.applyServers(c, false) },
		configurationTable: f.applyConfiguration,
	}
	replace := map[string]func(platform.Changes){serversTable: f.replaceServers, configurationTable: f.applyConfiguration}
	for table := range apply {
		version, known := f.versions[table]
		var lost *platform.HistoryLostError
		var c platform.Changes
		var err error
		if known {
			c, err = f.feed.Changes(t.Context(), table, version, 0)
		}
		full := !known || errors.As(err, &lost)
		if full {
			c, err = f.feed.Scan(t.Context(), table)
		}
		if err != nil {
			t.Fatal(err)
		}
		if full {
			replace[table](c)
			f.versions[table] = c.Version
			continue
		}
		apply[table](c)
		f.versions[table] = max(version, c.Version)
	}
}

// draining reports what the node knows of the server.
func (f *followingNode) draining(t *testing.T) bool {
	t.Helper()
	r, ok := f.registrations.View(f.config.Clock.Now()).Find(serverID)
	if !ok {
		t.Fatalf("the node knows no server %s", serverID)
	}
	return r.Draining
}

// report is the content of a registration.
type report struct {
	Sequence uint64
	Draining bool
}

// TestFollowerGetsWhatItsSourceKnewBefore guards against nodes that go on with an older
// configuration or registration, since they have read at the store what their source ignored
// as written late: the source didn't pass on the newer value, which it had before, nor its
// repetition.
func TestFollowerGetsWhatItsSourceKnewBefore(t *testing.T) {
	type nodes struct{ source, follower *followingNode }
	tests := []struct {
		name string
		play func(t *testing.T, s *copiedStore, n nodes)
		// want is whether the server drains.
		want bool
	}{
		{"store back from a copy, rows written again", func(t *testing.T, s *copiedStore, n nodes) {
			older := s.copy()
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			n.source.read(t)
			s.restore(older)
			n.source.read(t)
			s.put(t, serversTable, "b", report{1, false})
			n.follower.read(t)
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{111, true})
			n.source.read(t)
		}, true},
		{"store back from a copy, rows not written again", func(t *testing.T, s *copiedStore, n nodes) {
			older := s.copy()
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			n.source.read(t)
			s.restore(older)
			n.source.read(t)
			n.follower.read(t)
		}, true},
		{"two returns of the store", func(t *testing.T, s *copiedStore, n nodes) {
			older := s.copy()
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			n.source.read(t)
			s.restore(older)
			n.follower.read(t)
			older = s.copy()
			s.put(t, serversTable, "b", report{1, false})
			n.source.read(t)
			n.follower.read(t)
			s.restore(older)
			n.source.read(t)
			n.follower.read(t)
			s.put(t, configurationTable, configurationKey, 8)
			n.source.read(t)
		}, true},
		{"late write without a return", func(t *testing.T, s *copiedStore, n nodes) {
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			n.source.read(t)
			s.put(t, configurationTable, configurationKey, 7)
			s.put(t, serversTable, serverID, report{105, false})
			n.follower.read(t)
			n.source.read(t)
		}, true},
		{"late write that the source hasn't read yet", func(t *testing.T, s *copiedStore, n nodes) {
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			n.source.read(t)
			s.put(t, configurationTable, configurationKey, 7)
			s.put(t, serversTable, serverID, report{105, false})
			n.follower.read(t)
		}, true},
		{"to the source, to the store and back", func(t *testing.T, s *copiedStore, n nodes) {
			s.put(t, configurationTable, configurationKey, 8)
			n.source.read(t)
			n.follower.source = "127.0.0.1"
			n.follower.read(t)
			// It doesn't differ in what the source passes on.
			s.put(t, serversTable, serverID, report{110, false})
			n.source.read(t)
			n.follower.read(t)
			n.follower.source = ""
			s.put(t, serversTable, serverID, report{105, true})
			n.follower.read(t)
			n.source.read(t)
		}, false},
		{"ahead of the source, which misses a value", func(t *testing.T, s *copiedStore, n nodes) {
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{105, true})
			n.follower.read(t)
			n.follower.source = "127.0.0.1"
			n.follower.read(t)
			s.put(t, serversTable, serverID, report{110, false})
			n.source.read(t)
		}, false},
		{"newer than a source that has read the copy only", func(t *testing.T, s *copiedStore, n nodes) {
			older := s.copy()
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{105, true})
			n.follower.read(t)
			s.restore(older)
			n.source.read(t)
			n.follower.source = "127.0.0.1"
			n.follower.read(t)
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, false})
			n.source.read(t)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &copiedStore{tables: map[string]map[string]platform.Change{}}
			s.put(t, configurationTable, configurationKey, 7)
			s.put(t, serversTable, serverID, report{100, false})
			var n nodes
			n.source = newFollowingNode(t, s, 0)
			n.follower = newFollowingNode(t, s, n.source.port)
			n.source.read(t)
			tt.play(t, s, n)
			n.follower.source = "127.0.0.1"
			n.follower.read(t)
			n.follower.read(t)
			if got := n.follower.configuration.Load().Version; got != 8 {
				t.Errorf("configuration %d in force, want 8", got)
			}
			if got := n.follower.draining(t); got != tt.want {
				t.Errorf("server drains: %v, want %v", got, tt.want)
			}
			for table, log := range n.follower.tableLogs {
				if table == nodesTable {
					continue
				}
				own, source := log.Snapshot(n.follower.config.Clock.Now()), n.source.tableLogs[table].Snapshot(n.source.config.Clock.Now())
				for _, row := range source.Rows {
					i := slices.IndexFunc(own.Rows, func(c platform.Change) bool { return c.Key == row.Key })
					if i < 0 || string(own.Rows[i].Value) != string(row.Value) {
						t.Errorf("table %s: the node doesn't pass on %s of row %s", table, row.Value, row.Key)
					}
				}
			}
		})
	}
}

// TestReaderOfStoreGetsWhatOthersKnow guards against a node that has just started, reads
// the store for its failure domain and goes on with what the store has lost, or with a late
// write, though the other nodes know the newer value.
func TestReaderOfStoreGetsWhatOthersKnow(t *testing.T) {
	tests := []struct {
		name string
		play func(t *testing.T, s *copiedStore, older copiedStore)
	}{
		{"store back from a copy", func(_ *testing.T, s *copiedStore, older copiedStore) { s.restore(older) }},
		{"late write", func(t *testing.T, s *copiedStore, _ copiedStore) {
			s.put(t, configurationTable, configurationKey, 7)
			s.put(t, serversTable, serverID, report{105, false})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &copiedStore{tables: map[string]map[string]platform.Change{}}
			s.put(t, configurationTable, configurationKey, 7)
			s.put(t, serversTable, serverID, report{100, false})
			older := s.copy()
			s.put(t, configurationTable, configurationKey, 8)
			s.put(t, serversTable, serverID, report{110, true})
			s.put(t, serversTable, "gone", report{1, false})
			peer := newFollowingNode(t, s, 0)
			peer.read(t)
			tt.play(t, s, older)
			reader := newFollowingNode(t, s, peer.port)
			reader.read(t)
			reader.witness = "127.0.0.1"
			reader.read(t)
			reader.read(t)
			if got := reader.configuration.Load().Version; got != 8 {
				t.Errorf("configuration %d in force, want 8", got)
			}
			if !reader.draining(t) {
				t.Error("the server is taken for ready")
			}
			if _, ok := s.tables[serversTable]["gone"]; ok {
				return
			}
			if _, ok := reader.registrations.View(reader.config.Clock.Now()).Find("gone"); ok {
				t.Error("a server is known that the store doesn't have, so that its deletion won't be read")
			}
		})
	}
}
