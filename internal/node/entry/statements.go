package entry

import (
	"time"

	"go.uber.org/zap"

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

// recordPause logs that a server asked for no requests for some time.
func (n *Node) recordPause(h registry.Head, pause time.Duration) {
	n.metrics.Statements.WithLabelValues(statementPause).Inc()
	n.eventLog.serverPaused(h, pause)
}
