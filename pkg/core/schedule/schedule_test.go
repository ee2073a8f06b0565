package schedule

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const model = "m"

// fixture wraps a scheduler with a manual clock and records its decisions.
type fixture struct {
	*Scheduler
	now       time.Time
	running   []*Ticket
	groupOf   map[*Ticket]string
	refused   map[*Ticket]*Refusal
	decisions map[*Ticket]int
}

func newFixture(c Config, groups ...Group) *fixture {
	c.FailureDomain = "a"
	f := &fixture{
		Scheduler: New(c),
		now:       time.Unix(1000, 0),
		groupOf:   make(map[*Ticket]string),
		refused:   make(map[*Ticket]*Refusal),
		decisions: make(map[*Ticket]int),
	}
	f.SetGroups(groups, f.now)
	for _, g := range groups {
		if g.FailureDomain == c.FailureDomain {
			f.ObserveLoad(Report{Model: model, Group: g.ID, At: f.now}, f.now)
		}
	}
	return f
}

func (f *fixture) record(d Decision) {
	f.decisions[d.Ticket]++
	if d.Refusal != nil {
		f.refused[d.Ticket] = d.Refusal
		return
	}
	f.groupOf[d.Ticket] = d.Group
	f.running = append(f.running, d.Ticket)
}

func (f *fixture) submit(r Request) (*Ticket, error) {
	r.Model = model
	r.Notify = f.record
	return f.Submit(r, f.now)
}

// finishOldest completes the request dispatched first.
func (f *fixture) finishOldest(tokens int) *Ticket {
	t := f.running[0]
	f.running = f.running[1:]
	f.Finish(t, tokens, f.now)
	return t
}

// learn trains the predictor with requests of the kind that generate the given
// number of tokens.
func (f *fixture) learn(workspace, kind string, tokens, times int) {
	for range times {
		if _, err := f.submit(Request{Workspace: workspace, Kind: kind}); err != nil {
			panic(err)
		}
		f.now = f.now.Add(time.Second)
		f.finishOldest(tokens)
	}
}

func groupIn(domain string, slots, schedulers int, ids ...string) []Group {
	var groups []Group
	for _, id := range ids {
		groups = append(groups, Group{ID: id, Model: model, FailureDomain: domain, Slots: slots, Schedulers: schedulers})
	}
	return groups
}

// longDeadlines is a configuration whose deadlines no test reaches.
var longDeadlines = Config{FirstToken: time.Hour, AdmitSlack: 1e6}

// TestServiceIsProportionalToShares guards against unfair queueing: two
// backlogged workspaces with shares 3 and 1 must receive service in that ratio.
func TestServiceIsProportionalToShares(t *testing.T) {
	f := newFixture(longDeadlines, groupIn("a", 8, 1, "g")...)
	f.SetWorkspaces([]Workspace{{"big", 3}, {"small", 1}})
	for i := range 2000 {
		w := []string{"big", "small"}[i%2]
		if _, err := f.submit(Request{Workspace: w}); err != nil {
			t.Fatal(err)
		}
	}
	served := map[string]int{}
	for i := range 800 {
		f.now = f.now.Add(10 * time.Millisecond)
		served[f.finishOldest(50+i%7*10).Workspace()]++
	}
	if ratio := float64(served["big"]) / float64(served["small"]); ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served %v, want a ratio near 3", served)
	}
}

// TestShortRequestsGoFirstWithoutStarvingLongOnes guards against starvation: a
// long request waits behind a short one submitted later, but its age must win
// over an unbroken stream of short requests.
func TestShortRequestsGoFirstWithoutStarvingLongOnes(t *testing.T) {
	f := newFixture(longDeadlines, groupIn("a", 1, 1, "g")...)
	f.learn("w", "short", 20, 30)
	f.learn("w", "long", 900, 10)
	for range 2 { // Fill the slot and the overcommit of one.
		_, _ = f.submit(Request{Workspace: "w", Kind: "short"})
	}
	long, _ := f.submit(Request{Workspace: "w", Kind: "long"})
	first, _ := f.submit(Request{Workspace: "w", Kind: "short"})
	f.finishOldest(20)
	if f.groupOf[first] == "" || f.groupOf[long] != "" {
		t.Fatal("the long request was dispatched before the short one")
	}
	for range 100 {
		f.now = f.now.Add(200 * time.Millisecond)
		_, _ = f.submit(Request{Workspace: "w", Kind: "short"})
		f.finishOldest(20)
	}
	if f.groupOf[long] == "" {
		t.Error("the long request still waits after 100 short ones")
	}
}

