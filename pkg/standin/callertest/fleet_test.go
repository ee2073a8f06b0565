package callertest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"almondbay.example/core/attempt"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/caller"
	"almondbay.example/standin/enginestandin"
)

// TestPoisonRequest guards against a request that takes down the whole fleet: it
// crashes each group that runs it, and the nodes and its caller retry it on group
// after group. Quarantine must stop it after two crashes, and the other streams in
// flight must complete. The case without quarantine is the baseline: it logs its
// figures and checks nothing.
func TestPoisonRequest(t *testing.T) {
	const nodes, groups, others = 3, 5, 30
	for _, tt := range []struct {
		name       string
		baseline   bool
		maxCrashes int64
	}{{"quarantine", false, 2}, {"no quarantine", true, -1}} {
		t.Run(tt.name, func(t *testing.T) {
			entered := make(chan struct{}, 10*others)
			release := make(chan struct{})
			var started atomic.Int32
			f := newFixture(t, fixtureConfig{
				nodes: nodes, groups: groups,
				engine: func(_ int, c *enginestandin.Config) {
					c.BeforeToken = func(q *http.Request, i int) error {
						if i == 2 && started.Add(1) <= others {
							entered <- struct{}{}
							select {
							case <-release:
							case <-q.Context().Done():
							}
						}
						return nil
					}
				},
				gateway: func(c *caller.Config) { c.NoQuarantine = tt.baseline },
			})
			var wg sync.WaitGroup
			var incomplete atomic.Int32
			for i := range others {
				wg.Go(func() {
					body, want := chat(fmt.Sprintf("other request %d", i), true, 6)
					if got := f.send(i%nodes, chatPath, body, nil); got.text != want || !got.done {
						incomplete.Add(1)
						t.Logf("other request %d: %+v", i, got)
					}
				})
			}
			for range others {
				<-entered
			}
			poison, _ := chat(crashMarker, true, 6)
			codes := map[string]int{}
			for i := range 2 * nodes {
				got := f.send(i%nodes, chatPath, poison, nil)
				codes[got.code+"/"+got.outcome]++
			}
			close(release)
			wg.Wait()
			t.Logf("%d crashes; %d of %d other requests got an incomplete answer; outcomes of the poison request %v", f.crashes.Load(), incomplete.Load(), others, codes)
			if tt.maxCrashes >= 0 && (f.crashes.Load() > tt.maxCrashes || incomplete.Load() > 0 || codes["quarantined/notRun"] != 2*nodes-1) {
				t.Errorf("want at most %d crashes, no incomplete answers and %d poison requests quarantined without running", tt.maxCrashes, 2*nodes-1)
			}
		})
	}
}

// TestDrain checks that a group receives no new requests once any source reports
// that it is draining or that a member is leaving, and that its requests in
// flight complete. A node that ignores one of the sources would keep sending
// requests to such a group.
func TestDrain(t *testing.T) {
	sources := map[string]func(f *fixture){
		"list of VMs": func(f *fixture) {
			vm := f.vms[len(f.vms)-1]
			vm.State = fleet.VMLeaving
			f.setVM(vm)
		},
		"member's report": func(f *fixture) {
			report, _ := f.view.Report("g0-0")
			report.Leaving = true
			f.view.SetReport(report)
		},
		"row of the group": func(f *fixture) {
			row := fixtureGroups[f]["g0"]
			row.State = group.StateDraining
			f.setGroup(row)
		},
	}
	for name, startDrain := range sources {
		t.Run(name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			f := newFixture(t, fixtureConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
				c.BeforeToken = func(_ *http.Request, i int) error {
					if i == 1 {
						close(entered)
						<-release
					}
					return nil
				}
			}})
			body, want := chat("p", true, 3)
			done := make(chan reply, 1)
			var wg sync.WaitGroup
			wg.Go(func() { done <- f.send(0, chatPath, body, nil) })
			<-entered
			startDrain(f)
			if err := f.gateways[0].CheckGroups(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := f.send(0, chatPath, body, nil); got.code != caller.CodeUnavailable || got.outcome != "notRun" || got.header.Get("Retry-After") == "" {
				t.Errorf("new request: got %+v, want unavailable, not run, with Retry-After", got)
			}
			close(release)
			if got := <-done; got.text != want || !got.done {
				t.Errorf("request in flight: got %+v, want the complete text %q", got, want)
			}
			wg.Wait()
		})
	}
}

