package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/routing/caller"
)

// echoed is what a handler has received of a request.
type echoed struct {
	Method, Target, Host, Body string
}

// recorder is a server behind a listener that records the requests that it has received
// whole, as an entry passes them on.
type recorder struct {
	*caller.Listener
	requests chan echoed
}

func newRecorder(t testing.TB) *recorder {
	t.Helper()
	l, err := caller.Listen(t.Context(), "127.0.0.1:0", caller.Config{Clock: clockwork.NewRealClock(), MaxConnections: 1000})
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{Listener: l, requests: make(chan echoed, 1000)}
	server := &http.Server{Handler: r, ConnContext: caller.WithConn, ConnState: l.Track}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Wait()
	})
	return r
}

// ServeHTTP implements http.Handler as the handler of callers does: a request is passed on
// once it has come whole.
func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	conn := caller.FromContext(request.Context())
	if conn.Malformed() != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	conn.BeginBody()
	body, err := io.ReadAll(request.Body)
	conn.EndBody()
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.requests <- echoed{request.Method, request.RequestURI, request.Host, string(body)}
}

// exchange sends bytes on a connection and returns the statuses of the answers, and the
// requests that were received.
func (r *recorder) exchange(t testing.TB, sent string) (statuses []int, received []echoed) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()

	// The listener may close the connection before it has read all.
	_, _ = io.WriteString(conn, sent)
	_ = conn.(*net.TCPConn).CloseWrite()
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	for r.Connections() > 0 {
		continue
	}
	for len(r.requests) > 0 {
		received = append(received, <-r.requests)
	}
	return statuses, received
}

const post = "POST /x HTTP/1.1\r\nHost: h\r\n"

// TestSmuggledRequestIsRefused guards against requests that the node and a server may read
// differently, so that a second one hides in the first. Each gets 400 and a closed
// connection, and nothing is passed on.
func TestSmuggledRequestIsRefused(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, text := range map[string]string{
		"length and coding":            post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"coding and length":            post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":                  post + "Content-Length: 0\r\nContent-Length: 33\r\n\r\n" + hidden,
		"two equal lengths":            post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"list of lengths":              post + "Content-Length: 1, 1\r\n\r\nx",
		"length with a plus":           post + "Content-Length: +1\r\n\r\nx",
		"length with a minus":          post + "Content-Length: -1\r\n\r\nx",
		"length in hexadecimal":        post + "Content-Length: 0x1\r\n\r\nx",
		"length that overflows":        post + "Content-Length: 18446744073709551617\r\n\r\nx",
		"empty length":                 post + "Content-Length:\r\n\r\n" + hidden,
		"two codings":                  post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other coding":                 post + "Transfer-Encoding: identity\r\n\r\n" + hidden,
		"coding after another":         post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"coding with a vertical tab":   post + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
		"coding in HTTP/1.0":           "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"blank before a colon":         post + "Content-Length : 1\r\n\r\nx",
		"blank before a coding":        post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"blank inside a name":          post + "X Note: a\r\n\r\n",
		"blank before a name":          post + " Content-Length: 1\r\n\r\nx",
		"folded line":                  post + "X-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n",
		"control byte in a name":       post + "X\x01Note: a\r\n\r\n",
		"NUL in a value":               post + "X-Note: a\x00b\r\n\r\n",
		"bare LF after a line":         post + "X-Note: a\n\r\n",
		"bare LF at the end":           post + "X-Note: a\r\n\n",
		"bare LF in a value":           post + "X-Note: a\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bare CR in a value":           post + "X-Note: a\rContent-Length: 1\r\n\r\nx",
		"no colon":                     post + "X-Note\r\n\r\n",
		"no name":                      post + ": a\r\n\r\n",
		"two hosts":                    post + "Host: other\r\n\r\n",
		"target of another host":       "GET http://other/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"blanks in the request line":   "GET  /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"blank in the target":          "GET /x y HTTP/1.1\r\nHost: h\r\n\r\n",
		"tab in the request line":      "GET\t/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"empty line before":            "\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"size of a chunk overflows":    post + "Transfer-Encoding: chunked\r\n\r\n10000000000000001\r\nx\r\n0\r\n\r\n",
		"size with a plus":             post + "Transfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n",
		"size with 0x":                 post + "Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n",
		"blank before a size":          post + "Transfer-Encoding: chunked\r\n\r\n 1\r\nx\r\n0\r\n\r\n",
		"no size":                      post + "Transfer-Encoding: chunked\r\n\r\n\r\nx\r\n0\r\n\r\n",
		"bare LF after a size":         post + "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
		"bare LF after a chunk":        post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\n0\r\n\r\n",
		"bare LF after the last chunk": post + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\n\r\n",
		"LF in an extension":           post + "Transfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx\r\n0\r\n\r\n",
		"chunk longer than its size":   post + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
		"blank in a name of a trailer": post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Note: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			statuses, received := newRecorder(t).exchange(t, text)
			if diff := cmp.Diff([]int{http.StatusBadRequest}, statuses); diff != "" || len(received) != 0 {
				t.Errorf("answers %v, requests passed on %+v; want one with status 400, and none", statuses, received)
			}
		})
	}
}