// TestLongRequestsAreLimitedToTheirShare guards against long requests occupying
// all slots, which would block short ones for their whole run time.
func TestLongRequestsAreLimitedToTheirShare(t *testing.T) {
	c := longDeadlines
	c.LongShare, c.LongMaxShare = 0.5, 0.75
	f := newFixture(c, groupIn("a", 15, 1, "g")...)
	f.learn("w", "short", 20, 30)
	f.learn("w", "long", 900, 9)
	longRunning := func() (n int) {
		for _, r := range f.running {
			if r.class == classLong {
				n++
			}
		}
		return n
	}
	for range 40 {
		_, _ = f.submit(Request{Workspace: "w", Kind: "long"})
	}
	if got := longRunning(); got != 12 {
		t.Errorf("%d long requests run while no short one waits, want 12 of 16", got)
	}
	for range 400 {
		_, _ = f.submit(Request{Workspace: "v", Kind: "short"})
	}
	for range 200 {
		f.now = f.now.Add(time.Second)
		f.finishOldest(20)
	}
	if got := longRunning(); got > 8 {
		t.Errorf("%d long requests run while short ones wait, want at most 8 of 16", got)
	}
}

// TestOverloadIsRefusedPerWorkspace guards against unbounded queues: requests
// that would miss their deadline are refused on arrival, without refusing a
// workspace that is within its share.
func TestOverloadIsRefusedPerWorkspace(t *testing.T) {
	f := newFixture(Config{}, groupIn("a", 2, 1, "g")...)
	f.learn("w", "", 100, 20)
	var refusal *Refusal
	admitted := 0
	for range 200 {
		_, err := f.submit(Request{Workspace: "w"})
		if err == nil {
			admitted++
			continue
		}
		if !errors.As(err, &refusal) || refusal.Reason != ReasonLate || refusal.RetryAfter < minRetryAfter {
			t.Fatalf("error %v, want refusal %s with RetryAfter of at least %s", err, ReasonLate, minRetryAfter)
		}
	}
	// Three run for one second each, so about six more can start within 2 s.
	if admitted < 6 || admitted > 14 {
		t.Errorf("admitted %d requests, want 6 to 14", admitted)
	}
	if _, err := f.submit(Request{Workspace: "other"}); err != nil {
		t.Errorf("a workspace within its share was refused: %v", err)
	}
	f.now = f.now.Add(3 * time.Second)
	f.Tick(f.now)
	if got := len(f.refused); got != admitted+1-len(f.running) {
		t.Errorf("%d requests refused after their deadline, want %d", got, admitted+1-len(f.running))
	}
	f.SetGroups(nil, f.now)
	_, err := f.submit(Request{Workspace: "w"})
	if !errors.As(err, &refusal) || refusal.Reason != ReasonNoGroup {
		t.Errorf("error %v without a group, want refusal %s", err, ReasonNoGroup)
	}
}

// TestBudgetsAddUpToSlots lets many schedulers share one group with delayed
// reports and checks that together they neither overload it nor leave its slots
// idle.
func TestBudgetsAddUpToSlots(t *testing.T) {
	for _, nodes := range []int{1, 5, 20} {
		for _, lag := range []int{0, 1, 5} {
			t.Run(fmt.Sprintf("%d nodes lag %d", nodes, lag), func(t *testing.T) {
				checkBudgets(t, nodes, lag)
			})
		}
	}
}

func checkBudgets(t *testing.T, nodes, lag int) {
	const slots = 40
	var all []*fixture
	for i := range nodes {
		c := longDeadlines
		c.Seed = uint64(i)
		f := newFixture(c, groupIn("a", slots, nodes, "g")...)
		for range 1000 {
			_, _ = f.submit(Request{Workspace: "w"})
		}
		all = append(all, f)
	}
	var reports []Report
	random := rand.New(rand.NewPCG(7, 7))
	sum := 0
	const rounds, warmup = 400, 100
	for round := range rounds {
		total := 0
		for _, f := range all {
			total += len(f.running)
		}
		if round >= warmup {
			sum += total
		}
		reports = append(reports, Report{Model: model, Group: "g", Running: total, At: all[0].now})
		for _, f := range all {
			if len(f.running) > 0 && random.IntN(4) == 0 {
				f.finishOldest(10)
				_, _ = f.submit(Request{Workspace: "w"})
			}
			f.ObserveLoad(reports[max(0, round-lag)], f.now)
			f.now = f.now.Add(historyStep)
		}
	}
	if mean := float64(sum) / (rounds - warmup); mean < 0.95*slots || mean > 1.1*slots {
		t.Errorf("mean of %.1f requests in flight on %d slots, want 95%% to 110%% of the slots", mean, slots)
	}
}

// TestRemoteGroupsTakeOverflow guards against overloading a remote group, whose
// own failure domain learns of the requests only from the next report: the
// overflow ramps up report by report and leaves the reserve free.
func TestRemoteGroupsTakeOverflow(t *testing.T) {
	groups := append(groupIn("a", 4, 1, "local"), groupIn("b", 20, 2, "remote")...)
	f := newFixture(longDeadlines, groups...)
	f.ObserveLoad(Report{Model: model, Group: "remote", Running: 20, At: f.now}, f.now)
	report := func(running int) {
		f.now = f.now.Add(time.Second)
		f.ObserveLoad(Report{Model: model, Group: "remote", Running: running, At: f.now}, f.now)
	}
	remote := func() (n int) {
		for _, id := range f.groupOf {
			if id == "remote" {
				n++
			}
		}
		return n
	}
	for range 40 {
		_, _ = f.submit(Request{Workspace: "w"})
	}
	if len(f.running) != 5 {
		t.Fatalf("%d requests run locally, want 5", len(f.running))
	}
	report(20)
	if remote() != 0 {
		t.Error("a request was sent to a full remote group")
	}
	report(4)
	if got := remote(); got < 1 || got > 4 {
		t.Errorf("%d requests sent to the remote group after one report, want 1 to 4", got)
	}
	for range 30 {
		report(4 + remote())
	}
	if got := remote(); got < 12 || got > 16 {
		t.Errorf("%d requests sent to the remote group beside 4 of its own, want 12 to 16 of 20 slots", got)
	}
}

