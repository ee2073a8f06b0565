package ingress

import (
	"errors"
	"net/http"
	"strconv"
)

// errResponseBegun reports a second response to a request whose response was
// begun already.
var errResponseBegun = errors.New("a response to the caller was begun already")

// responseState is how much of a response the caller was sent.
type responseState int

const (
	// responseNone means that nothing was sent.
	responseNone responseState = iota
	// responseBegun means that the status and headers were sent.
	responseBegun
	// responseComplete means that the response may end normally.
	responseComplete
)

// callerResponse is the response to the caller. It has one status and one body,
// and its connection is cut unless it is completed.
type callerResponse struct {
	writer http.ResponseWriter
	state  responseState
}

// header returns the headers, which take effect with begin or writeWhole.
func (r *callerResponse) header() http.Header {
	return r.writer.Header()
}

// begun reports whether the status and headers were sent.
func (r *callerResponse) begun() bool {
	return r.state != responseNone
}

// cutOff reports whether the connection must be closed in place of the end of
// the response.
func (r *callerResponse) cutOff() bool {
	return r.state != responseComplete
}

// begin sends the status and headers of a response that is sent in parts.
func (r *callerResponse) begin(status int) {
	r.state = responseBegun
	r.writer.WriteHeader(status)
}

// write sends a part of the body of a response that was begun. The part may be
// held back until flush.
func (r *callerResponse) write(part []byte) error {
	_, err := r.writer.Write(part)
	return err
}

// flush sends the parts held back.
func (r *callerResponse) flush() error {
	return http.NewResponseController(r.writer).Flush()
}

// complete lets a response that was begun end normally.
func (r *callerResponse) complete() {
	r.state = responseComplete
}

// writeWhole sends and completes a response. It sends nothing and returns
// errResponseBegun if one was begun.
func (r *callerResponse) writeWhole(status int, body []byte) error {
	if r.begun() {
		return errResponseBegun
	}
	if len(body) > 0 || r.header().Get("Content-Length") == "" {
		// Otherwise, the response to a HEAD request keeps the length of the body that
		// is not sent.
		r.header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.begin(status)
	if len(body) > 0 {
		if err := r.write(body); err != nil {
			return err
		}
	}
	r.complete()
	return nil
}

// reset resets the caller's connection. In HTTP/1.0, a response without a length
// is complete when its connection is closed.
func (r *callerResponse) reset() {
	conn, _, err := http.NewResponseController(r.writer).Hijack()
	if err != nil {
		// The server closes the connection itself.
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// If the option can't be set, the connection has failed already.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
