package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// small is a VM on which a small crowd shows what a large one does on a usual one.
var small = limits{memoryMB: 96, maxFDs: 1600}

// crowdSize is the number of clients of a crowd.
const crowdSize = 400

// stillTime is how long a client that can't send any more is taken to stand still. Clients
// stay open until the test ends.
const stillTime = 2 * time.Second

// client is a client of a crowd.
type client struct {
	net.Conn
	number int
}

// head returns the head of a request, with more header lines.
func (c *client) head(path string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: crowd.example\r\nAttempt-Id: crowd%d\r\nX-Api-Key: %s\r\n%s\r\n",
		path, c.number, apiKey, strings.Join(append(lines, ""), "\r\n"))
}

// send sends text until all is sent, the connection is closed or the client stands still.
func (c *client) send(text []byte) {
	for len(text) > 0 {
		part := text[:min(len(text), 32<<10)]
		// An error shows at the write.
		_ = c.SetWriteDeadline(time.Now().Add(stillTime))
		n, err := c.Write(part)
		text = text[n:]
		if err != nil {
			return
		}
	}
}

// chunked returns a body in chunks, without the last one.
func chunked(chunk, total int) []byte {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("x"), chunk))
	return bytes.Repeat(one, total/chunk)
}

const (
	withChunks = "Transfer-Encoding: chunked"
	// tinyBody is the length of bodies in chunks of one byte.
	tinyBody = 128 << 10
)

// withLength returns the header of a body of n bytes.
func withLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

// largeBody is a body of the greatest size, short of its last byte.
var largeBody = bytes.Repeat([]byte("x"), maxBodyBytes-1)

// tinyChunks and largeChunks are bodies in chunks short of their end, bodyBeyond one that is
// far over the limit.
var (
	tinyChunks  = chunked(1, tinyBody)
	largeChunks = chunked(64<<10, maxBodyBytes-(64<<10))
	bodyBeyond  = chunked(64<<10, 4*maxBodyBytes)
	unendedHead = []byte(strings.Repeat("Filler: "+strings.Repeat("f", 1000)+"\r\n", 1000))
)

// pieces sends a body in pieces, so that all clients are under way at the same time.
func pieces(c *client, body []byte) {
	const piece = 16 << 10
	for len(body) > 0 {
		n := min(len(body), piece)
		c.send(body[:n])
		body = body[n:]
	}
}