// TestSoundRequestsPass guards against refusing what RFC 9112 allows.
func TestSoundRequestsPass(t *testing.T) {
	get := echoed{"GET", "/x", "h", ""}
	for name, tt := range map[string]struct {
		text string
		want []echoed
	}{
		"none":            {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", []echoed{get}},
		"behind another":  {strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 3), []echoed{get, get, get}},
		"length":          {post + "Content-Length: 3\r\n\r\nabcGET /x HTTP/1.1\r\nHost: h\r\n\r\n", []echoed{{"POST", "/x", "h", "abc"}, get}},
		"chunks":          {post + "Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA;e=\"v\"\r\n0123456789\r\n0\r\nNote: t\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n", []echoed{{"POST", "/x", "h", "abc0123456789"}, get}},
		"blanks":          {"GET /x HTTP/1.1\r\nHost: \t h \t\r\nEmpty:\r\nNote: \xe4\t b\r\n\r\n", []echoed{get}},
		"absolute target": {"GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n", []echoed{{"GET", "http://h/x", "h", ""}}},
		"URL in a query":  {"GET /x?u=http://other/ HTTP/1.1\r\nHost: h\r\n\r\n", []echoed{{"GET", "/x?u=http://other/", "h", ""}}},
		"HTTP/1.0":        {"POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 1\r\n\r\na", []echoed{{"POST", "/x", "h", "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			statuses, received := newRecorder(t).exchange(t, tt.text)
			if diff := cmp.Diff(tt.want, received); diff != "" || len(statuses) != len(tt.want) {
				t.Errorf("answers %v, requests (-want +got):\n%s", statuses, diff)
			}
		})
	}
}

// TestMalformedBehindRequestDoesNotEndIt guards against ending a request under way because of
// what its caller has sent behind it.
func TestMalformedBehindRequestDoesNotEndIt(t *testing.T) {
	f := newFixture(t, 10, 1<<20)
	conn := f.dial(t)
	send(t, conn, held)
	f.awaitHandled(t)
	send(t, conn, "GET /x y HTTP/1.1\r\n\r\n")
	close(f.held)
	if !answered(conn) {
		t.Error("no answer to the request before the malformed one")
	}
}

// Grammar of requests, written without regard to the scanner.
var (
	referenceRequestLine = regexp.MustCompile(`^([!-~]+) ([!-~]+) HTTP/1\.[01]$`)
	referenceField       = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)$")
	referenceSize        = regexp.MustCompile(`^([0-9A-Fa-f]{1,8})[ \t]*(;.*)?$`)
)

// errReference reports a text that is no request by the grammar.
var errReference = errors.New("not a request")

// cutReference returns the body of the first request of a text and what follows it.
func cutReference(text string) (target, body, rest string, err error) {
	head, rest, ok := strings.Cut(text, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	line := referenceRequestLine.FindStringSubmatch(lines[0])
	if !ok || line == nil {
		return "", "", "", errReference
	}
	length, chunked := -1, false
	for _, l := range lines[1:] {
		field := referenceField.FindStringSubmatch(l)
		if field == nil {
			return "", "", "", errReference
		}
		value := strings.Trim(field[2], " \t")
		switch strings.ToLower(field[1]) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || length >= 0 || n < 0 || strconv.Itoa(n) != strings.TrimLeft(value, "0") && n > 0 {
				return "", "", "", errReference
			}
			length = n
		case "transfer-encoding":
			if chunked || !strings.EqualFold(value, "chunked") {
				return "", "", "", errReference
			}
			chunked = true
		}
	}
	if chunked && length >= 0 {
		return "", "", "", errReference
	}
	if !chunked {
		if length = max(length, 0); length > len(rest) {
			return "", "", "", errReference
		}
		return line[2], rest[:length], rest[length:], nil
	}
	body, rest, err = cutReferenceChunks(rest)
	return line[2], body, rest, err
}

func cutReferenceChunks(text string) (body, rest string, err error) {
	for {
		line, after, ok := strings.Cut(text, "\r\n")
		size := referenceSize.FindStringSubmatch(line)
		if !ok || size == nil {
			return "", "", errReference
		}
		n, err := strconv.ParseUint(size[1], 16, 32)
		if err != nil {
			return "", "", errReference
		}
		if n == 0 {
			for {
				line, after, ok = strings.Cut(after, "\r\n")
				if !ok || line != "" && referenceField.FindString(line) == "" {
					return "", "", errReference
				}
				if line == "" {
					return body, after, nil
				}
			}
		}
		if uint64(len(after)) < n+2 || after[n:n+2] != "\r\n" {
			return "", "", errReference
		}
		body, text = body+after[:n], after[n+2:]
	}
}

// FuzzRequests checks that what is passed on is what the caller has sent, one request after
// another, or nothing.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		post + "Content-Length: 3\r\n\r\nabc" + post + "\r\n", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + post + "\r\n",
		post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", post + "Content-Length : 3\r\n\r\nabc", post + "X: a\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n", "GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add(text)
	}
	r := newRecorder(f)
	f.Fuzz(func(t *testing.T, text string) {
		_, received := r.exchange(t, text)
		rest := text
		for i, got := range received {
			target, body, after, err := cutReference(rest)
			if err != nil || got.Target != target || got.Body != body {
				t.Fatalf("%q: request %d passed on as %+v, want target %q, body %q, %v", text, i, got, target, body, fmt.Sprint(err))
			}
			rest = after
		}
	})
}
