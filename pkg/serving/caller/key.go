package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"almondbay.example/core/attempt"
)

// matchesAny reports whether the SHA-256 digest of key is among the hex
// digests. It takes the same time whichever digest matches.
func matchesAny(key string, digests []string) bool {
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare(digest, []byte(d))
	}
	return found == 1
}

// validKey reports whether an idempotency key is of printable ASCII and not too
// long.
func validKey(key string) bool {
	if key == "" || len(key) > attempt.MaxKeyLength {
		return false
	}
	for _, b := range []byte(key) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}
