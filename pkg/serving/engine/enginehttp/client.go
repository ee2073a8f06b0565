// Package enginehttp is the HTTP client of the engines.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginewire"
)

// maxAnswerBytes bounds the size of a health answer and of the answer to an
// order.
const maxAnswerBytes = 1 << 20

// Config configures a Client.
type Config struct {
	// ControlTimeout bounds a health question and an order.
	ControlTimeout time.Duration
	// Transport is http.DefaultTransport when nil.
	Transport http.RoundTripper
}

// Client implements engine.Engine over HTTP.
type Client struct {
	timeout time.Duration
	http    *http.Client
}

var _ engine.Engine = (*Client)(nil)

// New returns a client.
func New(c Config) *Client {
	return &Client{
		timeout: c.ControlTimeout,
		http:    &http.Client{Transport: c.Transport},
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return engine.Answer{}, engine.Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(enginewire.HeaderAttempt, r.Attempt)
	request.Header.Set(enginewire.HeaderGroup, r.Expected.Group)
	request.Header.Set(enginewire.HeaderEpoch, strconv.FormatUint(r.Expected.Epoch, 10))
	if r.Offset > 0 {
		request.Header.Set(enginewire.HeaderOffset, strconv.Itoa(r.Offset))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return engine.Answer{}, engine.Error.Wrap(err)
	}
	if response.Header.Get(enginewire.HeaderNotStarted) != "" {
		_ = response.Body.Close()
		return engine.Answer{}, &engine.NotStartedError{Reason: response.Status}
	}
	return engine.Answer{
		Identity:    enginewire.Identity(response.Header),
		Attempt:     response.Header.Get(enginewire.HeaderAttempt),
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
	}, nil
}

// control sends a health question or an order and returns the answer's body.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()

	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, engine.Error.Wrap(err)
	}
	if response.StatusCode == http.StatusConflict {
		return nil, staleTerm(answer)
	}
	if response.StatusCode != http.StatusOK {
		return nil, engine.Error.Wrap(fmt.Errorf("%s %s: status %d", method, path, response.StatusCode))
	}
	return answer, nil
}

// staleTerm decodes the refusal of an order.
func staleTerm(body []byte) error {
	var stale enginewire.StaleTerm
	if err := json.Unmarshal(body, &stale); err != nil {
		return engine.Error.Wrap(err)
	}
	return &engine.StaleTermError{Term: stale.Term}
}
