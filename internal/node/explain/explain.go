// Package explain finds in the logs of the nodes why a request ended as it did.
//
// It keeps the lines on the request itself and all lines on what nodes believed
// and decided, which are few, and picks of those the ones that bear on the heads
// that the request was offered to.
package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("explain")

// Line is one line of a log.
type Line struct {
	// Origin is what stands before the line's JSON, or else the log's name.
	Origin  string
	At      time.Time
	Event   int
	Message string
	// Fields holds the other fields in the order of their names.
	Fields []Field
}

// Field is one field of a line.
type Field struct {
	Name, Value string
}

// Get returns a field's value, or an empty string.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Numbers of the events that bear on requests.
const (
	eventStepFailed    = 107
	eventRequest       = 901
	eventConfiguration = 903
	eventReadiness     = 906
	eventHeads         = 951
	eventPlanned       = 952
	eventReleased      = 953
	eventOrder         = 954
	eventAsked         = 955
	eventCounted       = 956
)

const (
	// before is how long before the end of a request what happened to its heads
	// is shown: the longest deadline of a caller, and the life of a heartbeat.
	before = 12 * time.Second
	// after covers what a node learns of a lost head late.
	after = 5 * time.Second
	// maxLines bounds the lines that are kept on what nodes believed.
	maxLines = 500_000
)

// Logs holds what was read.
type Logs struct {
	request string
	// ended holds the lines on the request, others those on everything else.
	ended  []Line
	others []Line
	// OmittedLines is the number of lines beyond those that are kept.
	OmittedLines int
}

// New returns logs that a request is looked for in.
func New(request string) *Logs {
	return &Logs{request: request}
}

// add keeps a line if it may matter.
func (l *Logs) add(line Line) {
	switch {
	case line.Event == eventRequest && line.Get("request") == l.request:
		l.ended = append(l.ended, line)
	case line.Event == eventRequest || line.Event == 0:
	case len(l.others) >= maxLines:
		l.OmittedLines++
	default:
		l.others = append(l.others, line)
	}
}

// Finding is what the logs tell of one attempt of a caller at one node.
type Finding struct {
	RequestEnd Line
	// Cause says in a sentence why the request ended so.
	Cause string
	// Related holds what bears on it in the order of time.
	Related []Line
}

// Findings returns one finding for each line on the request, in the order of
// time.
func (l *Logs) Findings() []Finding {
	slices.SortStableFunc(l.ended, byTime)
	slices.SortStableFunc(l.others, byTime)
	findings := make([]Finding, 0, len(l.ended))
	for _, ended := range l.ended {
		around := l.related(ended)
		findings = append(findings, Finding{RequestEnd: ended, Related: around, Cause: cause(ended, around)})
	}
	return findings
}

func byTime(a, b Line) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Origin, b.Origin))
}

// heads returns the servers that a request was offered to.
func heads(ended Line) []string {
	var ids []string
	for _, try := range strings.Split(ended.Get("tries"), "; ") {
		if id, _, _ := strings.Cut(try, " "); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// around returns the lines that bear on a request.
func (l *Logs) related(ended Line) []Line {
	servers := heads(ended)
	groups := l.groups(servers, ended.At)
	var chosen []Line
	latest := map[string]Line{}
	for _, line := range l.others {
		if line.At.After(ended.At.Add(after)) {
			break
		}
		if key, ok := state(line, ended); ok && !line.At.After(ended.At) {
			latest[key] = line
			continue
		}
		if line.At.Before(ended.At.Add(-before)) {
			continue
		}
		switch line.Event {
		case eventOrder, eventAsked:
			if slices.Contains(servers, line.Get("server")) {
				chosen = append(chosen, line)
			}
		case eventPlanned, eventReleased:
			if slices.Contains(groups, line.Get("group")) {
				chosen = append(chosen, line)
			}
		case eventStepFailed, eventReadiness:
			if line.Origin == ended.Origin {
				chosen = append(chosen, line)
			}
		}
	}
	for _, line := range latest {
		chosen = append(chosen, line)
	}
	slices.SortStableFunc(chosen, byTime)
	return chosen
}

// state returns a key for lines of which only the latest before a request
// matters, if the line is one that bears on it.
func state(line, ended Line) (string, bool) {
	switch line.Event {
	case eventHeads:
		same := line.Origin == ended.Origin && line.Get("service") == ended.Get("service") && line.Get("model") == ended.Get("model")
		return "heads", same
	case eventConfiguration:
		return "configuration", line.Origin == ended.Origin
	case eventCounted:
		return "counted/" + line.Get("fabricDomain"), ended.Get("outcome") == "refused"
	default:
		return "", false
	}
}

// groups returns the groups that servers were planned into before a time.
func (l *Logs) groups(servers []string, at time.Time) []string {
	var names []string
	for _, line := range l.others {
		if line.Event != eventPlanned || line.At.After(at) {
			continue
		}
		head, _, _ := strings.Cut(line.Get("members"), ",")
		if slices.Contains(servers, head) {
			names = append(names, line.Get("group"))
		}
	}
	return names
}

// cause says why a request ended as it did.
func cause(ended Line, around []Line) string {
	last := func(event int) (Line, bool) {
		for _, line := range slices.Backward(around) {
			if line.Event == event {
				return line, true
			}
		}
		return Line{}, false
	}
	tries := ended.Get("tries")
	known := "no line tells how many heads there were"
	if h, ok := last(eventHeads); ok {
		known = fmt.Sprintf("%s heads of model %q were known", h.Get("heads"), ended.Get("model"))
	}
	switch {
	case ended.Get("outcome") == "refused":
		return fmt.Sprintf("refused before it ran: %s; %s", ended.Get("cause"), known)
	case strings.Contains(tries, "stands still"):
		if r, ok := last(eventReleased); ok {
			return fmt.Sprintf("a head stood still; its group %s ended: %s", r.Get("group"), r.Get("reason"))
		}
		if a, ok := last(eventAsked); ok && a.Get("reached") == "false" {
			return fmt.Sprintf("head %s stood still; it lost its registration and was asked in vain", a.Get("server"))
		}
		return "a head stood still; no group of the heads was released near that time"
	case strings.Contains(tries, "cause="):
		return "a try gave no answer: " + tries[strings.Index(tries, "cause=")+len("cause="):]
	case ended.Get("cause") != "":
		return ended.Get("cause")
	default:
		return "answered by the first head; " + known
	}
}