// TestChangedGroupCancelsAttempts checks that a stream is canceled and resumed on
// another group if its group lost a member or changed. Only a lost member may
// have crashed from the request, so only that makes the request a suspect. If the
// node itself was paused, all its reports are old, and it must cancel nothing.
func TestChangedGroupCancelsAttempts(t *testing.T) {
	changeReport := func(change func(r *fleet.Report)) func(*fixture) {
		return func(f *fixture) {
			v, _ := f.view.Report("g0-1")
			change(&v)
			f.view.SetReport(v)
		}
	}
	tests := []struct {
		name              string
		change            func(*fixture)
		canceled, suspect bool
	}{
		{"another boot", changeReport(func(v *fleet.Report) { v.Identity.Boot = "2" }), true, true},
		{"report expired", changeReport(func(v *fleet.Report) { v.SeenAt = v.SeenAt.Add(-2 * time.Hour) }), true, true},
		{"another group", changeReport(func(v *fleet.Report) { v.Identity.Group = "g9" }), true, false},
		{"row of another epoch", func(f *fixture) {
			row := fixtureGroups[f]["g0"]
			row.Epoch++
			f.setGroup(row)
		}, true, false},
		{"node paused", func(f *fixture) { f.clock.(*clockwork.FakeClock).Advance(2 * time.Hour) }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, proceed := make(chan struct{}), make(chan struct{})
			announcements := &recordingPeers{}
			f := newFixture(t, fixtureConfig{
				nodes: 1, groups: 2, clock: clockwork.NewFakeClockAt(time.Now()),
				engine: func(g int, c *enginestandin.Config) {
					c.BeforeToken = func(q *http.Request, i int) error {
						if g != 0 || i != 3 {
							return nil
						}
						close(entered)
						select {
						case <-proceed:
							return nil
						case <-q.Context().Done():
							return errConnectionCut
						}
					}
				},
				gateway: func(c *caller.Config) { c.Peers = announcements },
			})
			body, want := chat("p", true, 8)
			done := make(chan reply, 1)
			var wg sync.WaitGroup
			wg.Go(func() { done <- f.send(0, chatPath, body, nil) })
			<-entered
			for _, change := range []func(*fixture){func(*fixture) {}, tt.change} {
				change(f)
				if err := f.gateways[0].CheckGroups(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if !tt.canceled {
				close(proceed)
			}
			if got := <-done; got.text != want || !got.done {
				t.Errorf("stream: got %+v, want the complete text %q", got, want)
			}
			wg.Wait()
			if err := f.gateways[0].Stop(t.Context(), f.nodes[0].Config); err != nil {
				t.Error(err)
			}
			if suspect := announcements.count.Load() > 0; suspect != tt.suspect {
				t.Errorf("request is a suspect: %v, want %v", suspect, tt.suspect)
			}
		})
	}
}

// recordingPeers counts the announcements of crash evidence and grants every
// suspect.
type recordingPeers struct{ count atomic.Int32 }

func (p *recordingPeers) Announce(context.Context, attempt.Evidence) { p.count.Add(1) }

func (p *recordingPeers) Grant(context.Context, string, attempt.Fingerprint) bool { return true }

func (p *recordingPeers) Release(context.Context, string, attempt.Fingerprint) {}

// TestQuarantineThroughTable checks that a node without a connection to its
// peers reads a quarantine from the table service. Otherwise a request that was
// quarantined at one node would crash further groups through another.
func TestQuarantineThroughTable(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 2, groups: 3, gateway: func(c *caller.Config) { c.Peers = nil }})
	poison, _ := chat(crashMarker, false, 6)
	if got := f.send(0, chatPath, poison, nil); got.code != caller.CodeQuarantined || got.outcome != "unknown" {
		t.Fatalf("first node: got %+v, want quarantined with outcome unknown", got)
	}
	if err := f.gateways[1].LoadQuarantine(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.send(1, chatPath, poison, nil); got.code != caller.CodeQuarantined || got.outcome != "notRun" || f.crashes.Load() != 2 {
		t.Fatalf("second node: %d crashes, want 2; got %+v, want quarantined and not run", f.crashes.Load(), got)
	}
}

