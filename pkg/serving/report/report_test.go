package report_test

import (
	"bytes"
	"encoding/xml"
	"strings"
	"testing"
	"time"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/serving/report"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// sample returns the report of a day in which one workspace keeps its objective
// and the other one burns its budget in the last 90 minutes. The name of the
// latter has HTML markup, which the page must escape.
func sample() burn.Report {
	objective := document.Objective{FirstToken: 2 * time.Second, BetweenToken: 45 * time.Millisecond, Target: 0.95}
	plan := document.Document{Workspaces: []document.Workspace{{Name: "lisbon", Objective: objective}, {Name: "<b>porto", Objective: objective}}}
	recorder := burn.NewRecorder()
	for minute := -23 * 60; minute < 0; minute++ {
		at := noon.Add(time.Duration(minute) * time.Minute)
		if minute > -600 && minute < -500 {
			continue
		}
		for i := range 10 {
			recorder.Record(burn.Series{Workspace: "lisbon", Model: "draft"}, minute%7 != 0 || i > 0, at)
			recorder.Record(burn.Series{Workspace: "<b>porto", Model: "draft"}, minute < -90 || i%2 == 0, at)
		}
	}
	return burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon)
}

func TestTableListsBurnAndMissingNodes(t *testing.T) {
	lines := strings.Split(report.Table(sample(), []string{"entry-3"}), "\n")
	want := []string{
		"WORKSPACE  MODEL  TARGET  REQUESTS  BAD  5m     30m    1h     6h    BUDGET LEFT  ALERTS",
		"<b>porto   draft  95%     12810     450  10.00  10.00  10.00  2.50  29.74%       fast,slow",
		"lisbon     draft  95%     12810     183  0.00   0.27   0.27   0.28  71.43%       -",
		"counts missing from: entry-3",
	}
	for i, line := range want {
		if lines[i] != line {
			t.Errorf("line %d is\n%s, want\n%s", i, lines[i], line)
		}
	}
	if empty := report.Table(burn.Report{}, nil); !strings.Contains(empty, "no requests") {
		t.Errorf("empty report is %q, want a note that there are no requests", empty)
	}
}

// The page must not load anything from outside, and must escape names.
func TestPageIsSelfContained(t *testing.T) {
	var page bytes.Buffer
	if err := report.Page(&page, sample(), []string{"entry-3"}); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, banned := range []string{"<b>porto", "src=", "<script", "<link", "@import", "url("} {
		if strings.Contains(text, banned) {
			t.Errorf("page contains %q", banned)
		}
	}
	if got := strings.Count(text, "<svg"); got != 2 {
		t.Errorf("page has %d plots, want 2", got)
	}
	first := text[strings.Index(text, "<svg") : strings.Index(text, "</svg>")+len("</svg>")]
	if err := xml.Unmarshal([]byte(first), new(struct{})); err != nil {
		t.Errorf("plot is not well-formed XML: %v", err)
	}
	if err := report.Page(&page, burn.Report{At: noon}, nil); err != nil {
		t.Error(err)
	}
}
