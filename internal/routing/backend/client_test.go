package backend_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/routing/backend"
	"almondbay.example/serving/bounded/boundedtest"
)

func newClient(d *boundedtest.Dialer) *backend.Client {
	return backend.NewClient(backend.Config{
		Clock: clockwork.NewFakeClock(), ConnectTimeout: time.Hour, IdleTimeout: time.Minute, MaxIdle: 4, Dial: d.Dial,
	})
}

func newRequest(s *boundedtest.Server, id string) backend.Request {
	return backend.Request{
		Address: s.Address, Method: http.MethodPost, Target: "/x", Host: "h",
		Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("body")}, Accept: acceptAll,
	}
}

// acceptAll takes each response for that of the request.
func acceptAll(int, http.Header) (rejected bool, err error) { return false, nil }

// TestHeadWithoutEnd guards against responses whose head never ends: 10 MB of
// each were read and held in memory.
func TestHeadWithoutEnd(t *testing.T) {
	tests := []struct {
		name, begin, repeat string
		// want is said by the error; empty for that of a head that is too large.
		want string
	}{
		{name: "status line", begin: "", repeat: "x"},
		{name: "status line after the protocol", begin: "HTTP/1.1 200 ", repeat: "x"},
		{name: "header line", begin: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
		{name: "name of a header line", begin: "HTTP/1.1 200 OK\r\nA", repeat: "x"},
		{name: "folded header line", begin: "HTTP/1.1 200 OK\r\nA: b\r\n", repeat: " x\r\n", want: "malformed head"},
		{name: "header lines", begin: "HTTP/1.1 200 OK\r\n", repeat: "A: b\r\n"},
		{name: "early hints", begin: "", repeat: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{name: "invitations to continue", begin: "", repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := boundedtest.NewServer(t, boundedtest.Case{Start: tt.begin, Repeat: tt.repeat})
			var d boundedtest.Dialer
			response, err := newClient(&d).Attempt(context.Background(), newRequest(s, "1"))
			if err == nil {
				_ = response.Body.Close()
			}
			var sent *backend.SentError
			if want := cmp.Or(tt.want, fmt.Sprintf("headers exceeded %d bytes", backend.MaxHeadBytes)); !errors.As(err, &sent) || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want a SentError that says %q", err, want)
			}
			s.RequireClosed(t)
			if n := d.Received(); n > backend.MaxHeadBytes {
				t.Errorf("%d bytes read, want at most %d", n, backend.MaxHeadBytes)
			}
		})
	}
}

// TestIncompleteHeadEndsWithRequest guards against a head that stops in the
// middle and holds the request, and its connection, beyond the deadline.
func TestIncompleteHeadEndsWithRequest(t *testing.T) {
	s := boundedtest.NewServer(t, boundedtest.Case{Start: "HTTP/1.1 200 OK\r\nA: "})
	ctx, cancel := context.WithCancelCause(context.Background())
	deadline := errors.New("deadline of the test")
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		<-s.Started()
		cancel(deadline)
	})
	var d boundedtest.Dialer
	response, err := newClient(&d).Attempt(ctx, newRequest(s, "1"))
	if err == nil {
		_ = response.Body.Close()
	}
	var sent *backend.SentError
	if !errors.As(err, &sent) || !errors.Is(err, deadline) {
		t.Errorf("error %v, want a SentError with the cause %v", err, deadline)
	}
	s.RequireClosed(t)
}

// TestSwitchedProtocolIsRejected guards against requests that a backend server
// holds without end: the body of a response with status 101 is the connection,
// which the end of the request does not close.
func TestSwitchedProtocolIsRejected(t *testing.T) {
	for _, repeat := range []string{"", "x"} {
		t.Run(fmt.Sprintf("repeat %q", repeat), func(t *testing.T) {
			s := boundedtest.NewServer(t, boundedtest.Case{
				Start: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", Repeat: repeat,
			})
			var d boundedtest.Dialer
			response, err := newClient(&d).Attempt(context.Background(), newRequest(s, "1"))
			if err == nil {
				_ = response.Body.Close()
			}
			var sent *backend.SentError
			if !errors.As(err, &sent) {
				t.Errorf("error %v, want a SentError", err)
			}
			s.RequireClosed(t)
		})
	}
}

// TestBytesAfterResponseReachNoOtherRequest guards against a response that is
// taken for that of the next request on the connection, and against requests that
// the transport sends again by itself.
func TestBytesAfterResponseReachNoOtherRequest(t *testing.T) {
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: " + boundedtest.IDMark + "\r\nContent-Length: 4\r\n\r\ngood",
		"chunked": "HTTP/1.1 200 OK\r\nId: " + boundedtest.IDMark + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nId: " + boundedtest.IDMark + "\r\n\r\n",
	}
	const forged = "HTTP/1.1 200 OK\r\nId: forged\r\nContent-Length: 1\r\n\r\nx"
	for name, head := range heads {
		t.Run(name, func(t *testing.T) { checkResponses(t, boundedtest.Case{Start: head, Repeat: "x"}) })
		t.Run(name+", forged response", func(t *testing.T) { checkResponses(t, boundedtest.Case{Start: head, Repeat: forged}) })
	}
}

