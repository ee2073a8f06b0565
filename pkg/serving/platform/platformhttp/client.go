// Package platformhttp is the HTTP client of the platform's table service,
// object store and list of VMs.
package platformhttp

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/platform/platformwire"
)

// Bounds of the body of an answer, in bytes.
const (
	// maxRowBytes bounds one row.
	maxRowBytes = 1 << 20
	// maxListBytes bounds the rows of a range and the list of VMs.
	maxListBytes = 16 << 20
	// maxObjectBytes is the platform's limit of an object.
	maxObjectBytes = 8 << 20
	// maxWriteBytes bounds the answer to a write.
	maxWriteBytes = 16 << 10
)

// Config configures a Client.
type Config struct {
	// Address is the base URL of the platform, without a trailing slash.
	Address string
	// Timeout bounds each call; zero for no timeout.
	Timeout time.Duration
	// Key authenticates the requests, unless it is zero.
	Key keys.Secret
	// Transport holds the settings of connections; nil for those of an empty one.
	Transport *http.Transport
	// MaxIdle is the number of idle connections that are kept; zero for defaultMaxIdle.
	MaxIdle int
}

// defaultMaxIdle is the default of Config.MaxIdle.
const defaultMaxIdle = 2

// Client implements platform.Table, platform.Objects and platform.VMs over
// HTTP.
type Client struct {
	address string
	http    *http.Client
}

var (
	_ platform.Table   = (*Client)(nil)
	_ platform.Objects = (*Client)(nil)
	_ platform.VMs     = (*Client)(nil)
)

// New returns a client for the platform at c.Address.
func New(c Config) *Client {
	base := c.Transport
	if base == nil {
		base = &http.Transport{}
	}
	transport := platform.NewTransport(platform.TransportConfig{Base: base, MaxIdle: cmp.Or(c.MaxIdle, defaultMaxIdle)})
	return &Client{
		address: c.Address,
		http: &http.Client{
			Timeout:       c.Timeout,
			Transport:     keys.Transport{Key: c.Key, Base: transport},
			CheckRedirect: bounded.RefuseRedirects,
		},
	}
}

// Read implements platform.Table.
func (c *Client) Read(ctx context.Context, key string) (platform.Row, error) {
	var row platformwire.Row
	if err := c.call(ctx, platformwire.PathRead, platformwire.KeyRequest{Key: key}, maxRowBytes, &row); err != nil {
		return platform.Row{}, err
	}
	return platformwire.ToRow(row), nil
}

// Range implements platform.Table.
func (c *Client) Range(ctx context.Context, prefix string) ([]platform.Row, error) {
	var answer platformwire.Rows
	if err := c.call(ctx, platformwire.PathRange, platformwire.KeyRequest{Key: prefix}, maxListBytes, &answer); err != nil {
		return nil, err
	}
	rows := make([]platform.Row, 0, len(answer.Rows))
	for _, r := range answer.Rows {
		rows = append(rows, platformwire.ToRow(r))
	}
	return rows, nil
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, t platform.Transaction) error {
	return c.call(ctx, platformwire.PathCommit, platformwire.FromTransaction(t), maxWriteBytes, nil)
}

// Put implements platform.Objects.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.roundTrip(ctx, http.MethodPut, platformwire.PathObjects+url.PathEscape(name), body, maxWriteBytes)
	return err
}

// Get implements platform.Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := c.roundTrip(ctx, http.MethodGet, platformwire.PathObjects+url.PathEscape(name), nil, maxObjectBytes)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil, &platform.NotFoundError{Name: name}
	}
	return body, err
}

// List implements platform.VMs.
func (c *Client) List(ctx context.Context) ([]fleet.VM, error) {
	body, err := c.roundTrip(ctx, http.MethodGet, platformwire.PathVMs, nil, maxListBytes)
	if err != nil {
		return nil, err
	}
	var answer platformwire.VMs
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, platform.Error.Wrap(err)
	}
	vms := make([]fleet.VM, 0, len(answer.VMs))
	for _, v := range answer.VMs {
		vms = append(vms, platformwire.ToVM(v))
	}
	return vms, nil
}

// call posts in as JSON and decodes the answer, which may hold up to maxBytes,
// into out, unless out is nil.
func (c *Client) call(ctx context.Context, path string, in any, maxBytes int64, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return platform.Error.Wrap(err)
	}
	answer, err := c.roundTrip(ctx, http.MethodPost, path, body, maxBytes)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return platform.Error.Wrap(json.Unmarshal(answer, out))
}

// roundTrip sends one request and returns the body of the answer, which may hold
// up to maxBytes. It returns a RefusedError if the request certainly did not reach
// the platform, an UnknownError for any other transport error, and else the error
// of statusError.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, platform.Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	status, answer, err := platform.Send(c.http, request, maxBytes)
	if err != nil {
		return nil, err
	}
	return answer, statusError(status, answer)
}

// statusError returns the error of package platform that the status of an answer
// stands for, or nil if the request succeeded.
func statusError(status int, body []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		var conflict platformwire.Conflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return platform.Error.Wrap(err)
		}
		return &platform.ConflictError{Key: conflict.Key, Version: conflict.Version}
	case status == http.StatusNotFound:
		return &platform.NotFoundError{}
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return &platform.RefusedError{Reason: fmt.Sprintf("status %d", status)}
	default:
		return &platform.UnknownError{Reason: fmt.Sprintf("status %d", status)}
	}
}
