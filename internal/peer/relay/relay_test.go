package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/relay"
	"almondbay.example/serving/platform"
)

const table = "servers"

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

func change(key string, version uint64, value string) platform.Change {
	return platform.Change{Key: key, Version: version, Value: []byte(value)}
}

func keys(changes relay.LogChanges) []string {
	var out []string
	for _, c := range changes.Rows {
		out = append(out, c.Key)
	}
	return out
}

// position returns the position of a follower that has all changes of a log.
func position(l *relay.Log) relay.Position { return l.Snapshot(noon).Position }

// TestLogOmitsHeartbeats guards against relaying rows whose values do not differ:
// each heartbeat of a server rewrites its row and would wake all followers.
func TestLogOmitsHeartbeats(t *testing.T) {
	differs := func(old, next any) bool { return old.([]byte)[0] != next.([]byte)[0] }
	l := relay.NewLog(relay.ValuePolicy{Differs: differs})
	l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x1"), change("b", 2, "y1")}, Version: 2}, noon)
	first := position(l)
	l.Apply(platform.Changes{Rows: []platform.Change{change("a", 3, "x2"), change("b", 4, "z1")}, Version: 4}, noon)
	if diff := cmp.Diff([]string{"b"}, keys(l.Since(first, noon))); diff != "" {
		t.Error(diff)
	}
	if snapshot := l.Snapshot(noon); len(snapshot.Rows) != 2 || string(snapshot.Rows[0].Value) != "x2" {
		t.Errorf("snapshot %+v, want both rows with the latest values", snapshot.Rows)
	}
	second := position(l)
	l.Replace(platform.Changes{Rows: []platform.Change{change("b", 4, "z1")}, Version: 6}, noon)
	if got := l.Since(second, noon); len(got.Rows) != 1 || !got.Rows[0].Deleted || got.Rows[0].Key != "a" {
		t.Errorf("changes after the replacement %+v, want only the deletion of row a", got.Rows)
	}
}

// TestLogIgnoresLateWrites guards against followers, and nodes that start, that are told a
// value which the store wrote late, also after the row was deleted.
func TestLogIgnoresLateWrites(t *testing.T) {
	supersedes := func(old, next any) bool { return string(next.([]byte)) > string(old.([]byte)) }
	l := relay.NewLog(relay.ValuePolicy{Supersedes: supersedes})
	l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x3"), change("b", 2, "x3")}, Version: 2}, noon)
	first := position(l)
	l.Apply(platform.Changes{Rows: []platform.Change{change("a", 3, "x1"), {Key: "b", Version: 4, Deleted: true}, change("b", 5, "x2")}, Version: 5}, noon)
	got := l.Since(first, noon)
	if len(got.Rows) != 1 || got.Rows[0].Key != "b" || !got.Rows[0].Deleted || string(got.Rows[0].Value) != "x3" {
		t.Errorf("got changes %+v, want the deletion of b with its last value", got.Rows)
	}
	snapshot := l.Snapshot(noon.Add(time.Second))
	if len(snapshot.Rows) != 2 || string(snapshot.Rows[0].Value) != "x3" || !snapshot.Rows[1].Deleted {
		t.Errorf("got snapshot %+v, want a with its newest value and the deletion of b", snapshot.Rows)
	}
	if snapshot := l.Snapshot(noon.Add(time.Minute)); len(snapshot.Rows) != 1 {
		t.Errorf("got snapshot %+v, want only a once a write can't be late any more", snapshot.Rows)
	}
	follower := relay.NewLog(relay.ValuePolicy{Supersedes: supersedes})
	follower.Replace(snapshot.Changes, noon)
	started := position(follower)
	follower.Apply(platform.Changes{Rows: []platform.Change{change("b", 8, "x3"), change("a", 9, "x4")}, Version: 9}, noon)
	if got := follower.Since(started, noon); len(got.Rows) != 1 || got.Rows[0].Key != "a" {
		t.Errorf("got changes %+v of a node that has just started, want only that of a", got.Rows)
	}
	before := position(follower)
	follower.Apply(platform.Changes{Rows: []platform.Change{change("b", 10, "x4")}, Version: 10}, noon)
	if got := follower.Since(before, noon); len(got.Rows) != 1 || got.Rows[0].Deleted {
		t.Errorf("got changes %+v, want the return of b", got.Rows)
	}
}

