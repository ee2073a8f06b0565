package burn

import (
	"cmp"
	"slices"
	"time"

	"almondbay.example/core/document"
)

// Report holds the burn rates of each series that has an objective.
type Report struct {
	At     time.Time
	Policy Policy
	// Rows are ordered by BudgetLeft, ascending.
	Rows []Row
}

// Row holds the burn rates of one series.
type Row struct {
	Series
	Objective document.Objective
	// Count covers the period of the policy.
	Count Count
	// BudgetLeft is the remaining fraction of the period's budget; negative when
	// the budget is overspent. It is 1 when there were no requests.
	BudgetLeft float64
	// Windows holds the burn rate of each window of the policy, shortest first.
	Windows []Window
	// Alerts holds the state of each rule, in the order of the policy.
	Alerts []Alert
	// Points holds the burn rate over time, oldest first.
	Points []Point
}

// Window holds the burn rate over the most recent interval of Length.
type Window struct {
	Length time.Duration
	Count  Count
	Rate   float64
}

// Alert is the state of an alert rule.
type Alert struct {
	Rule string
	// Factor is the burn rate at which the rule fires.
	Factor float64
	Firing bool
}

// Point is the burn rate of one coarse bucket.
type Point struct {
	At   time.Time
	Rate float64
}

// NewReport computes the report for the merged histories of all nodes and the
// objectives of the document. It omits series whose workspace has no objective.
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

// windows returns the distinct window lengths of all rules, shortest first.
func (p Policy) windows() []time.Duration {
	var lengths []time.Duration
	for _, r := range p.Rules {
		lengths = append(lengths, r.Short, r.Long)
	}
	slices.Sort(lengths)
	return slices.Compact(lengths)
}

// window sums the buckets that overlap the most recent interval of the given
// length. The sum covers up to one bucket width more than length.
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

// Firing reports whether any alert of the report is firing.
func (r Report) Firing() bool {
	return slices.ContainsFunc(r.Rows, func(row Row) bool {
		return slices.ContainsFunc(row.Alerts, func(a Alert) bool { return a.Firing })
	})
}
