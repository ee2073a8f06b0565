// Package explain determines from the logs of the nodes why a request ended with
// its outcome.
//
// It collects the lines about the request and the lines about the state and the
// decisions of nodes. Among the latter, which are few, it selects those that
// concern the heads to which the request was sent.
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

// Line is one parsed line of a log.
type Line struct {
	// Origin is the last word before the line's JSON, or else the log's name.
	Origin  string
	At      time.Time
	Event   int
	Message string
	// Fields holds the other fields, sorted by name.
	Fields []Field
}

// Field is one field of a Line, with its value as text.
type Field struct {
	Name, Value string
}

// Get returns the value of the named field, or an empty string.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Numbers of the events that concern requests; see package event.
const (
	eventStepFailed    = 107
	eventRequest       = 901
	eventConfiguration = 903
	eventReadiness     = 906
	eventQuarantined   = 910
	eventWithdrawn     = 911
	eventHeads         = 951
	eventGroupPlanned  = 952
	eventGroupReleased = 953
	eventOrder         = 954
	eventHeadProbed    = 955
	eventFleetCounted  = 956
	eventServerEnded   = 957
)

const (
	// windowBefore and windowAfter limit the events of heads that are shown to a
	// window around the end of a request. windowBefore covers the longest deadline
	// of a caller and the lifetime of a heartbeat, windowAfter the delay until a
	// node detects a lost head.
	windowBefore = 12 * time.Second
	windowAfter  = 5 * time.Second
	// maxLines limits the number of lines kept about the state of nodes.
	maxLines = 500_000
)

// Logs collects the lines that may explain a request.
type Logs struct {
	request string
	// requestEnds holds the lines about the request, others all other lines.
	requestEnds []Line
	others      []Line
	// OmittedLines is the number of lines dropped beyond maxLines.
	OmittedLines int
}

// New returns empty logs to find the request with the given ID in.
func New(request string) *Logs {
	return &Logs{request: request}
}

// add keeps a line that may be relevant.
func (l *Logs) add(line Line) {
	switch {
	case line.Event == eventRequest && line.Get("request") == l.request:
		l.requestEnds = append(l.requestEnds, line)
	case line.Event == eventRequest || line.Event == 0:
	case len(l.others) >= maxLines:
		l.OmittedLines++
	default:
		l.others = append(l.others, line)
	}
}

// Finding explains the end of the request at one of the nodes that the caller
// sent it to.
type Finding struct {
	RequestEnd Line
	// Cause is one sentence on why the request ended with its outcome.
	Cause string
	// Related holds the lines that concern the request, ordered by time.
	Related []Line
}

// Findings returns one finding for each line about the request, ordered by time.
func (l *Logs) Findings() []Finding {
	slices.SortStableFunc(l.requestEnds, byTime)
	slices.SortStableFunc(l.others, byTime)
	findings := make([]Finding, 0, len(l.requestEnds))
	for _, end := range l.requestEnds {
		related := l.related(end)
		findings = append(findings, Finding{RequestEnd: end, Related: related, Cause: describe(end, related)})
	}
	return findings
}

func byTime(a, b Line) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Origin, b.Origin))
}

