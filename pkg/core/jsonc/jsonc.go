// Package jsonc decodes JSON with comments and trailing commas. It collects all
// faults of a text instead of stopping at the first, each with file, line and
// column.
//
// A text is parsed into a Source and decoded into a struct of wire types. The
// caller then validates the values and adds faults for them by JSON pointer:
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

// MaxBytes is the maximum length of a text.
const MaxBytes = 1 << 20

// Fault is a syntax or validation error at a position in a text.
type Fault struct {
	// File is the name passed to Parse.
	File string
	// Line and Column start at one; Column counts characters, not bytes.
	Line   int
	Column int
	// Pointer is the JSON pointer of the faulty value; empty if the fault
	// concerns the whole text.
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

// Faults is a list of the faults of a text. It implements error.
type Faults []Fault

// Error returns all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
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
	// root is nil if the text could not be parsed.
	root   *hujson.Value
	faults Faults
	// faulty holds the pointers that already have a fault.
	faulty map[string]bool
}

// Parse parses a text. A text with a syntax error or longer than MaxBytes yields
// a single fault; Decode then does nothing, and Faultf adds no further faults.
func Parse(name string, body []byte) *Source {
	s := &Source{name: name, body: body, faulty: make(map[string]bool)}
	if len(body) > MaxBytes {
		s.add("", 0, fmt.Sprintf("text is %d bytes long, the maximum is %d", len(body), MaxBytes))
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

// Has reports whether the text has a value at the JSON pointer.
func (s *Source) Has(pointer string) bool {
	return s.root != nil && s.root.Find(pointer) != nil
}

// Faultf adds a fault at a JSON pointer. If the value is missing, the fault has
// the position of its nearest ancestor. Nothing is added if the pointer or an
// ancestor other than the root already has a fault, so that a value that failed
// to decode is not reported again by validation.
func (s *Source) Faultf(pointer, format string, args ...any) {
	if s.root == nil || s.isFaulty(pointer) {
		return
	}
	s.add(pointer, s.offset(pointer), fmt.Sprintf(format, args...))
}

// isFaulty reports whether the pointer or one of its ancestors, other than the
// root, has a fault.
func (s *Source) isFaulty(pointer string) bool {
	for pointer != "" {
		if s.faulty[pointer] {
			return true
		}
		pointer = parent(pointer)
	}
	return false
}

// offset returns the byte offset of the value at the pointer, or of its nearest
// ancestor if there is no such value.
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

// syntaxPosition matches the position at the start of hujson's error messages.
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

// position returns the line and column of a byte offset, both starting at one.
func position(body []byte, offset int) (line, column int) {
	before := body[:min(offset, len(body))]
	line = 1 + bytes.Count(before, []byte("\n"))
	lineStart := 1 + bytes.LastIndexByte(before, '\n')
	return line, 1 + utf8.RuneCount(before[lineStart:])
}

// parent returns the pointer without its last token; the parent of the root is
// the root.
func parent(pointer string) string {
	return pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
}

// Pointer returns the JSON pointer with the given keys and indexes, which it
// escapes.
func Pointer(parts ...any) string {
	var pointer strings.Builder
	for _, part := range parts {
		pointer.WriteByte('/')
		pointer.WriteString(pointerEscaper.Replace(fmt.Sprint(part)))
	}
	return pointer.String()
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")
