package burn_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
)

var (
	noon      = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	objective = document.Objective{FirstToken: 2 * time.Second, BetweenToken: 45 * time.Millisecond, Target: 0.95}
	plan      = document.Document{Workspaces: []document.Workspace{{Name: "lisbon", Objective: objective}, {Name: "porto"}}}
	draft     = burn.Series{Workspace: "lisbon", Model: "draft"}
)

func TestEvaluate(t *testing.T) {
	tests := map[string]struct {
		objective    document.Objective
		sample       burn.Sample
		good, counts bool
	}{
		"in time":              {objective, burn.Sample{Outcome: burn.Served, FirstToken: 2 * time.Second, BetweenToken: 45 * time.Millisecond}, true, true},
		"first token late":     {objective, burn.Sample{Outcome: burn.Served, FirstToken: 2*time.Second + 1}, false, true},
		"tokens slow":          {objective, burn.Sample{Outcome: burn.Served, BetweenToken: 46 * time.Millisecond}, false, true},
		"refused":              {objective, burn.Sample{Outcome: burn.Refused}, false, true},
		"failed":               {objective, burn.Sample{Outcome: burn.Failed}, false, true},
		"excused":              {objective, burn.Sample{Outcome: burn.Excused}, false, false},
		"no objective":         {document.Objective{}, burn.Sample{Outcome: burn.Served}, false, false},
		"failed, no objective": {document.Objective{}, burn.Sample{Outcome: burn.Failed}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			good, counts := burn.Evaluate(test.objective, test.sample)
			if good != test.good || counts != test.counts {
				t.Errorf("got good %t, counts %t; want %t, %t", good, counts, test.good, test.counts)
			}
		})
	}
}

// record records good and bad requests that ended the given time before noon.
func record(r *burn.Recorder, before time.Duration, good, bad int) {
	for range good {
		r.Record(draft, true, noon.Add(-before))
	}
	for range bad {
		r.Record(draft, false, noon.Add(-before))
	}
}

func TestReport(t *testing.T) {
	type load struct {
		before    time.Duration
		good, bad int
	}
	tests := map[string]struct {
		loads      []load
		rates      []float64 // 5 min, 30 min, 1 h, 6 h.
		budgetLeft float64
		firing     []bool // Fast, slow.
	}{
		"all good":                {[]load{{time.Minute, 100, 0}}, []float64{0, 0, 0, 0}, 1, []bool{false, false}},
		"at the target":           {[]load{{time.Minute, 95, 5}}, []float64{1, 1, 1, 1}, 0, []bool{false, false}},
		"all bad now":             {[]load{{time.Minute, 0, 10}}, []float64{20, 20, 20, 20}, -19, []bool{true, true}},
		"burn ended":              {[]load{{50 * time.Minute, 0, 10}, {time.Minute, 10, 0}}, []float64{0, 0, 10, 10}, -9, []bool{false, false}},
		"slow burn":               {[]load{{5 * time.Hour, 85, 15}, {20 * time.Minute, 85, 15}}, []float64{0, 3, 3, 3}, -2, []bool{false, true}},
		"short spike":             {[]load{{23 * time.Hour, 10000, 0}, {45 * time.Minute, 800, 0}, {time.Minute, 50, 50}}, []float64{10, 10, 10.0 / 9, 10.0 / 9}, 1 - 20*50.0/10900, []bool{false, false}},
		"older than the period":   {[]load{{25 * time.Hour, 0, 10}, {time.Minute, 10, 0}}, []float64{0, 0, 0, 0}, 1, []bool{false, false}},
		"no requests for an hour": {[]load{{2 * time.Hour, 90, 10}}, []float64{0, 0, 0, 2}, -1, []bool{false, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := burn.NewRecorder()
			for _, l := range test.loads {
				record(recorder, l.before, l.good, l.bad)
			}
			row := burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon).Rows[0]
			for i, want := range test.rates {
				if got := row.Windows[i].Rate; math.Abs(got-want) > 1e-9 {
					t.Errorf("burn rate over %s is %g, want %g", row.Windows[i].Length, got, want)
				}
			}
			if math.Abs(row.BudgetLeft-test.budgetLeft) > 1e-9 {
				t.Errorf("budget left is %g, want %g", row.BudgetLeft, test.budgetLeft)
			}
			for i, want := range test.firing {
				if row.Alerts[i].Firing != want {
					t.Errorf("alert %s is %t, want %t", row.Alerts[i].Rule, row.Alerts[i].Firing, want)
				}
			}
		})
	}
}

