package stream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/internal/routing/stream"
)

// TestReaderReturnsCompleteEvents checks that complete events are returned byte
// for byte, with their IDs, and that an incomplete event at the end is left in
// Rest. The source returns one byte per read.
func TestReaderReturnsCompleteEvents(t *testing.T) {
	tests := []struct {
		name, source string
		ids          []string
		rest         string
	}{
		{"complete events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, ""},
		{"incomplete last event", "id: 1\ndata: a\n\nid: 2\ndata", []string{"1"}, "id: 2\ndata"},
		{"CRLF line endings", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, ""},
		{"without IDs", "data: a\n\ndata: b\n\n", []string{"", ""}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reader := stream.NewReader(iotest.OneByteReader(strings.NewReader(tt.source)))
			var ids []string
			raw := ""
			for {
				event, err := reader.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				ids = append(ids, event.ID)
				raw += string(event.Raw)
			}
			if diff := cmp.Diff(tt.ids, ids); diff != "" {
				t.Errorf("event IDs (-want +got):\n%s", diff)
			}
			if string(reader.Rest()) != tt.rest || raw+tt.rest != tt.source {
				t.Errorf("events %q, rest %q; want %q in all, rest %q", raw, reader.Rest(), tt.source, tt.rest)
			}
		})
	}
}

// TestEventAboveMaxSizeIsRejected guards against unbounded buffering of a stream
// without blank lines.
func TestEventAboveMaxSizeIsRejected(t *testing.T) {
	reader := stream.NewReader(strings.NewReader("data: " + strings.Repeat("x", stream.MaxEventBytes)))
	if _, err := reader.Next(); !errors.Is(err, stream.ErrTooLong) {
		t.Errorf("error %v, want ErrTooLong", err)
	}
}

// endless is a stream of one byte value without end. It counts the bytes read.
type endless struct {
	value byte
	read  int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.value
	}
	e.read += len(p)
	return len(p), nil
}

// TestEventWithoutEndTakesLittleMemory guards against running out of memory while
// hundreds of streams hold an event without end: each held 1 MB.
func TestEventWithoutEndTakesLittleMemory(t *testing.T) {
	const (
		streams  = 500
		maxBytes = 40 << 20
	)
	source := &endless{value: 'x'}
	if _, err := stream.NewReader(source).Next(); !errors.Is(err, stream.ErrTooLong) {
		t.Errorf("error %v, want ErrTooLong", err)
	}
	if all := streams * source.read; all > maxBytes {
		t.Errorf("%d streams read %d bytes of events without end, want at most %d", streams, all, maxBytes)
	}
}

// TestPaddingWithoutEndIsRejected guards against streams that go on without end
// and without an event.
func TestPaddingWithoutEndIsRejected(t *testing.T) {
	for _, padding := range []string{"\n", "\r\n", ": comment\n\n", "event: a\n\n", "datas: x\n\n", "no field\n\n", "\x00\n\n"} {
		t.Run(padding, func(t *testing.T) {
			within := strings.Repeat(padding, stream.MaxPaddingBytes/len(padding))
			reader := stream.NewReader(strings.NewReader(within + "data: a\n\n" + within + "id: 1\n\n" + within + padding + padding))
			events := 0
			var err error
			for err == nil {
				var event stream.Event
				if event, err = reader.Next(); err == nil && !event.Padding {
					events++
				}
			}
			if !errors.Is(err, stream.ErrTooMuchPadding) || events != 2 {
				t.Errorf("error %v after %d events, want ErrTooMuchPadding after 2", err, events)
			}
		})
	}
}

// FuzzReader checks that no byte of the source is lost, duplicated or reordered.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, source string) {
		reader := stream.NewReader(strings.NewReader(source))
		raw := ""
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			raw += string(event.Raw)
		}
		if got := raw + string(reader.Rest()); got != source && len(source) < stream.MaxEventBytes {
			t.Errorf("events and rest %q, want %q", got, source)
		}
	})
}
