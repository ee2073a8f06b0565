package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/exchange"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/internal/routing/stream"
	"almondbay.example/serving/bounded"
)

// bufferedResponse is a complete response that has not been sent to the caller
// yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller.
func (h *bufferedResponse) write(q *request) {
	q.handler.config.Dialect.CopyAnswer(q.response.header(), h.header)
	q.result.Outcome = OutcomeAnswered
	q.sendWhole(h.status, h.body)
}

// sendWhole sends a complete response and records its status, or why it could not
// be sent.
func (q *request) sendWhole(status int, body []byte) {
	err := q.response.writeWhole(status, body)
	if !errors.Is(err, errResponseBegun) {
		q.result.Status = status
	}
	if err != nil {
		q.recordWriteError(err)
	}
}

// recordWriteError records that a response or a part of it could not be sent to
// the caller.
func (q *request) recordWriteError(err error) {
	q.result.Outcome = OutcomeCallerLeft
	if errors.Is(err, errResponseBegun) {
		q.result.Outcome = OutcomeBroken
	}
	cause := "writing response: " + err.Error()
	if q.result.Cause != "" {
		cause = q.result.Cause + "; " + cause
	}
	q.result.Cause = cause
}

// relayBuffered reads the complete response before it sends any of it to the
// caller, so that a truncated one can be retried elsewhere.
func (q *request) relayBuffered(ctx context.Context, a *attempt, head registry.Head, response *http.Response, answer exchange.Answer) (TryEnd, string) {
	length := response.ContentLength
	if q.http.Method == http.MethodHead {
		// That of the body that is not sent.
		length = 0
	}
	body, err := q.holding.readResponse(response.Body, length)
	now := q.handler.config.Clock.Now()
	var full *fullError
	switch {
	case errors.As(err, &full):
		// The head is not at fault.
		return TryFailed, err.Error()
	case err != nil:
		return q.handleReadError(ctx, a, err)
	}
	a.recordData(now)
	lives, err := q.confirmEnd(ctx, head, response)
	if err != nil {
		return q.handleReadError(ctx, a, err)
	}
	if answer.Signed && lives {
		q.recordRun(a, response)
	}
	h := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	switch {
	case success(response.StatusCode):
		a.pool.RecordSuccess(a.head, now.Sub(q.started))
	case response.StatusCode >= http.StatusInternalServerError:
		a.pool.RecordError(a.head)
		if !answer.Signed || impliesNotRun(response.StatusCode) {
			// An unsigned error is not known to come from the backend server.
			// A status that implies that the request has not run must not be
			// passed on, since the server has not stated so.
			return TryFailed, "backend server failed: " + strconv.Itoa(response.StatusCode)
		}
		if q.route.Repeatable() && q.possibleRuns+1 < q.route.MaxAttempts {
			q.errorResponse = h
			return TryFailed, "backend server failed: " + strconv.Itoa(response.StatusCode)
		}
	case impliesNotRun(response.StatusCode):
		return TryFailed, "backend server rejected the request without stating that it did not run: " + strconv.Itoa(response.StatusCode)
	}
	q.result.FirstByte = now.Sub(q.started)
	h.write(q)
	return TryAnswered, ""
}

// rejectResumption handles a response other than a stream to a request that
// resumes a stream. The caller has the status and headers of the first head's
// response, so that no other response can be returned.
func (q *request) rejectResumption(a *attempt, status int) (TryEnd, string) {
	if status >= http.StatusInternalServerError {
		a.pool.RecordError(a.head)
	}
	return TryFailed, "backend server did not resume the stream: " + strconv.Itoa(status)
}

// errServerEnded reports a response without a length or chunks whose server has ended, or
// answers no more: the response need not be complete.
var errServerEnded = errors.New("server ended, or answers no more, at the end of a response without a length or chunks")

// confirmEnd reports whether the server of a response that was read to its end is known
// to run. A response whose trailer is malformed has not ended. One without a length or chunks ends with its connection, as it does when
// the server ends: the server is then asked, and if it has ended or gives no answer,
// errServerEnded is returned.
func (q *request) confirmEnd(ctx context.Context, head registry.Head, response *http.Response) (lives bool, err error) {
	if err := bounded.CheckFields(response.Trailer); err != nil {
		return false, err
	}
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || q.http.Method == http.MethodHead {
		return true, nil
	}
	switch q.handler.config.CheckServer(ctx, head) {
	case quarantine.CheckRefused, quarantine.CheckRestarted, quarantine.CheckNoAnswer:
		return false, errServerEnded
	case quarantine.CheckLives:
		return true, nil
	default:
		return false, nil
	}
}

