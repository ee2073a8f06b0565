package relay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/serving/platform"
)

// FeedConfig configures a Feed.
type FeedConfig struct {
	Clock  clockwork.Clock
	Store  platform.Feed
	Client *Client
	// Logs holds the relayed tables by name.
	Logs map[string]*Log
	// Source returns the address of the node to read from, which must not be one
	// to avoid, and the number of nodes between the store and this node. The
	// address is empty if this node reads the store for the others.
	Source func(avoid func(address string) bool) (address string, hops int)
	// Witness returns the address of a node that may know newer values than the store, which
	// may have come back from a copy or perform a write late; empty if there is none. It is
	// called for maxWitnesses nodes, numbered from zero.
	Witness func(number int) string
	// OnWitnessError is called with the error of a call to one of them.
	OnWitnessError func(err error)
	// AgeSlack is, for each hop, how far the age of a source's data may exceed the
	// wait for a change.
	AgeSlack time.Duration
	// MaxWait limits the wait for a change of a table at a source, and thereby the
	// delay caused by a stopped source.
	MaxWait func(table string) time.Duration
	// StartWait limits the wait for a source that has not read a table yet, since all
	// nodes may have started at the same time.
	StartWait time.Duration
	// ResponseMargin is added to the wait at a source to get the timeout of a call to
	// it.
	ResponseMargin time.Duration
	// SourceBackoff is how long a source is avoided after it has failed.
	SourceBackoff time.Duration
}

// Feed reads tables from another node of the failure domain, or from the store if
// there is no such node or its data is too old. A failed source causes one call to
// the store; the next call goes to another source. Feed implements platform.Feed.
type Feed struct {
	config FeedConfig

	mu sync.Mutex
	// avoided holds the time until which a source is not used for a table.
	avoided map[sourceKey]time.Time
	// cursors holds where to continue each table at the source that it was last read from,
	// unless it was read elsewhere since: what this node has read there may be older than
	// what the source won't repeat.
	cursors map[string]cursor
	// unasked holds the number of nodes that are still to be asked for newer values of each
	// table, since it was last read as a whole at the store.
	unasked map[string]int
}

// maxWitnesses is the number of nodes that are asked for newer values: some may have just
// started, too.
const maxWitnesses = 3

// cursor is a position in the log of a source.
type cursor struct {
	address  string
	position Position
}

type sourceKey struct {
	table, address string
}

var _ platform.Feed = (*Feed)(nil)

// NewFeed returns a feed that avoids no source yet.
func NewFeed(c FeedConfig) *Feed {
	return &Feed{config: c, avoided: map[sourceKey]time.Time{}, cursors: map[string]cursor{}, unasked: map[string]int{}}
}

// source returns the address of the node to read from and its hops to the store,
// or an empty address to read from the store.
func (f *Feed) source(table string) (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	now := f.config.Clock.Now()
	avoid := func(address string) bool { return now.Before(f.avoided[sourceKey{table, address}]) }
	address, hops := f.config.Source(avoid)
	if avoid(address) {
		return "", 0
	}
	return address, hops
}

// Direct reports whether the next call for a table goes directly to the store.
func (f *Feed) Direct(table string) bool {
	address, _ := f.source(table)
	return address == ""
}

// maxAge returns the maximum age of a source's data at the given distance from
// the store.
func (f *Feed) maxAge(table string, wait time.Duration, hops int) time.Duration {
	return wait + f.config.AgeSlack + time.Duration(hops-1)*(f.config.MaxWait(table)+f.config.AgeSlack)
}

// avoid excludes a source of a table for SourceBackoff.
func (f *Feed) avoid(table, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	now := f.config.Clock.Now()
	maps.DeleteFunc(f.avoided, func(_ sourceKey, until time.Time) bool { return !now.Before(until) })
	f.avoided[sourceKey{table, address}] = now.Add(f.config.SourceBackoff)
}

// position returns where to continue a table at a source; the zero position if the table
// was last read elsewhere.
func (f *Feed) position(table, address string) Position {
	f.mu.Lock()
	defer f.mu.Unlock()

	if c := f.cursors[table]; c.address == address {
		return c.position
	}
	return Position{}
}

