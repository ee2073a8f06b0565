package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/platform"
)

// statusHandler responds with the status in the path and a body of the length in the
// query.
var statusHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	status, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	length, _ := strconv.Atoi(r.URL.RawQuery)
	w.WriteHeader(status)
	_, _ = w.Write(make([]byte, length))
})

// sendStatus sends a request that statusHandler responds to with a status and a body.
func sendStatus(ctx context.Context, client *http.Client, address string, status, length int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%d?%d", address, status, length), strings.NewReader("body"))
	if err != nil {
		return err
	}
	got, _, err := platform.Send(client, request, 1<<20)
	if err == nil && got != status {
		return fmt.Errorf("status %d, want %d", got, status)
	}
	return err
}

// TestConnectionCarriesNothingAfterRejection guards against a connection that is offered to
// another request before the status on it is known, as net/http does if a response has no
// body: a copy of the rejection could be taken for the answer to that request.
func TestConnectionCarriesNothingAfterRejection(t *testing.T) {
	const callers, calls = 8, 60
	statuses := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusNoContent, http.StatusConflict, http.StatusOK, http.StatusFound}
	for _, length := range []int{0, 2, 4 << 10} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			server := boundedtest.NewCopier(t, boundedtest.CopierConfig{Handler: statusHandler, Delay: 1})
			client := &http.Client{
				Transport:     platform.NewTransport(platform.TransportConfig{Base: &http.Transport{}, MaxIdle: callers}),
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			}
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for i := range calls {
						status := statuses[i%len(statuses)]
						body := length
						if status == http.StatusNoContent {
							body = 0
						}
						if err := sendStatus(t.Context(), client, server.Address, status, body); err != nil {
							t.Error(err)
						}
					}
				})
			}
			group.Wait()
			if n := server.AfterRejection(); n != 0 {
				t.Errorf("%d requests came on a connection after a rejection", n)
			}
			// Half of the statuses are rejections.
			if n, limit := server.Connections(), callers*calls/2+callers; n > limit {
				t.Errorf("%d connections for %d requests, want at most %d", n, callers*calls, limit)
			}
		})
	}
}

// TestIdleConnectionsAreBounded guards against idle connections without a bound after many
// requests at the same time.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const callers, maxIdle = 6, 2
	var arrived sync.WaitGroup
	arrived.Add(callers)
	server := boundedtest.NewCopier(t, boundedtest.CopierConfig{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/201" {
				arrived.Done()
				arrived.Wait()
			}
		}),
		Delay: -1,
	})
	client := &http.Client{Transport: platform.NewTransport(platform.TransportConfig{Base: &http.Transport{}, MaxIdle: maxIdle})}
	send := func(path string) {
		request, err := http.NewRequest(http.MethodGet, "http://"+server.Address+path, nil)
		if err != nil {
			t.Error(err)
			return
		}
		if _, _, err := platform.Send(client, request, 1<<10); err != nil {
			t.Error(err)
		}
	}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { send("/201") })
	}
	group.Wait()
	server.AwaitOpen(maxIdle)
	for range callers {
		send("/200")
	}
	if n := server.Connections(); n != callers {
		t.Errorf("%d connections, want %d", n, callers)
	}
}
