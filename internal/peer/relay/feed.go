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
	// Logs holds the tables that are passed on by name.
	Logs map[string]*Log
	// Source returns the address of the node to hear from among those that need
	// not be avoided, and the number of nodes between the store and this one;
	// empty when this node reads the store for the others.
	Source func(avoid func(address string) bool) (address string, hops int)
	// AgeSlack is how much older than the wait for a change a source's reading may
	// be, for each hop.
	AgeSlack time.Duration
	// MaxWait bounds the wait for a source's answer; a source that has stopped
	// costs as much.
	MaxWait time.Duration
	// ResponseMargin is added to the wait for an answer to arrive.
	ResponseMargin time.Duration
	// SourceBackoff is how long a source is avoided after it has failed.
	SourceBackoff time.Duration
}

// Feed reads tables from another node of the failure domain, or from the store
// when there is none that knows better. A source that fails costs one call of
// the store; the next goes to another source. It implements platform.Feed.
type Feed struct {
	config FeedConfig

	mu sync.Mutex
	// avoided is until when a source is not asked for a table.
	avoided map[sourceKey]time.Time
}

type sourceKey struct {
	table, address string
}

var _ platform.Feed = (*Feed)(nil)

// NewFeed returns a feed.
func NewFeed(c FeedConfig) *Feed {
	return &Feed{config: c, avoided: map[sourceKey]time.Time{}}
}

// source returns the node to hear from, or an empty address.
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

// Direct reports whether the next call for a table goes to the store.
func (f *Feed) Direct(table string) bool {
	address, _ := f.source(table)
	return address == ""
}

// oldest returns how old a source's reading of the store may be.
func (f *Feed) oldest(wait time.Duration, hops int) time.Duration {
	return wait + f.config.AgeSlack + time.Duration(hops-1)*(f.config.MaxWait+f.config.AgeSlack)
}

// avoid has the next calls for a table go elsewhere.
func (f *Feed) avoid(table, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	now := f.config.Clock.Now()
	maps.DeleteFunc(f.avoided, func(_ sourceKey, until time.Time) bool { return !now.Before(until) })
	f.avoided[sourceKey{table, address}] = now.Add(f.config.SourceBackoff)
}

// Scan implements platform.Feed.
func (f *Feed) Scan(ctx context.Context, table string) (platform.Changes, error) {
	if address, hops := f.source(table); address != "" {
		calling, cancel := context.WithTimeout(ctx, f.config.ResponseMargin)
		c, age, err := f.config.Client.Snapshot(calling, address, table)
		cancel()
		if err == nil && age <= f.oldest(f.config.MaxWait, hops) {
			f.keep(table, c, true, age)
			return c, nil
		}
		f.avoid(table, address)
	}
	c, err := f.config.Store.Scan(ctx, table)
	if err != nil {
		f.fail(table)
		return c, err
	}
	f.keep(table, c, true, 0)
	return c, nil
}

// Changes implements platform.Feed.
func (f *Feed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	if address, hops := f.source(table); address != "" {
		waited := min(wait, f.config.MaxWait)
		calling, cancel := context.WithTimeout(ctx, waited+f.config.ResponseMargin)
		c, age, err := f.config.Client.Changes(calling, address, table, after, waited)
		cancel()
		var lost *platform.HistoryLostError
		switch {
		case err == nil && age <= f.oldest(wait, hops):
			f.keep(table, c, false, age)
			return c, nil
		case errors.As(err, &lost):
			return platform.Changes{}, err
		}
		f.avoid(table, address)
	}
	c, err := f.config.Store.Changes(ctx, table, after, wait)
	var lost *platform.HistoryLostError
	switch {
	case err == nil:
		f.keep(table, c, false, 0)
	case !errors.As(err, &lost):
		f.fail(table)
	}
	return c, err
}

func (f *Feed) fail(table string) {
	if log, ok := f.config.Logs[table]; ok {
		log.RecordFailure()
	}
}

// keep notes what was read from the store so long ago, for the nodes that hear
// from this one.
func (f *Feed) keep(table string, c platform.Changes, whole bool, age time.Duration) {
	log, ok := f.config.Logs[table]
	if !ok {
		return
	}
	now := f.config.Clock.Now().Add(-age)
	if whole {
		log.Replace(c, now)
		return
	}
	log.Apply(c, now)
}
