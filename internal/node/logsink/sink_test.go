package logsink_test

import (
	"bytes"
	"strings"
	"testing"

	"almondbay.example/internal/node/logsink"
)

// TestFullOutputDelaysNothing writes more than an output takes that is never
// read.
func TestFullOutputDelaysNothing(t *testing.T) {
	s := logsink.New(nil)
	for range 10_000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	if s.Dropped() != 0 {
		t.Error("dropped lines are counted twice")
	}
}

func TestStopWritesWhatIsLeft(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	for range 100 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	s.Stop()
	if err := s.Run(); err != nil || strings.Count(out.String(), "line\n") != 100 {
		t.Errorf("%d lines, %v", strings.Count(out.String(), "line\n"), err)
	}
}
