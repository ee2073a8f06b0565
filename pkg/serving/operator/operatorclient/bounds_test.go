package operatorclient_test

import (
	"net/http"
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

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the timeout of the command.
func TestUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade, Repeat: " "})
	_, err := newClient("http://" + s.Address).Status(t.Context())
	boundedtest.RequireUpgradeRefused(t, err, s.Address)
	s.RequireClosed(t)
}
