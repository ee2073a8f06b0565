package operatorwire

import (
	"math"
	"time"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
)

// Burn is the JSON form of a report on service-level burn. Durations are in
// seconds.
type Burn struct {
	At            time.Time  `json:"at"`
	PeriodSeconds float64    `json:"periodSeconds"`
	Rules         []BurnRule `json:"rules"`
	Rows          []BurnRow  `json:"rows"`
	// Missing lists the nodes whose counts could not be fetched.
	Missing []string `json:"missing"`
}

// BurnRule is the JSON form of an alert rule.
type BurnRule struct {
	Name         string  `json:"name"`
	LongSeconds  float64 `json:"longSeconds"`
	ShortSeconds float64 `json:"shortSeconds"`
	Share        float64 `json:"share"`
}

// BurnRow is the JSON form of the burn of one workspace and model.
type BurnRow struct {
	Workspace           string       `json:"workspace"`
	Model               string       `json:"model"`
	FirstTokenSeconds   float64      `json:"firstTokenSeconds"`
	BetweenTokenSeconds float64      `json:"betweenTokenSeconds"`
	Target              float64      `json:"target"`
	Good                uint64       `json:"good"`
	Bad                 uint64       `json:"bad"`
	BudgetLeft          float64      `json:"budgetLeft"`
	Windows             []BurnWindow `json:"windows"`
	Alerts              []BurnAlert  `json:"alerts"`
	Points              []BurnPoint  `json:"points"`
}

// BurnWindow is the JSON form of the burn rate over a time window.
type BurnWindow struct {
	Seconds float64 `json:"seconds"`
	Good    uint64  `json:"good"`
	Bad     uint64  `json:"bad"`
	Rate    float64 `json:"rate"`
}

// BurnAlert is the JSON form of the state of an alert.
type BurnAlert struct {
	Rule   string  `json:"rule"`
	Factor float64 `json:"factor"`
	Firing bool    `json:"firing"`
}

// BurnPoint is the JSON form of the burn rate at a point in time.
type BurnPoint struct {
	At   time.Time `json:"at"`
	Rate float64   `json:"rate"`
}

// FromBurn converts a report to its wire form.
func FromBurn(r burn.Report, missing []string) Burn {
	wire := Burn{
		At:            r.At.UTC(),
		PeriodSeconds: r.Policy.Period.Seconds(),
		Rules:         []BurnRule{},
		Rows:          []BurnRow{},
		Missing:       append([]string{}, missing...),
	}
	for _, rule := range r.Policy.Rules {
		wire.Rules = append(wire.Rules, BurnRule{
			Name: rule.Name, LongSeconds: rule.Long.Seconds(), ShortSeconds: rule.Short.Seconds(), Share: rule.Share,
		})
	}
	for _, row := range r.Rows {
		wire.Rows = append(wire.Rows, fromRow(row))
	}
	return wire
}

func fromRow(r burn.Row) BurnRow {
	wire := BurnRow{
		Workspace:           r.Workspace,
		Model:               r.Model,
		FirstTokenSeconds:   r.Objective.FirstToken.Seconds(),
		BetweenTokenSeconds: r.Objective.BetweenToken.Seconds(),
		Target:              r.Objective.Target,
		Good:                r.Count.Good,
		Bad:                 r.Count.Bad,
		BudgetLeft:          r.BudgetLeft,
		Points:              []BurnPoint{},
	}
	for _, w := range r.Windows {
		wire.Windows = append(wire.Windows, BurnWindow{
			Seconds: w.Length.Seconds(), Good: w.Count.Good, Bad: w.Count.Bad, Rate: w.Rate,
		})
	}
	for _, a := range r.Alerts {
		wire.Alerts = append(wire.Alerts, BurnAlert(a))
	}
	for _, p := range r.Points {
		wire.Points = append(wire.Points, BurnPoint(p))
	}
	return wire
}

// ToBurn converts the wire form to a report.
func ToBurn(w Burn) (report burn.Report, missing []string) {
	report = burn.Report{At: w.At, Policy: burn.Policy{Period: seconds(w.PeriodSeconds)}}
	for _, rule := range w.Rules {
		report.Policy.Rules = append(report.Policy.Rules, burn.Rule{
			Name: rule.Name, Long: seconds(rule.LongSeconds), Short: seconds(rule.ShortSeconds), Share: rule.Share,
		})
	}
	for _, row := range w.Rows {
		report.Rows = append(report.Rows, toRow(row))
	}
	return report, w.Missing
}

func toRow(w BurnRow) burn.Row {
	row := burn.Row{
		Series: burn.Series{Workspace: w.Workspace, Model: w.Model},
		Objective: document.Objective{
			FirstToken: seconds(w.FirstTokenSeconds), BetweenToken: seconds(w.BetweenTokenSeconds), Target: w.Target,
		},
		Count:      burn.Count{Good: w.Good, Bad: w.Bad},
		BudgetLeft: w.BudgetLeft,
	}
	for _, window := range w.Windows {
		row.Windows = append(row.Windows, burn.Window{
			Length: seconds(window.Seconds), Count: burn.Count{Good: window.Good, Bad: window.Bad}, Rate: window.Rate,
		})
	}
	for _, a := range w.Alerts {
		row.Alerts = append(row.Alerts, burn.Alert(a))
	}
	for _, p := range w.Points {
		row.Points = append(row.Points, burn.Point(p))
	}
	return row
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
