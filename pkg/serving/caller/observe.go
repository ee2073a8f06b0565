package caller

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
)

// Observation is the result of a generation request.
type Observation struct {
	// Series identifies the workspace and the model or adapter.
	burn.Series
	burn.Sample
}

// Observer receives the result of each generation request. It must be safe for
// concurrent use.
type Observer interface {
	Observe(o Observation)
}

// timedSink records when the first and the last part of an answer were written.
type timedSink struct {
	sink
	clock   clockwork.Clock
	firstAt time.Time
	lastAt  time.Time
}

func (s *timedSink) write(b []byte) error {
	s.lastAt = s.clock.Now()
	if s.firstAt.IsZero() {
		s.firstAt = s.lastAt
	}
	return s.sink.write(b)
}

// observe reports the end of a request to the observer. It skips calls to plain
// services, which have no model.
func (g *Gateway) observe(c *call, timed *timedSink, tokens int, p *problem) {
	if g.observer == nil || c.model == "" {
		return
	}
	o := Observation{
		Series: burn.Series{Workspace: c.workspace.Name, Model: c.model},
		Sample: burn.Sample{Outcome: outcomeOf(p)},
	}
	if !timed.firstAt.IsZero() {
		o.FirstToken = timed.firstAt.Sub(c.receivedAt)
	}
	if tokens > 1 {
		o.BetweenToken = timed.lastAt.Sub(timed.firstAt) / time.Duration(tokens-1)
	}
	g.observer.Observe(o)
}

// outcomeOf classifies a problem by whether the service or the caller caused
// it.
func outcomeOf(p *problem) burn.Outcome {
	switch {
	case p == nil:
		return burn.Served
	case p.code == CodeQuarantined, p.code == CodeRejected, p.code == CodeCanceled:
		return burn.Excused
	case p.status == http.StatusTooManyRequests, p.status == http.StatusServiceUnavailable:
		return burn.Refused
	default:
		return burn.Failed
	}
}
