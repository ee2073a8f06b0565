package processtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/standin/enginestandin"
	"almondbay.example/standin/platformstandin"
	"almondbay.example/standin/servicestandin"
)

// answerText returns the text of a streamed chat answer.
func answerText(answer string) string {
	var b strings.Builder
	for _, line := range strings.Split(answer, "\n") {
		_, after, found := strings.Cut(line, `"content":"`)
		if !found {
			continue
		}
		word, _, _ := strings.Cut(after, `"`)
		b.WriteString(word)
	}
	return b.String()
}

// verifyAnswer reports whether an answer has the end marker. It fails the test if
// such an answer is not the one to its own request.
func verifyAnswer(t *testing.T, answer string, seed int) bool {
	t.Helper()
	want := enginestandin.Text("user: hello", int64(seed), 0)
	if isComplete(answer) && answerText(answer) != want {
		t.Errorf("seed %d: complete answer %q, want %q", seed, answerText(answer), want)
	}
	return isComplete(answer)
}

// streamMany sends n requests to the nodes in turn, all at the same time, calls
// during meanwhile, and returns the number of complete answers. Every other answer
// must contain an explicit error.
func (c *cluster) streamMany(t *testing.T, n int, during func()) int {
	t.Helper()
	answers := make([]string, n)
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			answers[i] = streamAnswer(c.callers[i%len(c.callers)], i)
			return nil
		})
	}
	during()
	_ = g.Wait()
	complete := 0
	for i, answer := range answers {
		if verifyAnswer(t, answer, i) {
			complete++
		} else if !strings.Contains(answer, "outcome") {
			t.Errorf("seed %d: answer is neither complete nor an explicit error: %q", i, answer)
		}
	}
	return complete
}

// TestMemberKilledUnderLoad kills a member while requests run: each answer must be
// complete and correct or contain an error, and the group must be repaired.
func TestMemberKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 20*time.Millisecond)
	victim := c.servingMember(t)
	got := c.streamMany(t, 24, func() { c.members[victim].signal(t, syscall.SIGKILL) })
	t.Logf("%d of 24 answers were complete while a member was killed", got)
	c.awaitReady(t, "1")
}

// TestMemberResumedAfterReplacement pauses a member until a spare has replaced it.
// When it resumes it still believes that it belongs to the group, and must be
// released.
func TestMemberResumedAfterReplacement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.servingMember(t)
	c.members[victim].pause(t)
	c.awaitReady(t, "1")
	c.members[victim].signal(t, syscall.SIGCONT)
	poll(t, "the resumed member is released", func() bool {
		return memberHealth(c.members[victim].address).Phase == "idle"
	}, func() string { return "" })
	c.awaitReady(t, "1")
}

// TestGroupRepairedAfterNodeKilled kills a node, which may hold the leases, and
// then a member: the other nodes must repair the group.
func TestGroupRepairedAfterNodeKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, time.Millisecond)
	c.nodes[0].signal(t, syscall.SIGKILL)
	c.callers = c.callers[1:]
	c.members[c.servingMember(t)].signal(t, syscall.SIGKILL)
	c.awaitReady(t, "1")
}

// TestPlatformDown makes the platform fail: the nodes must serve from the state
// that they hold, and follow a new document after the outage.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	c.setFault(t, platformstandin.FaultDown)
	if got := c.streamMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were complete while the platform was down, want all", got)
	}
	c.setFault(t, platformstandin.FaultNone)
	c.apply(t, "2")
	c.awaitReady(t, "2")
}

// TestGracefulShutdown sends SIGTERM to a node with eight requests in flight: it
// must complete all of them and exit without an error.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 50*time.Millisecond)
	stopping := c.nodes[0]
	address := c.callers[0]
	c.callers = []string{address}
	got := c.streamMany(t, 8, func() {
		poll(t, "8 requests are running", func() bool {
			running := 0
			for _, m := range c.members {
				running += memberHealth(m.address).Running
			}
			return running == 8
		}, func() string { return "" })
		stopping.signal(t, syscall.SIGTERM)
	})
	if got != 8 {
		t.Errorf("%d of 8 answers were complete at a graceful shutdown, want all", got)
	}
	if err := stopping.Wait(); err != nil {
		t.Errorf("the node exited with error %v", err)
	}
}

// TestNodeReplacedInOutage replaces a node while the platform is down: the new node
// has only its settings and must fetch its state from the other node.
func TestNodeReplacedInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	c.setFault(t, platformstandin.FaultDown)
	c.nodes[0].signal(t, syscall.SIGKILL)
	c.startNode(t, "node-0", c.peers[1])
	c.callers = c.callers[2:]
	c.awaitReady(t, "1")
	if got := c.streamMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were complete at the node that started in the outage, want all", got)
	}
}

