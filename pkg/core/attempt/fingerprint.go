package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint is a SHA-256 digest that identifies a request by its content.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of the parts in the given order. The
// length of each part is hashed too, so that different lists of parts with the
// same concatenation have different fingerprints.
func NewFingerprint(parts ...[]byte) Fingerprint {
	texts := make([][][]byte, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, [][]byte{p})
	}
	return NewFingerprintOfPieces(texts...)
}

// NewFingerprintOfPieces is like NewFingerprint for parts that are in pieces. How they are
// divided does not matter.
func NewFingerprintOfPieces(parts ...[][]byte) Fingerprint {
	var f Fingerprint
	h := sha256.New()
	HashTexts(h, parts...)
	h.Sum(f[:0])
	return f
}

// HashTexts writes texts, each in pieces, to a hash, with their lengths.
func HashTexts(h hash.Hash, texts ...[][]byte) {
	var size [8]byte
	for _, text := range texts {
		length := 0
		for _, piece := range text {
			length += len(piece)
		}
		binary.BigEndian.PutUint64(size[:], uint64(length))
		// Writing to a hash cannot fail.
		_, _ = h.Write(size[:])
		for _, piece := range text {
			_, _ = h.Write(piece)
		}
	}
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
