package peer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/core/membership"
)

// cluster is a set of nodes that exchange probe results over HTTP on loopback.
type cluster struct {
	clock   *clockwork.FakeClock
	vms     []fleet.VM
	nodes   []*Sightings
	members []string
}

// newCluster starts nodes. Node i is in failure domain i mod domains.
func newCluster(t testing.TB, nodes, domains, members int) *cluster {
	c := &cluster{clock: clockwork.NewFakeClock()}
	for i := range members {
		c.members = append(c.members, fmt.Sprintf("backend-%05d", i))
	}
	handlers := make([]http.Handler, nodes)
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { handlers[i].ServeHTTP(rw, r) }))
		t.Cleanup(server.Close)
		c.vms = append(c.vms, fleet.VM{
			ID: fmt.Sprintf("entry-%04d", i), FailureDomain: fmt.Sprint("domain-", i%domains), State: fleet.VMLive,
			Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEntry,
		})
	}
	for i, vm := range c.vms {
		s := NewSightings(SightingsConfig{
			Node: vm.ID, FailureDomain: vm.FailureDomain, Scheme: "http", HTTP: http.DefaultClient, Clock: c.clock,
			Membership: membership.Config{
				Node: vm.ID, Incarnation: 1, LoadInterval: 500 * time.Millisecond,
				NodeTimeout: 10 * time.Second, SectionTTL: time.Minute,
			},
			Nodes: func() []fleet.VM { return c.vms },
		})
		handlers[i] = s.Handler()
		c.nodes = append(c.nodes, s)
	}
	return c
}

// probe records the results of all nodes' probes, with the given group epoch.
func (c *cluster) probe(epoch uint64) {
	sentAt := c.clock.Now()
	for _, s := range c.nodes {
		for _, m := range s.Assign(c.members) {
			s.Observe(c.probeResult(m, epoch), sentAt)
		}
	}
}

func (c *cluster) probeResult(member string, epoch uint64) membership.ProbeResult {
	return membership.ProbeResult{Member: member, Report: fleet.Report{
		Identity: fleet.Identity{Member: member, Boot: "5b1c7a", Group: "draft-12", Epoch: epoch, Model: "draft", Version: "v7"},
		Phase:    fleet.PhaseReady, Term: 3, Load: fleet.Load{Running: 7, Slots: 32},
	}}
}

// settle pushes changes until no node has any left to send.
func (c *cluster) settle(t testing.TB) {
	for changed := true; changed; {
		changed = false
		for _, s := range c.nodes {
			select {
			case <-s.Changes():
				changed = true
				if err := s.Push(t.Context()); err != nil {
					t.Error(err)
				}
			default:
			}
		}
	}
}

// TestSightingsReplicateWithinDomain checks that the results of all probes reach
// every node of the failure domain, dated no later than the probe and at most 200
// ms earlier, and that messages of other senders are rejected.
func TestSightingsReplicateWithinDomain(t *testing.T) {
	c := newCluster(t, 14, 2, 12)
	c.probe(3)
	sentAt := c.clock.Now()
	c.settle(t)
	c.clock.Advance(300 * time.Millisecond)
	for range 2 {
		for _, s := range c.nodes {
			if err := s.Heartbeat(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, s := range c.nodes {
		reports := s.Reports()
		if len(reports) != len(c.members) {
			t.Errorf("node %d has %d reports, want %d", i, len(reports), len(c.members))
		}
		for m, r := range reports {
			if age := sentAt.Sub(r.SeenAt); r.Identity.Epoch != 3 || age < 0 || age > 200*time.Millisecond {
				t.Errorf("node %d has %s at epoch %d, dated %v before the probe; want epoch 3 and 0 to 200ms", i, m, r.Identity.Epoch, age)
			}
		}
	}
	for _, body := range []string{"{", "{}", `{"n": "nobody"}`, `{"n": "entry-0001"}`} {
		response, err := http.Post("http://"+c.vms[0].Address+PathSightings, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < http.StatusBadRequest {
			t.Errorf("message %s got status %s, want an error", body, response.Status)
		}
	}
}
