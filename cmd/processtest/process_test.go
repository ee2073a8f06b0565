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

// text returns the words of a streamed chat answer.
func text(answer string) string {
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

// checkAnswer fails the test when an answer that ends as if it were whole is
// not the answer to its own request.
func checkAnswer(t *testing.T, answer string, seed int) bool {
	t.Helper()
	want := enginestandin.Text("user: hello", int64(seed), 0)
	if whole(answer) && text(answer) != want {
		t.Errorf("seed %d: %q, want %q", seed, text(answer), want)
	}
	return whole(answer)
}

// askMany asks n questions at the nodes in turn, at the same time, and returns
// how many answers were whole.
func (c *cluster) askMany(t *testing.T, n int, during func()) int {
	t.Helper()
	answers := make([]string, n)
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			answers[i] = ask(c.callers[i%len(c.callers)], i)
			return nil
		})
	}
	during()
	_ = g.Wait()
	got := 0
	for i, answer := range answers {
		if checkAnswer(t, answer, i) {
			got++
		} else if !strings.Contains(answer, "outcome") {
			t.Errorf("seed %d: neither whole nor an explicit error: %q", i, answer)
		}
	}
	return got
}

func TestMemberKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 20*time.Millisecond)
	victim := c.serving(t)
	got := c.askMany(t, 24, func() { c.members[victim].signal(t, syscall.SIGKILL) })
	t.Logf("%d of 24 answers were whole while a member was killed", got)
	c.awaitReady(t, "1")
}

func TestMemberPausedAndWoken(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.serving(t)
	c.members[victim].pause(t)
	c.awaitReady(t, "1")
	c.members[victim].signal(t, syscall.SIGCONT)
	poll(t, "the woken member is released", func() bool {
		return memberHealth(c.members[victim].address).Phase == "idle"
	}, func() string { return "" })
	c.awaitReady(t, "1")
}

func TestNodeKilledBeforeMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, time.Millisecond)
	c.nodes[0].signal(t, syscall.SIGKILL)
	c.callers = c.callers[1:]
	c.members[c.serving(t)].signal(t, syscall.SIGKILL)
	c.awaitReady(t, "1")
}

func TestPlatformDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	c.fault(t, platformstandin.FaultDown)
	if got := c.askMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were whole while the platform was down", got)
	}
	c.fault(t, platformstandin.FaultNone)
	c.apply(t, "2")
	c.awaitReady(t, "2")
}

func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 50*time.Millisecond)
	stopping := c.nodes[0]
	address := c.callers[0]
	c.callers = []string{address}
	got := c.askMany(t, 8, func() {
		poll(t, "the requests are running", func() bool {
			running := 0
			for _, m := range c.members {
				running += memberHealth(m.address).Running
			}
			return running == 8
		}, func() string { return "" })
		stopping.signal(t, syscall.SIGTERM)
	})
	if got != 8 {
		t.Errorf("%d of 8 answers were whole at a graceful shutdown", got)
	}
	if err := stopping.Wait(); err != nil {
		t.Errorf("the node ended with: %v", err)
	}
}

// TestNodesReplacedInOutage replaces a node while the platform is down: the
// new one has nothing but its settings and the other node to learn from.
func TestNodesReplacedInOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	c.fault(t, platformstandin.FaultDown)
	c.nodes[0].signal(t, syscall.SIGKILL)
	c.startNode(t, "node-0", c.peers[1])
	c.callers = c.callers[2:]
	c.awaitReady(t, "1")
	if got := c.askMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were whole at the node that started in the outage", got)
	}
}

// TestRollOutUnderLoad rolls a new version out while callers ask all the time:
// no answer may be cut off or refused, since one group serves throughout.
func TestRollOutUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 5*time.Millisecond)
	const callers = 6
	done := make(chan struct{})
	var g errgroup.Group
	var asked atomic.Int64
	for i := range callers {
		g.Go(func() error {
			for {
				select {
				case <-done:
					return nil
				default:
				}
				seed := int(asked.Add(1))
				if answer := ask(c.callers[i%len(c.callers)], seed); !checkAnswer(t, answer, seed) {
					t.Errorf("seed %d: %q", seed, answer)
				}
			}
		})
	}
	c.apply(t, "2")
	c.awaitReady(t, "2")
	close(done)
	_ = g.Wait()
	t.Logf("%d answers during the roll-out", asked.Load())
}

