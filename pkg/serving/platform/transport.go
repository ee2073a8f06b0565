package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"almondbay.example/core/lease"
)

// MaxHeadBytes bounds the head of a response, including informational responses
// before it. Clients set it as MaxResponseHeaderBytes of their transport.
const MaxHeadBytes = 16 << 10

// maxExcerptBytes bounds what is read of a body that only explains a status.
const maxExcerptBytes = 512

// BodyTooLargeError reports a response whose body exceeds its limit.
type BodyTooLargeError struct {
	// Server is the host and port of the server that sent the response.
	Server   string
	MaxBytes int64
}

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("response body from %s exceeds %d bytes", e.Server, e.MaxBytes)
}

// ReadBody reads the body of a response. It returns a BodyTooLargeError if the
// body exceeds maxBytes. The caller closes the body.
func ReadBody(response *http.Response, maxBytes int64) ([]byte, error) {
	server := response.Request.URL.Host
	if response.ContentLength > maxBytes {
		return nil, &BodyTooLargeError{Server: server, MaxBytes: maxBytes}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response body from %s: %w", server, err)
	}
	if int64(len(body)) > maxBytes {
		return nil, &BodyTooLargeError{Server: server, MaxBytes: maxBytes}
	}
	return body, nil
}

// ReadExcerpt reads the start of a body that only explains an error status. It
// ignores a failure to read, since the status suffices.
func ReadExcerpt(response *http.Response) []byte {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxExcerptBytes))
	return body
}

// Send sends a request and returns the status and the body of the answer. It
// returns a RefusedError if the request certainly did not reach the platform, and
// an UnknownError for any other failure, which includes a body of more than
// maxBytes. It returns only an excerpt of the body of an error status, except for
// 409 and 412, whose body names the rows that do not match.
func Send(client *http.Client, request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()

	switch status := response.StatusCode; {
	case status < http.StatusMultipleChoices, status == http.StatusConflict, status == http.StatusPreconditionFailed:
		body, err = ReadBody(response, maxBytes)
	default:
		body = ReadExcerpt(response)
	}
	if err != nil {
		return 0, nil, &UnknownError{Reason: err.Error()}
	}
	return response.StatusCode, body, nil
}

// transportError returns a RefusedError if the connection could not be
// established, since then nothing was sent, and an UnknownError otherwise.
func transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &RefusedError{Reason: err.Error()}
	}
	return &UnknownError{Reason: err.Error()}
}

// WriteOutcome returns the outcome of the write of a lease, given the error of
// the commit. The outcome is unknown unless the error is nil, a ConflictError or
// a RefusedError.
func WriteOutcome(err error) lease.Outcome {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case err == nil:
		return lease.OutcomeApplied
	case errors.As(err, &conflict):
		return lease.OutcomeConflict
	case errors.As(err, &refused):
		return lease.OutcomeRejected
	default:
		return lease.OutcomeUnknown
	}
}
