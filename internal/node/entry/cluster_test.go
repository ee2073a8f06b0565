package entry_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/node/entry"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// tables is an in-memory store with a feed, which some nodes may be cut off from.
type tables struct {
	mu      sync.Mutex
	rows    map[string]platform.Change
	version uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newTables() *tables {
	return &tables{rows: map[string]platform.Change{}, changed: make(chan struct{})}
}

// put writes or deletes the row of a table's empty part.
func (s *tables) put(table, key string, value []byte, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	s.rows[table+"//"+key] = platform.Change{Key: key, Version: s.version, Value: value, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the rows of a table that changed after a version, and a channel
// that is closed at the next change.
func (s *tables) since(table string, after uint64) (platform.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := platform.Changes{Version: s.version}
	for key, row := range s.rows {
		if strings.HasPrefix(key, table+"//") && row.Version > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b platform.Change) int { return cmp.Compare(a.Version, b.Version) })
	return c, s.changed
}

// has reports whether a table has a row whose key starts with a prefix.
func (s *tables) has(table, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for key, row := range s.rows {
		if strings.HasPrefix(key, table+"//"+prefix) && !row.Deleted {
			return true
		}
	}
	return false
}

// lose removes the rows of a table whose keys start with a prefix, without a trace.
func (s *tables) lose(table, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	maps.DeleteFunc(s.rows, func(key string, _ platform.Change) bool { return strings.HasPrefix(key, table+"//"+prefix) })
}

// errCutOff is the error of calls of a node that is cut off from the store.
var errCutOff = &platform.UnknownError{Reason: "store unreachable"}

// clusterStore is the store as one node reaches it.
type clusterStore struct {
	*tables
	// cut is closed once the node can't reach the store any more.
	cut chan struct{}
}

func (s clusterStore) cutOff() bool {
	select {
	case <-s.cut:
		return true
	default:
		return false
	}
}

func (s clusterStore) Read(_ context.Context, key string) (platform.Row, error) {
	if s.cutOff() {
		return platform.Row{}, errCutOff
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	row := s.rows[key]
	if row.Deleted {
		return platform.Row{Key: key}, nil
	}
	return platform.Row{Key: key, Version: row.Version, Value: row.Value}, nil
}

func (s clusterStore) Range(context.Context, string) ([]platform.Row, error) {
	if s.cutOff() {
		return nil, errCutOff
	}
	return nil, nil
}

func (s clusterStore) Commit(ctx context.Context, t platform.Transaction) error {
	_, err := s.CommitVersion(ctx, t)
	return err
}

func (s clusterStore) CommitVersion(_ context.Context, t platform.Transaction) (uint64, error) {
	if s.cutOff() {
		return 0, errCutOff
	}
	for _, w := range t.Writes {
		table, key, _ := strings.Cut(w.Key, "//")
		s.put(table, key, w.Value, w.Delete)
	}
	return 1, nil
}

func (s clusterStore) Scan(_ context.Context, table string) (platform.Changes, error) {
	if s.cutOff() {
		return platform.Changes{}, errCutOff
	}
	c, _ := s.since(table, 0)
	c.Rows = slices.DeleteFunc(c.Rows, func(row platform.Change) bool { return row.Deleted })
	return c, nil
}

func (s clusterStore) Changes(ctx context.Context, table string, after uint64, _ time.Duration) (platform.Changes, error) {
	if s.cutOff() {
		return platform.Changes{}, errCutOff
	}
	for {
		c, changed := s.since(table, after)
		if len(c.Rows) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-s.cut:
			return platform.Changes{}, errCutOff
		case <-ctx.Done():
			return platform.Changes{Version: after}, nil
		}
	}
}

// poison is the body of requests that end each server that runs them.
const poison = "poison"

// crashingPart is a part of a prompt that ends each server that runs a request with it.
const crashingPart = "bad"

// crashingServer is a server of a plain service that ends when it runs a request
// with the body poison, or with the part crashingPart in its prompt.
type crashingServer struct {
	id       string
	listener net.Listener
	http     *http.Server
	serving  errgroup.Group

	// cutOff is set if the server sends the beginning of an answer before it ends, without
	// a length or chunks.
	cutOff bool

	mu    sync.Mutex
	ended bool
	// leaving is set if all answers say that the server is about to shut down.
	leaving  bool
	answered int
}

func (s *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) == poison || slices.Contains(promptParts(r.Header), crashingPart) {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		if s.cutOff {
			s.answerInPart(w, r)
		}
		// A server that ends closes its listener and all connections.
		_ = s.http.Close()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.answered++
	if s.leaving {
		w.Header().Set("Leaving", "1")
	}
	s.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signature", "x")
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Id"))
}

// answerInPart sends the beginning of an answer that has neither a length nor chunks.
func (s *crashingServer) answerInPart(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: x\r\n\r\nid: 1\ndata: piece\n\n", r.Header.Get("Id"))
	_ = s.http.Close()
	_ = conn.Close()
}

// leave makes the server say that it is about to shut down.
func (s *crashingServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.leaving = true
}

// answers returns the number of requests that the server answered.
func (s *crashingServer) answers() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.answered
}

func (s *crashingServer) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ended
}