// storeFeed is a store that returns fixed changes or an error and counts its
// calls.
type storeFeed struct {
	changes platform.Changes
	err     error
	calls   int
}

func (s *storeFeed) Scan(context.Context, string) (platform.Changes, error) {
	s.calls++
	return s.changes, s.err
}

func (s *storeFeed) Changes(context.Context, string, uint64, time.Duration) (platform.Changes, error) {
	s.calls++
	return s.changes, s.err
}

// TestFallBackToStoreIfSourceCannotReadIt guards against stale tables when the
// store is down for some nodes only (fault pattern platform_down, nodes): a node
// whose source fails to read the store reads it itself at once.
func TestFallBackToStoreIfSourceCannotReadIt(t *testing.T) {
	tests := []struct {
		name string
		// fail makes the source's reads fail, age is the age of its data.
		fail   bool
		age    time.Duration
		direct bool
	}{
		{"fresh", false, 0, false},
		{"failing", true, 0, true},
		{"old", false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(noon)
			source := relay.NewLog(relay.ValuePolicy{})
			source.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 1}, noon)
			feed, store := newFeed(t, clock, source)
			if _, err := feed.Scan(context.Background(), table); err != nil || store.calls > 0 {
				t.Fatalf("scan: error %v, %d calls to the store", err, store.calls)
			}
			source.Apply(platform.Changes{Rows: []platform.Change{change("a", 2, "y")}, Version: 2}, noon.Add(-tt.age))
			if tt.fail {
				source.RecordFailure()
			}
			if _, err := feed.Changes(context.Background(), table, 1, time.Second); err != nil {
				t.Fatal(err)
			}
			if direct := store.calls > 0; direct != tt.direct || feed.Direct(table) != tt.direct {
				t.Errorf("read from the store: %v, Direct: %v, want %v", direct, feed.Direct(table), tt.direct)
			}
		})
	}
}

// TestNodesThatStartTogetherReadFromEachOther guards against calls to the store by all
// nodes that start at the same time, each because its source has not read the table
// yet: 139 of 195 nodes read the registrations from the store.
func TestNodesThatStartTogetherReadFromEachOther(t *testing.T) {
	tests := []struct {
		name string
		// then is what happens at the source while it is asked.
		then  func(clock *clockwork.FakeClock, source *relay.Log)
		calls int
	}{
		{"source reads the table", func(clock *clockwork.FakeClock, source *relay.Log) {
			source.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 1}, clock.Now())
		}, 0},
		{"source can't read the table", func(_ *clockwork.FakeClock, source *relay.Log) { source.RecordFailure() }, 1},
		{"source reads nothing in time", func(clock *clockwork.FakeClock, _ *relay.Log) { clock.Advance(startWait) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock, source := clockwork.NewFakeClockAt(noon), relay.NewLog(relay.ValuePolicy{})
			feed, store := newFeed(t, clock, source)
			var node errgroup.Group
			node.Go(func() error {
				_, err := feed.Scan(context.Background(), table)
				return err
			})
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			tt.then(clock, source)
			if err := node.Wait(); err != nil {
				t.Fatal(err)
			}
			if store.calls != tt.calls {
				t.Errorf("%d calls to the store, want %d", store.calls, tt.calls)
			}
		})
	}
}

// startWait is how long a feed waits for a source that has not read a table yet.
const startWait = time.Second

