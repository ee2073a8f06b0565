package ingress

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// failingWriter is a response writer whose connection has failed.
type failingWriter struct {
	http.ResponseWriter
}

var errConnectionFailed = errors.New("connection failed")

func (failingWriter) Write([]byte) (int, error) { return 0, errConnectionFailed }

// TestResponseIsCutOffUnlessCompleted guards against a response that ends normally
// by default: whatever was sent, only its completion lets it.
func TestResponseIsCutOffUnlessCompleted(t *testing.T) {
	tests := []struct {
		name   string
		send   func(r *callerResponse) error
		cutOff bool
	}{
		{"nothing", func(*callerResponse) error { return nil }, true},
		{"headers", func(r *callerResponse) error { r.begin(http.StatusOK); return nil }, true},
		{"part", func(r *callerResponse) error {
			r.begin(http.StatusOK)
			return errors.Join(r.write([]byte("part")), r.flush())
		}, true},
		{"part, completed", func(r *callerResponse) error {
			r.begin(http.StatusOK)
			err := r.write([]byte("part"))
			r.complete()
			return err
		}, false},
		{"whole", func(r *callerResponse) error { return r.writeWhole(http.StatusOK, []byte("whole")) }, false},
		{"whole without a body", func(r *callerResponse) error { return r.writeWhole(http.StatusNoContent, nil) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &callerResponse{writer: httptest.NewRecorder()}
			if err := tt.send(r); err != nil {
				t.Fatal(err)
			}
			if r.cutOff() != tt.cutOff {
				t.Errorf("cut off: %v, want %v", r.cutOff(), tt.cutOff)
			}
		})
	}
	failing := &callerResponse{writer: failingWriter{httptest.NewRecorder()}}
	if err := failing.writeWhole(http.StatusOK, []byte("whole")); !errors.Is(err, errConnectionFailed) || !failing.cutOff() {
		t.Errorf("error %v, cut off %v after a failed write; want that error, true", err, failing.cutOff())
	}
}

// TestSecondResponseIsRefused guards against a second response that is appended to
// the first: it sends nothing, and the first one stays as complete as it was.
func TestSecondResponseIsRefused(t *testing.T) {
	for _, completed := range []bool{false, true} {
		recorder := httptest.NewRecorder()
		q := &request{response: callerResponse{writer: recorder}}
		q.response.begin(http.StatusOK)
		if err := q.response.write([]byte("first")); err != nil {
			t.Fatal(err)
		}
		if completed {
			q.response.complete()
		}
		q.result.Status = http.StatusOK
		q.sendWhole(http.StatusInternalServerError, []byte("second"))
		if recorder.Body.String() != "first" || q.response.cutOff() == completed {
			t.Errorf("completed %v: body %q, cut off %v; want the first response only", completed, recorder.Body, q.response.cutOff())
		}
		if q.result.Outcome != OutcomeBroken || q.result.Status != http.StatusOK || q.result.Cause == "" {
			t.Errorf("result %+v, want outcome broken, the status that was sent and a cause", q.result)
		}
	}
}