// askWitness asks a node for newer values of a table than those read at the store, if some
// are still to be asked.
func (f *Feed) askWitness(ctx context.Context, table string) []platform.Change {
	log, ok := f.config.Logs[table]
	if !ok || !log.ordered {
		return nil
	}
	address := f.nextToAsk(table)
	if address == "" {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, f.config.ResponseMargin)
	defer cancel()
	r, err := f.config.Client.Snapshot(callCtx, address, table, 0)
	if err != nil {
		// The next one is asked: this one may not have read the table yet.
		f.config.OnWitnessError(err)
		return nil
	}
	return log.ApplyNewer(r.Rows, f.config.Clock.Now())
}

// nextToAsk returns the address of the node to ask for newer values of a table; empty if
// none is to be asked.
func (f *Feed) nextToAsk(table string) string {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.unasked[table] == 0 {
		return ""
	}
	address := f.config.Witness(maxWitnesses - f.unasked[table])
	if address != "" {
		f.unasked[table]--
	}
	return address
}

// moveTo records where a table was read; at the store if the cursor is zero.
func (f *Feed) moveTo(table string, c cursor) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cursors[table] = c
}

// Scan implements platform.Feed.
func (f *Feed) Scan(ctx context.Context, table string) (platform.Changes, error) {
	if address, hops := f.source(table); address != "" {
		callCtx, cancel := context.WithTimeout(ctx, f.config.StartWait+f.config.ResponseMargin)
		r, err := f.config.Client.Snapshot(callCtx, address, table, f.config.StartWait)
		cancel()
		if err == nil && r.Age <= f.maxAge(table, f.config.MaxWait(table), hops) {
			next := cursor{address: address, position: r.Position}
			if f.record(table, r.Changes, true, r.Age) {
				// The source may keep back a value that doesn't differ from its own, but does
				// from the newer one that this node has.
				next = cursor{}
			}
			f.moveTo(table, next)
			return r.Changes, nil
		}
		f.avoid(table, address)
	}
	c, err := f.config.Store.Scan(ctx, table)
	if err != nil {
		f.recordFailure(table)
		return c, err
	}
	f.record(table, c, true, 0)
	f.moveTo(table, cursor{})
	f.mu.Lock()
	defer f.mu.Unlock()

	f.unasked[table] = maxWitnesses
	return c, nil
}

// Changes implements platform.Feed.
func (f *Feed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	if address, hops := f.source(table); address != "" {
		waited := min(wait, f.config.MaxWait(table))
		callCtx, cancel := context.WithTimeout(ctx, waited+f.config.ResponseMargin)
		r, err := f.config.Client.Changes(callCtx, address, table, f.position(table, address), waited)
		cancel()
		switch {
		case err == nil && r.Age <= f.maxAge(table, wait, hops):
			f.record(table, r.Changes, false, r.Age)
			f.moveTo(table, cursor{address: address, position: r.Position})
			return r.Changes, nil
		case errors.Is(err, errForeignPosition):
			return platform.Changes{}, &platform.HistoryLostError{Table: table, Version: after}
		}
		f.avoid(table, address)
	}
	if rows := f.askWitness(ctx, table); len(rows) > 0 {
		return platform.Changes{Rows: rows, Version: after}, nil
	}
	c, err := f.config.Store.Changes(ctx, table, after, wait)
	var lost *platform.HistoryLostError
	switch {
	case err == nil:
		f.record(table, c, false, 0)
		f.moveTo(table, cursor{})
	case !errors.As(err, &lost):
		f.recordFailure(table)
	}
	return c, err
}

// recordFailure records that a table could not be read from the store.
func (f *Feed) recordFailure(table string) {
	if log, ok := f.config.Logs[table]; ok {
		log.RecordFailure()
	}
}

// record stores changes, or a snapshot if full is set, in the table's log for the
// nodes that read from this one. The age is the time since the read from the
// store. It reports whether the log is ahead of the snapshot.
func (f *Feed) record(table string, c platform.Changes, full bool, age time.Duration) (ahead bool) {
	log, ok := f.config.Logs[table]
	if !ok {
		return false
	}
	now := f.config.Clock.Now().Add(-age)
	if full {
		return log.Replace(c, now)
	}
	log.Apply(c, now)
	return false
}
