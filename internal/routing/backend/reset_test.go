package backend_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/routing/backend"
)

// scriptedConn is a connection whose server answers while the request is written, and then
// resets it. The write takes the error of the socket, and the read sees a plain end.
type scriptedConn struct {
	net.Conn
	answer string
	// failWrites is set if writes fail once the answer was read; they succeed otherwise.
	failWrites bool

	// missing is the number of bytes of the request that are not written yet.
	missing atomic.Int64

	writeBegun, writeEnded, ended sync.Once
	begun, written, end           chan struct{}
}

// uploadBytes is the length of the body of a request.
const uploadBytes = 1 << 20

func newScriptedConn(answer string, failWrites bool) *scriptedConn {
	c := &scriptedConn{
		answer: answer, failWrites: failWrites, begun: make(chan struct{}), written: make(chan struct{}), end: make(chan struct{}),
	}
	c.missing.Store(uploadBytes)
	return c
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.begun
	if c.answer == "" {
		if !c.failWrites {
			<-c.written
		}
		return 0, io.EOF
	}
	n := copy(p, c.answer)
	c.answer = c.answer[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.writeBegun.Do(func() {
		close(c.begun)
		// The head comes first.
		c.missing.Add(int64(bytes.Index(p, []byte("\r\n\r\n")) + len("\r\n\r\n")))
	})
	if !c.failWrites {
		if c.missing.Add(int64(-len(p))) == 0 {
			c.writeEnded.Do(func() { close(c.written) })
		}
		return len(p), nil
	}
	<-c.end
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *scriptedConn) Close() error {
	c.ended.Do(func() { close(c.end) })
	return nil
}

// SetWriteDeadline ends a write that waits.
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return c.Close() }

func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }
func (c *scriptedConn) LocalAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr            { return &net.TCPAddr{} }

// TestResetDuringUploadIsNoEnd guards against a part of an answer without a length that was
// taken for all of it, since the connection was reset while the request was still written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const part = "a part of the answer"
	tests := []struct {
		name, head string
		failWrites bool
		whole      bool
	}{
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\n", true, false},
		{"HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\n", true, false},
		{"event stream, reset", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", true, false},
		{"a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", true, false},
		{"chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n", true, false},
		{"no length, written whole", "HTTP/1.1 200 OK\r\n\r\n", false, true},
		{"HTTP/1.0, written whole", "HTTP/1.0 200 OK\r\n\r\n", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn := newScriptedConn(tt.head+part, tt.failWrites)
			client := backend.NewClient(backend.Config{
				Clock: clockwork.NewFakeClock(), ConnectTimeout: time.Hour, IdleTimeout: time.Minute, MaxIdle: 4,
				Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			})
			response, err := client.Attempt(t.Context(), backend.Request{
				ID: "x", Address: "server", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Accept: acceptAll,
				Body: [][]byte{make([]byte, uploadBytes)},
			})
			if err != nil {
				if tt.whole {
					t.Fatal(err)
				}
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if whole := err == nil; whole != tt.whole {
				t.Errorf("body %q, error %v; want all of it: %v", body, err, tt.whole)
			}
		})
	}
}
