package quarantine

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"almondbay.example/core/attempt"
)

// Hash identifies the content of a request.
type Hash struct {
	Fingerprint attempt.Fingerprint
	// Quick is a hash that is cheap to compute and the same on all nodes. Requests
	// with different hashes are different; others are told apart by Fingerprint.
	Quick uint64
}

// Content is what makes two requests the same one, repeated by its caller: their
// IDs differ, their content does not. Its hashes are computed once, when they are
// first needed. It is not safe for concurrent use.
type Content struct {
	// Workspace is empty if the request needs no key.
	Workspace string
	// Target is the path and query.
	Target string
	Body   []byte

	// quick and fingerprint are nil until they are computed.
	quick       *uint64
	fingerprint *attempt.Fingerprint
}

// Quick returns the cheap hash of the content.
func (c *Content) Quick() uint64 {
	if c.quick == nil {
		var size [8]byte
		h := xxhash.New()
		for _, part := range [][]byte{[]byte(c.Workspace), []byte(c.Target), c.Body} {
			binary.BigEndian.PutUint64(size[:], uint64(len(part)))
			// Writing to a hash cannot fail.
			_, _ = h.Write(size[:])
			_, _ = h.Write(part)
		}
		sum := h.Sum64()
		c.quick = &sum
	}
	return *c.quick
}

// Hash returns both hashes of the content.
func (c *Content) Hash() Hash {
	if c.fingerprint == nil {
		f := attempt.NewFingerprint([]byte(c.Workspace), []byte(c.Target), c.Body)
		c.fingerprint = &f
	}
	return Hash{Fingerprint: *c.fingerprint, Quick: c.Quick()}
}

// shownBytes is the number of bytes of a fingerprint that logs show.
const shownBytes = 8

// Short returns the start of a fingerprint for logs.
func Short(f attempt.Fingerprint) string {
	return hex.EncodeToString(f[:shownBytes])
}
