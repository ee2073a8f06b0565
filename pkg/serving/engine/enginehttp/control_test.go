package enginehttp_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/engine/enginewire"
)

// answer is the status and the body of an answer of an engine.
type answer struct {
	status int
	body   string
}

// controlResult describes the result of a health check or an order.
func controlResult(report fleet.Report, err error) string {
	var stale *engine.StaleTermError
	switch {
	case errors.As(err, &stale):
		return fmt.Sprintf("stale, term %d", stale.Term)
	case err != nil:
		return "failed"
	default:
		return "ok, boot " + report.Identity.Boot
	}
}

// runControl sends orders and health checks in turn, after a generation request if first
// is set, to an engine that sends copies of rejections after a number of requests. It
// returns the results.
func runControl(t *testing.T, delay int, first bool, answers []answer) []string {
	t.Helper()
	arrived := 0
	server := boundedtest.NewCopier(t, boundedtest.CopierConfig{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == enginewire.PathCompletions {
				w.Header().Set(enginewire.HeaderNotStarted, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			a := answers[arrived]
			arrived++
			if r.URL.Path == enginewire.PathHealth && a.status == http.StatusOK {
				a.body = fmt.Sprintf(`{"boot":"b%d"}`, arrived)
			}
			w.WriteHeader(a.status)
			_, _ = io.WriteString(w, a.body)
		}),
		Delay: delay,
	})
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	if first {
		var notStarted *engine.NotStartedError
		if err := generate(t.Context(), client, server.Address, false); !errors.As(err, &notStarted) {
			t.Errorf("generation request: error %v, want NotStartedError", err)
		}
	}
	var results []string
	for i := range answers {
		if i%3 == 2 {
			results = append(results, controlResult(client.Health(t.Context(), server.Address)))
			continue
		}
		results = append(results, controlResult(fleet.Report{}, client.Order(t.Context(), server.Address, fleet.Order{})))
	}
	if server.AfterRejection() != 0 {
		t.Errorf("%d requests came on a connection after a rejection", server.AfterRejection())
	}
	return results
}

// TestCopyOfRejectedOrderIsNotBelieved guards against a copy of an earlier rejection, also of a
// generation request, that is taken for the reply to an order that the engine accepted or to
// a health check, which would count as a crash.
func TestCopyOfRejectedOrderIsNotBelieved(t *testing.T) {
	accepted := answer{status: http.StatusOK}
	rejections := []answer{
		{http.StatusConflict, `{"term":9}`},
		{status: http.StatusServiceUnavailable},
		{http.StatusServiceUnavailable, "full"},
		{status: http.StatusTooManyRequests},
		{status: http.StatusPreconditionFailed},
	}
	for _, r := range rejections {
		for _, first := range []bool{false, true} {
			for i, answers := range [][]answer{
				{accepted, accepted, accepted, accepted},
				{r, accepted, accepted, accepted},
				{accepted, accepted, r, accepted, accepted, accepted},
			} {
				want := runControl(t, -1, first, answers)
				for delay := range 3 {
					t.Run(fmt.Sprint(r.status, "/", len(r.body), "/", first, "/", i, "/", delay), func(t *testing.T) {
						if diff := cmp.Diff(want, runControl(t, delay, first, answers)); diff != "" {
							t.Errorf("results differ from those without copies (-want +got):\n%s", diff)
						}
					})
				}
			}
		}
	}
}