// impliesNotRun reports whether callers take a status to mean that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// handleReadError handles an error while the response was read. It records a
// failure of the head unless the attempt was canceled.
func (q *request) handleReadError(ctx context.Context, a *attempt, err error) (TryEnd, string) {
	a.lost = true
	cause := context.Cause(ctx)
	if cause != nil {
		return TryFailed, cause.Error()
	}
	a.abrupt = true
	a.pool.RecordFailure(a.head, q.handler.config.Clock.Now())
	return TryFailed, "reading response: " + err.Error()
}

// relayStream forwards a stream to the caller in whole events. After a
// resumption it skips events that the caller already has.
func (q *request) relayStream(ctx context.Context, a *attempt, head registry.Head, response *http.Response) (TryEnd, string) {
	reader := stream.NewReader(response.Body)
	sentAt := q.handler.config.Clock.Now()
	resumed := q.lastEvent != ""
	// replaying is set while the last event was one that the caller had before the
	// last of its events.
	replaying := false
	for {
		event, err := reader.Next()
		now := q.handler.config.Clock.Now()
		switch {
		case errors.Is(err, io.EOF) && len(reader.Rest()) == 0 && !replaying:
			lives, err := q.confirmEnd(ctx, head, response)
			if err != nil {
				return q.handleReadError(ctx, a, err)
			}
			return q.endStream(a, response, now.Sub(sentAt), lives)
		case err != nil:
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return q.handleReadError(ctx, a, err)
		}
		if !event.Padding {
			a.recordData(now)
		}
		switch {
		case !resumed || event.Padding && !event.Foreign:
		case event.ID == "":
			a.pool.RecordError(a.head)
			return TryFailed, "backend server resumed the stream with an event without an ID"
		case !follows(event.ID, q.lastEvent):
			replaying = event.ID != q.lastEvent
			continue
		default:
			replaying = false
		}
		q.sendHeaders(response, now)
		if err := q.sendEvent(a, event, reader.Ready(), now); err != nil {
			q.recordWriteError(err)
			return TryAnswered, q.result.Cause
		}
	}
}

// follows reports whether the event with one ID comes after that with the other.
// It is true if either ID is not a number.
func follows(id, after string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, err2 := strconv.ParseInt(after, 10, 64)
	return err != nil || err2 != nil || n > m
}

// sendHeaders sends the status and headers to the caller, once: a stream that is
// resumed at another head keeps those of its first response.
func (q *request) sendHeaders(response *http.Response, now time.Time) {
	if q.response.begun() {
		return
	}
	header := q.response.header()
	q.handler.config.Dialect.CopyAnswer(header, response.Header)
	// The length may change when the stream is resumed at another head.
	header.Del("Content-Length")
	q.response.begin(response.StatusCode)
	q.result.Status = response.StatusCode
	q.result.FirstByte = now.Sub(q.started)
	q.lastEventAt = now
}

// sendEvent writes an event to the caller. It flushes unless more events are
// already buffered.
func (q *request) sendEvent(a *attempt, event stream.Event, more bool, now time.Time) error {
	if gap := now.Sub(q.lastEventAt); gap > q.result.MaxGap {
		q.result.MaxGap = gap
	}
	q.lastEventAt = now
	q.result.Events++
	if err := q.response.write(event.Raw); err != nil {
		return err
	}
	switch {
	case event.Padding:
	case event.ID == "":
		q.unresumable.Store(true)
	case q.lastEvent == "" || follows(event.ID, q.lastEvent):
		q.lastEvent = event.ID
	}
	if more {
		// The flush after the next event sends this one too.
		return nil
	}
	a.setCallerBlocked(true, now)
	err := q.response.flush()
	a.setCallerBlocked(false, q.handler.config.Clock.Now())
	return err
}

// endStream records the end of a complete stream. It sends the status and
// headers if the stream had no events. lives is set if its server is known to run.
func (q *request) endStream(a *attempt, response *http.Response, took time.Duration, lives bool) (TryEnd, string) {
	q.sendHeaders(response, q.handler.config.Clock.Now())
	q.response.complete()
	a.pool.RecordSuccess(a.head, took)
	if lives {
		q.recordRun(a, response)
	}
	q.result.Outcome = OutcomeAnswered
	return TryAnswered, ""
}

// recordRun records that a server answered the request and lives, if the answer shows that
// the request ran to its end there. An error or a rejection of the server, or an answer to a
// body that it can't have read, may be from before the point at which the request would
// have ended it.
func (q *request) recordRun(a *attempt, response *http.Response) {
	if success(response.StatusCode) && !backend.AnsweredEarly(response) {
		q.handler.config.OnAnswer(q.content, a.sentAt)
	}
}
