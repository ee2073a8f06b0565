package service_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"almondbay.example/serving/service"
	"almondbay.example/serving/service/servicetest"
)

// TestCopyOfRejectionIsNotBelieved guards against a call that counts as not started
// though it runs, or that is answered by the response to another call, because the
// service sent a copy of an earlier rejection on the connection.
func TestCopyOfRejectionIsNotBelieved(t *testing.T) {
	for _, form := range servicetest.Rejections() {
		for _, unstated := range []bool{false, true} {
			form.Unstated = unstated
			for _, moment := range servicetest.Moments() {
				for _, sequence := range servicetest.Sequences() {
					t.Run(fmt.Sprintf("%s/%s/%s", form.Name(), moment, sequence.Name), func(t *testing.T) {
						playCopies(t, servicetest.Config{Rejection: form, Moment: moment}, sequence)
					})
				}
			}
		}
	}
}

// playCopies makes the calls of a sequence.
func playCopies(t *testing.T, c servicetest.Config, sequence servicetest.Sequence) {
	t.Helper()
	s := servicetest.NewServer(t, c)
	client := service.NewClient()
	for i, call := range sequence.Calls {
		s.Plan(call.Action)
		body := fmt.Sprintf("%s-%d", call.Key, i)
		status, text, err := callOnce(t, client, s.Address, http.MethodPost, body)
		var refused *service.NotStartedError
		stated := errors.As(err, &refused)
		switch ran := s.Runs(body) > 0; {
		case ran && stated:
			t.Errorf("call %s counts as not started and ran", body)
		case ran && (err != nil || status != http.StatusOK || text != servicetest.Answer(body)):
			t.Errorf("call %s got status %d and %q, error %v, want its answer", body, status, text, err)
		case !ran && !c.Rejection.Unstated && !stated:
			t.Errorf("rejected call %s: error %v, want that it was not started", body, err)
		case !ran && c.Rejection.Unstated && status != c.Rejection.Status:
			t.Errorf("rejected call %s got status %d, error %v, want the rejection", body, status, err)
		}
	}
}

// callOnce returns the status and the text of the answer to a call.
func callOnce(t *testing.T, c *service.Client, address, method, body string) (status int, text string, err error) {
	t.Helper()
	a, err := c.Call(t.Context(), address, service.Request{
		Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"key"}}, Body: []byte(body),
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	return a.Status, string(data), err
}

// TestLostAnswerIsNotAskedForAgain guards against a call that counts as not started
// though it ran: its answer was lost, net/http sent it again by itself, and the
// service rejected that.
func TestLostAnswerIsNotAskedForAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "body"} {
			t.Run(fmt.Sprintf("%s %q", method, body), func(t *testing.T) {
				s := servicetest.NewServer(t, servicetest.Config{Rejection: servicetest.Rejection{Status: http.StatusServiceUnavailable}})
				client := service.NewClient()
				s.Plan(servicetest.Action{}, servicetest.Action{Loses: true}, servicetest.Action{Rejects: true})
				if _, _, err := callOnce(t, client, s.Address, method, body); err != nil {
					t.Fatal(err)
				}
				_, _, err := callOnce(t, client, s.Address, method, body)
				var refused *service.NotStartedError
				if err == nil || errors.As(err, &refused) {
					t.Errorf("got error %v, want that the call may have run", err)
				}
				if requests := len(s.Attempts()); requests != 2 {
					t.Errorf("the service received %d requests, want 2", requests)
				}
			})
		}
	}
}