// TestPrefixesKeepTheirGroup guards against cold prefix caches: removing a
// group must not move the prefixes of the other groups. A prefix spreads to
// other groups when its own are full.
func TestPrefixesKeepTheirGroup(t *testing.T) {
	groupsByPrefix := func(ids ...string) map[uint64]string {
		got := make(map[uint64]string)
		f := newFixture(longDeadlines, groupIn("a", 100, 1, ids...)...)
		for p := uint64(1); p <= 200; p++ {
			ticket, _ := f.submit(Request{Workspace: "w", Prefix: p})
			got[p] = f.groupOf[ticket]
		}
		return got
	}
	before, after := groupsByPrefix("g1", "g2", "g3", "g4"), groupsByPrefix("g1", "g2", "g4")
	for p, id := range before {
		if id != "g3" && after[p] != id {
			t.Errorf("prefix %d moved from %s to %s", p, id, after[p])
		}
	}
	f := newFixture(longDeadlines, groupIn("a", 10, 1, "g1", "g2", "g3")...)
	used := map[string]int{}
	for range 30 {
		ticket, _ := f.submit(Request{Workspace: "w", Prefix: 5})
		used[f.groupOf[ticket]]++
	}
	if len(used) != 3 {
		t.Errorf("one prefix used groups %v, want all 3 once its preferred groups are full", used)
	}
}

// TestSlowGroupsAreDownWeighted guards against sending a full load to a slow
// group, against never restoring it after recovery, and against reducing all
// groups when all are slow.
func TestSlowGroupsAreDownWeighted(t *testing.T) {
	ids := []string{"g1", "g2", "g3", "g4", "g5", "g6"}
	f := newFixture(longDeadlines, groupIn("a", 16, 1, ids...)...)
	slowness := map[string]int{}
	inFlight := func() map[string]int {
		counts := map[string]int{}
		for _, r := range f.running {
			counts[f.groupOf[r]]++
		}
		return counts
	}
	run := func(rounds int) {
		for range rounds {
			for len(f.running) < 80 {
				before := len(f.running)
				_, _ = f.submit(Request{Workspace: "w"})
				if len(f.running) == before {
					break
				}
			}
			f.now = f.now.Add(reviewInterval)
			for _, r := range f.running {
				interval := 30 * time.Millisecond * time.Duration(max(1, slowness[f.groupOf[r]]))
				f.FirstToken(r, r.dispatchedAt.Add(100*time.Millisecond))
				f.Progress(r, r.tokens+int(reviewInterval/interval), f.now)
			}
			for range 20 {
				f.finishOldest(f.running[0].tokens)
			}
			f.Tick(f.now)
		}
	}
	run(20)
	slowness["g2"] = 5
	run(60)
	if got := inFlight()["g2"]; got > 2 {
		t.Errorf("slow group has %d requests in flight, want at most 2", got)
	}
	slowness["g2"] = 1
	run(120)
	if got := inFlight()["g2"]; got < 8 {
		t.Errorf("recovered group has %d requests in flight, want at least 8", got)
	}
	for _, id := range ids {
		slowness[id] = 5
	}
	run(60)
	for _, g := range f.shardFor(model).list {
		if g.health.weight < 1 {
			t.Errorf("group %s has a reduced weight although all groups are slow", g.ID)
		}
	}
}

// TestAvoidedGroupsAreNotUsed guards against a retry running on the group where
// it failed, and against a waiting retry blocking the tickets behind it.
func TestAvoidedGroupsAreNotUsed(t *testing.T) {
	f := newFixture(longDeadlines, groupIn("a", 4, 1, "g1", "g2")...)
	for range 5 {
		ticket, _ := f.submit(Request{Workspace: "w", Avoid: []string{"g1"}})
		if f.groupOf[ticket] != "g2" {
			t.Fatalf("request that avoids g1 sent to %q, want g2", f.groupOf[ticket])
		}
	}
	waiting, _ := f.submit(Request{Workspace: "w", Avoid: []string{"g1"}})
	next, _ := f.submit(Request{Workspace: "w"})
	if f.groupOf[waiting] != "" || f.groupOf[next] != "g1" {
		t.Errorf("request that avoids g1 sent to %q and the next to %q, want none and g1", f.groupOf[waiting], f.groupOf[next])
	}
}
