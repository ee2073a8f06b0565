package ingress

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/jonboulle/clockwork"
)

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

func ofSize(n int64) io.Reader { return io.LimitReader(endless{}, n) }

// newHolding returns the holding of a request in an account.
func newHolding(a *account) *holding { return &holding{account: a, workspace: "ws"} }

// TestBodiesInFlightAreBounded guards against running out of memory while many
// large responses are in flight, and against large ones that keep ordinary ones
// from being returned.
func TestBodiesInFlightAreBounded(t *testing.T) {
	const size, large = 16 << 20, MaxBufferedBody - 1
	for name, length := range map[string]int64{"known length": large, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			a := newAccount(clockwork.NewFakeClock(), size)
			var holdings []*holding
			var err error
			for err == nil && len(holdings) <= size/large {
				h := newHolding(a)
				if _, err = h.readResponse(ofSize(large), length); err == nil {
					holdings = append(holdings, h)
				}
			}
			var full *fullError
			if !errors.As(err, &full) || len(holdings) == 0 {
				t.Fatalf("error %v after %d large bodies, want %T", err, len(holdings), full)
			}
			if a.used > size {
				t.Errorf("%d bytes in use, want at most %d", a.used, size)
			}
			before := a.used
			if body, err := newHolding(a).readResponse(ofSize(freeBuffer-1), -1); len(body) != freeBuffer-1 || a.used != before || err != nil {
				t.Errorf("ordinary body: %d bytes, %d counted, error %v; want it whole and not counted", len(body), a.used-before, err)
			}
			for _, h := range holdings {
				h.releaseAll()
			}
			if a.used != 0 {
				t.Errorf("%d bytes in use after the release of all, want 0", a.used)
			}
		})
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
			a := newAccount(clockwork.NewFakeClock(), 0)
			body, err := newHolding(a).readResponse(tt.source, -1)
			if body != nil || !errors.Is(err, tt.want) {
				t.Errorf("%d bytes, error %v; want error %v", len(body), err, tt.want)
			}
			if a.used != 0 {
				t.Errorf("%d bytes in use, want 0", a.used)
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
		for _, length := range []int64{-1, int64(size)} {
			h := newHolding(newAccount(clockwork.NewFakeClock(), 0))
			got, err := h.readResponse(iotest.HalfReader(bytes.NewReader(want)), length)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("response of %d bytes, length %d: got %d bytes, error %v; want it unchanged", size, length, len(got), err)
			}
			pieces, err := h.readRequest(iotest.HalfReader(bytes.NewReader(want)), length, int64(size))
			if got := bytes.Join(pieces, nil); err != nil || !bytes.Equal(got, want) {
				t.Errorf("request of %d bytes, length %d: got %d bytes, error %v; want it unchanged", size, length, len(got), err)
			}
		}
	}
}

// TestBufferFitsBody guards against buffers of up to twice the body: the memory of a node
// held half as many bodies as it could.
func TestBufferFitsBody(t *testing.T) {
	for _, size := range []int64{1, firstBuffer + 1, smallBody, smallBody + 1, 1 << 20} {
		for _, length := range []int64{-1, size} {
			a := newAccount(clockwork.NewFakeClock(), 0)
			h := newHolding(a)
			body, err := h.readRequest(ofSize(size), length, 4<<20)
			if err != nil {
				t.Fatal(err)
			}
			most := max(size, firstBuffer) * 3 / 2
			if length >= 0 {
				most = size
			}
			got := int64(0)
			for _, piece := range body {
				got += int64(cap(piece))
			}
			if got > most || a.used != got {
				t.Errorf("body of %d bytes, length %d: buffer of %d bytes, %d counted; want at most %d, all counted", size, length, got, a.used, most)
			}
		}
	}
}
