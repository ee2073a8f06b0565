package platformhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformhttp"
)

// answer is the status and the body of an answer of the platform.
type answer struct {
	status int
	body   string
}

// runAnswers returns the results of calls, each of which the platform answers in turn, at
// one that sends copies of rejections after a number of requests.
func runAnswers(t *testing.T, delay int, answers []answer, call func(c *platformhttp.Client) string) []string {
	t.Helper()
	arrived := 0
	server := boundedtest.NewCopier(t, boundedtest.CopierConfig{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a := answers[arrived]
			arrived++
			w.WriteHeader(a.status)
			_, _ = io.WriteString(w, a.body)
		}),
		Delay: delay,
	})
	client := platformhttp.New(platformhttp.Config{Address: "http://" + server.Address})
	var results []string
	for range answers {
		results = append(results, call(client))
	}
	return results
}

// TestCopyOfRejectionIsNotBelieved guards against a copy of an earlier rejection that is
// taken for the answer to a write that was applied, and against the answer to that write
// being taken for that to the next one: two callers would run one booking.
func TestCopyOfRejectionIsNotBelieved(t *testing.T) {
	applied := answer{status: http.StatusNoContent}
	conflict := answer{http.StatusConflict, `{"key":"k","version":3}`}
	rejections := []answer{
		conflict,
		{status: http.StatusServiceUnavailable},
		{status: http.StatusTooManyRequests},
		{http.StatusServiceUnavailable, `{"message":"unavailable"}`},
		{http.StatusTooManyRequests, strings.Repeat("x", 4*kib)},
		{http.StatusInternalServerError, "failed"},
	}
	calls := map[string]func(c *platformhttp.Client) string{
		"commit": func(c *platformhttp.Client) string {
			return fmt.Sprint(c.Commit(context.Background(), platform.Transaction{}))
		},
		"put": func(c *platformhttp.Client) string {
			return fmt.Sprint(c.Put(context.Background(), "o", nil))
		},
	}
	for name, call := range calls {
		for _, r := range rejections {
			for i, answers := range [][]answer{{r, applied, conflict}, {r, applied, applied, conflict}, {applied, r, r, applied, applied, r, conflict}} {
				want := runAnswers(t, -1, answers, call)
				for delay := range 3 {
					t.Run(fmt.Sprint(name, "/", r.status, "/", len(r.body), "/", i, "/", delay), func(t *testing.T) {
						if diff := cmp.Diff(want, runAnswers(t, delay, answers, call)); diff != "" {
							t.Errorf("results differ from those without copies (-want +got):\n%s", diff)
						}
					})
				}
			}
		}
	}
}
