// Package stream splits a stream of server-sent events into whole events, so
// that a stream that broke can go on at another backend server without a gap,
// a repeat or half an event.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLong reports an event that is larger than MaxEventBytes.
var ErrTooLong = errors.New("stream: event too long")

// MaxEventBytes bounds one event; the largest chunk that is held back from a
// caller.
const MaxEventBytes = 1 << 20

// Event is one whole event.
type Event struct {
	// ID is the event's ID; empty when it has none.
	ID string
	// Raw holds the event's bytes with the blank line that ends it.
	Raw []byte
}

// Reader reads whole events. Bytes after the last blank line are never
// returned as an event; see Rest.
type Reader struct {
	source *bufio.Reader
	buffer []byte
}

// bufferBytes holds a few events of usual size.
const bufferBytes = 4 << 10

// NewReader returns a reader of source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferBytes)}
}

// Next returns the next event. Its Raw is valid until the next call. At the
// end of the stream it returns io.EOF; Rest then tells of bytes that belong to
// no whole event.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	var event Event
	for {
		start := len(r.buffer)
		if err := r.line(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.buffer
			return event, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// line appends one line with its end to the buffer.
func (r *Reader) line() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.buffer = append(r.buffer, part...)
		if len(r.buffer) > MaxEventBytes {
			return ErrTooLong
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// Rest returns the bytes that were read since the last whole event.
func (r *Reader) Rest() []byte {
	return r.buffer
}

// Ready reports whether another whole event is at hand without waiting.
func (r *Reader) Ready() bool {
	n := r.source.Buffered()
	if n == 0 {
		return false
	}
	// Peek of what is buffered can't fail.
	next, _ := r.source.Peek(n)
	return bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n"))
}
