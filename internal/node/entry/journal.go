package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/internal/routing/ingress"
	"almondbay.example/serving/event"
)

const (
	// answeredPerSecond and otherPerSecond bound the lines on requests; those
	// that were not answered come first.
	answeredPerSecond = 60
	otherPerSecond    = 200
	// countInterval is the time between two lines that count what was left out.
	countInterval = 5 * time.Second
)

// journal logs within bounds.
type journal struct {
	logger  *zap.Logger
	clock   clockwork.Clock
	dropped func() uint64

	mu sync.Mutex
	// second is the second that answered and other count lines of.
	second          int64
	answered, other int
	// left counts requests without a line by outcome.
	left      map[ingress.Outcome]int
	datagrams int
}

func newJournal(logger *zap.Logger, clock clockwork.Clock, dropped func() uint64) *journal {
	return &journal{logger: logger, clock: clock, dropped: dropped, left: map[ingress.Outcome]int{}}
}

// admit reports whether a request gets a line of its own.
func (j *journal) admit(o ingress.Outcome) bool {
	j.mu.Lock()
	defer j.mu.Unlock()

	if second := j.clock.Now().Unix(); second != j.second {
		j.second, j.answered, j.other = second, 0, 0
	}
	count, limit := &j.other, otherPerSecond
	if o == ingress.OutcomeAnswered {
		count, limit = &j.answered, answeredPerSecond
	}
	if *count >= limit {
		j.left[o]++
		return false
	}
	*count++
	return true
}

// request logs a request that has ended.
func (j *journal) request(r ingress.Result, registryAge time.Duration) {
	if !j.admit(r.Outcome) {
		return
	}
	event.RequestEnded.Log(j.logger,
		zap.String("request", r.ID), zap.String("route", r.Route), zap.String("service", r.Service),
		zap.String("model", r.Model), zap.Uint64("version", r.Version), zap.String("outcome", string(r.Outcome)),
		zap.Int("status", r.Status), zap.String("cause", r.Cause), zap.String("tries", tries(r.Tries)),
		zap.Duration("retryAfter", r.RetryAfter), zap.Duration("firstByte", r.FirstByte),
		zap.Duration("maxGap", r.MaxGap), zap.Duration("duration", r.Duration), zap.Int("events", r.Events),
		zap.Duration("registryAge", registryAge))
}

// tries renders the heads that a request was offered to.
func tries(all []ingress.Try) string {
	var b strings.Builder
	for i, t := range all {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(t.Head + " inFlight=" + strconv.Itoa(t.InFlight) + " took=" + t.Took.Round(time.Millisecond).String())
		if t.Cause != "" {
			b.WriteString(" cause=" + t.Cause)
		}
	}
	return b.String()
}

// flush logs what was left out.
func (j *journal) flush() {
	j.mu.Lock()
	left := j.left
	j.left = map[ingress.Outcome]int{}
	j.mu.Unlock()
	dropped := j.dropped()
	if dropped > 0 && len(left) == 0 {
		left[""] = 0
	}
	for outcome, count := range left {
		event.RequestsCounted.Log(j.logger, zap.String("outcome", string(outcome)), zap.Int("count", count), zap.Uint64("dropped", dropped))
	}
}

// stepFailed logs a failure if it is due; failures is the number in a row.
func (j *journal) stepFailed(err error, failures int) {
	if !event.Due(failures) {
		return
	}
	event.StepFailed.Log(j.logger, zap.String("error", err.Error()), zap.Int("failures", failures))
}

// datagramFailed logs a datagram that was lost if that is due.
func (j *journal) datagramFailed(err error) {
	j.mu.Lock()
	j.datagrams++
	failures := j.datagrams
	j.mu.Unlock()
	if event.Due(failures) {
		event.DatagramFailed.Log(j.logger, zap.String("error", err.Error()), zap.Int("failures", failures))
	}
}
