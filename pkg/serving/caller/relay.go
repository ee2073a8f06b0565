package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/bounded"
	"almondbay.example/serving/engine"
)

// maxBufferedBytes bounds an answer that is buffered completely before it is
// forwarded.
const maxBufferedBytes = 8 << 20

// drainTimeout bounds the wait for the end of a body after the end marker.
const drainTimeout = time.Second

var (
	errCallerGone    = Error.New("caller stopped reading the answer")
	errMissingTokens = Error.New("token stream is incomplete")
	errAnswerTooBig  = Error.New("answer exceeds the size limit")
	errNotContinued  = Error.New("resumed stream was answered with a body that is not a stream")
)

// relay forwards an answer to the sink. Abort cancels the attempt.
func (x *exchange) relay(a answer, dest destination, id attempt.ID, abort func()) *failureError {
	if a.status >= http.StatusMultipleChoices && !x.backend.final(a) {
		return newFailure(attempt.FailureServer, Error.New("backend server answered with status %d", a.status))
	}
	share := x.gateway.limits.newAnswerShare()
	defer share.release()
	if a.stream {
		return x.relayStream(a, dest, id, share, abort)
	}
	if x.started {
		return newFailure(attempt.FailureServer, errNotContinued)
	}
	return x.relayBuffered(a, dest, id, share)
}

// relayStream forwards complete server-sent events until the end marker.
func (x *exchange) relayStream(a answer, dest destination, id attempt.ID, share *answerShare, abort func()) *failureError {
	events := engine.NewEvents(a.body, x.request.Forwarded())
	events.OnGrow(share.reserve)
	for {
		b, err := events.Next()
		if errors.Is(err, io.EOF) && !x.request.Complete() {
			return newFailure(attempt.FailureBroken, errMissingTokens)
		}
		if errors.Is(err, io.EOF) {
			dest.slot.Finish(x.request.Forwarded())
			x.drain(a.body, abort)
			return nil
		}
		if err != nil {
			return readFailure(err, dest)
		}
		switch x.request.Accept(frameOf(id, b)) {
		case attempt.Drop:
			continue
		case attempt.Gap:
			return newFailure(attempt.FailureBroken, errMissingTokens)
		}
		if err := x.send(a, b.Data); err != nil {
			return sinkFailure(err, dest)
		}
		dest.slot.Progress(x.request.Forwarded())
	}
}

// drain reads the end of a body, which returns the connection to the pool. It
// aborts the attempt if the end does not arrive within drainTimeout.
func (x *exchange) drain(body io.Reader, abort func()) {
	timer := x.gateway.clock.AfterFunc(drainTimeout, abort)
	defer timer.Stop()

	_, _ = body.Read(make([]byte, 1))
}

// tooLarge returns the error for a part of an answer that exceeds its limit. It
// names the replica group or the VM, whose address callers do not know.
func tooLarge(p bounded.Part, dest destination, limit int64) error {
	return &bounded.TooLargeError{Part: p, Server: dest.target.Group, Limit: limit}
}

// readFailure returns the failure of an attempt whose answer could not be read.
func readFailure(err error, dest destination) *failureError {
	switch {
	case errors.Is(err, engine.ErrEngineError), errors.Is(err, errAnswersMemory):
		return newFailure(attempt.FailureServer, err)
	case errors.Is(err, engine.ErrEventTooLong):
		return newFailure(attempt.FailureBroken, tooLarge(bounded.PartEvent, dest, engine.MaxEventBytes))
	case errors.Is(err, engine.ErrNoProgress):
		return newFailure(attempt.FailureBroken, tooLarge(bounded.PartSkipped, dest, engine.MaxSkippedBytes))
	default:
		return newFailure(attempt.FailureBroken, err)
	}
}

// sinkFailure returns the failure of an attempt whose sink returned an error.
func sinkFailure(err error, dest destination) *failureError {
	if errors.Is(err, errAnswerTooBig) {
		return newFailure(attempt.FailureServer, tooLarge(bounded.PartBody, dest, maxBufferedBytes))
	}
	if errors.Is(err, errAnswersMemory) {
		return newFailure(attempt.FailureServer, err)
	}
	return newFailure(attempt.FailureCanceled, err)
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

// send writes a part of the body, preceded by the status and headers if they have
// not been sent.
func (x *exchange) send(a answer, b []byte) error {
	if !x.started {
		x.started = true
		if err := x.sink.head(a); err != nil {
			return err
		}
	}
	return x.sink.write(b)
}

// relayBuffered reads the complete answer before it forwards it.
func (x *exchange) relayBuffered(a answer, dest destination, id attempt.ID, share *answerShare) *failureError {
	body, err := share.readAll(a.body)
	if err != nil {
		return readFailure(err, dest)
	}
	if len(body) > maxBufferedBytes {
		return newFailure(attempt.FailureServer, tooLarge(bounded.PartBody, dest, maxBufferedBytes))
	}
	if x.request.Accept(attempt.Frame{Attempt: id, End: true}) != attempt.Forward {
		return newFailure(attempt.FailureBroken, errMissingTokens)
	}
	if !a.headOnly {
		a.header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	}
	if err := x.send(a, body); err != nil {
		return sinkFailure(err, dest)
	}
	dest.slot.Finish(len(body) / bytesPerToken)
	return nil
}

// memberCrashed probes the members of a group and reports whether one of them
// is unreachable or has restarted. A member that was assigned to another group
// has not crashed.
func memberCrashed(ctx context.Context, e engine.Engine, c Choice) bool {
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
