package logsink_test

import (
	"bytes"
	"strings"
	"testing"

	"almondbay.example/internal/node/logsink"
)

// TestFullQueueDropsLines guards against log output that blocks the node: without
// a running writer, more lines than the queue holds must be dropped and counted.
func TestFullQueueDropsLines(t *testing.T) {
	s := logsink.New(nil)
	for range 10_000 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped from the full queue")
	}
	if s.Dropped() != 0 {
		t.Error("dropped lines were counted twice")
	}
}

func TestStopWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	for range 100 {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	s.Stop()
	if err := s.Run(); err != nil || strings.Count(out.String(), "line\n") != 100 {
		t.Errorf("%d lines written, want 100; error %v", strings.Count(out.String(), "line\n"), err)
	}
}