// TestRollOutUnderLoad rolls out a new version under continuous load: no answer may
// be truncated or rejected, since one of the two groups serves at any time.
func TestRollOutUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 5*time.Millisecond)
	const callers = 6
	done := make(chan struct{})
	var g errgroup.Group
	var requests atomic.Int64
	for i := range callers {
		g.Go(func() error {
			for {
				select {
				case <-done:
					return nil
				default:
				}
				seed := int(requests.Add(1))
				if answer := streamAnswer(c.callers[i%len(c.callers)], seed); !verifyAnswer(t, answer, seed) {
					t.Errorf("seed %d: incomplete answer %q", seed, answer)
				}
			}
		})
	}
	c.apply(t, "2")
	c.awaitReady(t, "2")
	close(done)
	_ = g.Wait()
	t.Logf("%d answers during the rollout", requests.Load())
}

// TestOperatorDrainsVM drains a VM with the drain command: a spare must replace it
// and the VM must be released.
func TestOperatorDrainsVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.servingMember(t)
	command := exec.Command(filepath.Join(binDir, "almondbay"), "drain",
		"--server", "http://"+c.operators[0], fmt.Sprintf("vm-%d", victim))
	command.Env = append(os.Environ(), "ALMONDBAY_OPERATOR_KEY="+apiKey)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("drain: %v: %s", err, out)
	}
	poll(t, "the drained VM is released", func() bool {
		return memberHealth(c.members[victim].address).Phase == "idle"
	}, func() string { return fmt.Sprint(memberHealth(c.members[victim].address)) })
	c.awaitReady(t, "1")
}

// TestLeaseHolderPaused pauses two of three nodes until their leases have expired
// and the third has repaired a group. When the two resume with outdated leases,
// they must not interfere with the groups, and all nodes must follow the next
// document.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, time.Millisecond)
	for _, n := range c.nodes[:2] {
		n.pause(t)
	}
	c.members[c.servingMember(t)].signal(t, syscall.SIGKILL)
	allCallers := c.callers
	c.callers = allCallers[2:]
	c.awaitReady(t, "1")
	for _, n := range c.nodes[:2] {
		n.signal(t, syscall.SIGCONT)
	}
	c.callers = allCallers
	c.awaitReady(t, "1")
	c.apply(t, "2")
	c.awaitReady(t, "2")
}

// TestMemberRestarted kills a member and restarts it at once on the same VM, with
// another boot ID and without a group: all groups must serve and no request may
// fail.
func TestMemberRestarted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.servingMember(t)
	c.members[victim].signal(t, syscall.SIGKILL)
	c.startMember(t, victim, time.Millisecond)
	c.awaitReady(t, "1")
	if got := c.streamMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were complete after the member restarted, want all", got)
	}
}

// TestFabricDomainOutage kills every member of one of two fabric domains at once:
// the group in the other domain must continue to serve, and all groups must serve
// once the members are restarted.
func TestFabricDomainOutage(t *testing.T) {
	t.Parallel()
	c := newSplitCluster(t, 2, time.Millisecond, span)
	for _, m := range c.members[:c.split] {
		m.signal(t, syscall.SIGKILL)
	}
	// Requests in flight may fail with an error, but no answer may be wrong.
	c.streamMany(t, 20, func() {})
	for _, address := range c.callers {
		poll(t, "the remaining group answers", func() bool {
			return isComplete(streamAnswer(address, 0))
		}, func() string { return "" })
	}
	if got := c.streamMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were complete during the outage of a fabric domain, want all", got)
	}
	for i := range c.split {
		c.startMember(t, i, time.Millisecond)
	}
	c.awaitReady(t, "1")
}

// TestNodeKilledBetweenDispatchAndRecord kills a node when the plain service has
// run a booking but has not answered yet. A retry at another node must not run
// the booking again, nor report that it did not run.
func TestNodeKilledBetweenDispatchAndRecord(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	service := servicestandin.New("service-1")
	listener := httptest.NewServer(service)
	t.Cleanup(listener.Close)
	c.putControl(t, platformstandin.PathControlVM, fmt.Sprintf(
		`{"id": "service-1", "address": %q, "failureDomain": "a", "role": "service", "service": "booking", "state": "live"}`,
		listener.Listener.Addr()))
	for i := range c.nodes {
		poll(t, "the node routes to the service", func() bool {
			status, _ := c.book(t, i, fmt.Sprint("warm-up ", i), "warm-up")
			return status == http.StatusOK
		}, func() string { return "" })
	}
	service.BeforeAnswer(func() {
		_ = c.nodes[0].Process.Kill()
		_ = c.nodes[0].Wait()
	})
	if status, answer := c.book(t, 0, "k", "seat 7"); status != 0 {
		t.Errorf("the killed node answered %d, %s, want no answer", status, answer)
	}
	service.BeforeAnswer(nil)
	if status, answer := c.book(t, 1, "k", "seat 7"); status != http.StatusConflict || !strings.Contains(answer, `"outcome":"unknown"`) {
		t.Errorf("the retry got %d, %s, want %d with outcome unknown", status, answer, http.StatusConflict)
	}
	if runs := service.Runs("seat 7"); runs != 1 {
		t.Errorf("the booking ran %d times, want once", runs)
	}
}
