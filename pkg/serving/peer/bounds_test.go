package peer

import (
	"net/http"
	"testing"

	"almondbay.example/core/feed"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

// TestResponseWithoutEnd guards against a response that is cut at the limit, which
// then looks like one of a peer that broke off.
func TestResponseWithoutEnd(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadBody, Repeat: " ", MaxBytes: 128 << 20})
	r := New(Config{Scheme: "http", HTTP: &http.Client{}})
	_, _, err := r.FetchFleet(t.Context(), s.Address, feed.Position{})
	boundedtest.RequireTooLarge(t, err, bounded.PartBody, s.Address)
	s.RequireClosed(t)
}

// TestRefusalWithoutEnd guards against reading the body of a refusal.
func TestRefusalWithoutEnd(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 409 Conflict\r\n\r\n", Repeat: "x"})
	r := New(Config{Scheme: "http", HTTP: &http.Client{}})
	_, _, err := r.FetchFleet(t.Context(), s.Address, feed.Position{})
	if !isConflict(err) {
		t.Errorf("got error %v, want a conflict", err)
	}
	s.RequireClosed(t)
}
