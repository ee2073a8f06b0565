// Package logsink writes log lines asynchronously, so that a slow output never
// blocks the logging goroutine. Lines that exceed the queue are dropped and
// counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// queueLines limits the number of lines in the queue.
const queueLines = 4096

// Sink is a zapcore.WriteSyncer that queues lines for a slow output.
type Sink struct {
	output  io.Writer
	lines   chan []byte
	stop    chan struct{}
	dropped atomic.Uint64
}

// New returns a sink that queues lines until Run is called.
func New(output io.Writer) *Sink {
	return &Sink{output: output, lines: make(chan []byte, queueLines), stop: make(chan struct{})}
}

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case s.lines <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for queued lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() uint64 { return s.dropped.Swap(0) }

// Run writes queued lines until Stop is called, then the remaining ones, and
// returns. It also returns on a write error.
func (s *Sink) Run() error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		case <-s.stop:
			return s.drain()
		}
	}
}

// Stop makes Run write the remaining lines and return.
func (s *Sink) Stop() { close(s.stop) }

// drain writes the remaining queued lines.
func (s *Sink) drain() error {
	for {
		select {
		case line := <-s.lines:
			if err := s.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// maxBatch is the number of bytes above which a write is not extended by further
// lines.
const maxBatch = 32 << 10

// write writes a line in one batch with the lines queued after it.
func (s *Sink) write(line []byte) error {
	for len(line) < maxBatch {
		select {
		case next := <-s.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	_, err := s.output.Write(line)
	return err
}
