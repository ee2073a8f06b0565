// Package operatorclient is a client of the admin API, for the command line and
// for other tools of operators.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"almondbay.example/core/burn"
	"almondbay.example/core/revision"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/status"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 64 << 20

// Config configures a Client.
type Config struct {
	// Servers are the base URLs of the admin APIs of nodes; at least one. Each
	// request goes to them in order until one gives a final response.
	Servers []string
	// Key is the operator's key.
	Key keys.Secret
	// HTTP sends the requests. The client uses a copy that follows no redirects and
	// bounds what it reads.
	HTTP *http.Client
}

// Client sends requests to the admin API. Commands on documents carry an
// operation ID and drains are idempotent, so a command can be sent again without
// taking effect twice.
type Client struct {
	config Config
}

// New returns a client.
func New(c Config) *Client {
	limited := *c.HTTP
	limited.Transport = bounded.NewTransport(c.HTTP.Transport)
	limited.CheckRedirect = bounded.RefuseRedirects
	c.HTTP = &limited
	return &Client{config: c}
}

// Accept submits a document as the next revision of an environment. Parent is the
// revision that the operator saw; when another one is in force, the command is
// refused with a conflict.
func (c *Client) Accept(ctx context.Context, environment, operation string, parent uint64, body []byte) (revision.Entry, error) {
	query := url.Values{
		operatorwire.QueryOperation: {operation},
		operatorwire.QueryParent:    {strconv.FormatUint(parent, 10)},
	}
	path := expandPath(operatorwire.PathDocument, environment) + "?" + query.Encode()
	var wire operatorwire.Entry
	err := c.do(ctx, call{method: http.MethodPut, path: path, body: body, command: true}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Promote submits the document of the source environment as the next revision of
// the target.
func (c *Client) Promote(ctx context.Context, source, target string, p revision.Promotion) (revision.Entry, error) {
	var wire operatorwire.Entry
	err := c.post(ctx, expandPath(operatorwire.PathPromotion, target), operatorwire.Promotion{
		Operation: p.Operation, Source: source, SourceRevision: p.SourceRevision, Parent: p.Parent,
	}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Undo submits the document of an earlier revision as the next revision.
func (c *Client) Undo(ctx context.Context, environment string, u revision.UndoRequest) (revision.Entry, error) {
	var wire operatorwire.Entry
	err := c.post(ctx, expandPath(operatorwire.PathUndo, environment), operatorwire.UndoRequest{
		Operation: u.Operation, Parent: u.Parent, To: u.To,
	}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Document returns the entry and the bytes of a revision; number 0 selects the
// revision in force. For an environment without a document, that is a zero entry
// and no error.
func (c *Client) Document(ctx context.Context, environment string, number uint64) (revision.Entry, []byte, error) {
	path := expandPath(operatorwire.PathDocument, environment)
	if number > 0 {
		path += "?" + operatorwire.QueryRevision + "=" + strconv.FormatUint(number, 10)
	}
	var wire operatorwire.Document
	err := c.get(ctx, path, &wire)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound && number == 0 {
		return revision.Entry{}, nil, nil
	}
	return operatorwire.ToEntry(wire.Entry), wire.Body, err
}

// History returns the revisions of an environment, newest first.
func (c *Client) History(ctx context.Context, environment string) ([]revision.Entry, error) {
	var wire operatorwire.History
	if err := c.get(ctx, expandPath(operatorwire.PathHistory, environment), &wire); err != nil {
		return nil, err
	}
	var entries []revision.Entry
	for _, e := range wire.Entries {
		entries = append(entries, operatorwire.ToEntry(e))
	}
	return entries, nil
}

// Status returns the status of the first node that responds.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	var wire operatorwire.Status
	err := c.get(ctx, operatorwire.PathStatus, &wire)
	return operatorwire.ToStatus(wire), err
}

// Burn returns the report on service-level burn, and the nodes whose counts are
// missing from it.
func (c *Client) Burn(ctx context.Context) (burn.Report, []string, error) {
	var wire operatorwire.Burn
	err := c.get(ctx, operatorwire.PathBurn, &wire)
	report, missing := operatorwire.ToBurn(wire)
	return report, missing, err
}

// Drain stops the assignment of new work to a VM.
func (c *Client) Drain(ctx context.Context, vm string) error {
	return c.do(ctx, call{method: http.MethodPut, path: expandPath(operatorwire.PathDrain, vm), command: true}, nil)
}

// ClearDrain cancels the drain of a VM, which can then receive new work.
func (c *Client) ClearDrain(ctx context.Context, vm string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: expandPath(operatorwire.PathDrain, vm), command: true}, nil)
}

// expandPath replaces the parameter of a path pattern by the escaped value.
func expandPath(path, value string) string {
	parts := strings.Split(path, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, ":") {
			parts[i] = url.PathEscape(value)
		}
	}
	return strings.Join(parts, "/")
}

// call describes a request to the admin API.
type call struct {
	method string
	path   string
	body   []byte
	// command is true when the request changes state.
	command bool
}

func (c *Client) get(ctx context.Context, path string, target any) error {
	return c.do(ctx, call{method: http.MethodGet, path: path}, target)
}

func (c *Client) post(ctx context.Context, path string, command, target any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.do(ctx, call{method: http.MethodPost, path: path, body: body, command: true}, target)
}

// do sends a call to the servers in order until one gives a final response: a
// success, or a refusal with a status below 500. Sending a command to several
// servers is safe, since it carries its operation ID or is idempotent. When no
// server gives a final response and any attempt may have run the command, the
// error is UnknownOutcomeError.
func (c *Client) do(ctx context.Context, call call, target any) error {
	var unknown bool
	var last error
	for _, server := range c.config.Servers {
		err := c.send(ctx, server, call, target)
		var refused *RefusedError
		if err == nil || (errors.As(err, &refused) && refused.final()) {
			return err
		}
		unknown = unknown || (call.command && mayHaveRun(err))
		last = err
	}
	if unknown {
		return &UnknownOutcomeError{Cause: last}
	}
	return last
}

// mayHaveRun reports whether the server may have carried out a failed request. It
// is false only for a refusal that says so and when no connection was made.
func mayHaveRun(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Outcome != operatorwire.OutcomeNotRun
	}
	var netError *net.OpError
	return !errors.As(err, &netError) || netError.Op != "dial"
}

func (c *Client) send(ctx context.Context, server string, call call, target any) error {
	request, err := http.NewRequestWithContext(ctx, call.method, strings.TrimRight(server, "/")+call.path, bytes.NewReader(call.body))
	if err != nil {
		return Error.Wrap(err)
	}
	c.config.Key.Authorize(request.Header)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := bounded.ReadBody(response, maxResponseBytes)
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusedError(response.StatusCode, body)
	}
	if target == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(body, target))
}

// refusedError decodes a response that is not a success. The outcome of the
// request is unknown unless the response states it.
func refusedError(code int, body []byte) error {
	refused := &RefusedError{Status: code, Outcome: operatorwire.OutcomeUnknown}
	if code == http.StatusUnauthorized {
		refused.Code, refused.Message = "unauthorized", "the key is not valid for this node's admin API"
		refused.Outcome = operatorwire.OutcomeNotRun
		return refused
	}
	var wire operatorwire.Problem
	if err := json.Unmarshal(body, &wire); err != nil || wire.Code == "" {
		refused.Code, refused.Message = "unexpectedAnswer", fmt.Sprintf("the server sent an unexpected response with status %d", code)
		return refused
	}
	refused.Code, refused.Message, refused.Outcome = wire.Code, wire.Message, wire.Outcome
	refused.Faults = operatorwire.ToFaults(wire.Faults)
	refused.Changes = operatorwire.ToChanges(wire.Changes)
	if wire.Current != nil {
		refused.Current = operatorwire.ToEntry(*wire.Current)
	}
	return refused
}
