// Package burn computes the burn rate of the error budgets of workspaces, which
// follow from their service-level objectives.
//
// A node records each request as good or bad in a Recorder. The histories of
// all nodes are merged, and NewReport computes from them burn rates over several
// windows, alerts, and the remaining budget. At a constant burn rate of 1 the
// budget is exhausted exactly at the end of the period.
package burn

import (
	"time"

	"almondbay.example/core/document"
)

// Series identifies the requests that a history counts.
type Series struct {
	Workspace string
	// Model is the name in the request: that of a model or an adapter.
	Model string
}

// Count holds the numbers of good and bad requests.
type Count struct {
	Good uint64
	Bad  uint64
}

// Total returns the number of requests, good and bad.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Add returns the sum of c and other.
func (c Count) Add(other Count) Count {
	return Count{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// Rate returns the burn rate: the fraction of bad requests divided by the
// fraction that the target allows. It is zero when there were no requests or
// target is at least 1.
func (c Count) Rate(target float64) float64 {
	if c.Total() == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - target)
}

// Outcome is how a request ended.
type Outcome string

// Outcomes of a request.
const (
	// Served requests received their complete response.
	Served Outcome = "served"
	// Refused requests were not run because there was no capacity or the
	// platform was unavailable.
	Refused Outcome = "refused"
	// Failed requests ended with an error of a node or a backend server.
	Failed Outcome = "failed"
	// Excused requests failed because of the caller: an invalid request, a wrong
	// API key, or a closed connection. They are not counted.
	Excused Outcome = "excused"
)

// Sample describes one completed request.
type Sample struct {
	Outcome Outcome
	// FirstToken is the time from the arrival of the request to its first token.
	FirstToken time.Duration
	// BetweenToken is the mean time between tokens; zero when there is only one.
	BetweenToken time.Duration
}

// Evaluate reports whether a sample meets the objective, and whether it counts
// towards the error budget. Requests of a workspace without an objective do not
// count.
func Evaluate(o document.Objective, s Sample) (good, counts bool) {
	if o.Target <= 0 || s.Outcome == Excused {
		return false, false
	}
	if s.Outcome != Served {
		return false, true
	}
	return s.FirstToken <= o.FirstToken && s.BetweenToken <= o.BetweenToken, true
}

// Rule is a multiwindow burn-rate alert: it fires when the burn rate is at or
// above its factor in both windows. The long window shows that a significant
// part of the budget was used, the short window that the burn continues.
type Rule struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	// Share is the fraction of the period's budget that is used within Long when
	// the burn rate equals the factor.
	Share float64
}

// Factor returns the burn rate at which the rule fires.
func (r Rule) Factor(period time.Duration) float64 {
	return r.Share * float64(period) / float64(r.Long)
}

// Policy holds the budget period and the alert rules.
type Policy struct {
	Period time.Duration
	Rules  []Rule
}

// Period is the retention time of a Recorder. Nodes keep histories in memory
// only and may be replaced at any time, so a longer period would report counts
// that are incomplete.
const Period = 24 * time.Hour

// DefaultPolicy returns a policy that alerts when a quarter of the daily budget
// is used within one hour, or half of it within six hours.
func DefaultPolicy() Policy {
	return Policy{
		Period: Period,
		Rules: []Rule{
			{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Share: 0.25},
			{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Share: 0.5},
		},
	}
}