// heads returns the IDs of the servers that a request was sent to.
func heads(end Line) []string {
	var ids []string
	for _, try := range strings.Split(end.Get("tries"), "; ") {
		if id, _, _ := strings.Cut(try, " "); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// related returns the lines that concern a request, ordered by time.
func (l *Logs) related(end Line) []Line {
	servers := heads(end)
	groups := l.groups(servers, end.At)
	var selected []Line
	latest := map[string]Line{}
	for _, line := range l.others {
		if line.At.After(end.At.Add(windowAfter)) {
			break
		}
		if key, ok := state(line, end); ok && !line.At.After(end.At) {
			latest[key] = line
			continue
		}
		if concernsMarks(line, end) {
			selected = append(selected, line)
			continue
		}
		if line.At.Before(end.At.Add(-windowBefore)) {
			continue
		}
		switch line.Event {
		case eventOrder, eventHeadProbed:
			if slices.Contains(servers, line.Get("server")) {
				selected = append(selected, line)
			}
		case eventGroupPlanned, eventGroupReleased:
			if slices.Contains(groups, line.Get("group")) {
				selected = append(selected, line)
			}
		case eventStepFailed, eventReadiness:
			if line.Origin == end.Origin {
				selected = append(selected, line)
			}
		}
	}
	for _, line := range latest {
		selected = append(selected, line)
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// concernsMarks reports whether a line is about the servers that ended under requests
// with the same content as one, or with a part of its prompt. It may be much older than
// the request.
func concernsMarks(line, end Line) bool {
	part := culprit(end)
	switch line.Event {
	case eventQuarantined, eventWithdrawn:
		return overlap(line.Get("fingerprint"), end.Get("fingerprint")) || overlap(line.Get("part"), part)
	case eventServerEnded:
		return overlap(line.Get("fingerprints"), end.Get("fingerprint")) || overlap(line.Get("parts"), part)
	default:
		return false
	}
}

// overlap reports whether two lists, whose items are separated by commas, share an item.
func overlap(a, b string) bool {
	items := strings.Split(b, ",")
	return slices.ContainsFunc(strings.Split(a, ","), func(item string) bool { return item != "" && slices.Contains(items, item) })
}

// culprit returns the part of its prompt for which a request was rejected, or an empty
// string.
func culprit(end Line) string {
	_, part, _ := strings.Cut(end.Get("cause"), "a part of the prompt ends the backend servers that run it: ")
	return part
}

// state returns a key for lines that describe a state, of which only the latest
// before the end of the request is relevant. It returns false for other lines and
// for those that don't concern the request.
func state(line, end Line) (string, bool) {
	switch line.Event {
	case eventHeads:
		same := line.Origin == end.Origin && line.Get("service") == end.Get("service") && line.Get("model") == end.Get("model")
		return "heads", same
	case eventConfiguration:
		return "configuration", line.Origin == end.Origin
	case eventFleetCounted:
		return "counted/" + line.Get("fabricDomain"), end.Get("outcome") == "refused"
	default:
		return "", false
	}
}

// groups returns the names of the groups whose plans before the time have one of
// the servers as head.
func (l *Logs) groups(servers []string, at time.Time) []string {
	var names []string
	for _, line := range l.others {
		if line.Event != eventGroupPlanned || line.At.After(at) {
			continue
		}
		head, _, _ := strings.Cut(line.Get("members"), ",")
		if slices.Contains(servers, head) {
			names = append(names, line.Get("group"))
		}
	}
	return names
}

// otherRequestCause is part of the cause of a try whose response was that to another
// request.
const otherRequestCause = "it belongs to another request"

// passedOverMark begins the number of connections that were passed over in a try.
const passedOverMark = " passedOver="

// describe returns the cause of the end of a request, and the first of its tries for which
// connections were passed over.
func describe(end Line, related []Line) string {
	text := cause(end, related)
	if tries := end.Get("tries"); strings.Contains(tries, passedOverMark) {
		text += "; kept connections were closed before anything was sent on them, by the head or because of what had come on them: " + tryWith(tries, passedOverMark)
	}
	return text
}

// tryWith returns the first of the tries that contains a text.
func tryWith(tries, text string) string {
	for _, try := range strings.Split(tries, "; ") {
		if strings.Contains(try, text) {
			return try
		}
	}
	return tries
}

// cause describes in one sentence why a request ended with its outcome.
func cause(end Line, related []Line) string {
	last := func(event int) (Line, bool) {
		for _, line := range slices.Backward(related) {
			if line.Event == event {
				return line, true
			}
		}
		return Line{}, false
	}
	tries := end.Get("tries")
	headCount := "the number of heads was not logged"
	if h, ok := last(eventHeads); ok {
		headCount = fmt.Sprintf("%s heads of model %q were known", h.Get("heads"), end.Get("model"))
	}
	switch {
	case end.Get("outcome") == "refused" && strings.Contains(end.Get("cause"), "ends the backend servers"):
		shared := "its content"
		if part := culprit(end); part != "" {
			shared = fmt.Sprintf("part %s in their prompts", part)
		}
		if q, ok := last(eventQuarantined); ok {
			return fmt.Sprintf("refused before it ran: servers had ended under requests with %s, as this node knew from source %q: %s", shared, q.Get("source"), q.Get("crashes"))
		}
		return fmt.Sprintf("refused before it ran: servers had ended under requests with %s; the quarantine was not logged", shared)
	case end.Get("outcome") == "refused":
		return fmt.Sprintf("refused before it ran: %s; %s", end.Get("cause"), headCount)
	case strings.Contains(tries, "stands still"):
		if r, ok := last(eventGroupReleased); ok {
			return fmt.Sprintf("a head stalled; its group %s was released: %s", r.Get("group"), r.Get("reason"))
		}
		if p, ok := last(eventHeadProbed); ok && p.Get("reached") == "false" && p.Get("registered") != "true" {
			return fmt.Sprintf("head %s stalled; its registration was missing and no node could reach it", p.Get("server"))
		}
		return "a head stalled; no group of the tried heads was released near that time"
	case strings.Contains(tries, otherRequestCause):
		return "a response belonged to another request and was not believed, so that this one may have run: " + tryWith(tries, otherRequestCause)
	case strings.Contains(tries, "cause="):
		return "a try failed without an answer: " + tries[strings.Index(tries, "cause=")+len("cause="):]
	case end.Get("cause") != "":
		return end.Get("cause")
	default:
		return "answered by the first head; " + headCount
	}
}
