package platform

import (
	"errors"
	"io"
	"net"
	"net/http"

	"almondbay.example/core/lease"
)

// Send sends a request once and returns the status and the body of its answer,
// which is read up to maxBytes. A request that certainly did not reach the
// platform is a RefusedError; any other failure is an UnknownError.
func Send(client *http.Client, request *http.Request, maxBytes int64) (status int, body []byte, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()

	body, err = io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return 0, nil, &UnknownError{Reason: err.Error()}
	}
	return response.StatusCode, body, nil
}

// transportError tells a request that was never sent from one whose answer
// was lost.
func transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &RefusedError{Reason: err.Error()}
	}
	return &UnknownError{Reason: err.Error()}
}

// WriteOutcome tells what is known of the write of a lease. An error that does
// not say so leaves the outcome unknown.
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