// refusableOrders rejects all orders, and queries without a report as a server of a
// plain service does. A query without an answer has the error of an HTTP client: with
// another one, the server would count as one that lives.
type refusableOrders struct {
	noOrders
}

func (refusableOrders) QueryState(ctx context.Context, s registry.Server) (control.State, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return control.State{}, &url.Error{Op: "Get", URL: s.Address, Err: err}
	}
	return control.State{}, errors.Join(errors.New("server gives no report"), conn.Close())
}

// clusterDialect also maps the parts of the prompt, the retry delay and what servers say.
type clusterDialect struct {
	dialect
}

func (d clusterDialect) Call(h http.Header) exchange.Call {
	call := d.dialect.Call(h)
	if parts := promptParts(h); len(parts) > 0 {
		call.SharedParts = parts[:len(parts)-1]
	}
	return call
}

// promptParts returns the parts of a prompt, in order.
func promptParts(h http.Header) []string {
	return strings.FieldsFunc(h.Get("Parts"), func(r rune) bool { return r == ',' })
}

func (d clusterDialect) Answer(id string, status int, h http.Header) (exchange.Answer, error) {
	a, err := d.dialect.Answer(id, status, h)
	a.Leaving = h.Get("Leaving") != ""
	return a, err
}

func (clusterDialect) SetRefusal(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", after.String())
	}
}

// cluster is a set of nodes before servers of one plain service.
type cluster struct {
	t       *testing.T
	config  clusterConfig
	store   *tables
	servers []*crashingServer
	nodes   []*node
	// cuts holds the channel for each node that cuts it off from the store.
	cuts  []chan struct{}
	ports []int
	sent  int
}

// clusterAddress returns the loopback address of a node or, for the number -1, of
// the servers. No other process listens on it.
func clusterAddress(number int) netip.Addr {
	id := uint32(os.Getpid())
	return netip.AddrFrom4([4]byte{127, byte(64*(number+1)) | byte(id>>16)&63, byte(id >> 8), byte(id)})
}

// clusterConfig describes a cluster.
type clusterConfig struct {
	// Nodes is at most three.
	Nodes, Servers int
	// WithoutStore lists the nodes that can't reach the store once all are ready.
	WithoutStore []int
	// Apart is set if the nodes can't reach each other.
	Apart bool
	// CutOff is set if servers that end send the beginning of an answer.
	CutOff bool
}

// newCluster returns a running cluster.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, config: config, store: newTables(), ports: freePorts(t, clusterAddress(0), 4+config.Nodes)}
	for i := range config.Servers {
		c.addServer(i)
	}
	c.store.put(configurationTable, "only", nil, false)
	c.start()
	return c
}

// start starts the nodes and waits until they are ready.
func (c *cluster) start() {
	c.nodes, c.cuts = nil, nil
	for i := range c.config.Nodes {
		c.nodes = append(c.nodes, c.startNode(i))
	}
	for _, n := range c.nodes {
		await(n.ready)
	}
	for _, i := range c.config.WithoutStore {
		close(c.cuts[i])
	}
}

// restart stops all nodes and starts them again.
func (c *cluster) restart() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		await(n.hasStopped)
	}
	c.start()
}

// stopNode stops a node.
func (c *cluster) stopNode(number int) {
	c.nodes[number].stop()
	await(c.nodes[number].hasStopped)
}

// addServer starts and registers a server.
func (c *cluster) addServer(number int) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(clusterAddress(-1), 0).String())
	if err != nil {
		c.t.Fatal(err)
	}
	s := &crashingServer{id: fmt.Sprintf("server-%02d", number), listener: l, cutOff: c.config.CutOff}
	s.http = &http.Server{Handler: s}
	s.serving.Go(func() error { return s.http.Serve(l) })
	c.t.Cleanup(func() {
		_ = s.http.Close()
		if err := s.serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
			c.t.Errorf("server %s: %v", s.id, err)
		}
	})
	c.servers = append(c.servers, s)
	c.store.put(serversTable, s.id, []byte(l.Addr().String()), false)
}

