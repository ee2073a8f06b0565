package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
)

// observations is an Observer that collects what is reported.
type observations []Observation

func (s *observations) Observe(o Observation) { *s = append(*s, o) }

// discardSink discards the answer.
type discardSink struct{}

func (discardSink) head(answer) error  { return nil }
func (discardSink) write([]byte) error { return nil }

// TestObserveReportsTokenTimes checks the time to the first token, counted from
// the receipt of the request, and the mean time between tokens. A request that
// was refused has no times, and a call to a plain service is not reported.
func TestObserveReportsTokenTimes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	got := &observations{}
	g := &Gateway{clock: clock, observer: got}
	c := &call{workspace: document.Workspace{Name: "lisbon"}, model: "draft", receivedAt: clock.Now()}
	timed := &timedSink{sink: discardSink{}, clock: clock}
	const tokens, gap = 5, 30 * time.Millisecond
	clock.Advance(200 * time.Millisecond)
	for i := range tokens {
		if i > 0 {
			clock.Advance(gap)
		}
		if err := timed.write(nil); err != nil {
			t.Fatal(err)
		}
	}
	g.observe(c, timed, tokens, nil)
	g.observe(c, &timedSink{}, 0, notRunProblem(http.StatusTooManyRequests, CodeOverloaded, ""))
	g.observe(&call{}, timed, tokens, nil)
	series := burn.Series{Workspace: "lisbon", Model: "draft"}
	want := &observations{
		{Series: series, Sample: burn.Sample{Outcome: burn.Served, FirstToken: 200 * time.Millisecond, BetweenToken: gap}},
		{Series: series, Sample: burn.Sample{Outcome: burn.Refused}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("observations (-want +got):\n%s", diff)
	}
}

func TestOutcomeOfAttributesProblems(t *testing.T) {
	tests := map[string]struct {
		problem *problem
		want    burn.Outcome
	}{
		"complete answer": {nil, burn.Served},
		"overloaded":      {notRunProblem(http.StatusTooManyRequests, CodeOverloaded, ""), burn.Refused},
		"no group":        {notRunProblem(http.StatusServiceUnavailable, CodeUnavailable, ""), burn.Refused},
		"deadline":        {notRunProblem(http.StatusGatewayTimeout, CodeDeadline, ""), burn.Failed},
		"broken":          {notRunProblem(http.StatusBadGateway, CodeBrokenAnswer, ""), burn.Failed},
		"rejected":        {notRunProblem(http.StatusBadRequest, CodeRejected, ""), burn.Excused},
		"caller left":     {notRunProblem(statusClientClosed, CodeCanceled, ""), burn.Excused},
		"quarantined":     {notRunProblem(http.StatusUnprocessableEntity, CodeQuarantined, ""), burn.Excused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := outcomeOf(test.problem); got != test.want {
				t.Errorf("outcome %s, want %s", got, test.want)
			}
		})
	}
}