// crowds lists what clients do that ignore the limits. Each client sits on its connection
// afterwards.
var crowds = []struct {
	name string
	port string
	act  func(c *client)
}{
	{"whole bodies short of their end", portCallers, func(c *client) {
		c.send(append([]byte(c.head(pathSafe, withLength(maxBodyBytes))), largeBody...))
	}},
	{"bodies in pieces short of their end", portCallers, func(c *client) {
		c.send([]byte(c.head(pathSafe, withLength(maxBodyBytes))))
		pieces(c, largeBody)
	}},
	{"bodies in large chunks short of their end", portCallers, func(c *client) {
		c.send([]byte(c.head(pathSafe, withChunks)))
		pieces(c, largeChunks)
	}},
	{"bodies in chunks of one byte short of their end", portCallers, func(c *client) {
		c.send(append([]byte(c.head(pathSafe, withChunks)), tinyChunks...))
	}},
	{"bodies without a deadline on a route without one", portCallers, func(c *client) {
		c.send(append([]byte(c.head(pathUntimed, withChunks)), tinyChunks...))
	}},
	{"bodies of which nothing comes", portCallers, func(c *client) {
		c.send([]byte(c.head(pathUntimed, withLength(maxBodyBytes))))
	}},
	{"bodies of a small size of which little comes", portCallers, func(c *client) {
		c.send([]byte(c.head(pathUntimed, withLength(16<<10)) + "x"))
	}},
	{"bodies over the limit, announced", portCallers, func(c *client) {
		c.send(append([]byte(c.head(pathSafe, withLength(100*maxBodyBytes))), largeBody...))
		c.send(largeBody)
	}},
	{"bodies over the limit, sent", portCallers, func(c *client) {
		c.send([]byte(c.head(pathSafe, withChunks)))
		c.send(bodyBeyond)
	}},
	{"bodies without a key", portCallers, func(c *client) {
		head := strings.ReplaceAll(c.head(pathSafe, withLength(maxBodyBytes)), apiKey, "other")
		c.send(append([]byte(head), largeBody...))
	}},
	{"bodies for an unknown route", portCallers, func(c *client) {
		c.send(append([]byte(c.head("/unknown", withChunks)), tinyChunks...))
	}},
	{"heads without end", portCallers, func(c *client) {
		c.send([]byte("POST / HTTP/1.1\r\nHost: crowd.example\r\n"))
		c.send(unendedHead)
	}},
	{"heads short of their end", portCallers, func(c *client) {
		c.send([]byte("POST / HTTP/1.1\r\nHost: crowd.example\r\n"))
		c.send(unendedHead[:60<<10])
	}},
	{"heads of one line without end", portCallers, func(c *client) {
		c.send([]byte("POST / HTTP/1.1\r\nFiller: "))
		c.send(largeBody)
	}},
	{"chunk extensions without end", portCallers, func(c *client) {
		c.send([]byte(c.head(pathSafe, withChunks) + "1;"))
		c.send(largeBody)
	}},
	{"trailers without end", portCallers, func(c *client) {
		c.send([]byte(c.head(pathSafe, withChunks) + "1\r\nx\r\n0\r\n"))
		c.send(unendedHead)
	}},
	{"requests whose answers are not read", portCallers, func(c *client) {
		c.send(bytes.Repeat([]byte(c.head(pathSafe, withLength(0))), 20_000))
	}},
	{"large answers that are not read", portCallers, func(c *client) {
		c.send([]byte(c.head(pathBig, withLength(0))))
	}},
	{"streams that are not read", portCallers, func(c *client) {
		c.send([]byte(c.head(pathStream, withLength(0))))
	}},
	{"idle connections", portCallers, func(*client) {}},
	{"readiness: bodies", portReadiness, func(c *client) {
		c.send(append([]byte(c.head("/-/readyz", withChunks)), tinyChunks...))
	}},
	{"readiness: heads without end", portReadiness, func(c *client) {
		c.send([]byte("GET /-/readyz HTTP/1.1\r\nHost: h\r\n"))
		c.send(unendedHead)
	}},
	{"readiness: idle connections", portReadiness, func(*client) {}},
	{"metrics: requests whose answers are not read", strconv.Itoa(portMetrics), func(c *client) {
		c.send(bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 1000))
	}},
	{"metrics: heads without end", strconv.Itoa(portMetrics), func(c *client) {
		c.send([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n"))
		c.send(unendedHead)
	}},
	{"peers: bodies", strconv.Itoa(portPeers), func(c *client) {
		c.send(append([]byte(c.head("/", withLength(maxBodyBytes))), largeBody...))
	}},
	{"peers: heads without end", strconv.Itoa(portPeers), func(c *client) {
		c.send([]byte("GET / HTTP/1.1\r\nHost: h\r\n"))
		c.send(unendedHead)
	}},
}

// gather has clients do something, all at the same time, and returns once each has done it
// or stands still. Their connections stay open until the test ends.
func gather(t *testing.T, size int, port string, act func(c *client)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	var g errgroup.Group
	var opened atomic.Int64
	for i := range size {
		g.Go(func() error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", net.JoinHostPort(nodeIP, port))
			if err != nil {
				// Refused, as a node may do.
				return nil
			}
			t.Cleanup(func() { _ = conn.Close() })
			opened.Add(1)
			act(&client{Conn: conn, number: i})
			return nil
		})
	}
	_ = g.Wait()
	t.Logf("%d of %d clients connected", opened.Load(), size)
}

// TestCrowd guards against crowds of clients that hold more than a node has: it ran out of
// memory or descriptors.
func TestCrowd(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			n := startNode(t, small)
			gather(t, crowdSize, crowd.port, crowd.act)
			n.check(t)
		})
	}
}

