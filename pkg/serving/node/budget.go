package node

import (
	"time"

	"almondbay.example/serving/platform"
)

const (
	// tableReadsPerSecond is how many reads a second the table service gives to all
	// nodes together.
	tableReadsPerSecond = 2000
	// tableWritesPerSecond is how many writes a second the table service gives to all
	// nodes together.
	tableWritesPerSecond = 500
	// minReadsPerSecond is how many reads a second a node may make however many
	// nodes there are: enough for a poller that holds a lease, too.
	minReadsPerSecond = 20
	// minWritesPerSecond is how many writes a second a node may make however many
	// nodes there are.
	minWritesPerSecond = 5
	// outageFailures is the number of calls in a row without an answer after
	// which the table service counts as out of service.
	outageFailures = 5
	// outageRetryInterval is the time between two calls that are let through while the
	// table service counts as out of service.
	outageRetryInterval = 500 * time.Millisecond
)

// newGuard returns the guard that keeps a node within its part of the table
// service's budget.
func newGuard(c Config) *platform.Guard {
	return platform.NewGuard(platform.GuardConfig{
		Table:           c.Table,
		Clock:           c.Clock,
		ReadsPerSecond:  tableReadsPerSecond,
		WritesPerSecond: tableWritesPerSecond,
		MinReads:        minReadsPerSecond,
		MinWrites:       minWritesPerSecond,
		FailuresToOpen:  outageFailures,
		RetryAfter:      outageRetryInterval,
	})
}

// guarded returns the configuration with the table as seen by uses of one
// priority.
func guarded(c Config, g *platform.Guard, p platform.Priority) Config {
	c.Table = g.Table(p)
	return c
}
