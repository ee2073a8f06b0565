// Package clock provides the monotonic clock of a node. It advances while the VM is
// suspended and is not affected by changes of the time of day, so that a lease
// never outlives its duration.
package clock

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock of the time since the VM's boot, including suspensions. Its
// timers are those of the Go runtime, which stop while the VM is suspended.
type Boot struct {
	clockwork.Clock
}

// New returns the clock of this VM.
func New() Boot {
	return Boot{Clock: clockwork.NewRealClock()}
}

// Now implements clockwork.Clock. The returned times may only be compared with each
// other; they are not the time of day.
func (b Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39.
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

// Sleep pauses for the duration of wait. It returns false if ctx is done first.
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