// TestOperatorDrainsVM takes a VM out of service by the command line: a spare
// takes its place and the VM is released.
func TestOperatorDrainsVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.serving(t)
	command := exec.Command(filepath.Join(programs, "almondbay"), "drain",
		"--server", "http://"+c.operators[0], fmt.Sprintf("vm-%d", victim))
	command.Env = append(os.Environ(), "ALMONDBAY_OPERATOR_KEY="+key)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("drain: %v: %s", err, out)
	}
	poll(t, "the drained VM is released", func() bool {
		return memberHealth(c.members[victim].address).Phase == "idle"
	}, func() string { return fmt.Sprint(memberHealth(c.members[victim].address)) })
	c.awaitReady(t, "1")
}

// TestLeaseHolderPaused pauses two of three nodes past their leases, has the
// third repair a group, and wakes them: they must not disturb what it did, and
// all must follow the next document.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, time.Millisecond)
	for _, n := range c.nodes[:2] {
		n.pause(t)
	}
	c.members[c.serving(t)].signal(t, syscall.SIGKILL)
	all := c.callers
	c.callers = all[2:]
	c.awaitReady(t, "1")
	for _, n := range c.nodes[:2] {
		n.signal(t, syscall.SIGCONT)
	}
	c.callers = all
	c.awaitReady(t, "1")
	c.apply(t, "2")
	c.awaitReady(t, "2")
}

// TestMemberReturns kills a member and starts it again at once on the same VM,
// with another boot ID and no group.
func TestMemberReturns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	victim := c.serving(t)
	c.members[victim].signal(t, syscall.SIGKILL)
	c.startMember(t, victim, time.Millisecond)
	c.awaitReady(t, "1")
	if got := c.askMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were whole after the member's return", got)
	}
}

// TestFabricDomainDark kills every member of one of two fabric domains at once:
// the group in the other one goes on serving, and when the members return all
// groups do.
func TestFabricDomainDark(t *testing.T) {
	t.Parallel()
	c := newSplitCluster(t, 2, time.Millisecond, span)
	for _, m := range c.members[:c.split] {
		m.signal(t, syscall.SIGKILL)
	}
	// A caller may be told that its request was cut off; no answer is wrong.
	c.askMany(t, 20, func() {})
	for _, address := range c.callers {
		poll(t, "the group that is left answers", func() bool {
			return whole(ask(address, 0))
		}, func() string { return "" })
	}
	if got := c.askMany(t, 20, func() {}); got != 20 {
		t.Errorf("%d of 20 answers were whole with a fabric domain dark", got)
	}
	for i := range c.split {
		c.startMember(t, i, time.Millisecond)
	}
	c.awaitReady(t, "1")
}

// TestNodeKilledBetweenDispatchAndRecord has a node killed when the plain
// service has run a booking and not answered yet. The repeat at another node
// must not run it again, nor be told that it was not run.
func TestNodeKilledBetweenDispatchAndRecord(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, time.Millisecond)
	service := servicestandin.New("service-1")
	listener := httptest.NewServer(service)
	t.Cleanup(listener.Close)
	c.control(t, platformstandin.PathControlVM, fmt.Sprintf(
		`{"id": "service-1", "address": %q, "failureDomain": "a", "role": "service", "service": "booking", "state": "live"}`,
		listener.Listener.Addr()))
	for i := range c.nodes {
		poll(t, "the node knows the service", func() bool {
			status, _ := c.book(t, i, fmt.Sprint("warm-up ", i), "warm-up")
			return status == http.StatusOK
		}, func() string { return "" })
	}
	service.BeforeAnswer(func() {
		_ = c.nodes[0].Process.Kill()
		_ = c.nodes[0].Wait()
	})
	if status, answer := c.book(t, 0, "k", "seat 7"); status != 0 {
		t.Errorf("the killed node answered %d, %s", status, answer)
	}
	service.BeforeAnswer(nil)
	if status, answer := c.book(t, 1, "k", "seat 7"); status != http.StatusConflict || !strings.Contains(answer, `"outcome":"unknown"`) {
		t.Errorf("the repeat: %d, %s", status, answer)
	}
	if runs := service.Runs("seat 7"); runs != 1 {
		t.Errorf("the booking ran %d times", runs)
	}
}