// TestCrowdOnSmallerVM guards against shares of the memory that do not shrink with it.
func TestCrowdOnSmallerVM(t *testing.T) {
	smaller := limits{memoryMB: 64, maxFDs: 1600}
	for _, crowd := range crowds {
		if crowd.port != portCallers || !strings.HasPrefix(crowd.name, "bodies") {
			continue
		}
		t.Run(crowd.name, func(t *testing.T) {
			n := startNode(t, smaller)
			gather(t, crowdSize, crowd.port, crowd.act)
			n.check(t)
		})
	}
}

// TestCrowdOfUsualVM guards against bounds for each connection that are not bounds for all.
func TestCrowdOfUsualVM(t *testing.T) {
	usual := limits{memoryMB: 206, maxFDs: 2870}
	const size = 2400
	for _, crowd := range crowds {
		switch crowd.name {
		case "bodies in chunks of one byte short of their end", "requests whose answers are not read", "heads short of their end":
			t.Run(crowd.name, func(t *testing.T) {
				n := startNode(t, usual)
				gather(t, size, crowd.port, crowd.act)
				n.check(t)
			})
		}
	}
}

// TestMixedCrowd guards against several crowds at a time, whose bounds hold each by itself
// but not together.
func TestMixedCrowd(t *testing.T) {
	n := startNode(t, small)
	var g errgroup.Group
	for _, crowd := range crowds {
		g.Go(func() error {
			gather(t, crowdSize/10, crowd.port, crowd.act)
			return nil
		})
	}
	_ = g.Wait()
	n.check(t)
}

// TestCrowdBeyondDescriptors guards against clients that open more connections than the node
// has descriptors: none were left for servers, the store and other nodes.
func TestCrowdBeyondDescriptors(t *testing.T) {
	few := limits{memoryMB: 206, maxFDs: 700}
	for _, port := range []string{portCallers, portReadiness, strconv.Itoa(portMetrics), strconv.Itoa(portPeers)} {
		t.Run(port, func(t *testing.T) {
			n := startNode(t, few)
			gather(t, 2*few.maxFDs, port, func(c *client) {
				if c.number%2 == 0 {
					c.send([]byte("POST "))
				}
			})
			n.check(t)
		})
	}
}

// TestCrowdSparesRequestsUnderWay guards against making room for new connections by closing
// those whose requests were passed on to a server.
func TestCrowdSparesRequestsUnderWay(t *testing.T) {
	few := limits{memoryMB: 206, maxFDs: 700}
	n := startNode(t, few)
	held := make(chan struct{})
	n.server.held.Store(&held)
	const underWay = 20
	var g errgroup.Group
	for i := range underWay {
		g.Go(func() error { return n.ordinaryRequest(t.Context(), fmt.Sprintf("early%d", i)) })
	}
	n.await(t, "all requests are at the server", func() bool { return n.server.arrived.Load() >= underWay })
	gather(t, 2*few.maxFDs, portCallers, func(*client) {})
	n.server.held.Store(nil)
	close(held)
	if err := g.Wait(); err != nil {
		t.Errorf("request that was under way before the crowd came: %v", err)
	}
	n.check(t)
}

// TestSoundUploadIsServed guards against bounds that a single caller inside the limits meets.
func TestSoundUploadIsServed(t *testing.T) {
	n := startNode(t, small)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", net.JoinHostPort(nodeIP, portCallers))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c := &client{Conn: conn}
	for range 3 {
		if _, err := io.WriteString(c, c.head(pathSafe, withLength(maxBodyBytes))); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(append(bytes.Clone(largeBody), 'x')); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "HTTP/1.1 200 OK" {
			t.Fatalf("answer %q, error %v; want status 200", answer, err)
		}
		if err := skipAnswer(c); err != nil {
			t.Fatal(err)
		}
	}
	n.check(t)
}

// skipAnswer reads the rest of an answer to the client 0.
func skipAnswer(r io.Reader) error {
	const end = "answer to crowd0"
	var read []byte
	one := make([]byte, 1)
	for !bytes.HasSuffix(read, []byte(end)) {
		if _, err := r.Read(one); err != nil {
			return err
		}
		read = append(read, one[0])
	}
	return nil
}
