package platform_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/platform"
)

// TestSendBoundsBody guards against a body without end that fills the memory, and
// against the start of a body that passes for the whole one.
func TestSendBoundsBody(t *testing.T) {
	const maxBytes = 1 << 20
	heads := map[string]string{
		"unknown length": "",
		"stated length":  "Content-Length: 1099511627776\r\n",
		// Each chunk holds 16 spaces.
		"chunked": "Transfer-Encoding: chunked\r\n",
	}
	for name, head := range heads {
		for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusPreconditionFailed} {
			t.Run(fmt.Sprint(name, status), func(t *testing.T) {
				next := " "
				if name == "chunked" {
					next = "10\r\n" + strings.Repeat(" ", 16) + "\r\n"
				}
				server := boundedtest.NewServer(t, boundedtest.Case{Start: fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n", status, head), Repeat: next})
				_, body, err := send(t, server, maxBytes)
				var unknown *platform.UnknownError
				if !errors.As(err, &unknown) || !strings.Contains(err.Error(), server.Address+" exceeds 1048576 bytes") {
					t.Errorf("got %d bytes and error %v, want an UnknownError that names the server and the bound", len(body), err)
				}
				// A chunk of 16 bytes takes 22 bytes.
				server.RequireClosedWithin(t, maxBytes*22/16)
			})
		}
	}
}

// TestSendReadsExcerptOfErrorStatus guards against a refusal whose body without end
// fills the memory or hides the status, so that a request without effect counts
// as one with an unknown outcome.
func TestSendReadsExcerptOfErrorStatus(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusGone, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := boundedtest.NewServer(t, boundedtest.Case{Start: fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n", status), Repeat: "x"})
			got, body, err := send(t, server, 1<<20)
			if got != status || len(body) != 512 || err != nil {
				t.Errorf("got status %d, %d bytes and error %v; want status %d and 512 bytes", got, len(body), err, status)
			}
			server.RequireClosedWithin(t, 512)
		})
	}
}

// TestBodyUpToBoundIsWhole guards against a bound that is off by one.
func TestBodyUpToBoundIsWhole(t *testing.T) {
	for size, whole := range map[int64]bool{9: true, 10: true, 11: false} {
		response := &http.Response{
			Body:          io.NopCloser(strings.NewReader(strings.Repeat("x", int(size)))),
			ContentLength: -1,
			Request:       httptest.NewRequest(http.MethodGet, "http://server", nil),
		}
		got, err := bounded.ReadBody(response, 10)
		var tooLarge *bounded.TooLargeError
		if whole != (int64(len(got)) == size && err == nil) || whole == errors.As(err, &tooLarge) {
			t.Errorf("body of %d bytes, bound 10: %d bytes, error %v", size, len(got), err)
		}
	}
}

// send sends a request to the server.
func send(t *testing.T, server *boundedtest.Server, maxBytes int64) (int, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+server.Address, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{
		Transport:     &http.Transport{DialContext: server.Dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return platform.Send(client, request, maxBytes)
}
