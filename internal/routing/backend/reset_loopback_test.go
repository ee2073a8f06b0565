package backend_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/routing/backend"
)

// resettingServer answers each upload at once without a length, sends a part of the body and
// resets the connection after some more of the upload has come. It returns its address.
func resettingServer(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		if _, err := conn.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), make([]byte, 3000)...)); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r, rand.Int64N(longUpload))
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				serve(conn)
				return nil
			})
		}
	})
	return l.Addr().String()
}

// longUpload is the length of an upload, more than the buffers of a connection hold.
const longUpload = 3 << 20

// TestResetUploadsOverLoopback guards against the same on real sockets, where it comes by
// chance.
func TestResetUploadsOverLoopback(t *testing.T) {
	address := resettingServer(t)
	client := backend.NewClient(backend.Config{
		Clock: clockwork.NewRealClock(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4, Dial: (&net.Dialer{}).DialContext,
	})
	upload := [][]byte{make([]byte, longUpload)}
	const uploads, atOnce = 2000, 8
	var whole, ended atomic.Int64
	var g errgroup.Group
	g.SetLimit(atOnce)
	for range uploads {
		g.Go(func() error {
			response, err := client.Attempt(t.Context(), backend.Request{
				ID: "x", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Accept: acceptAll, Body: upload,
			})
			ended.Add(1)
			if err != nil {
				return nil
			}
			defer func() { _ = response.Body.Close() }()
			if _, err := io.Copy(io.Discard, response.Body); err == nil {
				whole.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	if n := whole.Load(); n != 0 {
		t.Errorf("%d of %d answers that were reset passed for whole", n, ended.Load())
	}
}
