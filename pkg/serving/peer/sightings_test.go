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

// watch is a set of nodes that exchange sightings over loopback.
type watch struct {
	clock   *clockwork.FakeClock
	vms     []fleet.VM
	nodes   []*Sightings
	members []string
}

// newWatch starts nodes; node i is in failure domain i mod domains.
func newWatch(t testing.TB, nodes, domains, members int) *watch {
	w := &watch{clock: clockwork.NewFakeClock()}
	for i := range members {
		w.members = append(w.members, fmt.Sprintf("backend-%05d", i))
	}
	handlers := make([]http.Handler, nodes)
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { handlers[i].ServeHTTP(rw, r) }))
		t.Cleanup(server.Close)
		w.vms = append(w.vms, fleet.VM{
			ID: fmt.Sprintf("entry-%04d", i), FailureDomain: fmt.Sprint("domain-", i%domains), State: fleet.VMLive,
			Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEntry,
		})
	}
	for i, vm := range w.vms {
		s := NewSightings(SightingsConfig{
			Node: vm.ID, FailureDomain: vm.FailureDomain, Scheme: "http", HTTP: http.DefaultClient, Clock: w.clock,
			Membership: membership.Config{
				Node: vm.ID, Incarnation: 1, LoadInterval: 500 * time.Millisecond,
				NodeTimeout: 10 * time.Second, SectionTTL: time.Minute,
			},
			Nodes: func() []fleet.VM { return w.vms },
		})
		handlers[i] = s.Handler()
		w.nodes = append(w.nodes, s)
	}
	return w
}

// probe lets all nodes probe their members.
func (w *watch) probe(epoch uint64) {
	sentAt := w.clock.Now()
	for _, s := range w.nodes {
		for _, m := range s.Assign(w.members) {
			s.Observe(w.sighting(m, epoch), sentAt)
		}
	}
}

func (w *watch) sighting(member string, epoch uint64) membership.ProbeResult {
	return membership.ProbeResult{Member: member, Report: fleet.Report{
		Identity: fleet.Identity{Member: member, Boot: "5b1c7a", Group: "draft-12", Epoch: epoch, Model: "draft", Version: "v7"},
		Phase:    fleet.PhaseReady, Term: 3, Load: fleet.Load{Running: 7, Slots: 32},
	}}
}

// settle passes on news until there is none.
func (w *watch) settle(t testing.TB) {
	for again := true; again; {
		again = false
		for _, s := range w.nodes {
			select {
			case <-s.News():
				again = true
				if err := s.Push(t.Context()); err != nil {
					t.Error(err)
				}
			default:
			}
		}
	}
}

func TestSightingsReachTheirDomain(t *testing.T) {
	w := newWatch(t, 14, 2, 12)
	w.probe(3)
	sentAt := w.clock.Now()
	w.settle(t)
	w.clock.Advance(300 * time.Millisecond)
	for range 2 {
		for _, s := range w.nodes {
			if err := s.Beat(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, s := range w.nodes {
		reports := s.Reports()
		if len(reports) != len(w.members) {
			t.Errorf("node %d has %d reports", i, len(reports))
		}
		for m, r := range reports {
			if age := sentAt.Sub(r.SeenAt); r.Identity.Epoch != 3 || age < 0 || age > 200*time.Millisecond {
				t.Errorf("node %d has %s at epoch %d, seen %v before the probe", i, m, r.Identity.Epoch, age)
			}
		}
	}
	for _, body := range []string{"{", "{}", `{"n": "nobody"}`, `{"n": "entry-0001"}`} {
		response, err := http.Post("http://"+w.vms[0].Address+PathSightings, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < http.StatusBadRequest {
			t.Errorf("%s was answered with %s", body, response.Status)
		}
	}
}
