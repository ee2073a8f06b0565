package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint is a SHA-256 digest that identifies a request by its content.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of the parts in the given order. The
// length of each part is hashed too, so that different lists of parts with the
// same concatenation have different fingerprints.
func NewFingerprint(parts ...[]byte) Fingerprint {
	var f Fingerprint
	var size [8]byte
	h := sha256.New()
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	h.Sum(f[:0])
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint parses the hexadecimal form of a fingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	return decodeFingerprint(text)
}

func hashFingerprint(f Fingerprint) uint64 {
	return binary.BigEndian.Uint64(f[:8])
}
