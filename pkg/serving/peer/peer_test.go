package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/core/membership"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/peer"
)

// store is a node's configuration and quarantine.
type store struct {
	t  *testing.T
	mu sync.Mutex

	revision uint64
	body     []byte
	notices  map[string]bool
}

func (s *store) Held() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.body
}

func (s *store) Offer(_ context.Context, revision uint64, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := fmt.Sprintf("document %d", revision); string(body) != want {
		s.t.Errorf("offered %q as revision %d", body, revision)
	}
	if revision > s.revision {
		s.revision, s.body = revision, body
	}
	return nil
}

func (s *store) Learn(notice []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.notices[string(notice)]
	s.notices[string(notice)] = true
	return fresh, nil
}

type fixture struct {
	clock  *clockwork.FakeClock
	vms    []fleet.VM
	peers  []*peer.Peer
	stores []*store
	// apart tells whether two nodes cannot reach each other.
	apart func(a, b int) bool
}

// transport carries the requests of one node.
type transport struct {
	f    *fixture
	from int
}

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for i, vm := range t.f.vms {
		if vm.Address == r.Host && t.f.apart(t.from, i) {
			return nil, errors.New("cut off")
		}
	}
	return http.DefaultTransport.RoundTrip(r)
}

const key = "peer-key"

// newFixture starts nodes; node i is in failure domain i mod domains.
func newFixture(t *testing.T, nodes, domains int) *fixture {
	f := &fixture{
		clock: clockwork.NewFakeClock(),
		apart: func(int, int) bool { return false },
	}
	handlers := make([]http.Handler, nodes)
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handlers[i].ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		f.vms = append(f.vms, fleet.VM{
			ID: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprint(i % domains), State: fleet.VMLive,
			Address: strings.TrimPrefix(server.URL, "http://"), Role: fleet.RoleEntry,
		})
	}
	for i, vm := range f.vms {
		s := &store{t: t, revision: 1, body: []byte("document 1"), notices: map[string]bool{}}
		p := peer.New(peer.Config{
			Node: vm.ID, FailureDomain: vm.FailureDomain, Keys: []keys.Secret{keys.NewSecret(key)},
			Client: &http.Client{Transport: transport{f, i}}, Clock: f.clock, Configuration: s, Quarantine: s,
			Membership: membership.Config{
				Node: vm.ID, Incarnation: 1, LoadInterval: time.Second,
				SilentAfter: 5 * time.Second, ForgetAfter: time.Minute,
			},
			Nodes: func() []fleet.VM { return f.vms },
		})
		handlers[i] = p.Handler()
		f.peers, f.stores = append(f.peers, p), append(f.stores, s)
	}
	return f
}

// round lets all nodes exchange once, and push as long as there is news.
func (f *fixture) round() {
	for _, p := range f.peers {
		_ = p.Beat(context.Background())
	}
	for again := true; again; {
		again = false
		for _, p := range f.peers {
			select {
			case <-p.News():
				again = true
				_ = p.Push(context.Background())
			default:
			}
		}
	}
}

func TestPeersSpreadNews(t *testing.T) {
	f := newFixture(t, 9, 3)
	f.round()

	t.Run("a new revision and a notice reach all nodes in one round", func(t *testing.T) {
		_ = f.stores[4].Offer(context.Background(), 2, []byte("document 2"))
		f.peers[4].Notify([]byte(`"poison"`))
		f.round()
		for i, s := range f.stores {
			if r, _ := s.Held(); r != 2 || !s.notices[`"poison"`] {
				t.Errorf("node %d: revision %d, notices %v", i, r, s.notices)
			}
		}
	})

	t.Run("a domain that was cut off catches up and takes nobody back", func(t *testing.T) {
		inside := func(i int) bool { return i%3 == 2 }
		f.apart = func(a, b int) bool { return inside(a) != inside(b) }
		_ = f.stores[0].Offer(context.Background(), 3, []byte("document 3"))
		f.peers[0].Announce()
		f.round()
		for i, s := range f.stores {
			want := uint64(3)
			if inside(i) {
				want = 2
			}
			if r, _ := s.Held(); r != want {
				t.Errorf("node %d: revision %d while a domain is cut off, want %d", i, r, want)
			}
		}
		f.apart = func(int, int) bool { return false }
		f.round()
		for i, s := range f.stores {
			if r, _ := s.Held(); r != 3 {
				t.Errorf("node %d: revision %d after healing", i, r)
			}
		}
	})

	t.Run("what a prober sees reaches its domain and no other", func(t *testing.T) {
		sentAt := f.clock.Now()
		for _, i := range []int{0, 3, 6} {
			for _, m := range f.peers[i].Assign([]string{"m0"}) {
				f.peers[i].Observe(membership.Sighting{Member: m, Report: fleet.Report{
					Identity: fleet.Identity{Member: m, Boot: "b", Group: "g", Epoch: 3}, Phase: fleet.PhaseReady,
				}}, sentAt)
			}
		}
		f.clock.Advance(300 * time.Millisecond)
		f.round()
		f.round()
		for i, p := range f.peers {
			r, ok := p.Reports()["m0"]
			if want := i%3 == 0; ok != want || ok && (r.Identity.Epoch != 3 || r.SeenAt.After(sentAt)) {
				t.Errorf("node %d: report %+v %v, sent at %v", i, r, ok, sentAt)
			}
		}
	})

	t.Run("a request without the key is refused", func(t *testing.T) {
		response, err := http.Post("http://"+f.vms[0].Address+peer.PathExchange, "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusUnauthorized {
			t.Errorf("status %d", response.StatusCode)
		}
	})
}
