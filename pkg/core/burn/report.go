package burn

import (
	"cmp"
	"slices"
	"time"

	"almondbay.example/core/document"
)

// Report shows the burn of each series that has an objective.
type Report struct {
	At     time.Time
	Policy Policy
	// Rows are ordered by budget left, the least first.
	Rows []Row
}

// Row is the burn of one series.
type Row struct {
	Series
	Objective document.Objective
	// Count covers the period.
	Count Count
	// BudgetLeft is the fraction of the period's budget that is left; below
	// zero when more was used up. It is one without requests.
	BudgetLeft float64
	// Windows holds the burn rate of each window of the policy, the shortest
	// first.
	Windows []Window
	// Alerts holds the state of each rule, in the order of the policy.
	Alerts []Alert
	// Points is the burn rate over time, the oldest first.
	Points []Point
}

// Window is the burn over the latest time of a length.
type Window struct {
	Length time.Duration
	Count  Count
	Rate   float64
}

// Alert is the state of a rule.
type Alert struct {
	Rule string
	// Factor is the burn rate at which the rule fires.
	Factor float64
	Firing bool
}

// Point is the burn of one coarse bucket.
type Point struct {
	At   time.Time
	Rate float64
}

// NewReport reports on the histories of all nodes by the objectives of the
// document. A series whose workspace has no objective is left out.
func NewReport(p Policy, d document.Document, histories []History, now time.Time) Report {
	objectives := make(map[string]document.Objective)
	for _, w := range d.Workspaces {
		objectives[w.Name] = w.Objective
	}
	report := Report{At: now, Policy: p}
	for _, h := range histories {
		if o := objectives[h.Workspace]; o.Target > 0 {
			report.Rows = append(report.Rows, newRow(p, o, h, now))
		}
	}
	slices.SortStableFunc(report.Rows, func(a, b Row) int { return cmp.Compare(a.BudgetLeft, b.BudgetLeft) })
	return report
}

func newRow(p Policy, o document.Objective, h History, now time.Time) Row {
	period := h.window(p.Period, now)
	row := Row{
		Series:     h.Series,
		Objective:  o,
		Count:      period,
		BudgetLeft: 1 - period.Rate(o.Target),
	}
	rates := make(map[time.Duration]float64)
	for _, length := range p.windows() {
		count := h.window(length, now)
		rates[length] = count.Rate(o.Target)
		row.Windows = append(row.Windows, Window{Length: length, Count: count, Rate: rates[length]})
	}
	for _, r := range p.Rules {
		factor := r.Factor(p.Period)
		row.Alerts = append(row.Alerts, Alert{
			Rule:   r.Name,
			Factor: factor,
			Firing: rates[r.Long] >= factor && rates[r.Short] >= factor,
		})
	}
	for _, b := range h.Coarse {
		row.Points = append(row.Points, Point{At: b.Start, Rate: b.Rate(o.Target)})
	}
	return row
}

// windows returns the lengths of all windows, the shortest first.
func (p Policy) windows() []time.Duration {
	var lengths []time.Duration
	for _, r := range p.Rules {
		lengths = append(lengths, r.Short, r.Long)
	}
	slices.Sort(lengths)
	return slices.Compact(lengths)
}

// window adds up the buckets that overlap the latest time of a length. It
// covers up to one bucket more than the length.
func (h History) window(length time.Duration, now time.Time) Count {
	buckets, width := h.Coarse, CoarseWidth
	if length < FineWidth*time.Duration(fineBuckets) {
		buckets, width = h.Fine, FineWidth
	}
	since := now.Add(-length - width)
	var sum Count
	for _, b := range buckets {
		if b.Start.After(since) {
			sum = sum.Add(b.Count)
		}
	}
	return sum
}

// Firing tells whether any alert of the report fires.
func (r Report) Firing() bool {
	return slices.ContainsFunc(r.Rows, func(row Row) bool {
		return slices.ContainsFunc(row.Alerts, func(a Alert) bool { return a.Firing })
	})
}
