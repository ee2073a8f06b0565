package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondbay.example/internal/routing/ingress"
)

// uploadSize is the size in bytes of a large body.
const uploadSize = 4 << 20

// upload is an upload on a connection of its own. Its body is not sent.
type upload struct {
	net.Conn
	reader *bufio.Reader
}

// beginUpload sends the head of a request and, if chunked, a first part of the body.
func beginUpload(t *testing.T, f *fixture, headers string) *upload {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: mine\r\nKey: key\r\n%s\r\n", headers); err != nil {
		t.Fatal(err)
	}
	return &upload{Conn: conn, reader: bufio.NewReader(conn)}
}

// withLength returns the header of a body of n bytes.
func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// answer reads the answer and returns its status, retry delay and Connection header.
func (u *upload) answer(t *testing.T) (status int, retryAfter string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }()

	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return response.StatusCode, response.Header.Get("Retry-After"), response.Close
}

// fillAccount begins uploads until one is refused, and returns the others.
func fillAccount(t *testing.T, f *fixture) []*upload {
	t.Helper()
	// Room for the results of all requests that end with the test.
	f.results = make(chan ingress.Result, 1000)
	var accepted []*upload
	for range ingress.DefaultMemory / uploadSize {
		before := f.handler.Account()
		u := beginUpload(t, f, withLength(uploadSize))
		for {
			state := f.handler.Account()
			if state.Refused > before.Refused {
				// Ends the wait for the rest of its body.
				_ = u.Close()
				return accepted
			}
			if state.Used >= before.Used+uploadSize {
				break
			}
		}
		accepted = append(accepted, u)
	}
	t.Fatalf("%d uploads of %d bytes accepted, more than the account has", len(accepted), uploadSize)
	return nil
}

// TestUploadsInFlightAreBounded guards against running out of memory: uploads were read
// into memory however many there were, and the node was killed in a burst of them.
func TestUploadsInFlightAreBounded(t *testing.T) {
	s := newServer(t, success)
	f := newFixture(t, 10, s)
	accepted := fillAccount(t, f)
	<-f.results
	if len(accepted) == 0 {
		t.Fatal("no upload was accepted")
	}
	refused := beginUpload(t, f, withLength(uploadSize))
	status, retryAfter, closes := refused.answer(t)
	if status != http.StatusServiceUnavailable || retryAfter == "" || !closes {
		t.Errorf("upload beyond the account: status %d, retry delay %q, closes %v; want status 503 with a delay, and the connection closed", status, retryAfter, closes)
	}
	if r := <-f.results; r.Outcome != ingress.OutcomeRefused || !strings.Contains(r.Cause, "memory") || r.Memory == 0 || len(r.Tries) != 0 {
		t.Errorf("result %+v, want a refusal for want of memory without a try", r)
	}
	if a := f.call(t, http.MethodPost, "/once/x"); a.status != http.StatusOK {
		t.Errorf("small request: answer %+v, want status 200", a)
	}
	body := make([]byte, uploadSize)
	for _, u := range accepted {
		if _, err := u.Write(body); err != nil {
			t.Fatal(err)
		}
		if status, _, _ := u.answer(t); status != http.StatusOK {
			t.Errorf("accepted upload: status %d, want 200", status)
		}
		<-f.results
	}
	_ = refused.Close()
	f.front.Close()
	if used := f.handler.Account().Used; used != 0 {
		t.Errorf("%d bytes in use after the end of all requests, want 0", used)
	}
}

// TestRefusedUploadGetsAnswer guards against callers that see a reset in place of the
// refusal, since they send the whole body before they read the answer.
func TestRefusedUploadGetsAnswer(t *testing.T) {
	tests := []struct {
		name, headers, body string
		status              int
	}{
		{"length", withLength(uploadSize), strings.Repeat("x", uploadSize), 503},
		{"chunked", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", uploadSize, strings.Repeat("x", uploadSize)), 503},
		{"asks before it sends", withLength(uploadSize) + "Expect: 100-continue\r\n", "", 503},
		{"over the limit", withLength(uploadSize + 1), strings.Repeat("x", uploadSize+1), 413},
		{"chunked, over the limit", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", uploadSize+1, strings.Repeat("x", uploadSize+1)), 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 10, newServer(t, success))
			if tt.status == http.StatusServiceUnavailable {
				fillAccount(t, f)
				<-f.results
			}
			u := beginUpload(t, f, tt.headers)
			if _, err := io.WriteString(u, tt.body); err != nil {
				t.Fatalf("send the body: %v", err)
			}
			if status, _, closes := u.answer(t); status != tt.status || !closes {
				t.Errorf("status %d, closes %v; want %d, and the connection closed", status, closes, tt.status)
			}
		})
	}
}

// TestSlowUploadsLeaveRoomForSmallRequests guards against many callers that declare a body
// and send next to nothing of it.
func TestSlowUploadsLeaveRoomForSmallRequests(t *testing.T) {
	f := newFixture(t, 10, newServer(t, success))
	fillAccount(t, f)
	<-f.results
	const slow = 300
	used := f.handler.Account().Used
	for range slow {
		u := beginUpload(t, f, withLength(10<<10))
		if _, err := u.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	for f.handler.Account().Used < used+slow*(16<<10) {
		// The handler has not seen all of them.
		continue
	}
	for range 10 {
		if a := f.call(t, http.MethodPost, "/once/x"); a.status != http.StatusOK {
			t.Fatalf("small request: answer %+v, want status 200", a)
		}
	}
	if state := f.handler.Account(); state.Used > state.Size {
		t.Errorf("%d bytes in use, want at most %d", state.Used, state.Size)
	}
}

// awaitBody waits until the handler receives the body of one more request than before.
func awaitBody(f *fixture, before int64) {
	for f.handler.Account().Used == before {
		continue
	}
}

// TestBodyMustComeByDeadline guards against bodies that stand still and hold their memory for
// ever: the deadline of a request did not hold while its body was read.
func TestBodyMustComeByDeadline(t *testing.T) {
	s := newServer(t, success)
	f := newFixture(t, 10, s)
	u := beginUpload(t, f, withLength(100))
	awaitBody(f, 0)
	f.clock.Advance(time.Hour)
	if status, _, closes := u.answer(t); status != http.StatusRequestTimeout || !closes {
		t.Errorf("status %d, closes %v; want 408, and the connection closed", status, closes)
	}
	if r := <-f.results; r.Outcome != ingress.OutcomeRefused || len(r.Tries) != 0 || s.requests() != 0 {
		t.Errorf("result %+v, %d requests at the server; want a refusal without a try", r, s.requests())
	}
}

// TestRefusalDoesNotWaitForBody guards against refusals that waited for the rest of a body in
// chunks, which need not come.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"key":   func(head string) string { return strings.Replace(head, "Key: key", "Key: other", 1) },
		"route": func(head string) string { return strings.Replace(head, "/safe/x", "/none", 1) },
		"ID":    func(head string) string { return strings.Replace(head, "Id: mine", "No: id", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10, newServer(t, success))
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			head := "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: mine\r\nKey: key\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
			if _, err := io.WriteString(conn, change(head)); err != nil {
				t.Fatal(err)
			}
			u := &upload{Conn: conn, reader: bufio.NewReader(conn)}
			if status, _, closes := u.answer(t); status < 400 || status > 499 || !closes {
				t.Errorf("status %d, closes %v; want 4xx, and the connection closed", status, closes)
			}
			<-f.results
		})
	}
}
