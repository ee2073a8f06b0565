package jsonc

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode decodes the text into target, a pointer to a struct whose fields have
// json tags. It adds a fault for each unknown or duplicate field and for each
// value of the wrong type, and decodes all other values.
//
// It supports structs, slices, strings, booleans, int, int64, float64, and types
// that implement encoding.TextUnmarshaler, which are decoded from strings. Null
// leaves the target unchanged, like a missing value. Decode panics on a value
// for a field of any other type.
func (s *Source) Decode(target any) {
	if s.root == nil {
		return
	}
	s.value("", s.root, reflect.ValueOf(target).Elem())
}

func (s *Source) value(pointer string, v *hujson.Value, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.text(pointer, v, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		s.object(pointer, v, target)
	case reflect.Slice:
		s.array(pointer, v, target)
	default:
		s.literal(pointer, v, target)
	}
}

func (s *Source) text(pointer string, v *hujson.Value, target encoding.TextUnmarshaler) {
	if !s.expect(pointer, v, '"', "a string") {
		return
	}
	if err := target.UnmarshalText([]byte(literal(v).String())); err != nil {
		s.add(pointer, v.StartOffset, err.Error())
	}
}

func (s *Source) object(pointer string, v *hujson.Value, target reflect.Value) {
	if !s.expect(pointer, v, '{', "an object") {
		return
	}
	fields := fieldsByName(target.Type())
	seen := make(map[string]bool)
	object := v.Value.(*hujson.Object)
	for i := range object.Members {
		member := &object.Members[i]
		name := literal(&member.Name).String()
		fieldPointer := pointer + Pointer(name)
		index, known := fields[name]
		if !known {
			s.add(fieldPointer, member.Name.StartOffset, "unknown field"+suggest(name, fields))
			continue
		}
		if seen[name] {
			s.add(fieldPointer, member.Name.StartOffset, "duplicate field")
			continue
		}
		seen[name] = true
		s.value(fieldPointer, &member.Value, target.Field(index))
	}
}

func (s *Source) array(pointer string, v *hujson.Value, target reflect.Value) {
	if !s.expect(pointer, v, '[', "an array") {
		return
	}
	elements := v.Value.(*hujson.Array).Elements
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i := range elements {
		s.value(pointer+Pointer(i), &elements[i], target.Index(i))
	}
}

func (s *Source) literal(pointer string, v *hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if s.expect(pointer, v, '"', "a string") {
			target.SetString(literal(v).String())
		}
	case reflect.Bool:
		if s.expect(pointer, v, 't', "true or false") {
			target.SetBool(literal(v).Bool())
		}
	case reflect.Int, reflect.Int64:
		s.integer(pointer, v, target)
	case reflect.Float64:
		s.float(pointer, v, target)
	default:
		panic(fmt.Sprintf("jsonc: cannot decode into type %s", target.Type()))
	}
}

func (s *Source) integer(pointer string, v *hujson.Value, target reflect.Value) {
	if !s.expect(pointer, v, '0', "an integer") {
		return
	}
	number, err := strconv.ParseInt(string(literal(v)), 10, target.Type().Bits())
	if err != nil {
		s.add(pointer, v.StartOffset, "must be an integer, is "+string(literal(v)))
		return
	}
	target.SetInt(number)
}

func (s *Source) float(pointer string, v *hujson.Value, target reflect.Value) {
	if !s.expect(pointer, v, '0', "a number") {
		return
	}
	number, err := strconv.ParseFloat(string(literal(v)), 64)
	if err != nil || math.IsInf(number, 0) {
		s.add(pointer, v.StartOffset, "number is out of range")
		return
	}
	target.SetFloat(number)
}

// expect adds a fault unless the value is of the kind, and reports whether it
// is. The kind 't' matches both true and false.
func (s *Source) expect(pointer string, v *hujson.Value, kind hujson.Kind, wanted string) bool {
	actual := v.Value.Kind()
	if actual == 'f' {
		actual = 't'
	}
	if actual == kind {
		return true
	}
	s.add(pointer, v.StartOffset, fmt.Sprintf("must be %s, is %s", wanted, kindNames[actual]))
	return false
}

var kindNames = map[hujson.Kind]string{
	'n': "null",
	't': "a boolean",
	'"': "a string",
	'0': "a number",
	'{': "an object",
	'[': "an array",
}

func literal(v *hujson.Value) hujson.Literal {
	return v.Value.(hujson.Literal)
}

// fieldsByName returns the indexes of a struct's fields by JSON name.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" {
			fields[name] = i
		}
	}
	return fields
}

// suggest returns a hint for an unknown field if a known one differs from it
// only in case.
func suggest(name string, fields map[string]int) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return fmt.Sprintf(", did you mean %q?", known)
		}
	}
	return ""
}
