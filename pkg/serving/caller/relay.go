package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/engine"
)

// maxWholeBytes bounds an answer that is read whole before it is passed on.
const maxWholeBytes = 8 << 20

var (
	errCallerGone   = Error.New("the caller takes no more of the answer")
	errGap          = Error.New("tokens are missing in the stream")
	errAnswerTooBig = Error.New("the answer is too large")
)

// relay passes an answer on to the sink.
func (x *exchange) relay(a answer, p place, id attempt.ID) *failureError {
	if a.status >= http.StatusMultipleChoices && !x.backend.final(a) {
		return fail(attempt.FailureServer, Error.New("status %d", a.status))
	}
	if a.stream {
		return x.relayStream(a, p, id)
	}
	return x.relayWhole(a, p, id)
}

// relayStream passes on server-sent events, whole events only, until the end
// marker.
func (x *exchange) relayStream(a answer, p place, id attempt.ID) *failureError {
	events := engine.NewEvents(a.body, x.request.Forwarded())
	for {
		b, err := events.Next()
		if errors.Is(err, io.EOF) && !x.request.Complete() {
			return fail(attempt.FailureBroken, errGap)
		}
		if errors.Is(err, io.EOF) {
			p.slot.Finish(x.request.Forwarded())
			_, _ = a.body.Read(make([]byte, 1)) // The end of the body frees the connection.
			return nil
		}
		if errors.Is(err, engine.ErrEngineError) {
			return fail(attempt.FailureServer, err)
		}
		if err != nil {
			return fail(attempt.FailureBroken, err)
		}
		switch x.request.Accept(frameOf(id, b)) {
		case attempt.Drop:
			continue
		case attempt.Gap:
			return fail(attempt.FailureBroken, errGap)
		}
		if err := x.send(a, b.Data); err != nil {
			return fail(attempt.FailureCanceled, err)
		}
		p.slot.Progress(x.request.Forwarded())
	}
}

func frameOf(id attempt.ID, b engine.Batch) attempt.Frame {
	return attempt.Frame{
		Attempt: id,
		Offset:  b.Offset,
		Tokens:  b.Tokens,
		Indexed: b.Indexed,
		End:     b.End,
	}
}

// send passes on a piece of the body, behind the head.
func (x *exchange) send(a answer, b []byte) error {
	if !x.started {
		x.started = true
		if err := x.sink.head(a); err != nil {
			return err
		}
	}
	return x.sink.write(b)
}

// relayWhole reads an answer to its end before it passes it on.
func (x *exchange) relayWhole(a answer, p place, id attempt.ID) *failureError {
	body, err := io.ReadAll(io.LimitReader(a.body, maxWholeBytes+1))
	if err != nil {
		return fail(attempt.FailureBroken, err)
	}
	if len(body) > maxWholeBytes {
		return fail(attempt.FailureServer, errAnswerTooBig)
	}
	if x.request.Accept(attempt.Frame{Attempt: id, End: true}) != attempt.Forward {
		return fail(attempt.FailureBroken, errGap)
	}
	a.header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	if err := x.send(a, body); err != nil {
		return fail(attempt.FailureCanceled, err)
	}
	p.slot.Finish(len(body) / bytesPerToken)
	return nil
}

// crashProbe asks each member whether it is still there. A member that has
// been given another group in the meantime has not crashed.
func crashProbe(ctx context.Context, e engine.Engine, c Choice) bool {
	for _, vm := range c.Members {
		r, err := e.Health(ctx, vm.Address)
		if ctx.Err() != nil {
			return false
		}
		if err != nil || r.Identity.Boot != c.Boots[vm.ID] {
			return true
		}
	}
	return false
}
