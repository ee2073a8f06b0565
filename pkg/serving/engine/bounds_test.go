package engine_test

import (
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"almondbay.example/serving/engine"
)

// repeated reads a text again and again, up to a number of bytes.
type repeated struct {
	text        string
	start, left int
}

func (r *repeated) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	n := copy(b, r.text[r.start:])
	r.start = (r.start + n) % len(r.text)
	r.left -= n
	return n, nil
}

// TestEventsWithoutEnd guards against a stream that goes on without tokens, and
// against memory that grows with the length of a stream.
func TestEventsWithoutEnd(t *testing.T) {
	const (
		maxReadBytes      = 24 << 20
		maxAllocatedBytes = 8 << 20
	)
	// The text is long, so that a read fills the buffer.
	long := func(event string) string { return strings.Repeat(event, 1<<12) }
	tests := map[string]struct {
		text string
		err  error
	}{
		"one event":             {"x", engine.ErrEventTooLong},
		"comments":              {": comment\n\n", engine.ErrNoProgress},
		"blank lines":           {"\n", engine.ErrNoProgress},
		"events without tokens": {event("0+0", "x"), engine.ErrNoProgress},
		"repeated tokens":       {event("0+1", "x"), engine.ErrNoProgress},
		"tokens":                {event("", "x"), engine.ErrTruncated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			events := engine.NewEvents(&repeated{text: long(tt.text), left: maxReadBytes}, 0)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var err error
			for err == nil {
				_, err = events.Next()
			}
			runtime.ReadMemStats(&after)
			if !errors.Is(err, tt.err) {
				t.Errorf("got error %v, want %v", err, tt.err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocatedBytes {
				t.Errorf("allocated %d bytes, want at most %d", n, maxAllocatedBytes)
			}
		})
	}
}

// TestEventsAfterSkippedBytes guards against a limit that counts the bytes before
// the last new token.
func TestEventsAfterSkippedBytes(t *testing.T) {
	comments := strings.Repeat(": comment\n\n", engine.MaxSkippedBytes/11)
	stream := comments + event("0+1", "x") + comments + event("1+1", "y") + event("", "[DONE]")
	events := engine.NewEvents(strings.NewReader(stream), 0)
	tokens := 0
	for {
		b, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		tokens += b.Tokens
	}
	if tokens != 2 {
		t.Errorf("got %d tokens, want 2", tokens)
	}
}