func TestReportOmitsSeriesWithoutObjective(t *testing.T) {
	recorder := burn.NewRecorder()
	recorder.Record(burn.Series{Workspace: "porto", Model: "draft"}, false, noon)
	recorder.Record(burn.Series{Workspace: "gone", Model: "draft"}, false, noon)
	report := burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon)
	if len(report.Rows) != 0 || report.Firing() {
		t.Errorf("got rows %+v, firing %t; want no rows and no alert", report.Rows, report.Firing())
	}
}

func TestMergeEqualsOneRecorder(t *testing.T) {
	whole, left, right := burn.NewRecorder(), burn.NewRecorder(), burn.NewRecorder()
	for i := range 2000 {
		at := noon.Add(-time.Duration(1999-i) * 37 * time.Second)
		series := burn.Series{Workspace: "lisbon", Model: fmt.Sprint(i % 3)}
		part := []*burn.Recorder{left, right}[i%2]
		part.Record(series, i%5 > 0, at)
		whole.Record(series, i%5 > 0, at)
	}
	merged := burn.Merge(left.Histories(noon), right.Histories(noon))
	if diff := cmp.Diff(whole.Histories(noon), merged); diff != "" {
		t.Error(diff)
	}
}

// TestRecorderClockSetBackAndExpiry checks that a request recorded after the clock
// was set back does not replace a newer bucket, and that old buckets expire.
func TestRecorderClockSetBackAndExpiry(t *testing.T) {
	recorder := burn.NewRecorder()
	recorder.Record(draft, true, noon)
	recorder.Record(draft, false, noon.Add(-61*time.Minute))
	fine := recorder.Histories(noon)[0].Fine
	if len(fine) != 1 || fine[0].Count != (burn.Count{Good: 1, Bad: 1}) {
		t.Errorf("got %+v, want both requests in the newer bucket", fine)
	}
	if late := recorder.Histories(noon.Add(48 * time.Hour)); len(late) != 0 {
		t.Errorf("got %+v two days later, want no histories", late)
	}
}

func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	const workers, each = 8, 500
	recorder := burn.NewRecorder()
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := range each {
				recorder.Record(burn.Series{Workspace: "lisbon", Model: fmt.Sprint((w + i) % 20)}, true, noon)
				if i%100 == 0 {
					recorder.Histories(noon)
				}
			}
		})
	}
	group.Wait()
	var total uint64
	for _, h := range recorder.Histories(noon) {
		total += h.Coarse[0].Total()
	}
	if total != workers*each {
		t.Errorf("counted %d requests, want %d", total, workers*each)
	}
}

func ExampleNewReport() {
	recorder := burn.NewRecorder()
	for i := range 100 {
		recorder.Record(burn.Series{Workspace: "lisbon", Model: "draft"}, i >= 10, noon)
	}
	report := burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon)
	for _, row := range report.Rows {
		fmt.Printf("%s %s: budget left %.0f%%\n", row.Workspace, row.Model, 100*row.BudgetLeft)
		for _, w := range row.Windows {
			fmt.Printf("  %s: %.1f\n", w.Length, w.Rate)
		}
	}
	// Output:
	// lisbon draft: budget left -100%
	//   5m0s: 2.0
	//   30m0s: 2.0
	//   1h0m0s: 2.0
	//   6h0m0s: 2.0
}
