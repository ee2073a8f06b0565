package enginehttp_test

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/serving/service/servicetest"
)

// TestCopyOfRejectionIsNotBelieved guards against an attempt that counts as not
// started though it runs, because the engine sent a copy of an earlier rejection on
// the connection.
func TestCopyOfRejectionIsNotBelieved(t *testing.T) {
	for _, form := range servicetest.Rejections() {
		for _, anonymous := range []bool{false, true} {
			form.Anonymous = anonymous
			for _, moment := range servicetest.Moments() {
				for _, sequence := range servicetest.Sequences() {
					for _, once := range []bool{false, true} {
						name := fmt.Sprintf("%s/%s/%s/once %v", form.Name(), moment, sequence.Name, once)
						t.Run(name, func(t *testing.T) {
							playCopies(t, servicetest.Config{Rejection: form, Moment: moment}, sequence, once)
						})
					}
				}
			}
		}
	}
}

// playCopies makes the attempts of a sequence at an engine.
func playCopies(t *testing.T, c servicetest.Config, sequence servicetest.Sequence, once bool) {
	t.Helper()
	s := servicetest.NewServer(t, c)
	client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
	for i, call := range sequence.Calls {
		s.Plan(call.Action)
		attempt := fmt.Sprintf("%s-%d", call.Key, i)
		body := fmt.Sprintf("{%q:%d}", call.Key, i)
		text, notStarted, err := attemptOnce(t, client, s.Address, engine.Request{
			ID: call.Key, Attempt: attempt, Path: enginewire.PathCompletions, Body: []byte(body), NoRetry: once,
		})
		switch ran := s.Runs(body) > 0; {
		case ran && notStarted:
			t.Errorf("attempt %s counts as not started and ran", attempt)
		case ran && err == nil && text != servicetest.Answer(body):
			t.Errorf("attempt %s got the answer %q", attempt, text)
		case ran && once && err != nil:
			t.Errorf("attempt %s on a connection of its own: %v, want its answer", attempt, err)
		case !ran && (once || i == 0) && !notStarted:
			t.Errorf("rejected attempt %s on a new connection: error %v, want that it was not started", attempt, err)
		}
	}
}

// attemptOnce returns the text of the answer to an attempt, and whether the engine
// stated that it was not started. It fails the test if the answer has another attempt.
func attemptOnce(t *testing.T, c *enginehttp.Client, address string, r engine.Request) (text string, notStarted bool, err error) {
	t.Helper()
	a, err := c.Generate(t.Context(), address, r)
	var refused *engine.NotStartedError
	if err != nil {
		return "", errors.As(err, &refused), err
	}
	defer func() { _ = a.Body.Close() }()
	if a.Attempt != r.Attempt {
		t.Errorf("attempt %s got the answer to %q", r.Attempt, a.Attempt)
	}
	data, err := io.ReadAll(a.Body)
	return string(data), false, err
}

// TestForeignResponseEndsConnection guards against a connection on which each attempt
// reads the response to the one before, once a copy of a rejection came on it.
func TestForeignResponseEndsConnection(t *testing.T) {
	for _, form := range servicetest.Rejections() {
		if form.Body != "" {
			// The client closes the connection of a rejection with a body.
			continue
		}
		t.Run(form.Name(), func(t *testing.T) {
			s := servicetest.NewServer(t, servicetest.Config{Rejection: form, Moment: servicetest.BeforeAnswer})
			client := enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout})
			s.Plan(servicetest.Action{Rejects: true}, servicetest.Action{Repeats: true, Late: true})
			var last error
			for i := range 3 {
				r := engine.Request{Attempt: fmt.Sprintf("x-%d", i), Path: enginewire.PathCompletions, Body: []byte("{}")}
				_, _, last = attemptOnce(t, client, s.Address, r)
			}
			if last != nil {
				t.Errorf("attempt after a copy: %v, want its answer", last)
			}
		})
	}
}
