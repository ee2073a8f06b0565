// Package clock provides the monotonic clock of a node. It advances while the VM is
// suspended and is not affected by changes of the time of day, so that a lease
// never outlives its duration.
package clock

// #include <stdint.h>
// #include <time.h>
//
// static int64_t bootNanoseconds(void) {
//	struct timespec now;
//	if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
//		return -1;
//	}
//	return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
// }
import "C"

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
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
// other; they are not the time of day. The C library reads the clock without a
// system call, which the Go runtime does only for other clocks.
func (b Boot) Now() time.Time {
	now := C.bootNanoseconds()
	if now < 0 {
		// CLOCK_BOOTTIME exists since Linux 2.6.39.
		panic("clock: CLOCK_BOOTTIME is not available")
	}
	return time.Unix(0, int64(now))
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
