package node

import (
	"time"

	"almondbay.example/serving/platform"
)

const (
	// tableReadsPerSecond is the table service's limit on reads by all nodes
	// together.
	tableReadsPerSecond = 2000
	// tableWritesPerSecond is the table service's limit on writes by all nodes
	// together.
	tableWritesPerSecond = 500
	// minReadsPerSecond is the lowest read limit of one node, regardless of the
	// number of nodes. It suffices for a poller that also holds a lease.
	minReadsPerSecond = 20
	// minWritesPerSecond is the lowest write limit of one node, regardless of the
	// number of nodes.
	minWritesPerSecond = 5
	// outageFailures is the number of consecutive calls without a response after
	// which the table service is treated as down.
	outageFailures = 5
	// outageRetryInterval is the time between two trial calls while the table
	// service is treated as down.
	outageRetryInterval = 500 * time.Millisecond
)

// newGuard returns the guard that limits this node's calls to its share of the
// table service's budget and rejects most calls while the service is down.
func newGuard(c Config) *platform.Guard {
	return platform.NewGuard(platform.GuardConfig{
		Table:           c.Table,
		Clock:           c.Clock,
		ReadsPerSecond:  tableReadsPerSecond,
		WritesPerSecond: tableWritesPerSecond,
		MinReads:        minReadsPerSecond,
		MinWrites:       minWritesPerSecond,
		FailuresToOpen:  outageFailures,
		ProbeInterval:   outageRetryInterval,
	})
}

// guarded returns c with its table replaced by the guarded table of priority p.
func guarded(c Config, g *platform.Guard, p platform.Priority) Config {
	c.Table = g.Table(p)
	return c
}
