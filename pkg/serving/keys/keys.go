// Package keys holds bearer keys: secrets that never print themselves, their
// digests, and the check of the key that a request carries.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	scheme = "Bearer "
	// secretBytes is the number of random bytes in a new key.
	secretBytes = 24
	hidden      = "[hidden]"
)

// Secret is a key in the clear. It prints, logs and marshals as a placeholder;
// only Reveal returns the key.
type Secret struct {
	value string
}

// NewSecret wraps a key.
func NewSecret(value string) Secret {
	return Secret{value: value}
}

// Generate returns a new random key.
func Generate() Secret {
	random := make([]byte, secretBytes)
	// rand.Read never fails.
	_, _ = rand.Read(random)
	return Secret{value: base64.RawURLEncoding.EncodeToString(random)}
}

// Reveal returns the key in the clear.
func (s Secret) Reveal() string { return s.value }

// IsZero tells whether there is no key.
func (s Secret) IsZero() bool { return s.value == "" }

// String returns a placeholder.
func (Secret) String() string { return hidden }

// GoString returns a placeholder.
func (Secret) GoString() string { return hidden }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Digest returns the digest of the key.
func (s Secret) Digest() string { return Digest(s.value) }

// Authorize puts the key into the head of a request.
func (s Secret) Authorize(header http.Header) {
	header.Set("Authorization", scheme+s.value)
}

// Digest returns the hex SHA-256 digest of a key, as documents and settings
// hold it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FromHeader returns the bearer key in the head of a request; empty when there
// is none.
func FromHeader(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return value[len(scheme):]
}

// Match tells whether one of the digests is the digest of the key. The time it
// takes does not depend on how much of a digest matches.
func Match(digests []string, key string) bool {
	if key == "" {
		return false
	}
	sum := []byte(Digest(key))
	found := 0
	for _, digest := range digests {
		found |= subtle.ConstantTimeCompare([]byte(digest), sum)
	}
	return found == 1
}

// Require answers requests that carry none of the keys with 401 and passes on
// the others. Without digests it refuses all.
func Require(digests []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Match(digests, FromHeader(r.Header)) {
			w.Header().Set("WWW-Authenticate", strings.TrimSpace(scheme))
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
