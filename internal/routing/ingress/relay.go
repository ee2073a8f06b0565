package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/stream"
)

// held is a whole answer that has not gone to the caller yet.
type held struct {
	status int
	header http.Header
	body   []byte
}

// write returns the answer to the caller.
func (h *held) write(q *request) {
	to := q.writer.Header()
	q.handler.config.Dialect.CopyAnswer(to, h.header)
	to.Set("Content-Length", strconv.Itoa(len(h.body)))
	q.writer.WriteHeader(h.status)
	q.headSent = true
	q.result.Status = h.status
	q.result.Outcome = OutcomeAnswered
	if _, err := q.writer.Write(h.body); err != nil {
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = "answer not taken: " + err.Error()
		q.abort = true
	}
}

// relayWhole returns an answer once it is known to be whole.
func (q *request) relayWhole(ctx context.Context, a *attempt, response *http.Response, answer exchange.Answer) (TryEnd, string) {
	body, err := io.ReadAll(response.Body)
	now := q.handler.config.Clock.Now()
	if err != nil {
		return q.brokenOff(ctx, a, err)
	}
	a.moved(now)
	h := &held{status: response.StatusCode, header: response.Header, body: body}
	switch {
	case success(response.StatusCode):
		a.pool.RecordSuccess(a.head, now.Sub(q.started))
	case response.StatusCode >= http.StatusInternalServerError:
		a.pool.RecordError(a.head)
		if !answer.Signed || promisesNotRun(response.StatusCode) {
			// Only the server's own word could make such a promise, and it
			// didn't give it.
			return TryFailed, "backend server failed: " + strconv.Itoa(response.StatusCode)
		}
		if q.route.Repeatable() && q.ran+1 < q.route.MaxAttempts {
			q.spent = h
			return TryFailed, "backend server failed: " + strconv.Itoa(response.StatusCode)
		}
	case promisesNotRun(response.StatusCode):
		return TryFailed, "backend server refused without a promise: " + strconv.Itoa(response.StatusCode)
	}
	q.result.FirstByte = now.Sub(q.started)
	h.write(q)
	return TryAnswered, ""
}

// promisesNotRun reports whether a status tells a caller that its request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// brokenOff handles an answer that ended before it was whole.
func (q *request) brokenOff(ctx context.Context, a *attempt, err error) (TryEnd, string) {
	cause := context.Cause(ctx)
	if cause != nil {
		return TryFailed, cause.Error()
	}
	a.pool.RecordFailure(a.head, q.handler.config.Clock.Now())
	return TryFailed, "answer broken off: " + err.Error()
}

// relayStream returns a stream event by event.
func (q *request) relayStream(ctx context.Context, a *attempt, response *http.Response) (TryEnd, string) {
	reader := stream.NewReader(response.Body)
	sentAt := q.handler.config.Clock.Now()
	resumedAfter := q.lastEvent
	for {
		event, err := reader.Next()
		now := q.handler.config.Clock.Now()
		switch {
		case errors.Is(err, io.EOF) && len(reader.Rest()) == 0:
			return q.endStream(a, response, now.Sub(sentAt))
		case err != nil:
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return q.brokenOff(ctx, a, err)
		}
		a.moved(now)
		if resumedAfter != "" && !follows(event.ID, resumedAfter) {
			continue
		}
		q.sendHead(response, now)
		if err := q.sendEvent(a, event, reader.Ready(), now); err != nil {
			q.result.Outcome = OutcomeCallerLeft
			q.result.Cause = "stream not taken: " + err.Error()
			q.abort = true
			return TryAnswered, q.result.Cause
		}
	}
}

// follows reports whether an event comes after another by their IDs. IDs that
// are no numbers are taken to follow.
func follows(id, after string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, err2 := strconv.ParseInt(after, 10, 64)
	return err != nil || err2 != nil || n > m
}

// sendHead sends the head of the first answer that has an event.
func (q *request) sendHead(response *http.Response, now time.Time) {
	if q.headSent {
		return
	}
	to := q.writer.Header()
	q.handler.config.Dialect.CopyAnswer(to, response.Header)
	// A stream that goes on elsewhere may differ in its length.
	to.Del("Content-Length")
	q.writer.WriteHeader(response.StatusCode)
	q.headSent = true
	q.result.Status = response.StatusCode
	q.result.FirstByte = now.Sub(q.started)
	q.movedAt = now
}

func (q *request) sendEvent(a *attempt, event stream.Event, more bool, now time.Time) error {
	if gap := now.Sub(q.movedAt); gap > q.result.MaxGap {
		q.result.MaxGap = gap
	}
	q.movedAt = now
	q.result.Events++
	if _, err := q.writer.Write(event.Raw); err != nil {
		return err
	}
	if event.ID != "" {
		q.lastEvent = event.ID
	}
	if more {
		// The next event is sent with this one.
		return nil
	}
	a.setDeaf(true, now)
	err := http.NewResponseController(q.writer).Flush()
	a.setDeaf(false, q.handler.config.Clock.Now())
	return err
}

// endStream ends a stream that came to its end.
func (q *request) endStream(a *attempt, response *http.Response, took time.Duration) (TryEnd, string) {
	q.sendHead(response, q.handler.config.Clock.Now())
	a.pool.RecordSuccess(a.head, took)
	q.result.Outcome = OutcomeAnswered
	return TryAnswered, ""
}
