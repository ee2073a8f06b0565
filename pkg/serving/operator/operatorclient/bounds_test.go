package operatorclient_test

import (
	"errors"
	"net/http"
	"strings"
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
			s := boundedtest.NewServer(t, boundedtest.Case{Start: head, Repeat: " "})
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
