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

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/platform"
)

// Client calls other nodes.
type Client struct {
	http *http.Client
	port string
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Port is the port on which all nodes answer each other.
	Port int
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{
		port: strconv.Itoa(c.Port),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			DisableCompression:  true,
		}},
	}
}

// maxIdlePerPeer is one connection for each table that is followed.
const maxIdlePerPeer = 4

// Snapshot returns a whole table as a node knows it.
func (c *Client) Snapshot(ctx context.Context, address, table string) (platform.Changes, time.Duration, error) {
	return c.feed(ctx, address, url.Values{"table": {table}}, 0)
}

// Changes returns the rows that changed after a version, as a node knows them.
func (c *Client) Changes(ctx context.Context, address, table string, after uint64, wait time.Duration) (platform.Changes, time.Duration, error) {
	return c.feed(ctx, address, url.Values{
		"table":  {table},
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, after)
}

func (c *Client) feed(ctx context.Context, address string, query url.Values, after uint64) (platform.Changes, time.Duration, error) {
	var w feedWire
	status, err := c.call(ctx, http.MethodGet, address, pathFeed+"?"+query.Encode(), nil, &w)
	switch {
	case err != nil:
		return platform.Changes{}, 0, err
	case status == http.StatusGone:
		return platform.Changes{}, 0, &platform.HistoryLostError{Table: query.Get("table"), Version: after}
	case status != http.StatusOK:
		return platform.Changes{}, 0, Error.New("feed of node %s: status %d", address, status)
	}
	changes, age := toChanges(w)
	return changes, age, nil
}

// ProbeServer has a node ask a backend server for its state. The second value is
// false when the node reached the server in vain.
func (c *Client) ProbeServer(ctx context.Context, address string, s registry.Server) (control.State, bool, error) {
	body, err := json.Marshal(probeWire{Server: s.ID, Address: s.Address, Born: s.Incarnation})
	if err != nil {
		return control.State{}, false, Error.Wrap(err)
	}
	var w probeResultWire
	status, err := c.call(ctx, http.MethodPost, address, pathProbe, body, &w)
	if err != nil {
		return control.State{}, false, err
	}
	if status != http.StatusOK {
		return control.State{}, false, Error.New("reach by node %s: status %d", address, status)
	}
	return control.State{
		Accepted:    w.Accepted,
		Incarnation: w.Born,
		Group:       registry.Membership{Name: w.Group, Epoch: w.Epoch, Rank: w.Rank, State: registry.GroupState(w.State)},
	}, w.Reached, nil
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(address, c.port)+path, bytes.NewReader(body))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if body != nil {
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
	return response.StatusCode, Error.Wrap(json.NewDecoder(response.Body).Decode(out))
}
