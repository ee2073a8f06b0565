// Package event defines the numbered events that the system logs.
//
// All logging goes through a Definition, so that each line has a number whose
// meaning never changes. docs/EVENTS.md lists all events. A test checks that the
// page and the log calls in the source match the catalogue.
package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Definition describes one kind of event.
type Definition struct {
	// Number is unique and never reused. Events of one area share the hundreds
	// digit.
	Number int
	Level  zapcore.Level
	// Message is the constant message of the log line; values are in the fields.
	Message string
	// Fields lists the names of the fields that a line may have.
	Fields []string
	// Meaning describes to an operator what happened.
	Meaning string
	// Action describes what an operator must do; "None." if nothing.
	Action string
}

// Log writes a line with the fields, whose names must be in d.Fields.
func (d Definition) Log(logger *zap.Logger, fields ...zap.Field) {
	entry := logger.Check(d.Level, d.Message)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", d.Number)}, fields...)...)
}

// ShouldLog reports whether to log a failure, given the number of consecutive
// failures. It is true for powers of two, so that an outage does not fill the
// log.
func ShouldLog(failures int) bool {
	return failures&(failures-1) == 0
}

// All returns all definitions in the order of their numbers.
func All() []Definition {
	var all []Definition
	for _, area := range areas {
		all = append(all, area.events...)
	}
	slices.SortFunc(all, func(a, b Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// area is a section of docs/EVENTS.md with its events.
type area struct {
	title  string
	events []Definition
}

const pageHead = `# Events

Each log line is a JSON object with the number of its event in the field
` + "`event`" + `. The meaning of a number never changes. This page is generated from the
catalogue in pkg/serving/event; a test fails when they differ.
`

// Markdown returns the contents of docs/EVENTS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, area := range areas {
		fmt.Fprintf(&page, "\n## %s\n\n| Event | Level | Message | Fields | Meaning | What to do |\n|---|---|---|---|---|---|\n", area.title)
		for _, d := range area.events {
			fmt.Fprintf(&page, "| %d | %s | %s | %s | %s | %s |\n",
				d.Number, d.Level, d.Message, strings.Join(d.Fields, ", "), d.Meaning, d.Action)
		}
	}
	return page.String()
}
