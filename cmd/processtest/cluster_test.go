// Package processtest runs the programs as separate processes on loopback and
// kills, pauses and cuts them.
package processtest

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"almondbay.example/standin/platformstandin"
)

const (
	key          = "secret"
	span         = 4
	groups       = 2
	members      = span*groups + 1
	pollInterval = 50 * time.Millisecond
	// patience bounds each wait for the processes to get somewhere; only a hang
	// reaches it.
	patience = time.Minute
)

var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		panic(err)
	}
	programs = dir
	build := exec.Command("go", "build", "-race", "-o", dir, "../almondbay", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	*exec.Cmd
	// address is the first line that the program printed, if it was awaited.
	address string
	log     *output
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// pause stops a process and waits until none of its threads runs any more: under
// load the signal takes effect only once a thread is scheduled, and the others
// answer until then.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	var states string
	poll(t, "the process stands still", func() bool {
		var err error
		states, err = threadStates(p.Process.Pid)
		return err == nil && states != "" && strings.Trim(states, "T") == ""
	}, func() string { return states })
}

// threadStates returns the state of each thread of a process, a letter each.
func threadStates(pid int) (string, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return "", err
	}
	var states strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		// The name before the state is in brackets and may hold spaces.
		_, rest, _ := strings.Cut(string(text), ") ")
		states.WriteString(rest[:min(1, len(rest))])
	}
	return states.String(), nil
}

// cluster is a platform, members and nodes.
type cluster struct {
	platform *process
	members  []*process
	nodes    []*process
	// split is the number of the first member in the second fabric domain.
	split int
	// callers, operators and peers are the addresses of the nodes.
	callers, operators, peers []string
}

// start runs a program until the test ends.
func start(t *testing.T, awaitLine bool, name string, args ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(filepath.Join(programs, name), args...), log: &output{}}
	p.Stderr = p.log
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("%s %v: a data race", name, args)
		}
		if t.Failed() {
			t.Logf("%s %v:\n%.4000s", name, args, p.log)
		}
	})
	if awaitLine {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v: %v: %s", name, args, err, p.log)
		}
		p.address = strings.TrimSpace(line)
	}
	return p
}

// output keeps what a process prints while it runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// listening returns the addresses that a node has logged, by listener.
func (o *output) listening() map[string]string {
	addresses := map[string]string{}
	for _, line := range strings.Split(o.String(), "\n") {
		var logged struct{ Msg, Listener, Address string }
		if json.Unmarshal([]byte(line), &logged) == nil && logged.Msg == "listening" {
			addresses[logged.Listener] = logged.Address
		}
	}
	return addresses
}

// newCluster starts a platform, members with the given pace and nodes, applies
// a document and waits until every group serves.
func newCluster(t *testing.T, nodes int, tokenInterval time.Duration) *cluster {
	t.Helper()
	return newSplitCluster(t, nodes, tokenInterval, members)
}

// newSplitCluster is newCluster with the members from split on in a second
// fabric domain.
func newSplitCluster(t *testing.T, nodes int, tokenInterval time.Duration, split int) *cluster {
	t.Helper()
	c := &cluster{platform: start(t, true, "standin", "platform"), split: split}
	for i := range members {
		c.members = append(c.members, nil)
		c.startMember(t, i, tokenInterval)
	}
	for i := range nodes {
		c.startNode(t, fmt.Sprintf("node-%d", i))
	}
	c.apply(t, "1")
	c.awaitReady(t, "1")
	return c
}

// startMember starts the member on VM i, again or for the first time.
func (c *cluster) startMember(t *testing.T, i int, tokenInterval time.Duration) {
	t.Helper()
	fabric := "fabric-1"
	if i >= c.split {
		fabric = "fabric-2"
	}
	c.members[i] = start(t, true, "standin", "engine",
		"--id", fmt.Sprintf("vm-%d", i), "--platform", "http://"+c.platform.address,
		"--fabric-domain", fabric, "--load-time", "100ms",
		"--token-interval", tokenInterval.String())
}

// serving returns the number of a member that is in a group.
func (c *cluster) serving(t *testing.T) int {
	t.Helper()
	for i, m := range c.members {
		if memberHealth(m.address).Group != "" {
			return i
		}
	}
	t.Fatal("no member is in a group")
	return 0
}

