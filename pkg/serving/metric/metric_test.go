package metric_test

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/core/revision"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/status"
)

var update = flag.Bool("update", false, "write docs/METRICS.md from the catalogue")

const page = "../../../docs/METRICS.md"

var (
	noon   = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	series = burn.Series{Workspace: "lisbon", Model: "draft"}
)

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(metric.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(metric.Markdown(), string(written)); diff != "" {
		t.Errorf("docs/METRICS.md differs from the catalogue; run this test with -update:\n%s", diff)
	}
}

// report returns a burn report with one good request.
func report() burn.Report {
	recorder := burn.NewRecorder()
	recorder.Record(series, true, noon)
	objective := document.Objective{FirstToken: time.Second, BetweenToken: time.Second, Target: 0.9}
	plan := document.Document{Workspaces: []document.Workspace{{Name: "lisbon", Objective: objective}}}
	return burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon)
}

// Every metric of the catalogue must be served under its name and type, and the
// values must follow from the observed requests and the state of the node.
func TestHandlerServesAllMetrics(t *testing.T) {
	metrics := metric.New(metric.Config{
		Clock: clockwork.NewFakeClockAt(noon),
		Status: func() status.Status {
			return status.Status{
				Version: "1", Ready: true, PlatformSeenAt: noon.Add(-3 * time.Second),
				Revision: revision.FollowerState{Entry: revision.Entry{Revision: 7}, Confirmed: true},
				Models:   []status.Model{{Name: "draft", Wanted: 3, Serving: 1}},
				Groups:   []status.Group{{Model: "draft", State: "serving"}, {Model: "draft", State: "serving"}},
				VMs:      []status.VM{{Role: "backend", State: "live"}},
				Nodes:    []status.Node{{ID: "b", Revision: 6}, {ID: "c", Revision: 7}},
			}
		},
		Burn: report,
	})
	served := burn.Sample{Outcome: burn.Served, FirstToken: 100 * time.Millisecond, BetweenToken: 30 * time.Millisecond}
	metrics.Observe(metric.Request{Series: series, Sample: served, UnderObjective: true, Good: true})
	metrics.Observe(metric.Request{Series: series, Sample: burn.Sample{Outcome: burn.Refused}, UnderObjective: true})
	metrics.Observe(metric.Request{Series: series, Sample: burn.Sample{Outcome: burn.Excused}})

	response := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := response.Body.String()
	for _, want := range []string{
		`almondbay_requests_total{model="draft",outcome="served",workspace="lisbon"} 1`,
		`almondbay_requests_total{model="draft",outcome="excused",workspace="lisbon"} 1`,
		`almondbay_objective_requests_total{model="draft",result="bad",workspace="lisbon"} 1`,
		`almondbay_first_token_seconds_count{model="draft",workspace="lisbon"} 1`,
		`almondbay_document_distance 2`, `almondbay_nodes_lagging 1`, `almondbay_platform_age_seconds 3`,
		`almondbay_groups{model="draft",state="serving"} 2`, `almondbay_revision_in_force 7`,
		`almondbay_burn_rate{model="draft",window="360m",workspace="lisbon"} 0`,
		`almondbay_budget_left{model="draft",workspace="lisbon"} 1`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("metrics lack the line %s", want)
		}
	}
	text += entryText(t)
	for _, d := range metric.All() {
		if !strings.Contains(text, "# TYPE "+d.Name+" "+string(d.Kind)+"\n") {
			t.Errorf("%s is not served as a %s", d.Name, d.Kind)
		}
	}
}

// entryText returns the metrics that an entry VM serves once each of them has a
// value.
func entryText(t *testing.T) string {
	t.Helper()
	e := metric.NewEntry()
	e.Requests.WithLabelValues("llm", "draft", "answered", "200").Inc()
	e.Tries.WithLabelValues("llm", "draft", "answered").Inc()
	e.FirstByte.WithLabelValues("llm", "draft").Observe(0.2)
	e.Gap.WithLabelValues("llm", "draft").Observe(0.1)
	e.Duration.WithLabelValues("llm", "draft", "answered").Observe(1)
	e.RecordStoreCall("read", "ok", time.Millisecond)
	e.Heads.WithLabelValues("llm", "draft").Set(3)
	e.Orders.WithLabelValues("join", "202").Inc()
	e.ServerEnds.WithLabelValues("restarted").Inc()
	e.Statements.WithLabelValues("leaving").Inc()
	e.Distrusted.WithLabelValues("otherRequest").Inc()
	e.WatchConnections("callers", 10, func() int { return 1 })
	e.ClosedConnections.WithLabelValues("callers", "noRoom").Inc()
	e.WatchMemory(func() (int64, int64, uint64) { return 1, 2, 3 })
	response := httptest.NewRecorder()
	e.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return response.Body.String()
}
