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

// seen keeps what an observer is told.
type seen []Observation

func (s *seen) Observe(o Observation) { *s = append(*s, o) }

// deaf takes all pieces of an answer.
type deaf struct{}

func (deaf) head(answer) error  { return nil }
func (deaf) write([]byte) error { return nil }

func TestObserveTimesTokens(t *testing.T) {
	clock := clockwork.NewFakeClock()
	told := &seen{}
	g := &Gateway{clock: clock, observer: told}
	c := &call{workspace: document.Workspace{Name: "lisbon"}, model: "draft", receivedAt: clock.Now()}
	timed := &timedSink{sink: deaf{}, clock: clock}
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
	g.observe(c, &timedSink{}, 0, notRun(http.StatusTooManyRequests, CodeOverloaded, ""))
	g.observe(&call{}, timed, tokens, nil)
	series := burn.Series{Workspace: "lisbon", Model: "draft"}
	want := &seen{
		{Series: series, Sample: burn.Sample{Outcome: burn.Served, FirstToken: 200 * time.Millisecond, BetweenToken: gap}},
		{Series: series, Sample: burn.Sample{Outcome: burn.Refused}},
	}
	if diff := cmp.Diff(want, told); diff != "" {
		t.Error(diff)
	}
}

func TestOutcomeOf(t *testing.T) {
	tests := map[string]struct {
		problem *problem
		want    burn.Outcome
	}{
		"whole answer": {nil, burn.Served},
		"overloaded":   {notRun(http.StatusTooManyRequests, CodeOverloaded, ""), burn.Refused},
		"no group":     {notRun(http.StatusServiceUnavailable, CodeUnavailable, ""), burn.Refused},
		"deadline":     {notRun(http.StatusGatewayTimeout, CodeDeadline, ""), burn.Failed},
		"broken":       {notRun(http.StatusBadGateway, CodeBrokenAnswer, ""), burn.Failed},
		"rejected":     {notRun(http.StatusBadRequest, CodeRejected, ""), burn.Excused},
		"caller left":  {notRun(statusClientClosed, CodeCanceled, ""), burn.Excused},
		"poison":       {notRun(http.StatusUnprocessableEntity, CodeQuarantined, ""), burn.Excused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := outcomeOf(test.problem); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
