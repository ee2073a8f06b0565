package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
)

// maxRecordedBytes bounds the body of an answer that is stored with its
// booking.
const maxRecordedBytes = 256 << 10

// callerSink writes an answer to the caller.
type callerSink struct {
	gateway    *Gateway
	response   http.ResponseWriter
	controller *http.ResponseController
	// stallBy is the write deadline of the connection, which a caller that
	// stops reading exceeds.
	stallBy time.Time
	stream  bool
	started bool
}

func (g *Gateway) newCallerSink(c echo.Context) *callerSink {
	w := c.Response()
	return &callerSink{
		gateway:    g,
		response:   w,
		controller: http.NewResponseController(w.Writer),
	}
}

func (s *callerSink) head(a answer) error {
	h := s.response.Header()
	for name, values := range a.header {
		h[name] = values
	}
	s.started = true
	s.stream = a.stream
	s.response.WriteHeader(a.status)
	return nil
}

func (s *callerSink) write(b []byte) error {
	s.extend()
	if _, err := s.response.Write(b); err != nil {
		return errCallerGone
	}
	if !s.stream {
		return nil
	}
	if err := s.controller.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// extend renews the write deadline of the connection once half of it has
// elapsed.
func (s *callerSink) extend() {
	limit := s.gateway.limits.config.StallTimeout
	now := s.gateway.clock.Now()
	if s.stallBy.Sub(now) > limit/2 {
		return
	}
	s.stallBy = now.Add(limit)
	_ = s.controller.SetWriteDeadline(s.stallBy)
}

// close ends the answer. A problem becomes the response if nothing has been
// sent yet. In a stream it is sent as an error event, and the end marker is
// omitted.
func (s *callerSink) close(c echo.Context, p *problem) error {
	defer func() { _ = s.controller.SetWriteDeadline(time.Time{}) }()
	switch {
	case p == nil:
		return nil
	case !s.started:
		s.extend()
		return p.write(c)
	case !s.stream:
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(wireProblemOf(p))
	if err != nil {
		return Error.Wrap(err)
	}
	return s.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
}

// resultRecorder records an answer for a booking.
type resultRecorder struct {
	result attempt.Result
	share  *answerShare
}

func (r *resultRecorder) head(a answer) error {
	r.result = attempt.Result{
		Status:          a.status,
		ContentType:     a.header.Get(echo.HeaderContentType),
		ContentEncoding: strings.Join(a.header.Values(echo.HeaderContentEncoding), ", "),
	}
	return nil
}

func (r *resultRecorder) write(b []byte) error {
	if len(r.result.Body)+len(b) > maxBufferedBytes {
		return errAnswerTooBig
	}
	body, err := r.share.grow(r.result.Body, len(r.result.Body)+len(b))
	if err != nil {
		return err
	}
	r.result.Body = append(body, b...)
	r.result.Omitted = len(r.result.Body) > maxRecordedBytes
	return nil
}
