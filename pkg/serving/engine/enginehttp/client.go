// Package enginehttp implements the interface to the engines over HTTP.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginewire"
)

const (
	// maxAnswerBytes bounds the body of the answer to a health check or an order.
	maxAnswerBytes = 1 << 20
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// keepAlive is the interval of TCP keep-alive probes.
	keepAlive = 5 * time.Second
	// maxIdleConnections bounds the idle connections to one backend server.
	maxIdleConnections = 256
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Config configures a Client.
type Config struct {
	// ControlTimeout bounds each health check and each order.
	ControlTimeout time.Duration
	// Transport connects to the engines; nil for the result of NewTransport.
	Transport *http.Transport
}

// Client implements engine.Engine over HTTP.
type Client struct {
	timeout time.Duration
	http    *http.Client
	// noRetry uses each connection for a single request: net/http retries a request
	// only if the connection was used before. Also, no copy of an earlier rejection can
	// come on it, which an answer without an ID can't be told from.
	noRetry *http.Client
}

var _ engine.Engine = (*Client)(nil)

// New returns a client that sends requests with c.Transport.
func New(c Config) *Client {
	transport := c.Transport
	if transport == nil {
		transport = NewTransport()
	}
	noRetry := transport.Clone()
	noRetry.DisableKeepAlives = true
	return &Client{
		timeout: c.ControlTimeout,
		http:    newHTTPClient(transport),
		noRetry: newHTTPClient(noRetry),
	}
}

// newHTTPClient returns a client that does not follow redirects, since these
// would send an attempt a second time.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     bounded.NewTransport(t),
		CheckRedirect: bounded.RefuseRedirects,
	}
}

// NewTransport returns a transport for connections to backend servers.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Health implements engine.Engine.
func (c *Client) Health(ctx context.Context, address string) (fleet.Report, error) {
	body, err := c.control(ctx, http.MethodGet, address, enginewire.PathHealth, nil)
	if err != nil {
		return fleet.Report{}, err
	}
	var report enginewire.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return fleet.Report{}, engine.Error.Wrap(err)
	}
	return enginewire.ToReport(report), nil
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, address string, o fleet.Order) error {
	body, err := json.Marshal(enginewire.FromOrder(o))
	if err != nil {
		return engine.Error.Wrap(err)
	}
	_, err = c.control(ctx, http.MethodPost, address, enginewire.PathOrder, body)
	return err
}

// Generate implements engine.Engine.
func (c *Client) Generate(ctx context.Context, address string, r engine.Request) (engine.Answer, error) {
	var s send
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			s = send{attempt: r.Attempt, connection: i.Conn, reused: i.Reused}
			if r.OnWrite != nil {
				r.OnWrite()
			}
		},
	})
	request, err := newGenerationRequest(ctx, address, r)
	if err != nil {
		return engine.Answer{}, &engine.UnreachableError{Reason: err.Error()}
	}
	client := c.http
	if r.NoRetry {
		client = c.noRetry
	}
	response, err := client.Do(request)
	if err != nil && s.connection == nil {
		return engine.Answer{}, &engine.UnreachableError{Reason: err.Error()}
	}
	if err != nil {
		return engine.Answer{}, engine.Error.Wrap(err)
	}
	if !s.isAnsweredBy(response) {
		s.distrust(response)
		return engine.Answer{}, &engine.ForeignResponseError{Attempt: response.Header.Get(enginewire.HeaderAttempt)}
	}
	if response.Header.Get(enginewire.HeaderNotStarted) != "" {
		_ = response.Body.Close()
		return engine.Answer{}, &engine.NotStartedError{Status: response.StatusCode}
	}
	return engine.Answer{
		Identity:    enginewire.Identity(response.Header),
		Attempt:     response.Header.Get(enginewire.HeaderAttempt),
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
	}, nil
}

// newGenerationRequest returns the HTTP request for an attempt.
func newGenerationRequest(ctx context.Context, address string, r engine.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set(enginewire.HeaderAttempt, r.Attempt)
	h.Set(enginewire.HeaderRequest, r.ID)
	h.Set(enginewire.HeaderGroup, r.Expected.Group)
	h.Set(enginewire.HeaderEpoch, strconv.FormatUint(r.Expected.Epoch, 10))
	if r.Offset > 0 {
		h.Set(enginewire.HeaderOffset, strconv.Itoa(r.Offset))
	}
	if r.Priority != "" {
		h.Set(enginewire.HeaderPriority, r.Priority)
	}
	if r.Timeout > 0 {
		h.Set(enginewire.HeaderTimeout, r.Timeout.Round(time.Millisecond).String())
	}
	return request, nil
}

// control sends a health check or an order, on a connection of its own since their
// answers have no ID, and returns the body of the answer.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.noRetry.Do(request)
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()

	answer, err := bounded.ReadBody(response, maxAnswerBytes)
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	if response.StatusCode == http.StatusConflict {
		return nil, staleTermError(answer)
	}
	if response.StatusCode != http.StatusOK {
		return nil, engine.Error.Wrap(fmt.Errorf("%s %s: status %d", method, path, response.StatusCode))
	}
	return answer, nil
}

// staleTermError returns the error for an order that was rejected with body.
func staleTermError(body []byte) error {
	var stale enginewire.StaleTerm
	if err := json.Unmarshal(body, &stale); err != nil {
		return engine.Error.Wrap(err)
	}
	return &engine.StaleTermError{Term: stale.Term}
}
