package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/fleet/registry"
	"almondbay.example/serving/event"
)

// Statements of servers in their answers, as metric labels.
const (
	statementLeaving = "leaving"
	statementPause   = "pause"
)

// recordLeaving stops sending new requests to a server that said in an answer that it
// is about to shut down. Requests that run there go on.
func (n *Node) recordLeaving(life registry.Life) {
	if !n.registrations.RecordLeaving(life, n.config.Clock.Now()) {
		return
	}
	n.metrics.Statements.WithLabelValues(statementLeaving).Inc()
	event.ServerLeaving.Log(n.config.Logger, zap.String("server", life.ID), zap.Int64("incarnation", life.Incarnation))
	n.refreshHeads()
}

// doubtInterval is the time between two questions to a server in doubt.
const doubtInterval = 500 * time.Millisecond

// askInDoubt asks the servers of which it isn't known whether the registered run said that it
// is about to shut down: a server that is says so in each answer. It doesn't wait.
func (n *Node) askInDoubt(ctx context.Context, now time.Time) {
	if now.Sub(n.doubtsAskedAt) < doubtInterval {
		return
	}
	servers := n.registrations.InDoubt(now)
	if len(servers) > 0 {
		n.doubtsAskedAt = now
	}
	for _, s := range servers {
		n.checks.TryGo(func() error {
			n.askWhetherLeaving(ctx, s)
			return nil
		})
	}
}

// askWhetherLeaving asks a server in doubt.
func (n *Node) askWhetherLeaving(ctx context.Context, s registry.Server) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	state, err := n.config.Orders.QueryState(ctx, s)
	var status *control.StatusError
	switch {
	case errors.As(err, &status):
		// Servers of plain services may give no report; this is an answer too.
		if status.Leaving {
			n.recordLeaving(s.Life())
			return
		}
	case err != nil || state.Leaving || state.Incarnation != 0 && state.Incarnation != s.Incarnation:
		return
	}
	n.registrations.ConfirmServing(s.Life())
	event.ServerServing.Log(n.config.Logger, zap.String("server", s.ID), zap.Int64("incarnation", s.Incarnation))
	n.refreshHeads()
}

// recordPause logs that a server asked for no requests for some time.
func (n *Node) recordPause(h registry.Head, pause time.Duration) {
	n.metrics.Statements.WithLabelValues(statementPause).Inc()
	n.eventLog.serverPaused(h, pause)
}
