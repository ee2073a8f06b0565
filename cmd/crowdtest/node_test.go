// Package crowdtest plays crowds of callers that ignore the limits against a node that runs
// as a process of its own, and checks that it lives, stays within its memory and its
// descriptors, and answers an ordinary request afterwards.
package crowdtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/platform/soak"
)

const (
	// pollInterval is the time between two looks at the node.
	pollInterval = 20 * time.Millisecond
	// giveUp ends a test that makes no progress. No check depends on it.
	giveUp = 90 * time.Second

	nodeIP        = "127.58.1.1"
	portCallers   = "7201"
	portReadiness = "7202"
	portPeers     = 7203
	portMetrics   = 7204

	apiKey = "keyoftheworkspace"
	// maxBodyBytes is that of the document.
	maxBodyBytes = 4 << 20
	// answerBytes is the length of the answers to pathBig.
	answerBytes = 1 << 20

	pathOnce   = "/once/x"
	pathSafe   = "/safe/x"
	pathBig    = "/safe/big"
	pathStream = "/stream/x"
	pathPublic = "/public/x"
	// pathUntimed is that of a route without a time limit.
	pathUntimed = "/untimed/x"
)

// limits are the limits of the VM in the settings of a node.
type limits struct {
	memoryMB int
	maxFDs   int
}

// node is a running node with its surroundings.
type node struct {
	limits  limits
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   lineTail
	// server is the backend server.
	server *backendServer
	// ordinary sends an ordinary request with an ID.
	ordinary func(ctx context.Context, id string) error
	client   *http.Client

	// peakMemory is the most memory in bytes that was seen, peakSockets the most sockets.
	peakMemory, peakSockets atomic.Int64
	// resident and unread are the parts of peakMemory.
	resident, unread atomic.Int64
}

// program builds the program once for all tests.
var program = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		return "", err
	}
	output, err := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "almondbay.example/cmd/almondbay").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, output)
	}
	return filepath.Join(directory, "almondbay"), nil
})

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	status := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

// startNode starts a node, its store and a server, and waits until it is ready.
func startNode(t *testing.T, l limits) *node {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(l)
	n.server = newBackendServer(t)
	n.ordinary = n.ordinaryRequest
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, n.settings(t, newStore(t, n.server)), 0o600); err != nil {
		t.Fatal(err)
	}
	n.command = exec.Command(path, "entry")
	n.start(t, "ALMONDBAY_BOOT="+settings)
	n.await(t, "the node is ready", func() bool {
		response, err := n.client.Get("http://" + net.JoinHostPort(nodeIP, portReadiness) + "/-/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return n
}

func newNode(l limits) *node {
	return &node{limits: l, ended: make(chan struct{}), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// start starts the process, with more variables in its environment, and ends it with the test.
func (n *node) start(t *testing.T, environment ...string) {
	t.Helper()
	// The VM has one core.
	n.command.Env = append(append(os.Environ(), "GOMAXPROCS=1"), environment...)
	n.command.Stdout = &n.log
	n.command.Stderr = &n.log
	if err := n.command.Start(); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		_ = n.command.Wait()
		close(n.ended)
		return nil
	})
	stopWatch := make(chan struct{})
	g.Go(func() error {
		n.watch(stopWatch)
		return nil
	})
	t.Cleanup(func() {
		close(stopWatch)
		_ = n.command.Process.Signal(syscall.SIGKILL)
		_ = g.Wait()
		if t.Failed() {
			t.Logf("last lines of the node:\n%s", n.log.String())
		}
	})
}

// settings returns the settings of the node.
func (n *node) settings(t *testing.T, store string) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"nodeName": "node", "ip": nodeIP, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"frontend": net.JoinHostPort(nodeIP, portCallers), "readiness": net.JoinHostPort(nodeIP, portReadiness),
		},
		"internalPorts": []int{portPeers, portMetrics}, "bootstrap": true, "heartbeatMs": 600,
		"limits": map[string]any{"cpuQuota": 0.3, "memoryMb": n.limits.memoryMB, "maxFds": n.limits.maxFDs},
		"bounds": map[string]any{
			"contactMs": 3000, "drainMs": 2000, "graceS": 8, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 225,
			"originWindowS": 5, "originOverrun": 1.1,
		},
		"platform": map[string]any{"address": store},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// newStore returns the address of a store with a document and the registration of a server.
func newStore(t *testing.T, s *backendServer) string {
	t.Helper()
	route := func(name, kind string, timeoutMS int) map[string]any {
		return map[string]any{
			"name": name, "host": "crowd.example", "prefix": "/" + name + "/", "routeKind": kind, "timeoutMs": timeoutMS, "sloMs": 300,
			"service": "bookings", "maxAttempts": 1, "public": name == "public", "gapTargetMs": 300,
		}
	}
	document := map[string]any{
		"version": 1, "services": []map[string]any{{"name": "bookings"}},
		"routes": []map[string]any{
			route("once", "non_idempotent", 20_000), route("safe", "idempotent", 20_000), route("stream", "streaming", 20_000),
			route("public", "idempotent", 20_000), route("untimed", "idempotent", 0),
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "workspace", "apiKeys": []string{apiKey}}},
	}
	registration := map[string]any{
		"service": "bookings", "address": s.address, "zone": "a", "version": "1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"callSeq": 1, "born": 1,
	}
	store := soak.NewStore(clockwork.NewRealClock())
	for _, row := range []struct {
		table, key string
		value      any
	}{{"op", "config", document}, {"servers", serverID, registration}} {
		value, err := json.Marshal(row.value)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(row.table, row.key, value)
	}
	front := httptest.NewServer(store)
	t.Cleanup(front.Close)
	t.Cleanup(front.CloseClientConnections)
	return front.Listener.Addr().String()
}

