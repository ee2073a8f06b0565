package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/routing/backend"
	"almondbay.example/internal/routing/ingress"
	"almondbay.example/serving/event"
)

const (
	// answeredLinesPerSecond and otherLinesPerSecond limit the lines about
	// answered requests and about all others. The limits are separate so that
	// answered requests can't crowd out failures.
	answeredLinesPerSecond = 60
	otherLinesPerSecond    = 200
	// summaryInterval is the time between two summaries of suppressed lines.
	summaryInterval = 5 * time.Second
)

// eventLog logs request results and recurring failures at a limited rate.
type eventLog struct {
	logger  *zap.Logger
	clock   clockwork.Clock
	dropped func() uint64

	mu sync.Mutex
	// second is the Unix second in which answered and other count lines.
	second          int64
	answered, other int
	// suppressed counts the requests without a line of their own by outcome.
	suppressed      map[ingress.Outcome]int
	failedDatagrams int
	// httpErrors counts the errors that net/http reported, except unsolicited
	// responses.
	httpErrors int
	// pauses counts the servers that asked for a pause.
	pauses int
	// unsolicited counts the unsolicited responses that net/http reported.
	unsolicited int
}

func newEventLog(logger *zap.Logger, clock clockwork.Clock, dropped func() uint64) *eventLog {
	return &eventLog{logger: logger, clock: clock, dropped: dropped, suppressed: map[ingress.Outcome]int{}}
}

// allow reports whether a request with the outcome may be logged, and counts it
// as suppressed otherwise.
func (l *eventLog) allow(o ingress.Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if second := l.clock.Now().Unix(); second != l.second {
		l.second, l.answered, l.other = second, 0, 0
	}
	count, limit := &l.other, otherLinesPerSecond
	if o == ingress.OutcomeAnswered {
		count, limit = &l.answered, answeredLinesPerSecond
	}
	if *count >= limit {
		l.suppressed[o]++
		return false
	}
	*count++
	return true
}

// request logs a finished request, subject to the rate limit.
func (l *eventLog) request(r ingress.Result, registryAge time.Duration) {
	if !l.allow(r.Outcome) {
		return
	}
	event.RequestEnded.Log(l.logger,
		zap.String("request", r.ID), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.String("model", r.Model), zap.String("fingerprint", formatFingerprints(r.Marks)), zap.String("parts", formatParts(r.Marks)), zap.Bool("trial", r.Trial), zap.Uint64("version", r.Version), zap.String("outcome", string(r.Outcome)),
		zap.Int("status", r.Status), zap.Bool("cutOff", r.CutOff), zap.String("cause", r.Cause), zap.String("tries", formatTries(r.Tries)),
		zap.Duration("retryAfter", r.RetryAfter), zap.Duration("firstByte", r.FirstByte),
		zap.Float64("load", r.Load), zap.Duration("maxGap", r.MaxGap), zap.Duration("duration", r.Duration), zap.Int("events", r.Events),
		zap.Int64("memory", r.Memory),
		zap.Duration("registryAge", registryAge))
}

// formatTries renders the tries of a request: head, requests in flight there,
// duration, connection, status of the head's response, events sent to the caller and
// cause of failure.
func formatTries(all []ingress.Try) string {
	var b strings.Builder
	for i, t := range all {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(t.Head + " inFlight=" + strconv.Itoa(t.InFlight) + " took=" + t.Took.Round(time.Millisecond).String())
		b.WriteString(formatSend(t.Send))
		if t.Status != 0 {
			b.WriteString(" status=" + strconv.Itoa(t.Status) + " events=" + strconv.Itoa(t.Events))
		}
		if t.Cause != "" {
			b.WriteString(" cause=" + t.Cause)
		}
	}
	return b.String()
}

// formatSend renders the connection that a request was sent on: its number, the number of
// requests that it had carried, and if any, those of rejections on it and of connections that
// were passed over.
func formatSend(s backend.Send) string {
	if s.Connection == 0 {
		return ""
	}
	text := " connection=" + strconv.FormatUint(s.Connection, 10) + " requests=" + strconv.Itoa(s.Requests)
	if s.Rejections > 0 {
		text += " rejections=" + strconv.Itoa(s.Rejections)
	}
	if s.PassedOver > 0 {
		text += " passedOver=" + strconv.Itoa(s.PassedOver)
	}
	return text
}

// logSuppressed logs the number of requests without a line since the last call,
// by outcome, and the number of lines that the output dropped.
func (l *eventLog) logSuppressed() {
	l.mu.Lock()
	suppressed := l.suppressed
	l.suppressed = map[ingress.Outcome]int{}
	l.mu.Unlock()
	dropped := l.dropped()
	if dropped > 0 && len(suppressed) == 0 {
		suppressed[""] = 0
	}
	for outcome, count := range suppressed {
		event.RequestsCounted.Log(l.logger, zap.String("outcome", string(outcome)), zap.Int("count", count), zap.Uint64("dropped", dropped))
	}
}

// serverPaused logs that a server asked for a pause unless it is rate limited.
func (l *eventLog) serverPaused(h registry.Head, pause time.Duration) {
	l.mu.Lock()
	l.pauses++
	count := l.pauses
	l.mu.Unlock()
	if event.ShouldLog(count) {
		event.ServerPaused.Log(l.logger, zap.String("server", h.ID), zap.Int64("incarnation", h.Incarnation),
			zap.Duration("pause", pause), zap.Int("count", count))
	}
}

// stepFailed logs a failure unless it is rate limited; failures is the number of
// consecutive failures.
func (l *eventLog) stepFailed(err error, failures int) {
	if !event.ShouldLog(failures) {
		return
	}
	event.StepFailed.Log(l.logger, zap.String("error", err.Error()), zap.Int("failures", failures))
}

// datagramFailed logs a datagram that could not be sent or decoded unless it is
// rate limited.
func (l *eventLog) datagramFailed(err error) {
	l.mu.Lock()
	l.failedDatagrams++
	failures := l.failedDatagrams
	l.mu.Unlock()
	if event.ShouldLog(failures) {
		event.DatagramFailed.Log(l.logger, zap.String("error", err.Error()), zap.Int("failures", failures))
	}
}

// Write logs an error that net/http reports, unless it is rate limited. It
// implements io.Writer, so that a log.Logger can write to it.
func (l *eventLog) Write(p []byte) (int, error) {
	text := string(p[:min(len(p), maxHTTPErrorBytes)])
	// The rest quotes bytes that may belong to another caller's response.
	text, _, unsolicited := strings.Cut(text, " starting with")
	l.mu.Lock()
	counter := &l.httpErrors
	if unsolicited {
		// A backend server can cause many of these, which must not crowd out others.
		counter = &l.unsolicited
	}
	*counter++
	count := *counter
	l.mu.Unlock()
	if event.ShouldLog(count) {
		event.HTTPErrorReported.Log(l.logger, zap.String("error", strings.TrimSpace(text)), zap.Int("count", count))
	}
	return len(p), nil
}

// maxHTTPErrorBytes limits the text of an error reported by net/http. A panic
// comes with its stack.
const maxHTTPErrorBytes = 4 << 10
