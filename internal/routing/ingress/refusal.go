package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// keptUnreadBytes is the length of an unread body up to which the caller's connection
	// is kept: receiving it costs less than a new connection.
	keptUnreadBytes = 64 << 10
	// discardTime is how long the rest of an unread body is received and discarded. A body
	// of 4 MiB takes 5.1 s on a link of 800 KiB/s.
	discardTime = 6 * time.Second
)

// readBody reads the body of the request into memory that was reserved for it. It
// reports false after it has ended the request.
func (q *request) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	length := q.http.ContentLength
	if length > q.holding.account.limit(classLarge) {
		q.answerUnread(limit, func() { q.deny(http.StatusRequestEntityTooLarge, "request body larger than the memory for bodies") })
		return false
	}
	err := q.holding.reserve(classSmall, requestMemory)
	if err == nil {
		q.body, err = q.holding.readRequest(q.http.Body, length, limit)
	}
	var full *fullError
	switch {
	case errors.As(err, &full):
		q.result.Memory = full.state.Used
		q.answerUnread(limit, func() { q.refuse(http.StatusServiceUnavailable, full.Error(), full.retryAfter) })
		return false
	case errors.Is(err, errOverLimit):
		q.answerUnread(limit, func() { q.deny(http.StatusRequestEntityTooLarge, "request body too large") })
		return false
	case err != nil:
		q.result.Outcome = OutcomeCallerLeft
		q.result.Cause = "request body incomplete"
		return false
	}
	return true
}

// answerUnread answers a request whose body was not read to its end. The rest is
// discarded once the answer was sent.
func (q *request) answerUnread(limit int64, answer func()) {
	controller := http.NewResponseController(q.response.writer)
	// Without it, net/http reads some of the body before it sends the answer. An error means
	// that the protocol lets both be done at once anyway.
	_ = controller.EnableFullDuplex()
	if length := q.http.ContentLength; length < 0 || length > keptUnreadBytes {
		// Tells the caller to stop sending (RFC 9112, 9.6).
		q.response.header().Set("Connection", "close")
	}
	answer()
	if err := controller.Flush(); err == nil && q.http.Header.Get("Expect") == "" {
		q.unread = limit
	}
}

// discardBody receives what the caller still sends of a body that was not read. Closing
// the connection before would reset it, and the caller might lose the answer.
func (q *request) discardBody() {
	if q.unread == 0 {
		return
	}
	controller := http.NewResponseController(q.response.writer)
	timer := q.handler.config.Clock.AfterFunc(discardTime, func() {
		// If it can't be set, the connection has failed already.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	defer timer.Stop()
	// Only the end of it matters.
	_, _ = io.Copy(io.Discard, io.LimitReader(q.http.Body, q.unread))
}
