package ingress

import (
	"errors"
	"fmt"
	"io"
)

const (
	// MaxBufferedBody is the size in bytes that a response body must stay below
	// to be buffered.
	MaxBufferedBody = 4 << 20
	// freeBuffer is the size in bytes up to which the buffer of a response is not
	// counted, so that ordinary responses are returned while the account is full.
	freeBuffer = 16 << 10
	// firstBuffer is the initial size in bytes of a buffer that grows. It holds most
	// small bodies.
	firstBuffer = 2 << 10
)

var (
	// errBodyTooLarge reports a response body that is not buffered for its size.
	errBodyTooLarge = fmt.Errorf("response body too large: %d bytes or more", MaxBufferedBody)
	// errOverLimit reports a body that is longer than its limit.
	errOverLimit = errors.New("body over its limit")
)

// bodyBuffer is the memory of a response body that is being read. Each byte of it is reserved
// before it is allocated.
type bodyBuffer struct {
	holding *holding
	// limit is the maximum size in bytes of the body.
	limit int64
	body  []byte
}

// countedBytes returns how many bytes of the buffer of a response body count.
func countedBytes(size int64) int64 {
	return max(size-freeBuffer, 0)
}

// readResponse reads a response body to its end. length is its size in bytes, or negative
// if that is not known. What the body takes is held until the request ends.
func (h *holding) readResponse(source io.Reader, length int64) ([]byte, error) {
	b := &bodyBuffer{holding: h, limit: MaxBufferedBody - 1}
	body, err := b.read(source, length)
	if errors.Is(err, errOverLimit) {
		return nil, errBodyTooLarge
	}
	return body, err
}

// readRequest reads a request body of at most limit bytes to its end, like readResponse.
func (h *holding) readRequest(source io.Reader, length, limit int64) ([][]byte, error) {
	b := &requestBuffer{holding: h, limit: limit}
	return b.read(source, length)
}

// read reads a body. Nothing is held after an error.
func (b *bodyBuffer) read(source io.Reader, length int64) ([]byte, error) {
	err := b.fill(source, length)
	if err != nil {
		b.release(int64(cap(b.body)))
		return nil, err
	}
	return b.body, nil
}

func (b *bodyBuffer) fill(source io.Reader, length int64) error {
	if length > b.limit {
		return errOverLimit
	}
	final := b.limit
	if length >= 0 {
		final = length
	}
	first := min(firstBuffer, final)
	if length > smallBody {
		// A response that does not fit is given up before it is read.
		first = length
	}
	if err := b.resize(first); err != nil {
		return err
	}
	for {
		var beyond [1]byte
		free, full := b.body[len(b.body):cap(b.body)], len(b.body) == cap(b.body)
		if full {
			// The body may end just here.
			free = beyond[:]
		}
		n, err := source.Read(free)
		switch {
		case !full:
			b.body = b.body[:len(b.body)+n]
		case n > 0:
			if err := b.extend(beyond[0], final); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// extend grows the buffer by half, up to a final size, and appends a byte.
func (b *bodyBuffer) extend(next byte, final int64) error {
	size := int64(cap(b.body))
	if size >= final {
		return errOverLimit
	}
	larger := max(size+size/2, firstBuffer)
	if size < freeBuffer {
		// An ordinary response is not counted.
		larger = min(larger, freeBuffer)
	}
	if err := b.resize(min(larger, final)); err != nil {
		return err
	}
	b.body = append(b.body, next)
	return nil
}

// resize moves the body to a buffer of another size. Both are counted meanwhile.
func (b *bodyBuffer) resize(size int64) error {
	if err := b.holding.reserve(classResponse, countedBytes(size)); err != nil {
		return err
	}
	old := int64(cap(b.body))
	b.body = append(make([]byte, 0, size), b.body...)
	b.release(old)
	return nil
}

// release releases a buffer of a size.
func (b *bodyBuffer) release(size int64) {
	b.holding.release(classResponse, countedBytes(size))
}
