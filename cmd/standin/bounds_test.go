package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

func registerAt(platform string) error {
	return register(vmOptions{ID: "vm", Platform: platform}, fleet.VM{}, &net.TCPAddr{})
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			boundedtest.RequireTooLarge(t, registerAt("http://"+s.Address), bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestBodyWithoutEnd guards against reading the body of a refused registration.
func TestBodyWithoutEnd(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"})
	if err := registerAt("http://" + s.Address); err == nil {
		t.Error("a refused registration returned no error")
	}
	s.RequireClosed(t)
}

// TestRedirectIsNotFollowed guards against a registration at another server.
func TestRedirectIsNotFollowed(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(other.Close)
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(s.Close)
	if err := registerAt(s.URL); err == nil {
		t.Error("a redirect was taken for a success")
	}
	if n := reached.Load(); n > 0 {
		t.Errorf("another server received %d requests, want none", n)
	}
}
