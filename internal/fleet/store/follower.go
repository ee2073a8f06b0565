// Package store keeps local copies of tables of the platform's store up to date.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/node/clock"
	"almondbay.example/internal/node/recovery"
	"almondbay.example/serving/platform"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Clock clockwork.Clock
	Feed  platform.Feed
	Table string
	// Wait is the long-poll timeout: how long a call waits for a change.
	Wait time.Duration
	// Interval returns the minimum time between the starts of two calls.
	Interval func() time.Duration
	// RetryFirst is the delay after a first failure. It doubles with each
	// consecutive failure, up to RetryMax.
	RetryFirst time.Duration
	RetryMax   time.Duration
	// DeferToPeers reports whether other nodes probe the store on behalf of this
	// node. While they do, the follower makes no call after a failure, for
	// MaxDeferral at most. DeferToPeers may be nil.
	DeferToPeers func() bool
	MaxDeferral  time.Duration
	// Replace receives a full table, Apply changes to it.
	Replace func(c platform.Changes)
	Apply   func(c platform.Changes)
	// OnFailure is called after each failed call with the number of consecutive
	// failures.
	OnFailure func(err error, failures int)
}

// Follower reads a table once and then follows its changes.
type Follower struct {
	config  FollowerConfig
	version uint64
	// known is false until the table was read, and after the store lost the history
	// since version.
	known bool
	// failures counts consecutive failed calls.
	failures int
}

// NewFollower returns a follower that hasn't read its table yet.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{config: c}
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := f.config.Clock.Now()
		err := recovery.Call(func() error { return f.step(ctx) })
		var panicked *recovery.PanicError
		if errors.As(err, &panicked) {
			// Some of the changes may not have been applied.
			f.known = false
		}
		wait := f.config.Interval() - f.config.Clock.Since(started)
		var lost *platform.HistoryLostError
		switch {
		case errors.As(err, &lost):
			f.known = false
			wait = 0
		case err != nil && ctx.Err() == nil:
			f.failures++
			f.config.OnFailure(err, f.failures)
			wait = f.backOff()
			if !f.waitForPeers(ctx) {
				return
			}
		default:
			f.failures = 0
		}
		if !clock.Sleep(ctx, f.config.Clock, wait) {
			return
		}
	}
}

// backOff returns the delay before the next call: exponential in the number of
// consecutive failures, with jitter so that nodes don't retry at the same time.
func (f *Follower) backOff() time.Duration {
	wait := f.config.RetryFirst << min(f.failures-1, maxDoublings)
	wait = min(wait, f.config.RetryMax)
	return wait/2 + rand.N(wait/2+1)
}

// deferralPollInterval is the time between two calls of DeferToPeers.
const deferralPollInterval = 100 * time.Millisecond

// waitForPeers waits while other nodes probe the store on behalf of this node,
// for MaxDeferral at most. It returns false if ctx is done.
func (f *Follower) waitForPeers(ctx context.Context) bool {
	if f.config.DeferToPeers == nil {
		return true
	}
	started := f.config.Clock.Now()
	for f.config.DeferToPeers() && f.config.Clock.Since(started) < f.config.MaxDeferral {
		if !clock.Sleep(ctx, f.config.Clock, deferralPollInterval) {
			return false
		}
	}
	return true
}

// maxDoublings limits the exponent of the backoff so that the shift doesn't
// overflow.
const maxDoublings = 8

// step performs one call: a full read if the table isn't known, else a long poll
// for changes.
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