// startNode starts a node. Nodes with different peer ports can't reach each other.
func (c *cluster) startNode(number int) *node {
	cut := make(chan struct{})
	c.cuts = append(c.cuts, cut)
	peerPort := c.ports[2]
	if c.config.Apart {
		peerPort = c.ports[4+number]
	}
	address := clusterAddress(number)
	listen := func(port int) string { return netip.AddrPortFrom(address, uint16(port)).String() }
	core, lines := observer.New(zap.InfoLevel)
	n := &node{
		t: c.t, lines: lines, callers: listen(c.ports[0]), readiness: listen(c.ports[1]), stopped: make(chan struct{}),
	}
	running, err := entry.New(entry.Config{
		Settings: deployment.Settings{
			Node: fmt.Sprintf("node-%d", number), Address: address, FailureDomain: "a", FailureDomains: []string{"a"},
			CallerListen: n.callers, ReadinessListen: n.readiness, PeerPort: peerPort, MetricsPort: c.ports[3], Cores: 1,
			Heartbeat: time.Second,
			Bounds: deployment.Bounds{
				Grace: grace, RetryRatio: 2, RetrySlack: 100, RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second,
			},
		},
		Clock: clockwork.NewRealClock(), Logger: zap.New(core), Store: clusterStore{tables: c.store, cut: cut}, Orders: refusableOrders{}, Dialect: clusterDialect{},
		Codec: entry.Codec{
			ServersTable: serversTable, ConfigurationTable: configurationTable, ConfigurationKey: "only",
			DecodeServer: func(id string, value []byte) *registry.Server {
				return &registry.Server{ID: id, Service: "svc", Address: string(value), FailureDomain: "a", Slots: 9, Incarnation: 1}
			},
			DecodeConfiguration: func([]byte) (*routes.Configuration, error) { return clusterConfiguration(), nil },
			Unwrap:              func(body []byte) (string, []byte, error) { return "", body, nil },
		},
		Dial:         (&net.Dialer{}).DialContext,
		DroppedLines: func() uint64 { return 0 },
		ReadyPath:    "/ready",
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.group.Go(func() error {
		defer close(n.stopped)
		return running.Run(ctx)
	})
	c.t.Cleanup(func() {
		stop()
		await(n.hasStopped)
	})
	return n
}

// clusterConfiguration has a route for each kind of request.
func clusterConfiguration() *routes.Configuration {
	c := &routes.Configuration{
		Version: 1, Services: map[string]routes.Service{"svc": {Name: "svc"}},
		Routes: []routes.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.KindNonIdempotent, MaxAttempts: 1, Objective: time.Hour, Targets: targets("svc")},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routes.KindStreaming, MaxAttempts: 1, Objective: time.Hour, Targets: targets("svc")},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.KindIdempotent, MaxAttempts: 2, Objective: time.Hour, Targets: targets("svc")},
		},
	}
	c.Index()
	return c
}

// await waits until the condition holds.
func await(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// awaitNextEpisode waits until a further end of a server can't have the cause of one
// before.
func (c *cluster) awaitNextEpisode() {
	since := time.Now()
	await(func() bool { return time.Since(since) > entry.CommonCause })
}

// reply is what a caller received.
type reply struct {
	status     int
	retryAfter string
	body       string
	// cutOff is set if the body ended early.
	cutOff bool
}

// send sends a request to a node under a new ID.
func (c *cluster) send(node int, path, body string) reply {
	c.t.Helper()
	return c.sendPrompt(node, path, body, "")
}

// sendParts sends a request with the given shared parts in its prompt, whose own part
// and body no other request has.
func (c *cluster) sendParts(node int, path string, shared ...string) reply {
	c.t.Helper()
	own := fmt.Sprint("own-", c.sent)
	return c.sendPrompt(node, path, own, strings.Join(append(shared, own), ","))
}

// sendPrompt sends a request with the given parts in its prompt under a new ID.
func (c *cluster) sendPrompt(node int, path, body, parts string) reply {
	c.t.Helper()
	c.sent++
	request, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[node].callers+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", fmt.Sprint("request-", c.sent))
	request.Header.Set("Parts", parts)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.t.Fatalf("request to node %d: %v", node, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: string(text), cutOff: err != nil}
}

// ended returns the number of servers that ended.
func (c *cluster) ended() int {
	count := 0
	for _, s := range c.servers {
		if s.hasEnded() {
			count++
		}
	}
	return count
}

// count returns the number of lines of an event that a node logged.
func (n *node) count(d event.Definition) int {
	return n.lines.FilterMessage(d.Message).Len()
}

// awaitEnds waits until a node has found out about a number of ended servers.
func (c *cluster) awaitEnds(node, count int) {
	await(func() bool { return c.nodes[node].count(event.ServerEnded) >= count })
}
