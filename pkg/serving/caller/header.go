package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Request headers set by callers.
const (
	// HeaderIdempotencyKey identifies a non-idempotent request, so that
	// repetitions of it are not executed.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent states whether the request may be executed more than
	// once: true or false.
	HeaderIdempotent = "Almondbay-Idempotent"
	// HeaderTimeout bounds the time to the end of the answer, as a number with
	// a unit, such as 2500ms or 30s.
	HeaderTimeout = "Almondbay-Timeout"
	// HeaderPriority is low, normal or high.
	HeaderPriority = "Almondbay-Priority"
)

const (
	// maxTimeout bounds HeaderTimeout and is its default.
	maxTimeout = time.Hour
	// maxHeaders bounds the number of header lines of a request.
	maxHeaders = 100
)

// Priority is the priority of a request.
type Priority string

// Priorities of a request.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// idempotence is what a request declares about repeated execution.
type idempotence uint8

const (
	idempotenceUnspecified idempotence = iota
	idempotenceYes
	idempotenceNo
)

// options are the parsed headers of a request.
type options struct {
	// key is the idempotency key; empty when there is none.
	key         string
	idempotence idempotence
	timeout     time.Duration
	priority    Priority
}

// HeaderError reports a malformed header.
type HeaderError struct {
	Name string
}

func (e *HeaderError) Error() string {
	return "header " + e.Name + " is malformed"
}

// parseOptions parses the headers of a request.
func parseOptions(h http.Header) (options, error) {
	o := options{timeout: maxTimeout, priority: PriorityNormal}
	if keys := h.Values(HeaderIdempotencyKey); len(keys) > 0 {
		if len(keys) > 1 || !validKey(keys[0]) {
			return options{}, &HeaderError{Name: HeaderIdempotencyKey}
		}
		o.key = keys[0]
	}
	if text := h.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return options{}, &HeaderError{Name: HeaderIdempotent}
		}
		o.idempotence = idempotenceNo
		if idempotent {
			o.idempotence = idempotenceYes
		}
	}
	if text := h.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return options{}, &HeaderError{Name: HeaderTimeout}
		}
		o.timeout = min(timeout, maxTimeout)
	}
	switch p := Priority(h.Get(HeaderPriority)); p {
	case "":
	case PriorityLow, PriorityNormal, PriorityHigh:
		o.priority = p
	default:
		return options{}, &HeaderError{Name: HeaderPriority}
	}
	return o, nil
}

// countHeaders returns the number of header lines.
func countHeaders(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}