// TestStopUnderLoad guards against a shutdown that cuts off requests: a node
// stops with streams, bookings and idle keep-alive connections open, and all
// requests in flight must complete before Stop returns.
func TestStopUnderLoad(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreAnyFunction("net/http.(*conn).serve"),
		goleak.IgnoreAnyFunction("net/http/httptest.(*Server).goServe.func1"))
	const streams, bookings = 40, 10
	entered, release := make(chan struct{}, streams+bookings), make(chan struct{})
	wait := func() {
		entered <- struct{}{}
		<-release
	}
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 2, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(_ *http.Request, i int) error {
			if i == 1 {
				wait()
			}
			return nil
		}
	}})
	f.service.BeforeAnswer(wait)
	var wg sync.WaitGroup
	var incomplete atomic.Int32
	for i := range streams {
		wg.Go(func() {
			body, want := chat(fmt.Sprint(i), true, 4)
			if got := f.send(0, chatPath, body, nil); got.text != want || !got.done {
				incomplete.Add(1)
				t.Logf("stream %d: %+v", i, got)
			}
		})
	}
	for i := range bookings {
		wg.Go(func() {
			seat := fmt.Sprintf("seat %d", i)
			if got := f.send(0, bookPath, seat, headers{caller.HeaderIdempotencyKey: seat}); got.status != 200 || f.service.Runs(seat) != 1 {
				incomplete.Add(1)
				t.Logf("%s: %+v", seat, got)
			}
		})
	}
	for range streams + bookings {
		<-entered
	}
	stopped := make(chan error, 1)
	stopping := make(chan struct{})
	f.nodes[0].Config.RegisterOnShutdown(func() { close(stopping) })
	wg.Go(func() { stopped <- f.gateways[0].Stop(context.Background(), f.nodes[0].Config) })
	<-stopping
	select {
	case err := <-stopped:
		t.Fatalf("Stop returned %v with requests in flight", err)
	default:
	}
	close(release)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	wg.Wait()
	if incomplete.Load() > 0 {
		t.Errorf("%d requests in flight did not complete", incomplete.Load())
	}
}

// TestStoppingNodeKeepsServing checks that a stopping node reports itself as not
// ready at once, but still answers on new and kept-alive connections and closes
// them after the answer. Load balancers keep sending requests until they notice
// the readiness change.
func TestStoppingNodeKeepsServing(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 1, gateway: func(c *caller.Config) { c.Limits = caller.Limits{} }})
	body, want := chat("p", true, 3)
	if got := f.send(0, chatPath, body, nil); got.text != want {
		t.Fatalf("before the stop: got %+v, want text %q", got, want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.gateways[0].Stop(ctx, f.nodes[0].Config) })
	status := http.StatusOK
	for status == http.StatusOK {
		response, err := http.Get(f.nodes[0].URL + caller.PathReady)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	for range 2 {
		got := f.send(0, chatPath, body, nil)
		if got.text != want || !got.done || !got.connectionClose {
			t.Errorf("while stopping: got %+v, want the complete text %q and Connection: close", got, want)
		}
	}
	cancel()
	wg.Wait()
}

// hangingPeers blocks each call until its context is done.
type hangingPeers struct{}

func (p *hangingPeers) Grant(ctx context.Context, _ string, _ attempt.Fingerprint) bool {
	<-ctx.Done()
	return true
}

func (p *hangingPeers) Release(ctx context.Context, _ string, _ attempt.Fingerprint) { <-ctx.Done() }

func (p *hangingPeers) Announce(ctx context.Context, _ attempt.Evidence) { <-ctx.Done() }

// TestPeersHang checks that peers which never answer delay a suspect request for
// a bounded time only: without a timeout of its own the request for a grant would
// use up the time until the deadline of the suspect request.
func TestPeersHang(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 3, gateway: func(c *caller.Config) { c.Peers = &hangingPeers{} }})
	poison, _ := chat(crashMarker, false, 6)
	if got := f.send(0, chatPath, poison, nil); got.code != caller.CodeQuarantined || f.crashes.Load() != 2 {
		t.Errorf("%d crashes, want 2; got %+v, want quarantined", f.crashes.Load(), got)
	}
}
