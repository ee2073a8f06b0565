package bounded

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedHeadError reports a head that is not one by RFC 9112. net/http accepts some of
// them, and reads them differently from others.
type MalformedHeadError struct {
	// Reason tells what is malformed.
	Reason string
}

func (e *MalformedHeadError) Error() string { return "malformed head: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedHeadError{Reason: fmt.Sprintf(format, args...)}
}

const (
	// minStatus and maxStatus bound the valid statuses.
	minStatus = 100
	maxStatus = 599
	// maxScannedLine is the length of a line in bytes from which on a head is not checked:
	// all clients refuse heads of that size.
	maxScannedLine = 64 << 10
)

// headScanner checks the bytes of the head of a response, and of the 1xx responses before
// it, line by line.
type headScanner struct {
	// armed is set from the time at which a head is expected until its end.
	armed bool
	// line is the incomplete line at the end of the bytes so far.
	line []byte
	// begun is set after the status line.
	begun            bool
	status           int
	oldVersion       bool
	lengths, codings int
}

// arm begins a new response.
func (s *headScanner) arm() { *s = headScanner{armed: true} }

// scan checks further bytes. It returns a *MalformedHeadError if a line that ends in them is
// malformed.
func (s *headScanner) scan(p []byte) error {
	for s.armed {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			if s.line = append(s.line, p...); len(s.line) > maxScannedLine {
				s.armed = false
			}
			return nil
		}
		line := p[:end+1]
		if len(s.line) > 0 {
			line = append(s.line, line...)
		}
		if err := s.checkLine(line); err != nil {
			s.armed = false
			return err
		}
		s.line, p = s.line[:0], p[end+1:]
	}
	return nil
}

// checkLine checks a line with its end.
func (s *headScanner) checkLine(line []byte) error {
	text, ok := strings.CutSuffix(string(line), "\r\n")
	switch {
	case !ok:
		return malformed("line %.80q does not end in CR LF", line)
	case !s.begun:
		return s.checkStatusLine(text)
	case text == "":
		return s.checkEnd()
	default:
		return s.checkField(text)
	}
}

// checkStatusLine checks "HTTP/1.1 200 reason".
func (s *headScanner) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	switch {
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return malformed("version in the status line %.80q", line)
	case err != nil || len(code) != len("200") || status < minStatus || status > maxStatus:
		return malformed("status in the status line %.80q", line)
	case !httpguts.ValidHeaderFieldValue(reason):
		return malformed("reason in the status line %.80q", line)
	}
	s.begun, s.status, s.oldVersion = true, int(status), version == "HTTP/1.0"
	return nil
}

// CutField returns the name and the value of a line of a head, or a *MalformedHeadError.
func CutField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	switch {
	case !found:
		return "", "", malformed("line %.80q has no colon", line)
	case !httpguts.ValidHeaderFieldName(name):
		return "", "", malformed("name %.80q of a field", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return "", "", malformed("value %.80q of field %.80q", value, name)
	}
	return name, strings.Trim(value, " \t"), nil
}

// checkField checks "name: value".
func (s *headScanner) checkField(line string) error {
	name, _, err := CutField(line)
	switch {
	case err != nil:
		return err
	case strings.EqualFold(name, "Content-Length"):
		s.lengths++
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.codings++
	}
	return nil
}

// checkEnd checks what the fields say of the body. The head of a 1xx response is followed by
// another one.
func (s *headScanner) checkEnd() error {
	switch {
	case s.lengths > 1:
		return malformed("%d lengths", s.lengths)
	case s.codings > 0 && s.lengths > 0:
		return malformed("both a length and a transfer coding")
	case s.codings > 0 && s.oldVersion:
		return malformed("transfer coding in HTTP/1.0")
	}
	if s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols {
		s.arm()
		return nil
	}
	s.armed = false
	return nil
}

// CheckHead checks a head that net/http has parsed, of a connection whose bytes were not
// scanned.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return malformed("status %03d", response.StatusCode)
	}
	return CheckFields(response.Header)
}

// CheckFields checks header fields, or trailer fields, that net/http has parsed.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("name %.80q of a field", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return malformed("value %.80q of field %.80q", value, name)
			}
		}
	}
	return nil
}
