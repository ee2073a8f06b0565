package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/core/document"
)

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 8 << 20
	// maxBodiesBytes bounds the total size of the bodies of all requests in
	// flight.
	maxBodiesBytes = 512 << 20
	// bodyTimeout bounds the time to receive a request body.
	bodyTimeout = 30 * time.Second
)

// call is a caller's request whose body has been read completely.
type call struct {
	// id is shared by all attempts.
	id        string
	workspace document.Workspace
	// model is the model or adapter named in a generation request; empty for a
	// call to a plain service.
	model   string
	options options
	// receivedAt is when the request had been read completely.
	receivedAt time.Time
	// deadline is when the answer must be complete.
	deadline time.Time
	body     []byte
	// fingerprint identifies the call by its content.
	fingerprint attempt.Fingerprint
	// idempotent permits another attempt after one that may have run.
	idempotent bool
	// release returns the call's share of the gateway's limits.
	release func()
}

// booked reports whether the call must run at most once per idempotency key.
func (c *call) booked() bool {
	return !c.idempotent && c.options.key != ""
}

// context returns the context for running the call. A booked call is not
// canceled when its caller disconnects, so that its result is recorded.
func (c *call) context(r *http.Request, now time.Time) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if c.booked() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, c.deadline.Sub(now))
}

// readCall authenticates a request, parses its headers and reads its body. Its
// caller must call release on the result.
func (g *Gateway) readCall(c echo.Context) (*call, *problem) {
	workspace, p := g.authenticate(c)
	if p != nil {
		return nil, p
	}
	o, err := parseOptions(c.Request().Header)
	if err != nil {
		return nil, notRunProblem(http.StatusBadRequest, CodeMalformedHeader, err.Error())
	}
	release, p := g.limits.acquire(c.Request().ContentLength)
	if p != nil {
		return nil, p
	}
	body, p := g.readBody(c)
	if p != nil {
		release()
		return nil, p
	}
	now := g.clock.Now()
	return &call{
		id:         uuid.NewString(),
		workspace:  workspace,
		options:    o,
		receivedAt: now,
		deadline:   now.Add(o.timeout),
		body:       body,
		release:    release,
	}, nil
}

// readBody reads a request body within the limits on size and time.
func (g *Gateway) readBody(c echo.Context) ([]byte, *problem) {
	r := c.Request()
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(g.clock.Now().Add(g.limits.config.BodyTimeout))
	body, err := readSized(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes), r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	c.Response().Header().Set(echo.HeaderConnection, "close")
	switch {
	case isTooLarge(err):
		return nil, notRunProblem(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the request body is too large")
	case isTimeout(err):
		return nil, notRunProblem(http.StatusRequestTimeout, CodeBodyTooSlow, "the request body was not received in time")
	default:
		return nil, notRunProblem(http.StatusBadRequest, CodeMalformedBody, "the request body is incomplete or malformed")
	}
}

// readSized reads all of r. A positive size is the expected number of bytes, a
// negative one means that the size is unknown.
func readSized(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 || size > maxBodyBytes {
		return io.ReadAll(r)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
