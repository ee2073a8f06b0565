package platform

import (
	"errors"
	"net"
	"net/http"

	"almondbay.example/core/lease"
	"almondbay.example/serving/bounded"
)

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
		body, err = bounded.ReadBody(response, maxBytes)
	default:
		body = bounded.ReadExcerpt(response)
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
