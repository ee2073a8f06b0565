package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/platform"
)

// Client calls other nodes.
type Client struct {
	http *http.Client
	port string
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Port is the peer port, which is the same on all nodes.
	Port int
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client that keeps connections to peers open.
func NewClient(c ClientConfig) *Client {
	return &Client{
		port: strconv.Itoa(c.Port),
		http: &http.Client{
			Transport: bounded.NewTransport(&http.Transport{
				DialContext:         c.Dial,
				MaxIdleConnsPerHost: maxIdlePerPeer,
				DisableCompression:  true,
			}),
			CheckRedirect: bounded.RefuseRedirects,
		},
	}
}

// maxIdlePerPeer allows one connection for each followed table.
const maxIdlePerPeer = 4

// Bounds of the body of a response, in bytes.
const (
	// maxFeedBytes bounds the rows of a table.
	maxFeedBytes = 8 << 20
	// maxProbeBytes bounds the result of a probe.
	maxProbeBytes = 16 << 10
)

// Snapshot reads a whole table from a node, which waits up to the given time if it
// has not read the table yet.
func (c *Client) Snapshot(ctx context.Context, address, table string, wait time.Duration) (Reading, error) {
	return c.feed(ctx, address, url.Values{
		"table":  {table},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	})
}

// Changes reads the rows that changed after a position in the log of a node, which
// waits up to the given time for a change.
func (c *Client) Changes(ctx context.Context, address, table string, after Position, wait time.Duration) (Reading, error) {
	return c.feed(ctx, address, url.Values{
		"table":  {table},
		"log":    {after.Log},
		"after":  {strconv.FormatUint(after.Index, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	})
}

// Reading is what was read of a table at another node.
type Reading struct {
	platform.Changes
	// Position is where to continue at that node.
	Position Position
	// Age is the time since that node's data was read from the store.
	Age time.Duration
}

// errForeignPosition means that a node doesn't have the changes after a position.
var errForeignPosition = errs.New("changes after the position aren't known")

// feed calls the feed of a node and maps status 410 to errForeignPosition.
func (c *Client) feed(ctx context.Context, address string, query url.Values) (Reading, error) {
	var w feedWire
	status, err := c.call(ctx, call{
		method: http.MethodGet, address: address, path: pathFeed + "?" + query.Encode(), maxBytes: maxFeedBytes,
	}, &w)
	switch {
	case err != nil:
		return Reading{}, err
	case status == http.StatusGone:
		return Reading{}, errForeignPosition
	case status != http.StatusOK:
		return Reading{}, Error.New("read table from node %s: status %d", address, status)
	}
	return w.reading(), nil
}

// ProbeServer makes a node query the state of a backend server.
func (c *Client) ProbeServer(ctx context.Context, address string, s registry.Server) (ProbeReply, error) {
	body, err := json.Marshal(fromProbedServer(s))
	if err != nil {
		return ProbeReply{}, Error.Wrap(err)
	}
	var w probeResultWire
	status, err := c.call(ctx, call{
		method: http.MethodPost, address: address, path: pathProbe, body: body, maxBytes: maxProbeBytes,
	}, &w)
	if err != nil {
		return ProbeReply{}, err
	}
	if status != http.StatusOK {
		return ProbeReply{}, Error.New("probe from node %s: status %d", address, status)
	}
	return w.reply(), nil
}

// call is one request to a node.
type call struct {
	method, address, path string
	body                  []byte
	// maxBytes bounds the body of the response.
	maxBytes int64
	// last is set if the connection isn't needed any more.
	last bool
}

// call sends a request to a node and decodes the body of a response with status
// 200 into out. It doesn't read the body of another status.
func (c *Client) call(ctx context.Context, q call, out any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+net.JoinHostPort(q.address, c.port)+q.path, bytes.NewReader(q.body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	request.Close = q.last
	if q.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	body, err := bounded.ReadBody(response, q.maxBytes)
	if err != nil {
		return response.StatusCode, Error.Wrap(err)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return response.StatusCode, Error.New("decode response of node %s: %w", q.address, err)
	}
	return response.StatusCode, nil
}
