package store_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/internal/fleet/store"
	"almondbay.example/serving/platform"
)

// awayFeed is a store that is out of service.
type awayFeed struct {
	calls atomic.Int64
}

func (f *awayFeed) Scan(context.Context, string) (platform.Changes, error) {
	f.calls.Add(1)
	return platform.Changes{}, errors.New("out of service")
}

func (f *awayFeed) Changes(ctx context.Context, table string, _ uint64, _ time.Duration) (platform.Changes, error) {
	return f.Scan(ctx, table)
}

// TestOutageOfTheStore answers the pattern platform_down on many VMs: a node
// that may leave it to others does not ask for the store meanwhile, but asks in
// the end and as soon as they have found it.
func TestOutageOfTheStore(t *testing.T) {
	tests := []struct {
		name string
		// heldFor is how long others look out.
		heldFor  time.Duration
		min, max int64
	}{
		// Without others: the first call, then one every half to whole second.
		{"looks out itself", 0, 4, 9},
		// The first call, one at the end of the hold and the next hold.
		{"others look out", time.Hour, 2, 2},
		{"others find it", 2 * time.Second, 3, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			begun := clock.Now()
			feed := &awayFeed{}
			f := store.NewFollower(store.FollowerConfig{
				Clock: clock, Feed: feed, Table: "servers",
				Interval:   func() time.Duration { return 0 },
				RetryFirst: time.Second, RetryMax: time.Second,
				DeferToPeers: func() bool { return clock.Since(begun) < tt.heldFor },
				MaxDeferral:  3 * time.Second,
				OnFailure:    func(error, int) {},
			})
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				f.Run(ctx)
				return nil
			})
			for range 50 {
				if err := clock.BlockUntilContext(ctx, 1); err != nil {
					t.Fatal(err)
				}
				clock.Advance(100 * time.Millisecond)
			}
			if err := clock.BlockUntilContext(ctx, 1); err != nil {
				t.Fatal(err)
			}
			cancel()
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			if n := feed.calls.Load(); n < tt.min || n > tt.max {
				t.Errorf("%d calls in five seconds, want %d to %d", n, tt.min, tt.max)
			}
		})
	}
}
