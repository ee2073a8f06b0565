// Package keys implements bearer keys: secrets that are not printed or logged,
// their digests, and the authentication of HTTP requests.
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
	// placeholder replaces a key in output.
	placeholder = "[hidden]"
)

// Secret is a key in plain text. It is formatted, logged and marshalled as a
// placeholder; use Reveal for the key.
type Secret struct {
	value string
}

// NewSecret returns a Secret for a key.
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

// Reveal returns the key in plain text.
func (s Secret) Reveal() string { return s.value }

// IsZero reports whether the key is empty.
func (s Secret) IsZero() bool { return s.value == "" }

// String implements fmt.Stringer; it returns a placeholder.
func (Secret) String() string { return placeholder }

// GoString implements fmt.GoStringer; it returns a placeholder.
func (Secret) GoString() string { return placeholder }

// MarshalText implements encoding.TextMarshaler; it returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(placeholder), nil }

// Digest returns the digest of the key.
func (s Secret) Digest() string { return Digest(s.value) }

// Authorize sets the Authorization header to the key.
func (s Secret) Authorize(header http.Header) {
	header.Set("Authorization", scheme+s.value)
}

// Digest returns the SHA-256 digest of a key in hex, the form that documents and
// settings store.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FromHeader returns the bearer key in the Authorization header, or an empty string
// if there is none.
func FromHeader(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return value[len(scheme):]
}

// Holder is a named owner of a key.
type Holder struct {
	Name string
	// Digest is the digest of the holder's key.
	Digest string
}

// Find returns the holder of a key, and false if there is none. To prevent timing
// attacks, its duration does not depend on which holder matches, or on the number
// of matching bytes.
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

// Contains reports whether digests has the digest. To prevent timing attacks, its
// duration does not depend on which one matches.
func Contains(digests []string, digest string) bool {
	wanted := []byte(digest)
	found := 0
	for _, d := range digests {
		found |= subtle.ConstantTimeCompare([]byte(d), wanted)
	}
	return found == 1
}

// Holders returns a holder for each key, named after its index in the list.
func Holders(secrets []Secret) []Holder {
	holders := make([]Holder, 0, len(secrets))
	for i, s := range secrets {
		holders = append(holders, Holder{Name: strconv.Itoa(i), Digest: s.Digest()})
	}
	return holders
}

// holderKey is the context key of the holder of the key of a request.
type holderKey struct{}

// FromContext returns the holder that Require authenticated, or a zero Holder.
func FromContext(ctx context.Context) Holder {
	holder, _ := ctx.Value(holderKey{}).(Holder)
	return holder
}

// Require returns a handler that passes requests with the key of a holder to next.
// For other requests it calls onRefused and responds with status 401. Without
// holders, all requests are rejected.
func Require(holders []Holder, onRefused func(*http.Request), next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder, ok := Find(holders, FromHeader(r.Header))
		if !ok {
			onRefused(r)
			w.Header().Set("WWW-Authenticate", strings.TrimSpace(scheme))
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		ctx := context.WithValue(r.Context(), holderKey{}, holder)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport adds a key to the Authorization header of each request. An empty key
// adds no header.
type Transport struct {
	Key Secret
	// Base performs the requests.
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
