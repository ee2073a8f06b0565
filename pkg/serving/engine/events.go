package engine

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// firstBufferBytes is the size of the buffer that a stream starts with.
	firstBufferBytes = 4 << 10
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
)

var (
	endOfEvent  = []byte("\n\n")
	idField     = []byte("id: ")
	dataField   = []byte("data:")
	endMarker   = []byte("[DONE]")
	errorObject = []byte(`{"error"`)
	errorEvent  = []byte("event: error")
)

// Errors of a stream of events.
var (
	// ErrEventTooLong reports an event above the bound.
	ErrEventTooLong = Error.New("event too long")
	// ErrTruncated reports a stream that ended before its end marker.
	ErrTruncated = Error.New("stream ended before its end marker")
	// ErrEngineError reports that the engine sent an error within the stream.
	ErrEngineError = Error.New("engine reported an error within the stream")
)

// Batch is a run of whole events whose tokens follow each other.
type Batch struct {
	// Data holds the events as received. It is valid until the next call of
	// Next.
	Data []byte
	// Offset is the index, in the whole answer, of the first token.
	Offset int
	Tokens int
	// Indexed is set when the engine stated the offset of each event.
	Indexed bool
	// End is set when the last event is the end marker.
	End bool
}

// Events splits a stream of server-sent events into batches. An event may
// state its place in the answer in its id field as "offset+tokens"; an event
// without counts as the next token.
type Events struct {
	reader io.Reader
	buffer []byte
	// start and end bound the bytes received and not yet returned.
	start, end int
	// next is the offset expected of the next event.
	next  int
	ended bool
	err   error
}

// NewEvents returns the events of a stream that starts at an offset.
func NewEvents(r io.Reader, offset int) *Events {
	return &Events{reader: r, buffer: make([]byte, firstBufferBytes), next: offset}
}

// Next returns the next batch: all whole events that have arrived, as far as
// they are contiguous. An event that repeats tokens is a batch of its own. After the end marker it returns io.EOF; a stream that
// ends or breaks before gives an error that is not io.EOF.
func (e *Events) Next() (Batch, error) {
	for {
		if e.ended {
			return Batch{}, io.EOF
		}
		b, err := e.take()
		if err != nil || len(b.Data) > 0 {
			return b, err
		}
		if e.err != nil {
			return Batch{}, e.err
		}
		e.fill()
	}
}

// fill reads more bytes, behind those not yet returned.
func (e *Events) fill() {
	if e.start > 0 {
		copy(e.buffer, e.buffer[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buffer) {
		if len(e.buffer) >= maxEventBytes {
			e.err = ErrEventTooLong
			return
		}
		e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
	}
	n, err := e.reader.Read(e.buffer[e.end:])
	e.end += n
	switch {
	case errors.Is(err, io.EOF):
		e.err = ErrTruncated
	case err != nil:
		e.err = Error.Wrap(err)
	}
}

// take returns the contiguous whole events in the buffer.
func (e *Events) take() (Batch, error) {
	var batch Batch
	first := e.start
	for !e.ended {
		length := bytes.Index(e.buffer[e.start:e.end], endOfEvent)
		if length < 0 {
			break
		}
		v, err := parseEvent(e.buffer[e.start:e.start+length], e.next)
		if err != nil {
			if len(batch.Data) > 0 {
				return batch, nil
			}
			return Batch{}, err
		}
		if len(batch.Data) > 0 && (v.Offset != e.next || v.Indexed != batch.Indexed) {
			return batch, nil
		}
		if len(batch.Data) == 0 {
			batch.Offset, batch.Indexed = v.Offset, v.Indexed
		}
		e.start += length + len(endOfEvent)
		if v.Offset < e.next {
			// An event that repeats tokens stands alone, so that it can be
			// dropped without those behind it.
			v.Data = e.buffer[first:e.start]
			return v, nil
		}
		e.next = v.Offset + v.Tokens
		e.ended = v.End
		batch.Tokens += v.Tokens
		batch.End = v.End
		batch.Data = e.buffer[first:e.start]
	}
	return batch, nil
}

// parseEvent reads one event, without the blank line behind it. The end marker
// and events without data have no tokens and stand at the expected offset.
func parseEvent(event []byte, expected int) (Batch, error) {
	v := Batch{Offset: expected, Indexed: true}
	stated := false
	hasData := false
	for line := event; len(line) > 0; {
		rest := []byte(nil)
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line, rest = line[:i], line[i+1:]
		}
		switch {
		case bytes.HasPrefix(line, idField):
			stated = parsePlace(line[len(idField):], &v)
		case bytes.HasPrefix(line, dataField):
			data := bytes.TrimLeft(line[len(dataField):], " ")
			if bytes.HasPrefix(data, errorObject) {
				return Batch{}, ErrEngineError
			}
			v.End = v.End || bytes.Equal(data, endMarker)
			hasData = true
		case bytes.HasPrefix(line, errorEvent):
			return Batch{}, ErrEngineError
		}
		line = rest
	}
	if v.End || !hasData {
		return Batch{Offset: expected, Indexed: true, End: v.End}, nil
	}
	if !stated {
		return Batch{Offset: expected, Tokens: 1}, nil
	}
	return v, nil
}

// parsePlace reads "offset+tokens". It leaves v alone and reports false when
// the field says something else.
func parsePlace(field []byte, v *Batch) bool {
	plus := bytes.IndexByte(field, '+')
	if plus < 0 {
		return false
	}
	offset, err := strconv.ParseUint(string(field[:plus]), 10, 31)
	if err != nil {
		return false
	}
	tokens, err := strconv.ParseUint(string(field[plus+1:]), 10, 31)
	if err != nil {
		return false
	}
	v.Offset, v.Tokens = int(offset), int(tokens)
	return true
}
