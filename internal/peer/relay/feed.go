package relay

import (
	"context"
	"errors"
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
	// Source returns the address of the node to hear from, and the number of
	// nodes between the store and this one; empty when this node reads the store
	// for the others.
	Source func() (address string, hops int)
	// Slack is how much older than the wait for a change a source's reading may
	// be, for each hop.
	Slack time.Duration
	// MaxWait bounds the wait for a source's answer; a source that has stopped
	// costs as much.
	MaxWait time.Duration
	// Margin is added to the wait for an answer to arrive.
	Margin time.Duration
	// DirectFor is how long this node reads the store itself after its source
	// has failed.
	DirectFor time.Duration
}

// Feed reads tables from another node of the failure domain, or from the store
// when there is none that knows better. It implements platform.Feed.
type Feed struct {
	config FeedConfig

	mu sync.Mutex
	// directUntil is until when a table is read from the store directly.
	directUntil map[string]time.Time
}

var _ platform.Feed = (*Feed)(nil)

// NewFeed returns a feed.
func NewFeed(c FeedConfig) *Feed {
	return &Feed{config: c, directUntil: map[string]time.Time{}}
}

// source returns the node to hear from, or an empty address.
func (f *Feed) source(table string) (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.config.Clock.Now().Before(f.directUntil[table]) {
		return "", 0
	}
	return f.config.Source()
}

// Direct reports whether the next call for a table goes to the store.
func (f *Feed) Direct(table string) bool {
	address, _ := f.source(table)
	return address == ""
}

// oldest returns how old a source's reading of the store may be.
func (f *Feed) oldest(wait time.Duration, hops int) time.Duration {
	return wait + f.config.Slack + time.Duration(hops-1)*(f.config.MaxWait+f.config.Slack)
}

func (f *Feed) goDirect(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.directUntil[table] = f.config.Clock.Now().Add(f.config.DirectFor)
}

// Scan implements platform.Feed.
func (f *Feed) Scan(ctx context.Context, table string) (platform.Changes, error) {
	if address, hops := f.source(table); address != "" {
		calling, cancel := context.WithTimeout(ctx, f.config.Margin)
		c, age, err := f.config.Client.Whole(calling, address, table)
		cancel()
		if err == nil && age <= f.oldest(f.config.MaxWait, hops) {
			f.keep(table, c, true, age)
			return c, nil
		}
		f.goDirect(table)
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
		calling, cancel := context.WithTimeout(ctx, waited+f.config.Margin)
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
		f.goDirect(table)
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
		log.Fail()
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
