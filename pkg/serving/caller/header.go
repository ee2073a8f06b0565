package caller

import (
	"net/http"
	"strconv"
	"time"
)

// Headers of callers' requests.
const (
	// HeaderIdempotencyKey names a non-idempotent request, so that repeats of
	// it are not run.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotent says whether a request may be run more than once: true
	// or false.
	HeaderIdempotent = "Almondbay-Idempotent"
	// HeaderTimeout bounds the time for the whole answer, as a number with a
	// unit, such as 2500ms or 30s.
	HeaderTimeout = "Almondbay-Timeout"
	// HeaderPriority is low, normal or high.
	HeaderPriority = "Almondbay-Priority"
)

const (
	// maxTimeout bounds HeaderTimeout, and is what requests have without it.
	maxTimeout = time.Hour
	// maxHeaders bounds the number of header lines of a request.
	maxHeaders = 100
)

// Priority of a request.
type Priority string

// Priorities of a request.
const (
	PriorityLow    Priority = "low"
	PriorityNormal Priority = "normal"
	PriorityHigh   Priority = "high"
)

// idempotence tells whether a request says that it may be repeated.
type idempotence uint8

const (
	idempotenceUnsaid idempotence = iota
	idempotenceYes
	idempotenceNo
)

// options are what the headers of a request ask for.
type options struct {
	// key is empty when the request has none.
	key         string
	idempotence idempotence
	timeout     time.Duration
	priority    Priority
}

// HeaderError reports a header that cannot be read.
type HeaderError struct {
	Name string
}

func (e *HeaderError) Error() string {
	return "the header " + e.Name + " is malformed"
}

// parseOptions reads the headers of a request.
func parseOptions(h http.Header) (options, error) {
	o := options{timeout: maxTimeout, priority: PriorityNormal}
	if keys := h.Values(HeaderIdempotencyKey); len(keys) > 0 {
		if len(keys) > 1 || !validKey(keys[0]) {
			return options{}, &HeaderError{Name: HeaderIdempotencyKey}
		}
		o.key = keys[0]
	}
	if text := h.Get(HeaderIdempotent); text != "" {
		yes, err := strconv.ParseBool(text)
		if err != nil {
			return options{}, &HeaderError{Name: HeaderIdempotent}
		}
		o.idempotence = idempotenceNo
		if yes {
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
