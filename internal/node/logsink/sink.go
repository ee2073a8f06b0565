// Package logsink writes log lines without ever holding up who logs: lines that
// the output can't take in time are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for the output.
const queueLines = 4096

// Sink is a zapcore.WriteSyncer over a slow output.
type Sink struct {
	output  io.Writer
	lines   chan []byte
	stop    chan struct{}
	dropped atomic.Uint64
}

// New returns a sink. Nothing is written before Run is called.
func New(output io.Writer) *Sink {
	return &Sink{output: output, lines: make(chan []byte, queueLines), stop: make(chan struct{})}
}

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() uint64 { return s.dropped.Swap(0) }

// Run writes lines until Stop, and then those that are left.
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

// Stop ends Run.
func (s *Sink) Stop() { close(s.stop) }

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

// maxBatch bounds the bytes of one write.
const maxBatch = 32 << 10

// write writes a line together with those that wait behind it.
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