// checkResponses checks that each of many requests gets its own response or was
// not sent, and that no request is sent twice.
func checkResponses(t *testing.T, config boundedtest.Case) {
	t.Helper()
	const attempts = 100
	s := boundedtest.NewServer(t, config)
	var d boundedtest.Dialer
	client := newClient(&d)
	answered := 0
	for i := range attempts {
		id := fmt.Sprint(i)
		response, err := client.Attempt(context.Background(), newRequest(s, id))
		var notSent *backend.NotSentError
		switch {
		case errors.As(err, &notSent) && strings.Contains(err.Error(), "bytes that no request asked for"):
			continue
		case err != nil:
			t.Errorf("request %s: error %v, want a response or a NotSentError that says why", id, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.Header.Get("Id") != id || strings.Contains(string(body), "x") {
			t.Errorf("request %s got the response of %q, body %q, error %v", id, response.Header.Get("Id"), body, err)
		}
		_ = response.Body.Close()
		answered++
	}
	if answered == 0 {
		t.Error("no request was answered")
	}
	ids := s.IDs()
	for range ids {
		s.RequireClosed(t)
	}
	slices.Sort(ids)
	if once := slices.Compact(slices.Clone(ids)); len(once) != len(ids) {
		t.Errorf("requests received %v, want each at most once", ids)
	}
}

// TestAnswerBeforeBodyIsToldApart guards against an answer that counts as one to a request
// whose body the server can't have read.
func TestAnswerBeforeBodyIsToldApart(t *testing.T) {
	const unsentBytes = 64 << 20 // exceeds all buffers of a loopback connection
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Early") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer s.Close()
	defer close(release)
	for name, early := range map[string]bool{"after the body": false, "before it": true} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{"Id": {name}}
			body := []byte("body")
			if early {
				header.Set("Early", "1")
				body = make([]byte, unsentBytes)
			}
			var d boundedtest.Dialer
			response, err := newClient(&d).Attempt(t.Context(), backend.Request{
				ID: name, Address: s.Listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: header, Body: [][]byte{body},
				Accept: func(int, http.Header) (bool, error) { return false, nil },
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := backend.AnsweredEarly(response); got != early {
				t.Errorf("answered early: %v, want %v", got, early)
			}
			_ = response.Body.Close()
		})
	}
}

// TestConnectionIsReused guards against a connection for each request, or requests
// that wait, where backend servers send nothing but their responses.
func TestConnectionIsReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") != "0" {
			_, _ = io.WriteString(w, "good")
		}
	}))
	defer s.Close()
	var d boundedtest.Dialer
	client := newClient(&d)
	for i := range 100 {
		response, err := client.Attempt(context.Background(), backend.Request{
			Address: s.Listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h",
			Header: http.Header{"Id": {fmt.Sprint(i % 2)}}, Body: [][]byte{[]byte("body")}, Accept: acceptAll,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Error(err)
		}
		_ = response.Body.Close()
	}
	if n := d.Dials(); n != 1 {
		t.Errorf("%d connections for 100 requests in sequence, want 1", n)
	}
}

// TestConnectionWithForeignResponseIsNotUsedAgain guards against a request that gets the
// response that was due to the one before it on the connection: the response of another
// request came first, without a body, so that the transport offers the connection at once.
func TestConnectionWithForeignResponseIsNotUsedAgain(t *testing.T) {
	var reused atomic.Int64
	var connections sync.Map
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, again := connections.LoadOrStore(r.RemoteAddr, true); again {
			reused.Add(1)
		}
		w.Header().Set("Id", "another")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	var d boundedtest.Dialer
	client := newClient(&d)
	foreign := errors.New("response of another request")
	request := backend.Request{
		Address: s.Listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("body")},
		Accept: func(int, http.Header) (bool, error) { return false, foreign },
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 25 {
				response, err := client.Attempt(context.Background(), request)
				if err == nil {
					_ = response.Body.Close()
				}
				var sent *backend.SentError
				var notSent *backend.NotSentError
				switch {
				case errors.As(err, &notSent):
					// It was offered a connection that was spoiled by then.
				case !errors.As(err, &sent) || !errors.Is(err, foreign):
					t.Errorf("error %v, want a SentError that wraps the one of Accept", err)
				}
			}
		})
	}
	group.Wait()
	if n := reused.Load(); n > 0 {
		t.Errorf("%d requests were sent on a connection that had the response of another request", n)
	}
}
