package service_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/service"
)

// call sends a call to a service and closes the body of the answer.
func call(t *testing.T, c *service.Client, address string) (int, error) {
	t.Helper()
	a, err := c.Call(t.Context(), address, service.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}})
	if err != nil {
		return 0, err
	}
	return a.Status, a.Body.Close()
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	client := service.NewClient()
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			_, err := call(t, client, s.Address)
			boundedtest.RequireTooLarge(t, err, bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the deadline of its call.
func TestUpgradeUnasked(t *testing.T) {
	client := service.NewClient()
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: "x"})
	_, err := call(t, client, s.Address)
	boundedtest.RequireUpgradeRefused(t, err, s.Address)
	s.RequireClosed(t)
}

// TestRedirectIsReturned guards against a redirect that makes the client send a
// call twice or read another server.
func TestRedirectIsReturned(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	t.Cleanup(other.Close)
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(s.Close)
	client := service.NewClient()
	status, err := call(t, client, s.Listener.Addr().String())
	if err != nil || status != http.StatusTemporaryRedirect {
		t.Errorf("got status %d, error %v, want the redirect", status, err)
	}
	if n := reached.Load(); n > 0 {
		t.Errorf("another server received %d requests, want none", n)
	}
}
