// Package burn measures how fast workspaces use up the error budget of their
// service-level objectives.
//
// A node records each request as good or bad in a Recorder. The histories of
// all nodes are merged, and NewReport turns them into burn rates over several
// windows, alerts, and the budget left. A burn rate of one uses up the budget
// exactly at the end of the period.
package burn

import (
	"time"

	"almondbay.example/core/document"
)

// Series names what a history counts.
type Series struct {
	Workspace string
	// Model is the name that the caller asked for: a model or an adapter.
	Model string
}

// Count is a number of requests.
type Count struct {
	Good uint64
	Bad  uint64
}

// Total returns the number of all requests.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Add returns the sum of both counts.
func (c Count) Add(other Count) Count {
	return Count{Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// Rate returns the burn rate: the fraction of bad requests over the fraction
// that the target allows. It is zero without requests.
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
	// Served requests got their whole answer.
	Served Outcome = "served"
	// Refused requests were not run, for want of capacity or of the platform.
	Refused Outcome = "refused"
	// Failed requests ended with an error of the system or a backend server.
	Failed Outcome = "failed"
	// Excused requests ended through the caller: a bad request, a wrong key,
	// or a caller that left. They are not counted.
	Excused Outcome = "excused"
)

// Sample is one request that has ended.
type Sample struct {
	Outcome Outcome
	// FirstToken is the time from the request to its first token.
	FirstToken time.Duration
	// BetweenToken is the mean time between tokens; zero for a single token.
	BetweenToken time.Duration
}

// Evaluate tells whether a sample meets the objective, and whether it counts at
// all. Requests of a workspace without objective do not count.
func Evaluate(o document.Objective, s Sample) (good, counts bool) {
	if o.Target <= 0 || s.Outcome == Excused {
		return false, false
	}
	if s.Outcome != Served {
		return false, true
	}
	return s.FirstToken <= o.FirstToken && s.BetweenToken <= o.BetweenToken, true
}

// Rule is an alert on two windows: it fires when the burn rate is at or above
// its factor in both. The long window shows that the burn matters, the short
// one that it still goes on.
type Rule struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	// Share is the fraction of the period's budget that is used up within Long
	// at the factor.
	Share float64
}

// Factor returns the burn rate at which the rule fires.
func (r Rule) Factor(period time.Duration) float64 {
	return r.Share * float64(period) / float64(r.Long)
}

// Policy holds the period that a budget is for and the rules of alerts.
type Policy struct {
	Period time.Duration
	Rules  []Rule
}

// Period is the longest time that a Recorder remembers. Nodes keep histories
// in memory and are replaced at any time, so a longer one would mislead.
const Period = 24 * time.Hour

// DefaultPolicy alerts on a quarter of the day's budget used up in an hour, and
// on half of it in six.
func DefaultPolicy() Policy {
	return Policy{
		Period: Period,
		Rules: []Rule{
			{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Share: 0.25},
			{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Share: 0.5},
		},
	}
}
