// Package clock is the clock of a node. It goes on while the VM is suspended
// and does not jump with the time of day, so that a lease never outlives its
// duration.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is the time since the VM's boot, suspensions included. Its timers are
// those of the Go runtime, which stand still while the VM is suspended.
type Boot struct {
	clockwork.Clock
}

// New returns the clock.
func New() Boot {
	return Boot{Clock: clockwork.NewRealClock()}
}

// Now implements clockwork.Clock. The times that it returns are for comparison
// only; they are no time of day.
func (b Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux since 2.6.39 has the clock.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// Since implements clockwork.Clock.
func (b Boot) Since(t time.Time) time.Duration {
	return b.Now().Sub(t)
}

// Until implements clockwork.Clock.
func (b Boot) Until(t time.Time) time.Duration {
	return t.Sub(b.Now())
}

// Sleep waits. It returns false once ctx is done.
func Sleep(ctx context.Context, c clockwork.Clock, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := c.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