// serverID is the ID of the backend server.
const serverID = "i-01"

// backendServer is a server of the service. It answers at once, or once it is released.
type backendServer struct {
	address string
	// held, unless nil, holds back the answers until it is closed.
	held atomic.Pointer[chan struct{}]
	// arrived counts the requests.
	arrived atomic.Int64
}

func newBackendServer(t *testing.T) *backendServer {
	t.Helper()
	s := &backendServer{}
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	t.Cleanup(front.CloseClientConnections)
	s.address = front.Listener.Addr().String()
	return s
}

// ServeHTTP implements http.Handler.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		_, _ = io.WriteString(w, `{"phase":"ready","callSeq":1,"born":1}`)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.arrived.Add(1)
	if held := s.held.Load(); held != nil {
		select {
		case <-*held:
		case <-r.Context().Done():
			return
		}
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", serverID)
	switch r.URL.Path {
	case pathBig:
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = w.Write(make([]byte, answerBytes))
	case pathStream:
		event := "data: " + strings.Repeat("x", 8<<10) + "\n\n"
		for n := 1; r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", n, event); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	default:
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// watch records the peaks of the node until stop is closed.
func (n *node) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-n.ended:
			return
		case <-ticker.C:
			n.sample()
		}
	}
}

// sample records what the platform counts: resident memory, and bytes that the kernel has
// received for the node and that it has not read.
func (n *node) sample() {
	resident, unread := residentBytes(n.command.Process.Pid), unreadBytes()
	if sum := resident + unread; sum > n.peakMemory.Load() {
		n.peakMemory.Store(sum)
		n.resident.Store(resident)
		n.unread.Store(unread)
	}
	if sockets := socketCount(n.command.Process.Pid); sockets > n.peakSockets.Load() {
		n.peakSockets.Store(sockets)
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that wait in the receive queues of the node's connections.
func unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()

	ip := net.ParseIP(nodeIP).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	const listening = "0A"
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err == nil {
			sum += bytes
		}
	}
	return sum
}

// socketCount returns the number of sockets that a process has open.
func socketCount(pid int) int64 {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return 0
	}
	var sockets int64
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(directory, e.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// await polls until a condition holds. The test fails if the node ends before.
func (n *node) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-n.ended:
			t.Fatalf("the node has ended: %v", n.command.ProcessState)
		case <-ctx.Done():
			t.Fatalf("not reached: %s", what)
		case <-ticker.C:
		}
	}
}

// errNotAnswered reports an ordinary request without the answer of its server.
var errNotAnswered = errors.New("not answered by the server")

// ordinaryRequest sends one small request on a connection of its own.
func (n *node) ordinaryRequest(ctx context.Context, id string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(nodeIP, portCallers)+pathSafe, strings.NewReader("ordinary"))
	if err != nil {
		return err
	}
	request.Host = "crowd.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", apiKey)
	request.Header.Set("Deadline-Ms", "8000")
	response, err := n.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(body) != "answer to "+id {
		return fmt.Errorf("%w: status %d, %q", errNotAnswered, response.StatusCode, body)
	}
	return nil
}

// check checks that the node lives within its limits and answers an ordinary request, which
// is sent again after a refusal.
func (n *node) check(t *testing.T) {
	t.Helper()
	sent := 0
	var first error
	n.await(t, "an ordinary request is answered", func() bool {
		sent++
		err := n.ordinary(t.Context(), fmt.Sprintf("ordinary%d", sent))
		if err != nil && first == nil {
			first = err
		}
		return err == nil
	})
	n.sample()
	if first != nil {
		t.Logf("first attempt of the ordinary request: %v", first)
	}
	memory, sockets := n.peakMemory.Load(), n.peakSockets.Load()
	t.Logf("memory at most %d MB (%d resident, %d unread) of %d; sockets at most %d of %d; ordinary request answered at attempt %d",
		memory>>20, n.resident.Load()>>20, n.unread.Load()>>20, n.limits.memoryMB, sockets, n.maxSockets(), sent)
	if memory > int64(n.limits.memoryMB)<<20 {
		t.Errorf("memory of the node: %d bytes (%d resident, %d unread), want at most %d MB", memory, n.resident.Load(), n.unread.Load(), n.limits.memoryMB)
	}
	if sockets > n.maxSockets() {
		t.Errorf("%d sockets open, want at most %d", sockets, n.maxSockets())
	}
}

// fileDescriptors is the number of descriptors that the platform reserves for files.
const fileDescriptors = 200

// maxSockets returns the number of sockets that the node may have.
func (n *node) maxSockets() int64 { return int64(n.limits.maxFDs - fileDescriptors) }

// lineTail keeps the end of what is written to it.
type lineTail struct {
	mu   sync.Mutex
	text []byte
}

// maxTailBytes is the length of the kept end.
const maxTailBytes = 2 << 10

// Write implements io.Writer.
func (l *lineTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text = append(l.text, p...)
	l.text = l.text[max(len(l.text)-maxTailBytes, 0):]
	return len(p), nil
}

func (l *lineTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return string(l.text)
}
