package quarantine

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"almondbay.example/core/attempt"
)

// Identity is what makes two requests the same one, repeated by its caller: their
// IDs differ, their content does not.
type Identity struct {
	// Workspace is empty if the request needs no key.
	Workspace string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Digest identifies the content of a request.
type Digest struct {
	Fingerprint attempt.Fingerprint
	// Quick is a hash that is cheap to compute and the same on all nodes. Requests
	// with different hashes are different; others are told apart by Fingerprint.
	Quick uint64
}

// Quick returns the cheap hash of the request.
func (i Identity) Quick() uint64 {
	var size [8]byte
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(i.Workspace), []byte(i.Target), i.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		// Writing to a hash cannot fail.
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// Digest returns the digest of the request.
func (i Identity) Digest() Digest {
	return Digest{
		Fingerprint: attempt.NewFingerprint([]byte(i.Workspace), []byte(i.Target), i.Body),
		Quick:       i.Quick(),
	}
}

// shownBytes is the number of bytes of a fingerprint that logs show.
const shownBytes = 8

// Short returns the start of a fingerprint for logs.
func Short(f attempt.Fingerprint) string {
	return hex.EncodeToString(f[:shownBytes])
}
