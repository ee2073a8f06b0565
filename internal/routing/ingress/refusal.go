package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"almondbay.example/internal/routing/caller"
)

const (
	// keptUnreadBytes is the length of an unread body up to which the caller's connection
	// is kept: receiving it costs less than a new connection.
	keptUnreadBytes = 64 << 10
	// discardTime is how long the rest of an unread body is received and discarded. A body
	// of 4 MiB takes 5.1 s on a link of 800 KiB/s.
	discardTime = 6 * time.Second
	// maxDiscards is the number of requests whose unread bodies are discarded at the same
	// time. The connections of others are closed after the answer.
	maxDiscards = 64
	// maxBodyTime is how long the body of a request without a deadline may take. A body of
	// 4 MiB takes as long at 35 KiB/s.
	maxBodyTime = 2 * time.Minute
)

// past is a deadline that ends calls at once.
var past = time.Unix(1, 0)

// readBody reads the body of the request into memory that was reserved for it. It
// reports false after it has ended the request.
func (q *request) readBody(ctx context.Context) bool {
	if q.http.ContentLength > q.handler.account.limit(classLarge) {
		q.deny(http.StatusRequestEntityTooLarge, "request body larger than the memory for bodies")
		return false
	}
	err := q.holding.reserve(classSmall, requestMemory)
	if err == nil {
		err = q.receiveBody(ctx)
	}
	var full *fullError
	var malformed *caller.MalformedError
	switch {
	case errors.As(err, &full):
		q.result.Memory = full.state.Used
		if full.class == classLarge {
			q.handler.room.AbortBody()
		}
		q.refuse(http.StatusServiceUnavailable, full.Error(), full.retryAfter)
		return false
	case errors.Is(err, errOverLimit):
		q.deny(http.StatusRequestEntityTooLarge, "request body too large")
		return false
	case errors.As(err, &malformed):
		q.denyMalformed(malformed)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.response.header().Set("Connection", "close")
		q.refuse(http.StatusRequestTimeout, "request body not received in time", 0)
		return false
	case err != nil:
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = "request body incomplete"
		return false
	}
	q.bodyRead = true
	return true
}

// receiveBody reads the body until ctx is done, or for maxBodyTime if the request has no
// deadline. Meanwhile the caller's connection may give way to others.
func (q *request) receiveBody(ctx context.Context) (err error) {
	if q.http.ContentLength == 0 {
		return nil
	}
	conn := caller.FromContext(q.http.Context())
	conn.BeginBody()
	defer conn.EndBody()
	limit := &readLimit{controller: http.NewResponseController(q.response.writer)}
	defer limit.lift()
	defer context.AfterFunc(ctx, limit.exceed)()
	if q.until.IsZero() {
		timer := q.handler.config.Clock.AfterFunc(maxBodyTime, limit.exceed)
		defer timer.Stop()
	}
	q.holding.onLong = conn.WidenBuffer
	q.body, err = q.holding.readRequest(q.http.Body, q.http.ContentLength, q.bodyLimit)
	return err
}

// readLimit ends the read of a body when a time limit is exceeded.
type readLimit struct {
	controller *http.ResponseController

	mu       sync.Mutex
	exceeded bool
	lifted   bool
}

// exceed ends the read unless the limit was lifted.
func (l *readLimit) exceed() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.lifted {
		l.exceeded = true
		// If it can't be set, the connection has failed already.
		_ = l.controller.SetReadDeadline(past)
	}
}

// lift lifts the limit. A limit that was exceeded no longer holds for what comes after the
// body.
func (l *readLimit) lift() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lifted = true
	if l.exceeded {
		_ = l.controller.SetReadDeadline(time.Time{})
	}
}

// prepareUnread prepares an answer to a request whose body was not read to its end.
func (q *request) prepareUnread() {
	// Without it, net/http reads some of the body before it sends the answer, and waits for
	// callers that send none. An error means that the protocol lets both be done at once
	// anyway.
	_ = http.NewResponseController(q.response.writer).EnableFullDuplex()
	if length := q.http.ContentLength; length < 0 || length > keptUnreadBytes {
		// Tells the caller to stop sending (RFC 9112, 9.6).
		q.response.header().Set("Connection", "close")
	}
}

// discardBody receives what the caller still sends of a body that was not read. Closing
// the connection before would reset it, and the caller might lose the answer.
func (q *request) discardBody() {
	if q.bodyRead || q.http.ContentLength == 0 || q.response.cutOff() {
		return
	}
	controller := http.NewResponseController(q.response.writer)
	if controller.Flush() == nil && q.http.Header.Get("Expect") == "" && q.discardRest(controller) {
		return
	}
	// Otherwise, net/http waits for the rest.
	_ = controller.SetReadDeadline(past)
}

// discardRest receives the rest of the body, and reports whether it has come to its end.
func (q *request) discardRest(controller *http.ResponseController) bool {
	defer q.handler.discards.Add(-1)
	if q.handler.discards.Add(1) > maxDiscards {
		return false
	}
	conn := caller.FromContext(q.http.Context())
	conn.NarrowBuffer()
	conn.BeginBody()
	defer conn.EndBody()
	timer := q.handler.config.Clock.AfterFunc(discardTime, func() {
		// If it can't be set, the connection has failed already.
		_ = controller.SetReadDeadline(past)
	})
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(q.http.Body, q.bodyLimit))
	return err == nil && n < q.bodyLimit
}
