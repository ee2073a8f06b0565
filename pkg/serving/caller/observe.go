package caller

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/burn"
)

// Observation is a generation request that has ended.
type Observation struct {
	// Series names a workspace and a model or adapter of the document.
	burn.Series
	burn.Sample
}

// Observer is told of each generation request that has ended. It is called by
// many goroutines.
type Observer interface {
	Observe(o Observation)
}

// timedSink notes when pieces of an answer pass.
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

// observe tells of the end of a request. Calls of plain services name no model
// and are passed over.
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

// outcomeOf judges whether the service or the caller is the cause of a problem.
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
