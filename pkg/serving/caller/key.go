package caller

import "almondbay.example/core/attempt"

// validKey reports whether an idempotency key consists of printable ASCII
// characters and is at most attempt.MaxKeyLength long.
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
