package caller

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"almondbay.example/serving/bounded"
)

// MalformedError reports bytes of a caller that are no request by RFC 9112, or one that
// servers and proxies may read differently.
type MalformedError struct {
	// Reason tells what is malformed.
	Reason string
}

func (e *MalformedError) Error() string { return "malformed request: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

const (
	// maxLine is the maximum length in bytes of a line, longer than all heads that the
	// server accepts.
	maxLine = 128 << 10
	// maxChunkDigits is the maximum number of digits of the size of a chunk, which no body
	// within the limits needs.
	maxChunkDigits = 8
)

// part is the part of a request that a scanner expects.
type part int

const (
	partRequestLine part = iota
	partFields
	partBody
	partChunkSize
	partChunk
	partChunkEnd
	partTrailer
)

// requestScanner checks all that a caller sends, of one request after another: net/http
// accepts more than RFC 9112 allows, and drops what is doubtful without a trace.
type requestScanner struct {
	part part
	// line is the incomplete line at the end of the bytes so far.
	line []byte
	// left is the number of bytes that are left of the body or of the chunk.
	left int64

	// authority is that of a target in absolute form.
	authority  string
	hosts      []string
	oldVersion bool
	length     int64
	lengths    int
	codings    int
}

// scan checks further bytes. It returns a *MalformedError if they are malformed.
func (s *requestScanner) scan(p []byte) error {
	for len(p) > 0 {
		if s.part == partBody || s.part == partChunk {
			n := min(s.left, int64(len(p)))
			s.left -= n
			p = p[n:]
			if s.left == 0 {
				s.endData()
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			if s.line = append(s.line, p...); len(s.line) > maxLine {
				return malformed("line of more than %d bytes", maxLine)
			}
			return nil
		}
		line := p[:end+1]
		if len(s.line) > 0 {
			line = append(s.line, line...)
		}
		s.line, p = nil, p[end+1:]
		text, ok := bytes.CutSuffix(line, []byte("\r\n"))
		if !ok {
			return malformed("line %.80q does not end in CR LF", line)
		}
		if err := s.checkLine(text); err != nil {
			return err
		}
	}
	return nil
}

// endData goes on after a body or a chunk.
func (s *requestScanner) endData() {
	if s.part == partChunk {
		s.part = partChunkEnd
		return
	}
	*s = requestScanner{}
}

func (s *requestScanner) checkLine(line []byte) error {
	switch s.part {
	case partRequestLine:
		return s.checkRequestLine(string(line))
	case partFields:
		if len(line) == 0 {
			return s.checkEnd()
		}
		return s.checkField(string(line))
	case partChunkSize:
		return s.checkChunkSize(line)
	case partChunkEnd:
		if len(line) > 0 {
			return malformed("chunk is longer than its size")
		}
		s.part = partChunkSize
	case partTrailer:
		if len(line) == 0 {
			*s = requestScanner{}
			return nil
		}
		if _, _, err := bounded.CutField(string(line)); err != nil {
			return malformed("trailer: %v", err)
		}
	case partBody, partChunk:
	}
	return nil
}

// checkRequestLine checks "METHOD target HTTP/1.1".
func (s *requestScanner) checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != len([]string{"method", "target", "version"}) || parts[0] == "" || parts[1] == "" {
		return malformed("request line %.80q", line)
	}
	for _, b := range []byte(line) {
		if b < ' ' || b >= 0x7f {
			return malformed("byte %#x in the request line", b)
		}
	}
	if target := parts[1]; target[0] != '/' && strings.Contains(target, "://") {
		u, err := url.Parse(target)
		if err != nil || u.Host == "" {
			return malformed("target %.80q", target)
		}
		s.authority = u.Host
	}
	if version := parts[2]; version != "HTTP/1.1" && version != "HTTP/1.0" {
		return malformed("version %.80q", version)
	}
	s.part, s.oldVersion = partFields, parts[2] == "HTTP/1.0"
	return nil
}

// checkField checks "name: value".
func (s *requestScanner) checkField(line string) error {
	name, value, err := bounded.CutField(line)
	if err != nil {
		return malformed("%v", err)
	}
	switch strings.ToLower(name) {
	case "host":
		s.hosts = append(s.hosts, value)
	case "content-length":
		s.lengths++
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil || value[0] == '+' {
			return malformed("length %.80q", value)
		}
		s.length = int64(n)
	case "transfer-encoding":
		s.codings++
		if !strings.EqualFold(value, "chunked") {
			return malformed("transfer coding %.80q", value)
		}
	}
	return nil
}

// checkEnd checks the fields of a head together.
func (s *requestScanner) checkEnd() error {
	switch {
	case len(s.hosts) > 1:
		return malformed("%d Host fields", len(s.hosts))
	case s.authority != "" && len(s.hosts) > 0 && !strings.EqualFold(s.authority, s.hosts[0]):
		return malformed("target of host %.80q, field Host %.80q", s.authority, s.hosts[0])
	case s.lengths > 1:
		return malformed("%d lengths", s.lengths)
	case s.lengths > 0 && s.codings > 0:
		return malformed("both a length and a transfer coding")
	case s.codings > 1 || s.codings > 0 && s.oldVersion:
		return malformed("%d transfer codings, HTTP/1.0 %v", s.codings, s.oldVersion)
	case s.codings > 0:
		s.part = partChunkSize
	case s.length > 0:
		s.part, s.left = partBody, s.length
	default:
		*s = requestScanner{}
	}
	return nil
}

// checkChunkSize checks the size of a chunk, and an extension.
func (s *requestScanner) checkChunkSize(line []byte) error {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxChunkDigits || bytes.ContainsAny(extension, "\r\x00") {
		return malformed("size of a chunk %.80q", line)
	}
	var size int64
	// Without conversion to a string, since chunks may be of one byte.
	for _, b := range digits {
		digit := bytes.IndexByte([]byte("0123456789abcdef"), b|0x20)
		if digit < 0 || b < '0' {
			return malformed("size of a chunk %.80q", line)
		}
		size = size<<4 | int64(digit)
	}
	s.part = partTrailer
	if size > 0 {
		s.part, s.left = partChunk, size
	}
	return nil
}
