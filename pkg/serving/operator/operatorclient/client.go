// Package operatorclient is the client of the admin API, for the command line
// and other operators' tools.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"almondbay.example/core/burn"
	"almondbay.example/core/revision"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/status"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// Config configures a Client.
type Config struct {
	// Servers are the base URLs of nodes' admin APIs; at least one. Each request
	// tries them in turn until one answers.
	Servers []string
	// Key is the operator's key.
	Key  keys.Secret
	HTTP *http.Client
}

// Client speaks to the admin API. Commands carry an operation ID and may be
// repeated.
type Client struct {
	config Config
}

// New returns a client.
func New(c Config) *Client {
	return &Client{config: c}
}

// Accept asks for a document to become the next revision of an environment.
// Parent is the revision that the operator saw.
func (c *Client) Accept(ctx context.Context, environment, operation string, parent uint64, body []byte) (revision.Entry, error) {
	query := url.Values{
		operatorwire.QueryOperation: {operation},
		operatorwire.QueryParent:    {strconv.FormatUint(parent, 10)},
	}
	path := place(operatorwire.PathDocument, environment) + "?" + query.Encode()
	var wire operatorwire.Entry
	err := c.do(ctx, call{method: http.MethodPut, path: path, body: body, command: true}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Promote asks for the document of the source to be accepted in the target.
func (c *Client) Promote(ctx context.Context, source, target string, p revision.Promotion) (revision.Entry, error) {
	var wire operatorwire.Entry
	err := c.post(ctx, place(operatorwire.PathPromotion, target), operatorwire.Promotion{
		Operation: p.Operation, Source: source, SourceRevision: p.SourceRevision, Parent: p.Parent,
	}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Undo asks for the document of an earlier revision to be accepted again.
func (c *Client) Undo(ctx context.Context, environment string, u revision.UndoRequest) (revision.Entry, error) {
	var wire operatorwire.Entry
	err := c.post(ctx, place(operatorwire.PathUndoing, environment), operatorwire.Undoing{
		Operation: u.Operation, Parent: u.Parent, To: u.To,
	}, &wire)
	return operatorwire.ToEntry(wire), err
}

// Document returns the bytes of a revision; zero stands for the one in force.
// An environment without a document yields a zero entry.
func (c *Client) Document(ctx context.Context, environment string, number uint64) (revision.Entry, []byte, error) {
	path := place(operatorwire.PathDocument, environment)
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

// History returns the revisions of an environment, the newest first.
func (c *Client) History(ctx context.Context, environment string) ([]revision.Entry, error) {
	var wire operatorwire.History
	if err := c.get(ctx, place(operatorwire.PathHistory, environment), &wire); err != nil {
		return nil, err
	}
	var entries []revision.Entry
	for _, e := range wire.Entries {
		entries = append(entries, operatorwire.ToEntry(e))
	}
	return entries, nil
}

// Status returns the status of the first node that answers.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	var wire operatorwire.Status
	err := c.get(ctx, operatorwire.PathStatus, &wire)
	return operatorwire.ToStatus(wire), err
}

// Burn returns the report on service-level burn and the nodes whose counts are
// missing in it.
func (c *Client) Burn(ctx context.Context) (burn.Report, []string, error) {
	var wire operatorwire.Burn
	err := c.get(ctx, operatorwire.PathBurn, &wire)
	report, missing := operatorwire.ToBurn(wire)
	return report, missing, err
}

// Drain asks that a VM receive no new work.
func (c *Client) Drain(ctx context.Context, vm string) error {
	return c.do(ctx, call{method: http.MethodPut, path: place(operatorwire.PathDrain, vm), command: true}, nil)
}

// ClearDrain lets a VM receive work again.
func (c *Client) ClearDrain(ctx context.Context, vm string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: place(operatorwire.PathDrain, vm), command: true}, nil)
}

// place fills the value into a path.
func place(path, value string) string {
	parts := strings.Split(path, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, ":") {
			parts[i] = url.PathEscape(value)
		}
	}
	return strings.Join(parts, "/")
}

// call is one request of the API.
type call struct {
	method string
	path   string
	body   []byte
	// command is set when the request changes something.
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

// do tries the servers in turn. A command may be sent again, since it carries
// its operation; when its last answer was lost, or an earlier one and no later
// try settled it, the outcome is unknown.
func (c *Client) do(ctx context.Context, call call, target any) error {
	var unknown bool
	var last error
	for _, server := range c.config.Servers {
		err := c.send(ctx, server, call, target)
		var refused *RefusedError
		if err == nil || (errors.As(err, &refused) && refused.settles()) {
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

// mayHaveRun tells whether a request that failed could have been carried out.
func mayHaveRun(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Outcome != operatorwire.OutcomeNotRun
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusal(response.StatusCode, body)
	}
	if target == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(body, target))
}

func refusal(code int, body []byte) error {
	refused := &RefusedError{Status: code, Outcome: operatorwire.OutcomeUnknown}
	if code == http.StatusUnauthorized {
		refused.Code, refused.Message = "unauthorized", "the key is not valid for this node's admin API"
		refused.Outcome = operatorwire.OutcomeNotRun
		return refused
	}
	var wire operatorwire.Problem
	if err := json.Unmarshal(body, &wire); err != nil || wire.Code == "" {
		refused.Code, refused.Message = "unexpectedAnswer", fmt.Sprintf("the server answered with status %d", code)
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
