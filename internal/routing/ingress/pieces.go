package ingress

import (
	"errors"
	"io"
	"sync"

	"almondbay.example/internal/routing/caller"
)

const (
	// maxPiece is the maximum size in bytes of a piece of a request body.
	maxPiece = 64 << 10
	// longBody is the size in bytes of a body from which on a wider receive buffer is worth
	// its memory.
	longBody = 256 << 10
)

// spare has pieces of maxPiece bytes of bodies that were refused while they were read. Left
// to the garbage collector, those of a crowd are more than all that is counted.
var spare = sync.Pool{New: func() any { return new([maxPiece]byte) }}

// newPiece returns an empty piece of a size.
func newPiece(size int64) []byte {
	if size < maxPiece {
		return make([]byte, 0, size)
	}
	return spare.Get().(*[maxPiece]byte)[:0]
}

// recycle takes back the pieces of a body that nothing has read.
func recycle(pieces [][]byte) {
	for _, p := range pieces {
		if cap(p) == maxPiece {
			spare.Put((*[maxPiece]byte)(p[:maxPiece]))
		}
	}
}

// requestBuffer is the memory of a request body that is being read. It grows by pieces, so
// that nothing is copied, and each is reserved before it is allocated.
type requestBuffer struct {
	holding *holding
	// limit is the maximum size in bytes of the body.
	limit int64
	// reserved is the number of bytes that are reserved, all in one class. allocated is the
	// size of the pieces, and at most reserved.
	reserved, allocated int64
	pieces              [][]byte
	// widened is set once the receive buffer was widened, or there was no room for that.
	widened bool
}

// read reads a body to its end. length is its size in bytes, or negative if that is not
// known. Nothing is held after an error.
func (b *requestBuffer) read(source io.Reader, length int64) ([][]byte, error) {
	err := b.fill(source, length)
	if err != nil {
		b.holding.release(requestClass(b.reserved), b.reserved)
		recycle(b.pieces)
		return nil, err
	}
	return b.pieces, nil
}

func (b *requestBuffer) fill(source io.Reader, length int64) error {
	if length > b.limit {
		return errOverLimit
	}
	final := b.limit
	if length >= 0 {
		final = length
		// All of it is reserved on arrival, so that a large body is refused before it is sent.
		if err := b.reserve(length); err != nil {
			return err
		}
	}
	for !b.full() || b.allocated < final {
		if b.full() {
			if err := b.grow(final); err != nil {
				return err
			}
		}
		last := &b.pieces[len(b.pieces)-1]
		n, err := source.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return expectEnd(source)
}

// full reports whether the last piece is full.
func (b *requestBuffer) full() bool {
	if len(b.pieces) == 0 {
		return true
	}
	last := b.pieces[len(b.pieces)-1]
	return len(last) == cap(last)
}

// expectEnd returns nil if nothing is left to read.
func expectEnd(source io.Reader) error {
	n, err := io.ReadFull(source, make([]byte, 1))
	switch {
	case n > 0:
		return errOverLimit
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// grow adds a piece of half the size so far, up to a final size.
func (b *requestBuffer) grow(final int64) error {
	size := int64(firstBuffer)
	if b.allocated > 0 {
		size = b.allocated / 2
	}
	size = min(size, maxPiece, final-b.allocated)
	if b.allocated < smallBody {
		// A body that is small stays so.
		size = min(size, smallBody-b.allocated)
	}
	if b.allocated+size > b.reserved {
		if err := b.reserve(b.allocated + size); err != nil {
			return err
		}
	}
	b.pieces = append(b.pieces, newPiece(size))
	b.allocated += size
	return nil
}

// reserve raises the number of reserved bytes.
func (b *requestBuffer) reserve(total int64) error {
	before, now := requestClass(b.reserved), requestClass(total)
	if now == before {
		if err := b.holding.reserve(now, total-b.reserved); err != nil {
			return err
		}
	} else {
		if err := b.holding.reserve(now, total); err != nil {
			return err
		}
		b.holding.release(before, b.reserved)
	}
	b.reserved = total
	b.widen()
	return nil
}

// widen widens the receive buffer of the caller's connection for a long body, if there is
// room for it until the request ends.
func (b *requestBuffer) widen() {
	if b.widened || b.holding.onLong == nil || b.reserved < longBody {
		return
	}
	b.widened = true
	if b.holding.reserve(classLarge, caller.WideBufferBytes) == nil {
		b.holding.onLong()
	}
}

// requestClass returns the class of a request body of a size.
func requestClass(size int64) memoryClass {
	if size <= smallBody {
		return classSmall
	}
	return classLarge
}
