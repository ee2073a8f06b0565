package ingress

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

func ofSize(n int64) io.Reader { return io.LimitReader(endless{}, n) }

// TestBodiesInFlightAreBounded guards against running out of memory while many
// large responses are in flight, and against large ones that keep ordinary ones
// from being returned.
func TestBodiesInFlightAreBounded(t *testing.T) {
	const large = MaxBufferedBody - 1
	var buffers bodyBuffers
	var counts []int64
	var err error
	for err == nil && len(counts) <= MaxBufferedBodies/large {
		var counted int64
		if _, counted, err = buffers.read(ofSize(large)); err == nil {
			counts = append(counts, counted)
		}
	}
	if !errors.Is(err, errBodiesTooLarge) || len(counts) == 0 {
		t.Fatalf("error %v after %d large bodies, want %v", err, len(counts), errBodiesTooLarge)
	}
	if used := buffers.used.Load(); used > MaxBufferedBodies {
		t.Errorf("%d bytes in use, want at most %d", used, MaxBufferedBodies)
	}
	if body, counted, err := buffers.read(ofSize(freeBuffer - 1)); len(body) != freeBuffer-1 || counted != 0 || err != nil {
		t.Errorf("ordinary body: %d bytes, %d counted, error %v; want it whole and not counted", len(body), counted, err)
	}
	for _, counted := range counts {
		buffers.release(counted)
	}
	if used := buffers.used.Load(); used != 0 {
		t.Errorf("%d bytes in use after the release of all, want 0", used)
	}
}

// TestFailedBodyIsNotCounted guards against a total that never falls again after
// bodies that were too large or incomplete.
func TestFailedBodyIsNotCounted(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name   string
		source io.Reader
		want   error
	}{
		{"without end", endless{}, errBodyTooLarge},
		{"smallest too large", ofSize(MaxBufferedBody), errBodyTooLarge},
		{"broken", io.MultiReader(ofSize(MaxBufferedBody/2), iotest.ErrReader(broken)), broken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var buffers bodyBuffers
			body, counted, err := buffers.read(tt.source)
			if body != nil || counted != 0 || !errors.Is(err, tt.want) {
				t.Errorf("%d bytes, %d counted, error %v; want error %v", len(body), counted, err, tt.want)
			}
			if used := buffers.used.Load(); used != 0 {
				t.Errorf("%d bytes in use, want 0", used)
			}
		})
	}
}

// TestBodyIsReadUnchanged checks bodies whose sizes lie around those at which the
// buffer grows.
func TestBodyIsReadUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, freeBuffer, freeBuffer + 1, MaxBufferedBody - 1} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i % 251)
		}
		var buffers bodyBuffers
		got, _, err := buffers.read(iotest.HalfReader(bytes.NewReader(want)))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("body of %d bytes: got %d bytes, error %v; want it unchanged", size, len(got), err)
		}
	}
}
