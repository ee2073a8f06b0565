package ingress

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// MaxBufferedBody is the size in bytes that a response body must stay below
	// to be buffered.
	MaxBufferedBody = 4 << 20
	// MaxBufferedBodies is the maximum total size in bytes of the buffers of all
	// response bodies of a node, without the first freeBuffer bytes of each.
	MaxBufferedBodies = 16 << 20
	// freeBuffer is the size in bytes up to which a buffer is not counted, so that
	// ordinary responses are returned while large ones have used up the total.
	freeBuffer = 16 << 10
	// firstBuffer is the initial size in bytes of a buffer. It holds the response
	// of most plain services.
	firstBuffer = 2 << 10
)

// Errors of bodyBuffers.read.
var (
	errBodyTooLarge   = fmt.Errorf("response body too large: %d bytes or more", MaxBufferedBody)
	errBodiesTooLarge = fmt.Errorf("response bodies of all requests in flight too large: more than %d bytes", MaxBufferedBodies)
)

// bodyBuffers counts the memory of the response bodies that a node buffers. The
// zero value is ready for use.
type bodyBuffers struct {
	used atomic.Int64
}

// read reads a body to its end. The bytes that it returns as counted must be
// released when the body is no longer referenced; after an error they are zero.
func (b *bodyBuffers) read(source io.Reader) (body []byte, counted int64, err error) {
	body = make([]byte, 0, firstBuffer)
	for {
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, counted, nil
		}
		if err == nil && len(body) == cap(body) {
			var more int64
			body, more, err = b.grow(body)
			counted += more
		}
		if err != nil {
			b.release(counted)
			return nil, 0, err
		}
	}
}

// grow doubles the buffer of a body and returns by how much the count grew.
func (b *bodyBuffers) grow(body []byte) ([]byte, int64, error) {
	if len(body) >= MaxBufferedBody {
		return nil, 0, errBodyTooLarge
	}
	size := 2 * cap(body)
	more := int64(max(size, freeBuffer) - max(cap(body), freeBuffer))
	if b.used.Add(more) > MaxBufferedBodies {
		b.release(more)
		return nil, 0, errBodiesTooLarge
	}
	return append(make([]byte, 0, size), body...), more, nil
}

// release subtracts counted bytes.
func (b *bodyBuffers) release(counted int64) {
	b.used.Add(-counted)
}
