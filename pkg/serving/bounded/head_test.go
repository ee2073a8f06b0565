package bounded

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

// Grammar of a head by RFC 9110, 5.5 and 5.6.2, and RFC 9112, 4 and 5, written without regard
// to the scanner.
var (
	referenceStatus = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?$`)
	referenceField  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*$")
)

// validByReference reports whether a text begins with heads that the grammar allows, up to
// one that is not followed by another.
func validByReference(text string) bool {
	for {
		head, rest, ended := strings.Cut(text, "\r\n\r\n")
		lines := strings.Split(head, "\r\n")
		if !ended || !referenceStatus.MatchString(latin1(lines[0])) {
			return false
		}
		lengths, codings := 0, 0
		for _, line := range lines[1:] {
			if !referenceField.MatchString(latin1(line)) {
				return false
			}
			name, _, _ := strings.Cut(strings.ToLower(line), ":")
			switch name {
			case "content-length":
				lengths++
			case "transfer-encoding":
				codings++
			}
		}
		if lengths > 1 || codings > 0 && (lengths > 0 || strings.HasPrefix(head, "HTTP/1.0")) {
			return false
		}
		if status := head[len("HTTP/1.1 "):][:3]; status[0] != '1' || status == "101" {
			return true
		}
		text = rest
	}
}

// latin1 maps each byte to a rune, since the expressions above are on bytes.
func latin1(s string) string {
	runes := make([]rune, 0, len(s))
	for i := range len(s) {
		runes = append(runes, rune(s[i]))
	}
	return string(runes)
}

// scanInParts scans a text in parts of a size, and reports whether it has whole heads that
// are well formed.
func scanInParts(text string, size int) bool {
	var s headScanner
	s.arm()
	for len(text) > 0 && s.armed {
		n := min(size, len(text))
		var malformed *MalformedHeadError
		if err := s.scan([]byte(text[:n])); errors.As(err, &malformed) {
			return false
		}
		text = text[n:]
	}
	return !s.armed
}

// FuzzHeadScanner compares the scanner with the grammar. They must agree on each text,
// however it is divided.
func FuzzHeadScanner(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200\r\nA: b\r\n\r\nbody", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.0 200 \r\nA:\tb \r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Note: a\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n",
		"HTTP/1.1 200 \xe4\r\nA: \xe4\x7f\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add(text, 1)
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		if len(text) > maxScannedLine {
			return
		}
		want := validByReference(text)
		if got := scanInParts(text, max(size, 1)); got != want {
			t.Errorf("%q in parts of %d bytes: well formed %v, want %v", text, size, got, want)
		}
	})
}
