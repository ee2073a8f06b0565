package bounded_test

import (
	"net/http"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
)

// get sends a request to a server without end and reads the body of the response.
func get(t *testing.T, s *boundedtest.Server) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: bounded.NewTransport(nil)}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return nil
}

// TestHeadWithoutEnd guards against heads of up to 10 MB, the default of net/http.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range boundedtest.HeadCases() {
		t.Run(c.Name, func(t *testing.T) {
			s := boundedtest.NewServer(t, c)
			err := get(t, s)
			boundedtest.RequireTooLarge(t, err, bounded.PartHead, s.Address)
			s.RequireClosed(t)
		})
	}
}

// TestUpgradeUnasked guards against a response with status 101, whose body reads
// past the deadline of its request.
func TestUpgradeUnasked(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: boundedtest.HeadUpgrade})
	boundedtest.RequireUpgradeRefused(t, get(t, s), s.Address)
	s.RequireClosed(t)
}