func hash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// startNode starts a node that may learn from the seeds.
func (c *cluster) startNode(t *testing.T, id string, seeds ...string) {
	t.Helper()
	seedList, err := json.Marshal(append([]string{}, seeds...))
	if err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprintf(`{
	"node": %q, "failureDomain": "a", "environment": "trial",
	"caller": {"address": "127.0.0.1:0"},
	"operator": {"address": "127.0.0.1:0", "operators": [{"name": "test", "keyHash": %q}]},
	"peer": {"address": "127.0.0.1:0", "keys": ["a key that peers share"], "seeds": %s},
	"platform": {"address": "http://%s"},
}`, id, hash(key), seedList, c.platform.address)
	path := filepath.Join(t.TempDir(), id+".jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n := start(t, false, "almondbay", "serve", path)
	var at map[string]string
	poll(t, id+" listens", func() bool {
		at = n.log.listening()
		return len(at) == 3
	}, n.log.String)
	c.control(t, platformstandin.PathControlVM, fmt.Sprintf(
		`{"id": %q, "address": %q, "failureDomain": "a", "role": "entry", "state": "live"}`, id, at["peer"]))
	c.nodes = append(c.nodes, n)
	c.callers = append(c.callers, at["caller"])
	c.operators = append(c.operators, at["operator"])
	c.peers = append(c.peers, at["peer"])
}

// apply accepts a document that serves a version of the model.
func (c *cluster) apply(t *testing.T, version string) {
	t.Helper()
	document := fmt.Sprintf(`{
	"models": [{"name": "demo", "version": %q, "groups": %d, "span": %d}],
	"workspaces": [{"name": "default", "keyHashes": [%q], "share": 1,
		"objective": {"firstToken": "2s", "betweenToken": "45ms", "target": 0.95}}],
	"services": [{"name": "booking", "timeout": "10s", "nonIdempotent": [{"method": "POST", "path": "/"}]}],
}`, version, groups, span, hash(key))
	path := filepath.Join(t.TempDir(), "document.jsonc")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	var last []byte
	poll(t, "the document is accepted", func() bool {
		command := exec.Command(filepath.Join(programs, "almondbay"), "apply", "--server", "http://"+c.operators[0], path)
		command.Env = append(os.Environ(), "ALMONDBAY_OPERATOR_KEY="+key)
		out, err := command.CombinedOutput()
		last = out
		return err == nil
	}, func() string { return string(last) })
}

// poll waits until condition holds.
func poll(t *testing.T, what string, condition func() bool, detail func() string) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(patience)
	defer deadline.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("waited in vain until %s: %s", what, detail())
		}
	}
}

// health is the part of a member's health answer that the tests read.
type health struct {
	Group   string `json:"group"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
	Running int    `json:"running"`
}

func memberHealth(address string) health {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/health")
	if err != nil {
		return health{}
	}
	defer func() { _ = response.Body.Close() }()
	var h health
	_ = json.NewDecoder(response.Body).Decode(&h)
	return h
}

// awaitReady waits until every group has all its members ready at version and
// every node gives whole answers.
func (c *cluster) awaitReady(t *testing.T, version string) {
	t.Helper()
	var seen map[string]int
	poll(t, "all groups are ready at version "+version, func() bool {
		seen = map[string]int{}
		for _, m := range c.members {
			if h := memberHealth(m.address); h.Phase == "ready" && h.Version == version {
				seen[h.Group]++
			}
		}
		full := 0
		for _, n := range seen {
			if n == span {
				full++
			}
		}
		return full == groups
	}, func() string { return fmt.Sprint(seen) })
	for _, address := range c.callers {
		var last string
		poll(t, "node "+address+" gives a whole answer", func() bool {
			last = ask(address, 0)
			return whole(last)
		}, func() string { return last })
	}
}

// ask streams one answer and returns its events; seed makes it distinct.
func ask(address string, seed int) string {
	body := fmt.Sprintf(`{"model": "demo", "stream": true, "seed": %d,
		"messages": [{"role": "user", "content": "hello"}]}`, seed)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return string(answer) + err.Error()
	}
	return string(answer)
}

// book books at a node under an idempotency key. The status is zero when the
// node gave no answer.
func (c *cluster) book(t *testing.T, node int, idempotencyKey, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.callers[node]+"/services/booking/seats", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

func whole(answer string) bool {
	return strings.HasSuffix(answer, "data: [DONE]\n\n")
}

// fault switches the platform to a fault.
func (c *cluster) fault(t *testing.T, f platformstandin.Fault) {
	t.Helper()
	c.control(t, platformstandin.PathControlFault+"/"+string(f), "")
}

// control calls the platform stand-in's own control.
func (c *cluster) control(t *testing.T, path, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platform.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("%s: %s", path, response.Status)
	}
}
