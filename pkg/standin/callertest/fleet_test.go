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

// TestPoisonRequest has a request crash each group that runs it, among
// bystanders that stay in flight, while its caller repeats it at every node.
func TestPoisonRequest(t *testing.T) {
	const nodes, groups, bystanders = 3, 5, 30
	for _, tt := range []struct {
		name       string
		baseline   bool
		maxCrashes int64
	}{{"quarantine", false, 2}, {"no quarantine", true, -1}} {
		t.Run(tt.name, func(t *testing.T) {
			entered := make(chan struct{}, 10*bystanders)
			release := make(chan struct{})
			var first atomic.Int32
			r := newRig(t, rigConfig{
				nodes: nodes, groups: groups,
				engine: func(_ int, c *enginestandin.Config) {
					c.BeforeToken = func(q *http.Request, i int) error {
						if i == 2 && first.Add(1) <= bystanders {
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
			var wrong atomic.Int32
			for i := range bystanders {
				wg.Go(func() {
					body, want := chat(fmt.Sprintf("bystander %d", i), true, 6)
					if got := r.send(i%nodes, chatPath, body, nil); got.text != want || !got.done {
						wrong.Add(1)
						t.Logf("bystander %d: %+v", i, got)
					}
				})
			}
			for range bystanders {
				<-entered
			}
			poison, _ := chat(crashMarker, true, 6)
			codes := map[string]int{}
			for i := range 2 * nodes {
				got := r.send(i%nodes, chatPath, poison, nil)
				codes[got.code+"/"+got.outcome]++
			}
			close(release)
			wg.Wait()
			t.Logf("%d crashes, %d of %d bystanders without their whole answer; poison calls %v", r.crashes.Load(), wrong.Load(), bystanders, codes)
			if tt.maxCrashes >= 0 && (r.crashes.Load() > tt.maxCrashes || wrong.Load() > 0 || codes["quarantined/notRun"] != 2*nodes-1) {
				t.Error("more crashes, wronged bystanders or calls of the poison run than wanted")
			}
		})
	}
}

// TestDrain checks that a group gets no new work once any source says that a
// member is leaving, and that its work in flight goes on.
func TestDrain(t *testing.T) {
	sources := map[string]func(r *rig){
		"list of VMs": func(r *rig) {
			vm := r.vms[len(r.vms)-1]
			vm.State = fleet.VMLeaving
			r.setVM(vm)
		},
		"member's report": func(r *rig) {
			report, _ := r.view.Report("g0-0")
			report.Leaving = true
			r.view.SetReport(report)
		},
		"row of the group": func(r *rig) {
			row := rigGroups[r]["g0"]
			row.State = group.StateDraining
			r.setGroup(row)
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			entered, release := make(chan struct{}), make(chan struct{})
			r := newRig(t, rigConfig{nodes: 1, groups: 1, engine: func(_ int, c *enginestandin.Config) {
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
			wg.Go(func() { done <- r.send(0, chatPath, body, nil) })
			<-entered
			leave(r)
			if err := r.gateways[0].CheckGroups(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := r.send(0, chatPath, body, nil); got.code != caller.CodeUnavailable || got.outcome != "notRun" || got.header.Get("Retry-After") == "" {
				t.Errorf("new work: %+v", got)
			}
			close(release)
			if got := <-done; got.text != want || !got.done {
				t.Errorf("work in flight: %+v", got)
			}
			wg.Wait()
		})
	}
}

// TestReview checks that a stream on a group that has lost a member or changed
// is cancelled and resumed on another group, that only the first makes the
// request a suspect, and that nothing is cancelled when the node itself was
// paused and all it knows is old.
func TestReview(t *testing.T) {
	report := func(change func(r *fleet.Report)) func(*rig) {
		return func(r *rig) {
			v, _ := r.view.Report("g0-1")
			change(&v)
			r.view.SetReport(v)
		}
	}
	tests := []struct {
		name               string
		change             func(*rig)
		cancelled, suspect bool
	}{
		{"another boot", report(func(v *fleet.Report) { v.Identity.Boot = "2" }), true, true},
		{"not seen lately", report(func(v *fleet.Report) { v.SeenAt = v.SeenAt.Add(-2 * time.Hour) }), true, true},
		{"another group", report(func(v *fleet.Report) { v.Identity.Group = "g9" }), true, false},
		{"row of another epoch", func(r *rig) {
			row := rigGroups[r]["g0"]
			row.Epoch++
			r.setGroup(row)
		}, true, false},
		{"node paused", func(r *rig) { r.clock.(*clockwork.FakeClock).Advance(2 * time.Hour) }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, proceed := make(chan struct{}), make(chan struct{})
			told := &toldPeers{}
			r := newRig(t, rigConfig{
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
							return errCut
						}
					}
				},
				gateway: func(c *caller.Config) { c.Peers = told },
			})
			body, want := chat("p", true, 8)
			done := make(chan reply, 1)
			var wg sync.WaitGroup
			wg.Go(func() { done <- r.send(0, chatPath, body, nil) })
			<-entered
			for _, change := range []func(*rig){func(*rig) {}, tt.change} {
				change(r)
				if err := r.gateways[0].CheckGroups(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if !tt.cancelled {
				close(proceed)
			}
			if got := <-done; got.text != want || !got.done {
				t.Errorf("%+v", got)
			}
			wg.Wait()
			if err := r.gateways[0].Stop(t.Context(), r.nodes[0].Config); err != nil {
				t.Error(err)
			}
			if suspect := told.announced.Load() > 0; suspect != tt.suspect {
				t.Errorf("suspect: %v", suspect)
			}
		})
	}
}

// toldPeers counts what it is told and grants everything.
type toldPeers struct{ announced atomic.Int32 }

func (p *toldPeers) Announce(context.Context, attempt.Evidence) { p.announced.Add(1) }

func (p *toldPeers) Grant(context.Context, string, attempt.Fingerprint) bool { return true }

func (p *toldPeers) Release(context.Context, string, attempt.Fingerprint) {}

// TestQuarantineThroughTable checks that nodes which cannot reach each other
// learn of a quarantine from the table service.
func TestQuarantineThroughTable(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 2, groups: 3, gateway: func(c *caller.Config) { c.Peers = nil }})
	poison, _ := chat(crashMarker, false, 6)
	if got := r.send(0, chatPath, poison, nil); got.code != caller.CodeQuarantined || got.outcome != "unknown" {
		t.Fatalf("%+v", got)
	}
	if err := r.gateways[1].LoadQuarantine(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := r.send(1, chatPath, poison, nil); got.code != caller.CodeQuarantined || got.outcome != "notRun" || r.crashes.Load() != 2 {
		t.Fatalf("%d crashes, %+v", r.crashes.Load(), got)
	}
}

// TestStopUnderLoad stops a node with streams, bookings and kept-alive
// connections open, and checks that none is cut off.
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
	r := newRig(t, rigConfig{nodes: 1, groups: 2, engine: func(_ int, c *enginestandin.Config) {
		c.BeforeToken = func(_ *http.Request, i int) error {
			if i == 1 {
				wait()
			}
			return nil
		}
	}})
	r.service.BeforeAnswer(wait)
	var wg sync.WaitGroup
	var cut atomic.Int32
	for i := range streams {
		wg.Go(func() {
			body, want := chat(fmt.Sprint(i), true, 4)
			if got := r.send(0, chatPath, body, nil); got.text != want || !got.done {
				cut.Add(1)
				t.Logf("stream %d: %+v", i, got)
			}
		})
	}
	for i := range bookings {
		wg.Go(func() {
			seat := fmt.Sprintf("seat %d", i)
			if got := r.send(0, bookPath, seat, headers{caller.HeaderIdempotencyKey: seat}); got.status != 200 || r.service.Runs(seat) != 1 {
				cut.Add(1)
				t.Logf("%s: %+v", seat, got)
			}
		})
	}
	for range streams + bookings {
		<-entered
	}
	stopped := make(chan error, 1)
	stopping := make(chan struct{})
	r.nodes[0].Config.RegisterOnShutdown(func() { close(stopping) })
	wg.Go(func() { stopped <- r.gateways[0].Stop(context.Background(), r.nodes[0].Config) })
	<-stopping
	select {
	case err := <-stopped:
		t.Fatalf("stopped with requests in flight: %v", err)
	default:
	}
	close(release)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	wg.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d requests were cut off", cut.Load())
	}
}

// TestStoppingNodeKeepsServing checks that a node which is told to stop is
// unready at once, and still answers on new and kept-alive connections, which
// it closes behind the answer.
func TestStoppingNodeKeepsServing(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1, groups: 1, gateway: func(c *caller.Config) { c.Limits = caller.Limits{} }})
	body, want := chat("p", true, 3)
	if got := r.send(0, chatPath, body, nil); got.text != want {
		t.Fatalf("%+v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.gateways[0].Stop(ctx, r.nodes[0].Config) })
	status := http.StatusOK
	for status == http.StatusOK {
		response, err := http.Get(r.nodes[0].URL + caller.PathReady)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	for range 2 {
		got := r.send(0, chatPath, body, nil)
		if got.text != want || !got.done || !got.closes {
			t.Errorf("while stopping: %+v", got)
		}
	}
	cancel()
	wg.Wait()
}

// hangingPeers never answer.
type hangingPeers struct{}

func (p *hangingPeers) Grant(ctx context.Context, _ string, _ attempt.Fingerprint) bool {
	<-ctx.Done()
	return true
}

func (p *hangingPeers) Release(ctx context.Context, _ string, _ attempt.Fingerprint) { <-ctx.Done() }

func (p *hangingPeers) Announce(ctx context.Context, _ attempt.Evidence) { <-ctx.Done() }

// TestPeersHang checks that peers which never answer hold up a suspect for a
// bounded time only.
func TestPeersHang(t *testing.T) {
	r := newRig(t, rigConfig{nodes: 1, groups: 3, gateway: func(c *caller.Config) { c.Peers = &hangingPeers{} }})
	poison, _ := chat(crashMarker, false, 6)
	if got := r.send(0, chatPath, poison, nil); got.code != caller.CodeQuarantined || r.crashes.Load() != 2 {
		t.Errorf("%d crashes, %+v", r.crashes.Load(), got)
	}
}
