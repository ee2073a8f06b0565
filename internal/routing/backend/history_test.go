package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"almondbay.example/internal/routing/backend"
	"almondbay.example/serving/bounded/boundedtest"
)

// connKey is the key of the number of a connection in the contexts of its requests.
type connKey struct{}

// rejectingServer rejects all requests and records which IDs came on which connection.
func rejectingServer(t *testing.T) (s *httptest.Server, repeated func() []string) {
	t.Helper()
	var mu sync.Mutex
	seen := map[string]bool{}
	var again []string
	s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()

		key := fmt.Sprint(r.Context().Value(connKey{}), " ", r.Header.Get("Id"))
		if seen[key] {
			again = append(again, key)
		}
		seen[key] = true
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	// Addresses of callers come again.
	var connections atomic.Int64
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connections.Add(1))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, func() []string {
		mu.Lock()
		defer mu.Unlock()

		return again
	}
}

// rejectAll takes each response for a rejection of the request.
func rejectAll(int, http.Header) (rejected bool, err error) { return true, nil }

// sendRejected sends a request with an ID that the server rejects, and returns the
// connection.
func sendRejected(t *testing.T, client *backend.Client, method, address, id, body string) backend.Send {
	t.Helper()
	var send backend.Send
	response, err := client.Attempt(context.Background(), backend.Request{
		ID: id, Address: address, Method: method, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte(body)},
		Accept: rejectAll, OnSend: func(s backend.Send) { send = s },
	})
	if err != nil {
		t.Error(err)
		return send
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	return send
}

// TestRejectedIDIsNotSentAgainOnConnection guards against a copy of a rejection that passes
// for the answer to a repeat of the request: an ID was sent on a connection on which the
// server had rejected it, also if many rejections or none but it came in between.
func TestRejectedIDIsNotSentAgainOnConnection(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"body", ""} {
			for _, others := range []int{0, 1, 63, 64, 200} {
				t.Run(fmt.Sprintf("%s, body %q, %d others", method, body, others), func(t *testing.T) {
					s, repeated := rejectingServer(t)
					client := newClient(&boundedtest.Dialer{})
					address := s.Listener.Addr().String()
					for range 3 {
						sendRejected(t, client, method, address, "x", body)
						for i := range others {
							sendRejected(t, client, method, address, fmt.Sprint("other ", i), body)
						}
					}
					if got := repeated(); len(got) > 0 {
						t.Errorf("connections and IDs that were sent again: %q", got)
					}
				})
			}
		}
	}
}

// TestRepeatsAtOnceUseOtherConnections guards against an ID that comes on a connection again
// while the rejection of an earlier one with it was not noted yet.
func TestRepeatsAtOnceUseOtherConnections(t *testing.T) {
	s, repeated := rejectingServer(t)
	client := newClient(&boundedtest.Dialer{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 50 {
				sendRejected(t, client, http.MethodPost, s.Listener.Addr().String(), "x", "body")
			}
		})
	}
	group.Wait()
	if got := repeated(); len(got) > 0 {
		t.Errorf("%d times an ID was sent again on a connection, first: %q", len(got), got[0])
	}
}

// TestClosedConnectionFailsNoRequest guards against a sound server that counts as failed,
// and a request that is tried elsewhere: the connection that the request was to be sent on
// was closed before, because of what had come on it.
func TestClosedConnectionFailsNoRequest(t *testing.T) {
	s, _ := rejectingServer(t)
	client := newClient(&boundedtest.Dialer{})
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 400 {
				sendRejected(t, client, http.MethodPost, s.Listener.Addr().String(), fmt.Sprint(i, " ", j), "body")
			}
		})
	}
	group.Wait()
}

// TestRejectionsKeepConnection guards against a new connection for each rejection: a crest
// brings many, and connections are costly for servers.
func TestRejectionsKeepConnection(t *testing.T) {
	s, _ := rejectingServer(t)
	var d boundedtest.Dialer
	client := newClient(&d)
	for i := range 50 {
		send := sendRejected(t, client, http.MethodPost, s.Listener.Addr().String(), fmt.Sprint(i), "body")
		if want := (backend.Send{Connection: 1, Requests: i, Rejections: i}); send != want {
			t.Errorf("request %d was sent on %+v, want %+v", i, send, want)
		}
	}
	if n := d.Dials(); n != 1 {
		t.Errorf("%d connections for 50 rejected requests, want 1", n)
	}
	sendRejected(t, client, http.MethodPost, s.Listener.Addr().String(), "7", "body")
	if n := d.Dials(); n != 2 {
		t.Errorf("%d connections after a repeat, want 2", n)
	}
}
