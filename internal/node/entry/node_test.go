package entry_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/formation"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/node/entry"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/routes"
	"almondbay.example/serving/platform"
)

const (
	serversTable       = "servers"
	configurationTable = "configuration"
)

// grace is the node's grace period, from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// dialect maps only the request ID and the response signature.
type dialect struct{}

func (dialect) Call(h http.Header) exchange.Call { return exchange.Call{ID: h.Get("Id")} }

func (dialect) Forward(from http.Header, _ exchange.Forward) http.Header { return from.Clone() }

func (dialect) Answer(id string, _ int, h http.Header) (exchange.Answer, error) {
	if got := h.Get("Id"); got != id {
		return exchange.Answer{}, &exchange.OtherRequestError{Request: id, Response: got}
	}
	return exchange.Answer{Signed: h.Get("Signature") != ""}, nil
}

func (dialect) CopyAnswer(to, from http.Header) { to.Set("Signature", from.Get("Signature")) }

func (dialect) SetRefusal(http.Header, string, time.Duration) {}

// store holds one server and one configuration that never change.
type store struct{}

func (store) Read(context.Context, string) (platform.Row, error) { return platform.Row{}, nil }

func (store) Range(context.Context, string) ([]platform.Row, error) { return nil, nil }

func (store) Commit(context.Context, platform.Transaction) error { return nil }

func (store) CommitVersion(context.Context, platform.Transaction) (uint64, error) { return 1, nil }

func (store) Scan(_ context.Context, table string) (platform.Changes, error) {
	c := platform.Changes{Version: 1}
	if table == serversTable || table == configurationTable {
		c.Rows = []platform.Change{{Key: "only", Version: 1}}
	}
	return c, nil
}

func (store) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) (platform.Changes, error) {
	<-ctx.Done()
	return platform.Changes{Version: after}, nil
}

// noOrders rejects all orders, as in a failure domain without engines.
type noOrders struct{}

func (noOrders) Send(context.Context, formation.Order, uint64, uint64) (int, error) {
	return 0, errors.New("there are no engines")
}

func (noOrders) QueryState(context.Context, registry.Server) (control.State, error) {
	return control.State{}, errors.New("there are no engines")
}

// loopback returns a loopback address on which no other process listens: test
// processes that run at the same time must not take each other's ports.
func loopback() netip.Addr {
	id := uint32(os.Getpid())
	return netip.AddrFrom4([4]byte{127, 64 | byte(id>>16)&63, byte(id >> 8), byte(id)})
}

// freePorts returns different ports that were free on an address when they were
// checked.
func freePorts(t *testing.T, address netip.Addr, count int) []int {
	t.Helper()
	var ports []int
	for range count {
		l, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		// Closed only on return, so that no port is found twice.
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// node is a running node with one backend server.
type node struct {
	t                  *testing.T
	clock              *clockwork.FakeClock
	lines              *observer.ObservedLogs
	callers, readiness string
	stop               context.CancelFunc
	group              errgroup.Group
	// stopped is closed once Run has returned.
	stopped chan struct{}
}

func startNode(t *testing.T, backend string) *node {
	t.Helper()
	address := loopback()
	ports := freePorts(t, address, 4)
	listen := func(port int) string { return netip.AddrPortFrom(address, uint16(port)).String() }
	core, lines := observer.New(zap.InfoLevel)
	n := &node{
		t: t, clock: clockwork.NewFakeClock(), lines: lines, callers: listen(ports[0]), readiness: listen(ports[1]), stopped: make(chan struct{}),
	}
	configuration := &routes.Configuration{
		Version: 1, Services: map[string]routes.Service{"svc": {Name: "svc"}},
		Routes: []routes.Route{
			{Name: "once", Host: "h", Prefix: "/", Kind: routes.KindNonIdempotent, MaxAttempts: 1, Targets: targets("svc")},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routes.KindStreaming, MaxAttempts: 1, Targets: targets("svc")},
			{Name: "nowhere", Host: "h", Prefix: "/nowhere/", Kind: routes.KindNonIdempotent, MaxAttempts: 1, Targets: targets("gone")},
		},
	}
	configuration.Index()
	server := &registry.Server{ID: "only", Service: "svc", Address: backend, FailureDomain: "a", Slots: 9, Incarnation: 1}
	running, err := entry.New(entry.Config{
		Settings: deployment.Settings{
			Node: "node", Address: address, FailureDomain: "a", FailureDomains: []string{"a"},
			CallerListen: n.callers, ReadinessListen: n.readiness, PeerPort: ports[2], MetricsPort: ports[3], Cores: 1,
			Bounds: deployment.Bounds{Grace: grace, RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second},
		},
		Clock: n.clock, Logger: zap.New(core), Store: store{}, Orders: noOrders{}, Dialect: dialect{},
		Codec: entry.Codec{
			ServersTable: serversTable, ConfigurationTable: configurationTable, ConfigurationKey: "only",
			DecodeServer:        func(string, []byte) *registry.Server { return server },
			DecodeConfiguration: func([]byte) (*routes.Configuration, error) { return configuration, nil },
			Unwrap:              func(body []byte) (string, []byte, error) { return "", body, nil },
		},
		Dial:         (&net.Dialer{}).DialContext,
		DroppedLines: func() uint64 { return 0 },
		ReadyPath:    "/ready",
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.group.Go(func() error {
		defer close(n.stopped)
		return running.Run(ctx)
	})
	t.Cleanup(func() {
		stop()
		n.advanceUntil(n.hasStopped)
	})
	return n
}

func targets(service string) []routes.Target {
	return []routes.Target{{Service: service, Weight: 1}}
}

// advanceUntil advances the fake clock until the condition holds.
func (n *node) advanceUntil(condition func() bool) {
	for !condition() {
		if n.hasStopped() && !condition() {
			n.t.Fatalf("node stopped before the expected state: %v", n.group.Wait())
		}
		n.clock.Advance(50 * time.Millisecond)
	}
}

func (n *node) hasStopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// ready reports whether the readiness probe succeeds.
func (n *node) ready() bool {
	response, err := http.Get("http://" + n.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a request on a new connection and returns the body of the answer.
func (n *node) send(t *testing.T, id string) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/x", strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return ""
	}
	request.Host = "h"
	request.Header.Set("Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Errorf("request %s: %v", id, err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("read answer to request %s: %v", id, err)
	}
	return string(body)
}
