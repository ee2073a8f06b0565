// Package stream splits a stream of server-sent events into complete events, so
// that an interrupted stream can be resumed at another backend server without
// gaps, duplicates or partial events.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLong reports an event that is larger than MaxEventBytes.
var ErrTooLong = fmt.Errorf("stream: event too long: more than %d bytes", MaxEventBytes)

// MaxEventBytes is the maximum size of an event in bytes, and so of the data
// that is buffered before it is sent to the caller. An event of a few tokens has
// a few hundred bytes.
const MaxEventBytes = 64 << 10

// ErrTooMuchPadding reports more than MaxPaddingBytes of padding.
var ErrTooMuchPadding = fmt.Errorf("stream: padding between two events too long: more than %d bytes", MaxPaddingBytes)

// MaxPaddingBytes is the maximum number of bytes of padding after an event.
const MaxPaddingBytes = 64 << 10

// Event is one complete event, or padding: blank lines, comments and lines that
// are no field.
type Event struct {
	// ID is the event's ID; empty when it has none.
	ID string
	// Padding is set when the event has neither data nor an ID.
	Padding bool
	// Foreign is set when a line is neither a comment nor a field of the format.
	Foreign bool
	// Raw holds the bytes of the event, including the blank line at its end.
	Raw []byte
}

// Reader reads complete events. Bytes after the last blank line are never
// returned as an event; see Rest.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	// padding is the number of bytes of padding since the last event.
	padding int
}

// bufferBytes is the size of the read buffer: a few typical events.
const bufferBytes = 4 << 10

// NewReader returns a reader of source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferBytes)}
}

// Next returns the next event. Its Raw is valid until the next call. At the end
// of the stream it returns io.EOF; Rest then returns the bytes of an incomplete
// event, if any.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	event := Event{Padding: true}
	for {
		start := len(r.buffer)
		if err := r.line(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.buffer
			if err := r.countPadding(event); err != nil {
				return Event{}, err
			}
			return event, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
			event.Padding = false
		case "data":
			event.Padding = false
		case "", "event", "retry":
		default:
			event.Foreign = true
		}
	}
}

// countPadding counts the bytes of consecutive padding.
func (r *Reader) countPadding(event Event) error {
	if !event.Padding {
		r.padding = 0
		return nil
	}
	r.padding += len(event.Raw)
	if r.padding > MaxPaddingBytes {
		return ErrTooMuchPadding
	}
	return nil
}

// line appends one line, including its line ending, to the buffer.
func (r *Reader) line() error {
	for {
		fragment, err := r.source.ReadSlice('\n')
		r.buffer = append(r.buffer, fragment...)
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

// Rest returns the bytes read since the last complete event. It is meaningful
// only after Next has returned an error.
func (r *Reader) Rest() []byte {
	return r.buffer
}

// Ready reports whether the read buffer holds the end of another event, so that
// Next returns without waiting for the source.
func (r *Reader) Ready() bool {
	n := r.source.Buffered()
	if n == 0 {
		return false
	}
	// Peek cannot fail for bytes that are already buffered.
	next, _ := r.source.Peek(n)
	return bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n"))
}
