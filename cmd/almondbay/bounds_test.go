package main

import (
	"strings"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/settings"
)

// TestPlatformHeadWithoutEnd guards against heads of up to 10 MB, the default of
// net/http.
func TestPlatformHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			client, err := platformClient(settings.Platform{Address: "http://" + s.Address})
			if err != nil {
				t.Fatal(err)
			}
			_, err = client.Get(t.Context(), "document")
			want := &bounded.TooLargeError{Part: bounded.PartHead, Server: s.Address, Limit: bounded.MaxHeadBytes}
			if err == nil || !strings.Contains(err.Error(), want.Error()) {
				t.Errorf("got error %v, want %v", err, want)
			}
			s.RequireClosed(t)
		})
	}
}

// TestPlatformUpgradeUnasked guards against a response with status 101, whose body
// reads past the timeout of the client.
func TestPlatformUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: "x"})
	client, err := platformClient(settings.Platform{Address: "http://" + s.Address})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Get(t.Context(), "document")
	want := &bounded.UpgradeError{Server: s.Address}
	if err == nil || !strings.Contains(err.Error(), want.Error()) {
		t.Errorf("got error %v, want %v", err, want)
	}
	s.RequireClosed(t)
}
