package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/environment"
)

// Paths of the protocol between nodes.
const (
	pathState     = "/v1/note"
	pathRevision  = "/v1/revision"
	pathHistories = "/v1/histories"
	pathFleet     = "/v1/fleet"
)

// maxMessageBytes bounds the body of a request between nodes. A document in it is
// encoded in base64.
const maxMessageBytes = 2*jsonc.MaxBytes + 64<<10

// maxResponseBytes bounds the body of a peer's response.
const maxResponseBytes = 64 << 20

// StatusError reports a response of a peer with an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return "peer: unexpected HTTP status " + http.StatusText(e.Status)
}

// isConflict reports whether a peer could not apply a delta, since it holds
// another document than the delta's parent.
func isConflict(err error) bool {
	var unexpected *StatusError
	return errors.As(err, &unexpected) && unexpected.Status == http.StatusConflict
}

// Handler returns the handler of requests from other nodes. It does not
// authenticate them: wrap it with a check of the peer key.
func (r *Relay) Handler() http.Handler {
	e := echo.New()
	e.POST(pathState, r.serveState)
	e.POST(pathRevision, r.servePush)
	e.GET(pathRevision, r.serveRevision)
	e.GET(pathHistories, r.serveHistories)
	e.POST(pathFleet, r.serveFleet)
	e.POST(pathEvidence, r.serveEvidence)
	e.POST(pathGrant, r.serveGrant)
	e.POST(pathRelease, r.serveRelease)
	e.POST(pathAcquireSlot, r.serveAcquireSlot)
	e.POST(pathReportSlotEvents, r.serveReportSlotEvents)
	return e
}

func (r *Relay) serveState(c echo.Context) error {
	var wire wirePeerState
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.recordState(toPeerState(wire))
	return c.JSON(http.StatusOK, wirePeerStateOf(r.localState()))
}

// servePush applies a revision pushed by another node. It responds with 409 if
// this node lacks the parent document of the delta, or if the resulting bytes do
// not match the revision's hash.
func (r *Relay) servePush(c echo.Context) error {
	var wire wirePush
	if err := decode(c, &wire); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	p := toPush(wire)
	current, before := r.snapshot()
	if p.Entry.Revision <= current.Revision {
		r.forwardAgain(p.Root, p.Entry.Revision)
		return c.NoContent(http.StatusNoContent)
	}
	body := p.Delta.Middle
	if p.ParentHash != "" {
		applied, ok := p.Delta.Apply(before)
		if p.ParentHash != current.Hash || !ok {
			return c.NoContent(http.StatusConflict)
		}
		body = applied
	}
	root := p.Root
	if root == "" {
		root = r.config.Node
	}
	err := r.apply(p.Entry, body, revision.OriginPeer, root)
	var corrupt *environment.CorruptError
	if errors.As(err, &corrupt) {
		return c.NoContent(http.StatusConflict)
	}
	if err != nil {
		return c.NoContent(http.StatusInternalServerError)
	}
	return c.NoContent(http.StatusNoContent)
}

func (r *Relay) serveRevision(c echo.Context) error {
	entry, body := r.snapshot()
	if entry.Revision == 0 {
		return c.NoContent(http.StatusNotFound)
	}
	p := push{Entry: entry}
	p.Delta.Middle = body
	return c.JSON(http.StatusOK, wirePushOf(p))
}

func (r *Relay) serveHistories(c echo.Context) error {
	return c.JSON(http.StatusOK, wireHistoriesOf(r.config.Histories()))
}

func decode(c echo.Context, target any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxMessageBytes)
	return json.NewDecoder(body).Decode(target)
}

func (r *Relay) post(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	return r.send(ctx, http.MethodPost, address+path, body, reply)
}

func (r *Relay) get(ctx context.Context, address, path string, reply any) error {
	return r.send(ctx, http.MethodGet, address+path, nil, reply)
}

func (r *Relay) send(ctx context.Context, method, target string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, r.config.Scheme+"://"+target, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.config.HTTP.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: response.StatusCode}
	}
	if reply == nil {
		return nil
	}
	answer, err := bounded.ReadBody(response, maxResponseBytes)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(answer, reply))
}
