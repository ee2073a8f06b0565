package jsonc

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// Duration is a duration that is written with a unit, such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration. It rejects a number without a unit and a
// negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a duration with a unit, such as \"250ms\", is %q", text)
	}
	if parsed < 0 {
		return fmt.Errorf("must not be negative, is %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Size is a number of bytes that is written with a unit, such as "64KiB" or
// "2MB".
type Size int64

// UnmarshalText parses a size. It rejects a number without a unit and a size
// above 1 EiB.
func (s *Size) UnmarshalText(text []byte) error {
	parsed, err := humanize.ParseBytes(string(text))
	if err != nil || parsed > maxSize || !hasUnit(text) {
		return fmt.Errorf("must be a size with a unit, such as \"64KiB\", is %q", text)
	}
	*s = Size(parsed)
	return nil
}

// MarshalText returns the size in the form that UnmarshalText parses.
func (s Size) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// maxSize is 1 EiB, low enough that the sum of a few sizes does not overflow an
// int64.
const maxSize = 1 << 60

func hasUnit(text []byte) bool {
	if len(text) == 0 {
		return false
	}
	last := text[len(text)-1]
	return last < '0' || last > '9'
}
