// Package event is the catalogue of the numbered events that the system logs.
//
// All logging goes through a Definition, so that each line carries a number
// that never changes meaning, and docs/EVENTS.md lists them all. A test holds
// the page and the calls in the source against the catalogue.
package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Definition is one kind of event.
type Definition struct {
	// Number is unique and never reused. Its hundreds tell the area.
	Number int
	Level  zapcore.Level
	// Message is the fixed text of the log line, without values.
	Message string
	// Fields names the values that a line may carry.
	Fields []string
	// Meaning tells an operator what happened.
	Meaning string
	// Action tells an operator what to do; "None." when nothing is needed.
	Action string
}

// Log writes a line. The names of the fields must stand in the definition.
func (d Definition) Log(logger *zap.Logger, fields ...zap.Field) {
	entry := logger.Check(d.Level, d.Message)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", d.Number)}, fields...)...)
}

// ShouldLog reports whether a failure gets a line: the first, second, fourth and so on
// in a row do, so that an outage does not fill the log.
func ShouldLog(failures int) bool {
	return failures&(failures-1) == 0
}

// All returns the catalogue in the order of the numbers.
func All() []Definition {
	var all []Definition
	for _, area := range areas {
		all = append(all, area.events...)
	}
	slices.SortFunc(all, func(a, b Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// area is a group of events whose numbers share their hundreds.
type area struct {
	title  string
	events []Definition
}

const pageHead = `# Events

Each log line is a JSON object with the number of its event in the field
` + "`event`" + `. A number never changes its meaning. The page is written from the
catalogue in pkg/serving/event; a test fails when they differ.
`

// Markdown returns the text of docs/EVENTS.md.
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
