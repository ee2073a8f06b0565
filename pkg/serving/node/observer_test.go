package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/metric"
	"almondbay.example/serving/status"
	"almondbay.example/serving/view"
)

func TestObserverEvaluatesObjectives(t *testing.T) {
	v := view.New(time.Second)
	v.SetDocument(1, document.Document{Workspaces: []document.Workspace{
		{Name: "lisbon", Objective: document.Objective{FirstToken: time.Second, BetweenToken: time.Second, Target: 0.9}},
		{Name: "porto"},
	}})
	o := &observer{clock: clockwork.NewFakeClock(), view: v, recorder: burn.NewRecorder()}
	o.metrics = metric.New(metric.Config{Clock: o.clock, Status: func() status.Status { return status.Status{} }, Burn: o.report})
	for _, sample := range []struct {
		workspace string
		burn.Sample
	}{
		{"lisbon", burn.Sample{Outcome: burn.Served, FirstToken: time.Second}},
		{"lisbon", burn.Sample{Outcome: burn.Served, FirstToken: 2 * time.Second}},
		{"lisbon", burn.Sample{Outcome: burn.Refused}},
		{"lisbon", burn.Sample{Outcome: burn.Excused}},
		{"porto", burn.Sample{Outcome: burn.Failed}},
	} {
		o.Observe(caller.Observation{Series: burn.Series{Workspace: sample.workspace, Model: "draft"}, Sample: sample.Sample})
	}
	rows := o.report().Rows
	if len(rows) != 1 || rows[0].Count != (burn.Count{Good: 1, Bad: 2}) {
		t.Errorf("rows of the report are %+v, want one with 1 good and 2 bad requests", rows)
	}
	response := httptest.NewRecorder()
	o.metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := `almondbay_requests_total{model="draft",outcome="failed",workspace="porto"} 1`; !strings.Contains(response.Body.String(), want) {
		t.Errorf("metrics lack the line %s", want)
	}
}
