// Package store follows tables of the platform's store.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/node/clock"
	"almondbay.example/serving/platform"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Clock clockwork.Clock
	Feed  platform.Feed
	Table string
	// Wait is how long a call may wait for a change.
	Wait time.Duration
	// Interval returns the least time between two calls.
	Interval func() time.Duration
	// RetryFirst is the wait after a failure; it doubles with each failure in a
	// row up to RetryMax.
	RetryFirst time.Duration
	RetryMax   time.Duration
	// DeferToPeers reports whether others look out for the store's return on behalf of
	// this node; after a failure it then waits for them, for HoldMax at most.
	// May be nil.
	DeferToPeers func() bool
	MaxDeferral  time.Duration
	// Replace takes in a whole table, Apply changes of it.
	Replace func(c platform.Changes)
	Apply   func(c platform.Changes)
	// OnFailure is told of each call that failed, and how many failed in a row.
	OnFailure func(err error, failures int)
}

// Follower keeps a table up to date.
type Follower struct {
	config   FollowerConfig
	version  uint64
	known    bool
	failures int
}

// NewFollower returns a follower.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{config: c}
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := f.config.Clock.Now()
		err := f.step(ctx)
		wait := f.config.Interval() - f.config.Clock.Since(begun)
		var lost *platform.HistoryLostError
		switch {
		case errors.As(err, &lost):
			f.known = false
			wait = 0
		case err != nil && ctx.Err() == nil:
			f.failures++
			f.config.OnFailure(err, f.failures)
			wait = f.backOff()
			if !f.hold(ctx) {
				return
			}
		default:
			f.failures = 0
		}
		if !clock.Pause(ctx, f.config.Clock, wait) {
			return
		}
	}
}

// backOff returns a wait that grows with the failures in a row and differs
// between nodes.
func (f *Follower) backOff() time.Duration {
	wait := f.config.RetryFirst << min(f.failures-1, maxDoublings)
	wait = min(wait, f.config.RetryMax)
	return wait/2 + rand.N(wait/2+1)
}

// holdInterval is the time between two looks at whether the store is back.
const holdInterval = 100 * time.Millisecond

// hold waits while others look out for the store. It returns false once ctx is
// done.
func (f *Follower) hold(ctx context.Context) bool {
	if f.config.DeferToPeers == nil {
		return true
	}
	begun := f.config.Clock.Now()
	for f.config.DeferToPeers() && f.config.Clock.Since(begun) < f.config.MaxDeferral {
		if !clock.Pause(ctx, f.config.Clock, holdInterval) {
			return false
		}
	}
	return true
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 8

func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		changes, err := f.config.Feed.Scan(ctx, f.config.Table)
		if err != nil {
			return err
		}
		f.version = changes.Version
		f.known = true
		f.config.Replace(changes)
		return nil
	}
	changes, err := f.config.Feed.Changes(ctx, f.config.Table, f.version, f.config.Wait)
	if err != nil {
		return err
	}
	f.version = max(f.version, changes.Version)
	f.config.Apply(changes)
	return nil
}