// TestFailOverToAnotherSource guards against a burst of store calls when the root
// of the tree dies (fault pattern node_kill): a failed source causes one call to
// the store for each of its followers, not one for each read until the next root
// is known.
func TestFailOverToAnotherSource(t *testing.T) {
	clock := clockwork.NewFakeClockAt(noon)
	failing, working := relay.NewLog(relay.ValuePolicy{}), relay.NewLog(relay.ValuePolicy{})
	for _, l := range []*relay.Log{failing, working} {
		l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 1}, noon)
		l.Apply(platform.Changes{Rows: []platform.Change{change("a", 2, "y")}, Version: 2}, noon)
	}
	failing.RecordFailure()
	first := newServer(clock, failing)
	server := httptest.NewServer(first)
	defer server.Close()
	_, port, err := net.SplitHostPort(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.2", port))
	if err != nil {
		t.Fatal(err)
	}
	next := &httptest.Server{Listener: listener, Config: &http.Server{Handler: newServer(clock, working)}}
	next.Start()
	defer next.Close()
	store := &storeFeed{changes: platform.Changes{Version: 9}}
	feed := relay.NewFeed(relay.FeedConfig{
		Clock: clock, Store: store, Client: client(t, server.URL), Logs: map[string]*relay.Log{table: relay.NewLog(relay.ValuePolicy{})},
		Source: func(avoid func(string) bool) (string, int) {
			if avoid("127.0.0.1") {
				return "127.0.0.2", 1
			}
			return "127.0.0.1", 1
		},
		AgeSlack: time.Second, MaxWait: func(string) time.Duration { return time.Second }, StartWait: startWait, ResponseMargin: 10 * time.Second, SourceBackoff: time.Minute,
	})
	for i := range uint64(5) {
		working.Apply(platform.Changes{Rows: []platform.Change{change("a", 3+i, "z")}, Version: 3 + i}, noon)
		_, err := feed.Changes(context.Background(), table, 1, time.Second)
		var lost *platform.HistoryLostError
		if errors.As(err, &lost) {
			_, err = feed.Scan(context.Background(), table)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if store.calls != 1 {
		t.Errorf("%d calls to the store, want 1", store.calls)
	}
}

// newServer returns the server of a node with the log.
func newServer(clock clockwork.Clock, log *relay.Log) *relay.Server {
	return relay.NewServer(relay.ServerConfig{Clock: clock, Logs: map[string]*relay.Log{table: log}})
}

// newFeed returns the feed of a node that reads from another node with the log,
// and the store to which it falls back.
func newFeed(t *testing.T, clock clockwork.Clock, source *relay.Log) (*relay.Feed, *storeFeed) {
	t.Helper()
	server := httptest.NewServer(relay.NewServer(relay.ServerConfig{
		Clock: clock,
		Logs:  map[string]*relay.Log{table: source},
		Prober: relay.Prober{QueryState: func(context.Context, registry.Server) (control.State, error) {
			return control.State{Accepted: 3, Group: registry.Membership{Name: "g", Epoch: 5}}, nil
		}},
	}))
	t.Cleanup(server.Close)
	store := &storeFeed{changes: platform.Changes{Version: 9}}
	return relay.NewFeed(relay.FeedConfig{
		Clock: clock, Store: store, Client: client(t, server.URL), Logs: map[string]*relay.Log{table: relay.NewLog(relay.ValuePolicy{})},
		Source:   func(func(string) bool) (string, int) { return "127.0.0.1", 1 },
		Witness:  func(int) string { return "" },
		AgeSlack: time.Second, MaxWait: func(string) time.Duration { return time.Second }, StartWait: startWait, ResponseMargin: 10 * time.Second, SourceBackoff: time.Minute,
	}), store
}

func client(t *testing.T, url string) *relay.Client {
	t.Helper()
	_, text, err := net.SplitHostPort(strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return relay.NewClient(relay.ClientConfig{Port: port, Dial: (&net.Dialer{}).DialContext})
}

// TestStoreFailureMarksLogFailing checks that a failed read marks the log, so that
// followers stop reading from this node, and that a successful one clears it.
func TestStoreFailureMarksLogFailing(t *testing.T) {
	log := relay.NewLog(relay.ValuePolicy{})
	store := &storeFeed{err: errors.New("out of service")}
	feed := relay.NewFeed(relay.FeedConfig{
		Clock: clockwork.NewFakeClockAt(noon), Store: store, Logs: map[string]*relay.Log{table: log},
		Source: func(func(string) bool) (string, int) { return "", 0 },
	})
	if _, err := feed.Scan(context.Background(), table); err == nil || !log.Failing() {
		t.Errorf("store down: error %v, failing %v", err, log.Failing())
	}
	store.err = nil
	if _, err := feed.Scan(context.Background(), table); err != nil || log.Failing() {
		t.Errorf("store back: error %v, failing %v", err, log.Failing())
	}
}

// TestProbeServer covers what a peer tells of a server, also whether it could have reached it.
func TestProbeServer(t *testing.T) {
	timeout := &url.Error{Op: "Get", Err: context.DeadlineExceeded}
	const otherDomain = "b"
	server := httptest.NewServer(relay.NewServer(relay.ServerConfig{
		Clock: clockwork.NewFakeClock(),
		Prober: relay.Prober{
			QueryState: func(_ context.Context, s registry.Server) (control.State, error) {
				switch s.ID {
				case "silent", "silentReference":
					return control.State{}, timeout
				case "refused":
					return control.State{}, fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
				case "replaced":
					return control.State{}, fmt.Errorf("query: %w", control.ErrOtherServer)
				case "resets":
					return control.State{}, &url.Error{Op: "Get", Err: syscall.ECONNRESET}
				case "fails":
					return control.State{}, errors.New("status 500")
				}
				return control.State{Accepted: 3, Group: registry.Membership{Name: "g", Epoch: 5, State: registry.StateOpen}}, nil
			},
			References: func(s registry.Server) []registry.Server {
				if s.FailureDomain == otherDomain {
					return []registry.Server{{ID: "silentReference"}}
				}
				return []registry.Server{{ID: "silentReference"}, {ID: "resets"}}
			},
		},
	}))
	defer server.Close()
	c := client(t, server.URL)
	open := control.State{Accepted: 3, Group: registry.Membership{Name: "g", Epoch: 5, State: registry.StateOpen}}
	tests := []struct {
		server registry.Server
		want   relay.ProbeReply
	}{
		{registry.Server{ID: "reachable"}, relay.ProbeReply{Reached: true, State: open}},
		{registry.Server{ID: "refused"}, relay.ProbeReply{Refused: true}},
		{registry.Server{ID: "replaced"}, relay.ProbeReply{Refused: true}},
		{registry.Server{ID: "resets"}, relay.ProbeReply{Unclear: true}},
		{registry.Server{ID: "fails"}, relay.ProbeReply{Unclear: true}},
		{registry.Server{ID: "silent"}, relay.ProbeReply{Witnessed: true}},
		{registry.Server{ID: "silent", FailureDomain: otherDomain}, relay.ProbeReply{}},
	}
	for _, tt := range tests {
		t.Run(tt.server.ID+tt.server.FailureDomain, func(t *testing.T) {
			got, err := c.ProbeServer(context.Background(), "127.0.0.1", tt.server)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNewLogHidesEarlierDeletions guards against followers that keep a deleted row
// for good: a node that starts, or reads the whole table again, knows nothing of a
// row that was deleted before, and told followers at an older version that they
// had all changes.
func TestNewLogHidesEarlierDeletions(t *testing.T) {
	snapshot := platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 9}
	tests := []struct {
		name  string
		setUp func(l *relay.Log)
		// other is set if the follower has read another log.
		other bool
		// lost is whether the log lacks changes after the position of a follower that read it
		// before the snapshot.
		lost bool
	}{
		{"started later than the follower", func(*relay.Log) {}, true, true},
		{"follower saw what the log missed", func(l *relay.Log) {
			l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 4}, noon)
		}, false, true},
		{"log already knew more", func(l *relay.Log) {
			l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 6}, noon)
			l.Apply(platform.Changes{Version: 9}, noon)
		}, false, false},
		{"log already knew more, follower of another one", func(l *relay.Log) {
			l.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 6}, noon)
			l.Apply(platform.Changes{Version: 9}, noon)
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := relay.NewLog(relay.ValuePolicy{})
			tt.setUp(l)
			after := position(l)
			if tt.other {
				other := relay.NewLog(relay.ValuePolicy{})
				other.Replace(snapshot, noon)
				after = position(other)
			}
			l.Replace(snapshot, noon)
			if got := l.Since(after, noon); got.HistoryLost != tt.lost {
				t.Errorf("history lost %v, want %v", got.HistoryLost, tt.lost)
			}
			if l.Since(position(l), noon).HistoryLost {
				t.Error("history lost for a follower that has the snapshot")
			}
		})
	}
}

// TestFollowerScansNewSource guards against the same failure across two nodes: a
// follower must read the whole table of a source that started after it.
func TestFollowerScansNewSource(t *testing.T) {
	source := relay.NewLog(relay.ValuePolicy{})
	source.Replace(platform.Changes{Rows: []platform.Change{change("a", 1, "x")}, Version: 9}, noon)
	feed, store := newFeed(t, clockwork.NewFakeClockAt(noon), source)
	var lost *platform.HistoryLostError
	if _, err := feed.Changes(context.Background(), table, 7, 0); !errors.As(err, &lost) {
		t.Errorf("changes after version 7: error %v, want HistoryLostError", err)
	}
	if c, err := feed.Scan(context.Background(), table); err != nil || len(c.Rows) != 1 || c.Version != 9 || store.calls != 0 {
		t.Errorf("scan: %+v, error %v, %d calls to the store; want row a at version 9 from the source", c, err, store.calls)
	}
}
