// Package keys holds bearer keys: secrets that never print themselves, their
// digests, and the check of the key that a request carries.
package keys

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
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

// Holder is someone who has a key.
type Holder struct {
	Name string
	// Digest is the digest of the holder's key.
	Digest string
}

// Find returns the holder of a key. The time it takes does not depend on which
// holder it is, or on how much of a digest matches.
func Find(holders []Holder, key string) (Holder, bool) {
	if key == "" {
		return Holder{}, false
	}
	sum := []byte(Digest(key))
	found := -1
	for i, h := range holders {
		if subtle.ConstantTimeCompare([]byte(h.Digest), sum) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Holder{}, false
	}
	return holders[found], true
}

// Contains tells whether a digest is among others, in a time that does not
// depend on which of them it is.
func Contains(digests []string, digest string) bool {
	wanted := []byte(digest)
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare([]byte(d), wanted)
	}
	return found == 1
}

// Holders names keys by their place in the list.
func Holders(secrets []Secret) []Holder {
	holders := make([]Holder, 0, len(secrets))
	for i, s := range secrets {
		holders = append(holders, Holder{Name: strconv.Itoa(i), Digest: s.Digest()})
	}
	return holders
}

// holderKey is the key of the holder in a request's context.
type holderKey struct{}

// FromContext returns the holder that Require let through.
func FromContext(ctx context.Context) Holder {
	holder, _ := ctx.Value(holderKey{}).(Holder)
	return holder
}

// Require answers requests that carry no holder's key with 401, after a call
// of refused, and passes on the others. Without holders it refuses all.
func Require(holders []Holder, refused func(*http.Request), next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder, ok := Find(holders, FromHeader(r.Header))
		if !ok {
			refused(r)
			w.Header().Set("WWW-Authenticate", strings.TrimSpace(scheme))
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		ctx := context.WithValue(r.Context(), holderKey{}, holder)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport puts a key into the head of each request.
type Transport struct {
	Key Secret
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Key.IsZero() {
		return t.Base.RoundTrip(r)
	}
	clone := r.Clone(r.Context())
	t.Key.Authorize(clone.Header)
	return t.Base.RoundTrip(clone)
}
