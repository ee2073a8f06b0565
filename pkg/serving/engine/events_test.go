package engine_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/serving/engine"
)

// event returns one server-sent event, without an id field if id is empty.
func event(id, data string) string {
	if id != "" {
		id = "id: " + id + "\n"
	}
	return id + "data: " + data + "\n\n"
}

// TestEventsBatches guards against batches that hide a gap or a repeated token
// within them, and against a broken stream that is taken for a complete one.
func TestEventsBatches(t *testing.T) {
	done := event("", "[DONE]")
	tests := []struct {
		name    string
		stream  string
		offset  int
		batches []engine.Batch
		err     error
	}{
		{"with offsets", event("0+1", "a") + event("1+2", "b") + done, 0, []engine.Batch{{Tokens: 3, Indexed: true, End: true}}, io.EOF},
		{"without offsets", event("", "a") + event("", "b") + done, 0, []engine.Batch{{Tokens: 2}, {Offset: 2, Indexed: true, End: true}}, io.EOF},
		{"resumed", event("7+1", "a") + done, 7, []engine.Batch{{Offset: 7, Tokens: 1, Indexed: true, End: true}}, io.EOF},
		{"gap", event("0+1", "a") + event("5+1", "b") + done, 0, []engine.Batch{{Tokens: 1, Indexed: true}, {Offset: 5, Tokens: 1, Indexed: true, End: true}}, io.EOF},
		{"repeated", event("0+2", "a") + event("0+1", "b") + event("2+1", "c") + done, 0, []engine.Batch{{Tokens: 2, Indexed: true}, {Tokens: 1, Indexed: true}, {Offset: 2, Tokens: 1, Indexed: true, End: true}}, io.EOF},
		{"truncated", event("0+1", "a"), 0, []engine.Batch{{Tokens: 1, Indexed: true}}, engine.ErrTruncated},
		{"truncated within an event", event("0+1", "a") + "data: [DONE]", 0, []engine.Batch{{Tokens: 1, Indexed: true}}, engine.ErrTruncated},
		{"error event", event("0+1", "a") + event("", `{"error":{}}`), 0, []engine.Batch{{Tokens: 1, Indexed: true}}, engine.ErrEngineError},
		{"comment", ": hello\n\n" + done, 0, []engine.Batch{{Indexed: true, End: true}}, io.EOF},
		{"after the end", done + event("0+1", "late"), 0, []engine.Batch{{Indexed: true, End: true}}, io.EOF},
		{"too long", "data: " + strings.Repeat("x", 2<<20), 0, nil, engine.ErrEventTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			events := engine.NewEvents(strings.NewReader(tt.stream), tt.offset)
			var got []engine.Batch
			var err error
			for err == nil {
				var b engine.Batch
				if b, err = events.Next(); err == nil {
					b.Data = nil
					got = append(got, b)
				}
			}
			if diff := cmp.Diff(tt.batches, got); diff != "" {
				t.Error(diff)
			}
			if !errors.Is(err, tt.err) {
				t.Errorf("stream ended with error %v, want %v", err, tt.err)
			}
		})
	}
}

// FuzzEvents checks that the returned bytes and tokens do not depend on how the
// stream is split into reads, and that the bytes are a prefix of the stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(event("0+1", "a") + event("1+1", "b") + event("", "[DONE]")))
	f.Add([]byte("id: 9+9\ndata: x\n\n\n\n: c\n\nevent: error\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, tokens := drain(engine.NewEvents(strings.NewReader(string(stream)), 0))
		split, splitTokens := drain(engine.NewEvents(iotest.OneByteReader(strings.NewReader(string(stream))), 0))
		if whole != split || tokens != splitTokens {
			t.Fatalf("%q and %d tokens in one read, %q and %d in reads of one byte", whole, tokens, split, splitTokens)
		}
		if !strings.HasPrefix(string(stream), whole) {
			t.Fatalf("returned bytes %q are not a prefix of the stream %q", whole, stream)
		}
	})
}

// drain reads all batches and returns their bytes and number of tokens.
func drain(e *engine.Events) (string, int) {
	var text strings.Builder
	tokens := 0
	for {
		b, err := e.Next()
		if err != nil {
			return text.String(), tokens
		}
		text.Write(b.Data)
		tokens += b.Tokens
	}
}
