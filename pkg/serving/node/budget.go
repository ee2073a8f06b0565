package node

import (
	"time"

	"almondbay.example/serving/platform"
)

const (
	// tableReads is how many reads a second the table service gives to all
	// nodes together.
	tableReads = 2000
	// tableWrites is how many writes a second the table service gives to all
	// nodes together.
	tableWrites = 500
	// minTableReads is how many reads a second a node may make however many
	// nodes there are: enough for a poller that holds a lease, too.
	minTableReads = 20
	// minTableWrites is how many writes a second a node may make however many
	// nodes there are.
	minTableWrites = 5
	// outageFailures is the number of calls in a row without an answer after
	// which the table service counts as out of service.
	outageFailures = 5
	// outageRetry is the time between two calls that are let through while the
	// table service counts as out of service.
	outageRetry = 500 * time.Millisecond
)

// newGuard returns the guard that keeps a node within its part of the table
// service's budget.
func newGuard(c Config) *platform.Guard {
	return platform.NewGuard(platform.GuardConfig{
		Table:           c.Table,
		Clock:           c.Clock,
		ReadsPerSecond:  tableReads,
		WritesPerSecond: tableWrites,
		MinReads:        minTableReads,
		MinWrites:       minTableWrites,
		FailuresToOpen:  outageFailures,
		ProbeInterval:   outageRetry,
	})
}

// guarded returns the configuration with the table as seen by uses of one
// priority.
func guarded(c Config, g *platform.Guard, p platform.Priority) Config {
	c.Table = g.Table(p)
	return c
}
