package engine

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// initialBufferBytes is the initial size of the buffer of a stream.
	initialBufferBytes = 4 << 10
	// MaxEventBytes bounds the size of one server-sent event.
	MaxEventBytes = 1 << 20
	// MaxSkippedBytes bounds the events between two new tokens: comments, events
	// without tokens and events that repeat tokens.
	MaxSkippedBytes = 16 << 20
)

var (
	eventSeparator = []byte("\n\n")
	idField        = []byte("id: ")
	dataField      = []byte("data:")
	endMarker      = []byte("[DONE]")
	errorObject    = []byte(`{"error"`)
	errorEvent     = []byte("event: error")
)

// Errors of an event stream.
var (
	// ErrEventTooLong reports an event larger than MaxEventBytes.
	ErrEventTooLong = Error.New("event exceeds the size limit")
	// ErrNoProgress reports more than MaxSkippedBytes without a new token.
	ErrNoProgress = Error.New("stream exceeds the size limit between two new tokens")
	// ErrTruncated reports a stream that ended before its end marker.
	ErrTruncated = Error.New("stream ended before its end marker")
	// ErrEngineError reports that the engine sent an error as an event of the
	// stream.
	ErrEngineError = Error.New("engine sent an error event")
)

// Batch is a sequence of complete events with contiguous tokens.
type Batch struct {
	// Data holds the bytes of the events as received. It is valid until the next
	// call to Next.
	Data []byte
	// Offset is the index of the first token within the answer.
	Offset int
	// Tokens is the number of tokens.
	Tokens int
	// Indexed is set if the engine sent the offset of each event that has tokens.
	Indexed bool
	// End is set if the last event is the end marker.
	End bool
}

// Events splits a stream of server-sent events into batches. The id field of an
// event may hold the range of its tokens within the answer as "offset+tokens". An
// event without such a field counts as one token at the expected offset.
type Events struct {
	reader io.Reader
	buffer []byte
	// start and end delimit the bytes of the buffer that were received but not yet
	// returned.
	start, end int
	// next is the expected offset of the next event.
	next int
	// skipped is the number of bytes since the last new token.
	skipped int
	ended   bool
	err     error
	onGrow  func(bytes int) error
}

// NewEvents returns the events of a stream whose first token has the given
// offset within the answer.
func NewEvents(r io.Reader, offset int) *Events {
	return &Events{reader: r, buffer: make([]byte, initialBufferBytes), next: offset}
}

// OnGrow sets a function that is called with the size of the buffer before the
// buffer grows. An error that it returns ends the stream.
func (e *Events) OnGrow(f func(bytes int) error) {
	e.onGrow = f
}

// Next returns the next batch: all complete events received so far, up to the
// first gap. An event that repeats tokens forms a batch of its own. After the end
// marker, Next returns io.EOF; if the stream ends or fails before the end marker,
// it returns another error.
func (e *Events) Next() (Batch, error) {
	for {
		if e.ended {
			return Batch{}, io.EOF
		}
		b, err := e.nextBatch()
		if err != nil || len(b.Data) > 0 {
			return b, err
		}
		if e.err != nil {
			return Batch{}, e.err
		}
		e.fill()
	}
}

// fill reads more bytes into the buffer, which it compacts and enlarges as
// needed.
func (e *Events) fill() {
	if e.start > 0 {
		copy(e.buffer, e.buffer[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buffer) {
		if len(e.buffer) >= MaxEventBytes {
			e.err = ErrEventTooLong
			return
		}
		if e.onGrow != nil {
			if e.err = e.onGrow(2 * len(e.buffer)); e.err != nil {
				return
			}
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

// nextBatch returns the contiguous complete events in the buffer; the batch is
// empty if there are none.
func (e *Events) nextBatch() (Batch, error) {
	var batch Batch
	first := e.start
	for !e.ended {
		length := bytes.Index(e.buffer[e.start:e.end], eventSeparator)
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
		e.start += length + len(eventSeparator)
		e.recordProgress(v, length+len(eventSeparator))
		if v.Offset < e.next {
			// An event that repeats tokens is a separate batch, so that it can be
			// dropped without the events after it.
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

// recordProgress counts the bytes of an event unless it has new tokens.
func (e *Events) recordProgress(v Batch, length int) {
	if v.Tokens > 0 && v.Offset >= e.next {
		e.skipped = 0
		return
	}
	e.skipped += length
	if e.skipped > MaxSkippedBytes {
		e.err = ErrNoProgress
	}
}

// parseEvent parses one event, given without the blank line that ends it. The end
// marker and events without data have no tokens and are at the expected offset.
func parseEvent(event []byte, expected int) (Batch, error) {
	v := Batch{Offset: expected, Indexed: true}
	hasRange := false
	hasData := false
	for line := event; len(line) > 0; {
		rest := []byte(nil)
		if i := bytes.IndexByte(line, '\n'); i >= 0 {
			line, rest = line[:i], line[i+1:]
		}
		switch {
		case bytes.HasPrefix(line, idField):
			hasRange = parseTokenRange(line[len(idField):], &v)
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
	if !hasRange {
		return Batch{Offset: expected, Tokens: 1}, nil
	}
	return v, nil
}

// parseTokenRange parses "offset+tokens" into v. It reports false and leaves v
// unchanged if the field has another form.
func parseTokenRange(field []byte, v *Batch) bool {
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
