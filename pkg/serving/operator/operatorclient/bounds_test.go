package operatorclient_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorclient"
)

func newClient(server string) *operatorclient.Client {
	return operatorclient.New(operatorclient.Config{Servers: []string{server}, Key: keys.NewSecret("key"), HTTP: &http.Client{}})
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			_, err := newClient("http://" + s.Address).Status(t.Context())
			boundedtest.RequireTooLarge(t, err, bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestBodyWithoutEnd guards against a response that is cut at the limit, which
// then looks like a malformed one or like an unexpected refusal.
func TestBodyWithoutEnd(t *testing.T) {
	heads := map[string]string{
		"ok":      boundedtest.HeadBody,
		"refused": strings.Replace(boundedtest.HeadBody, "200 OK", "409 Conflict", 1),
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			s := boundedtest.NewServer(t, boundedtest.Case{Start: head, Repeat: " ", MaxBytes: 128 << 20})
			err := newClient("http://"+s.Address).Drain(t.Context(), "vm")
			boundedtest.RequireTooLarge(t, err, bounded.PartBody, s.Address)
			var unknown *operatorclient.UnknownOutcomeError
			if !errors.As(err, &unknown) {
				t.Errorf("got error %v, want an unknown outcome", err)
			}
			s.RequireClosed(t)
		})
	}
}

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the timeout of the command.
func TestUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: " "})
	_, err := newClient("http://" + s.Address).Status(t.Context())
	boundedtest.RequireUpgradeRefused(t, err, s.Address)
	s.RequireClosed(t)
}

// TestRedirectIsNotFollowed guards against a redirect that makes the client send a
// command to a server that the operator did not name.
func TestRedirectIsNotFollowed(t *testing.T) {
	var reached atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	t.Cleanup(other.Close)
	s := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(s.Close)
	if err := newClient(s.URL).Drain(t.Context(), "vm"); err == nil {
		t.Error("a redirect was taken for a success")
	}
	if n := reached.Load(); n > 0 {
		t.Errorf("another server received %d requests, want none", n)
	}
}
