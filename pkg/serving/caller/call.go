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
	// maxBodiesBytes bounds the bodies held for all requests in flight.
	maxBodiesBytes = 512 << 20
	// bodyTimeout bounds the time that a caller takes to send a body.
	bodyTimeout = 30 * time.Second
)

// call is one request of a caller, read whole.
type call struct {
	// id is the same for all attempts.
	id        string
	workspace document.Workspace
	// model is the model or adapter that a generation request names; empty for
	// a call of a plain service.
	model   string
	options options
	// receivedAt is when the call had been read.
	receivedAt time.Time
	// deadline is when the answer is due.
	deadline time.Time
	body     []byte
	// print identifies the call by its content.
	print attempt.Fingerprint
	// idempotent allows more than one attempt that may have run.
	idempotent bool
	// release gives back what the call holds of the gateway's limits.
	release func()
}

// booked reports whether the call is to run at most once under its key.
func (c *call) booked() bool {
	return !c.idempotent && c.options.key != ""
}

// context returns the context that the call runs in. A call that is recorded
// runs to its end even if its caller leaves.
func (c *call) context(r *http.Request, now time.Time) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if c.booked() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, c.deadline.Sub(now))
}

// read checks the head of a request and reads its body. The caller releases
// the call.
func (g *Gateway) read(c echo.Context) (*call, *problem) {
	workspace, p := g.authenticate(c)
	if p != nil {
		return nil, p
	}
	o, err := parseOptions(c.Request().Header)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, CodeMalformedHeader, err.Error())
	}
	release, p := g.limits.enter(c.Request().ContentLength)
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

// readBody reads the body of a request within the bounds of size and time.
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
		return nil, notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is too large")
	case isTimeout(err):
		return nil, notRun(http.StatusRequestTimeout, CodeBodyTooSlow, "the body did not arrive in time")
	default:
		return nil, notRun(http.StatusBadRequest, CodeMalformedBody, "the body cannot be read whole")
	}
}

// readSized reads all of r, which is expected to hold size bytes; a negative
// size is not known.
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
