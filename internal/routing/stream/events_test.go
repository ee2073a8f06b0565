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

func TestReader(t *testing.T) {
	tests := []struct {
		name, source string
		ids          []string
		rest         string
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, ""},
		{"cut in an event", "id: 1\ndata: a\n\nid: 2\ndata", []string{"1"}, "id: 2\ndata"},
		{"carriage returns", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, ""},
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
				t.Error(diff)
			}
			if string(reader.Rest()) != tt.rest || raw+tt.rest != tt.source {
				t.Errorf("events %q, rest %q", raw, reader.Rest())
			}
		})
	}
}

func TestEventTooLong(t *testing.T) {
	reader := stream.NewReader(strings.NewReader("data: " + strings.Repeat("x", stream.MaxEventBytes)))
	if _, err := reader.Next(); !errors.Is(err, stream.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}

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
			t.Errorf("read %q of %q", got, source)
		}
	})
}
