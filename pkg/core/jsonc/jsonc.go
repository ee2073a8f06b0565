// Package jsonc decodes JSON with comments and trailing commas, and reports
// every fault of a text at once, each with file, line and column.
//
// A text is parsed into a Source, decoded into a struct of wire types, and then
// checked by the caller, who adds faults of its own at the same positions:
//
//	source := jsonc.Parse("settings.jsonc", body)
//	source.Decode(&wire)
//	if wire.Span < 1 {
//		source.Faultf("/span", "must be at least 1")
//	}
//	return source.Faults()
package jsonc

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxBytes bounds the length of a text.
const MaxBytes = 1 << 20

// Fault is one thing that is wrong with a text.
type Fault struct {
	// File is the name that was given to Parse.
	File string
	// Line and Column count from one; Column counts characters.
	Line   int
	Column int
	// Pointer is the JSON pointer of the faulty value; empty for the whole.
	Pointer string
	Message string
}

// String returns the fault in the form file:line:column: pointer: message.
func (f Fault) String() string {
	position := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Pointer == "" {
		return position + f.Message
	}
	return position + f.Pointer + ": " + f.Message
}

// Faults is the error of a text with one or more faults.
type Faults []Fault

// Error returns all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Source is a parsed text that collects faults. It is not safe for concurrent
// use.
type Source struct {
	name string
	body []byte
	// root is nil when the text could not be parsed.
	root   *hujson.Value
	faults Faults
	// faulty holds the pointers that have a fault already.
	faulty map[string]bool
}

// Parse parses a text. A text that is not JSON with comments yields one fault;
// Decode then leaves its target alone.
func Parse(name string, body []byte) *Source {
	s := &Source{name: name, body: body, faulty: make(map[string]bool)}
	if len(body) > MaxBytes {
		s.add("", 0, fmt.Sprintf("text has %d bytes, the most is %d", len(body), MaxBytes))
		return s
	}
	root, err := hujson.Parse(body)
	if err != nil {
		s.addSyntax(err)
		return s
	}
	s.root = &root
	return s
}

// Faults returns the faults found so far, ordered by position.
func (s *Source) Faults() Faults {
	ordered := slices.Clone(s.faults)
	slices.SortStableFunc(ordered, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ordered
}

// Has tells whether the text holds a value at the JSON pointer.
func (s *Source) Has(pointer string) bool {
	return s.root != nil && s.root.Find(pointer) != nil
}

// Faultf adds a fault at a JSON pointer. A pointer to a missing value is shown
// at its nearest ancestor. Only the first fault of a pointer is kept, so that a
// check after a failed decoding does not complain twice.
func (s *Source) Faultf(pointer, format string, args ...any) {
	if s.root == nil || s.isFaulty(pointer) {
		return
	}
	s.add(pointer, s.offset(pointer), fmt.Sprintf(format, args...))
}

// isFaulty tells whether the pointer or an ancestor of it has a fault.
func (s *Source) isFaulty(pointer string) bool {
	for pointer != "" {
		if s.faulty[pointer] {
			return true
		}
		pointer = parent(pointer)
	}
	return false
}

func (s *Source) offset(pointer string) int {
	for {
		if value := s.root.Find(pointer); value != nil {
			return value.StartOffset
		}
		pointer = parent(pointer)
	}
}

func (s *Source) add(pointer string, offset int, message string) {
	line, column := position(s.body, offset)
	s.faulty[pointer] = true
	s.faults = append(s.faults, Fault{
		File: s.name, Line: line, Column: column, Pointer: pointer, Message: message,
	})
}

// syntaxPosition matches the position that the parser puts before its errors.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (s *Source) addSyntax(err error) {
	fault := Fault{File: s.name, Line: 1, Column: 1, Message: err.Error()}
	if inner := errors.Unwrap(err); inner != nil {
		fault.Message = inner.Error()
	}
	if match := syntaxPosition.FindStringSubmatch(err.Error()); match != nil {
		fault.Line, _ = strconv.Atoi(match[1])
		fault.Column, _ = strconv.Atoi(match[2])
	}
	s.faults = append(s.faults, fault)
}

// position turns a byte offset into line and column, both from one.
func position(body []byte, offset int) (line, column int) {
	before := body[:min(offset, len(body))]
	line = 1 + bytes.Count(before, []byte("\n"))
	lineStart := 1 + bytes.LastIndexByte(before, '\n')
	return line, 1 + utf8.RuneCount(before[lineStart:])
}

func parent(pointer string) string {
	return pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
}

// Pointer joins keys and indexes into a JSON pointer.
func Pointer(parts ...any) string {
	var pointer strings.Builder
	for _, part := range parts {
		pointer.WriteByte('/')
		pointer.WriteString(escaper.Replace(fmt.Sprint(part)))
	}
	return pointer.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")
