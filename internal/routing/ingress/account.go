package ingress

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultMemory is the size in bytes of the account if Config sets none.
const DefaultMemory = 64 << 20

const (
	// largeBodiesPercent and responsesPercent are the percentages of the account up to
	// which large request bodies and responses may fill it. The rest stays free for
	// responses to requests that have run, and for small requests.
	largeBodiesPercent = 75
	responsesPercent   = 90
	// connectionsPercent is the percentage of the account that connections may take, with
	// the heads of requests.
	connectionsPercent = 50
	// smallBody is the maximum size in bytes of the body of a small request.
	smallBody = 16 << 10
	// requestMemory is the memory in bytes of a request besides its bodies: stacks and the
	// buffers of its connections.
	requestMemory = 16 << 10
)

// memoryClass says how far a reservation may fill the account.
type memoryClass int

const (
	classSmall memoryClass = iota
	classResponse
	classLarge
)

// AccountState describes the account of memory.
type AccountState struct {
	// Used and Size are in bytes.
	Used, Size int64
	// Refused is the number of reservations that were refused.
	Refused uint64
}

// account counts the bytes that all requests hold in memory: their connections, their
// bodies, which are kept for further tries, and buffered responses. It is safe for concurrent use.
type account struct {
	clock clockwork.Clock
	size  int64

	mu      sync.Mutex
	used    int64
	refused uint64
	// connections is the part of used that connections hold.
	connections int64
	// large has the bytes of large request bodies by workspace.
	large map[string]int64
	// waiting has the workspaces whose large bodies were refused, and until when room is
	// left to them.
	waiting map[string]time.Time
	drained drainRate
	// promised is when, at the drain rate, there is room for all that were refused.
	promised time.Time
}

func newAccount(clock clockwork.Clock, size int64) *account {
	if size <= 0 {
		size = DefaultMemory
	}
	return &account{clock: clock, size: size, large: map[string]int64{}, waiting: map[string]time.Time{}}
}

// limit returns the number of bytes up to which a class may fill the account.
func (a *account) limit(c memoryClass) int64 {
	switch c {
	case classLarge:
		return a.size / 100 * largeBodiesPercent
	case classResponse:
		return a.size / 100 * responsesPercent
	default:
		return a.size
	}
}

// fullError reports a reservation that did not fit.
type fullError struct {
	class      memoryClass
	need       int64
	state      AccountState
	retryAfter time.Duration
}

func (e *fullError) Error() string {
	return fmt.Sprintf("memory for bodies is full: %d bytes needed, %d of %d in use", e.need, e.state.Used, e.state.Size)
}

// reserve reserves n bytes, or returns a *fullError.
func (a *account) reserve(c memoryClass, workspace string, n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	if n == 0 {
		return nil
	}
	now := a.clock.Now()
	if a.used+n > a.limit(c) || c == classLarge && a.yields(workspace, n, now) {
		a.refused++
		after := a.retryAfter(n, now)
		if c == classLarge {
			a.waiting[workspace] = now.Add(after + waitSlack)
		}
		return &fullError{class: c, need: n, state: a.state(), retryAfter: after}
	}
	a.used += n
	if c == classLarge {
		a.large[workspace] += n
		delete(a.waiting, workspace)
	}
	return nil
}

// release returns n bytes that were reserved.
func (a *account) release(c memoryClass, workspace string, n int64) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()

	a.used -= n
	a.drained.add(n, a.clock.Now())
	if c != classLarge {
		return
	}
	a.large[workspace] -= n
	if a.large[workspace] == 0 {
		delete(a.large, workspace)
	}
}

// reserveConnection reserves n bytes for a connection or a head, and reports whether they
// fit.
func (a *account) reserveConnection(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.used+n > a.size || a.connections+n > a.size/100*connectionsPercent {
		return false
	}
	a.used += n
	a.connections += n
	return true
}

// releaseConnection returns n bytes that were reserved by reserveConnection.
func (a *account) releaseConnection(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.used -= n
	a.connections -= n
}

// waitSlack is how long after its retry delay room is left to a workspace. It covers the
// way of the retry.
const waitSlack = time.Second

// yields reports whether a workspace that has more than its share must leave room to
// another that was refused while it had less.
func (a *account) yields(workspace string, n int64, now time.Time) bool {
	held := a.large[workspace]
	if held == 0 || len(a.waiting) == 0 {
		return false
	}
	active := len(a.large)
	for w, until := range a.waiting {
		switch {
		case now.After(until):
			delete(a.waiting, w)
		case a.large[w] == 0:
			active++
		}
	}
	share := a.limit(classLarge) / int64(active)
	if held+n <= share {
		return false
	}
	for w := range a.waiting {
		if w != workspace && a.large[w] < share {
			return true
		}
	}
	return false
}

const (
	// minMemoryRetryAfter keeps callers from retrying before anything has changed.
	minMemoryRetryAfter = 200 * time.Millisecond
	// maxMemoryRetryAfter is about the time that a body of 4 MiB takes on a slow link.
	maxMemoryRetryAfter = 5 * time.Second
)

// retryAfter returns the time until n bytes are free at the drain rate, after those of
// all callers that were told to wait before.
func (a *account) retryAfter(n int64, now time.Time) time.Duration {
	latest := now.Add(maxMemoryRetryAfter)
	if a.promised.Before(now) {
		a.promised = now
	}
	wait := float64(n) / a.drained.perSecond(now)
	if wait >= latest.Sub(a.promised).Seconds() {
		a.promised = latest
	} else {
		a.promised = a.promised.Add(time.Duration(wait * float64(time.Second)))
	}
	return max(a.promised.Sub(now), minMemoryRetryAfter)
}

// state returns the state of the account. a.mu must be held.
func (a *account) state() AccountState {
	return AccountState{Used: a.used, Size: a.size, Refused: a.refused}
}

// drainRate estimates the bytes released in a second. Older releases count less.
type drainRate struct {
	sum float64
	at  time.Time
}

// drainMemory is the time after which a release counts 1/e.
const drainMemory = 4 * time.Second

// decay moves the estimate to a time.
func (r *drainRate) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		r.sum *= math.Exp(-age.Seconds() / drainMemory.Seconds())
		r.at = now
	}
}

func (r *drainRate) add(n int64, now time.Time) {
	r.decay(now)
	r.sum += float64(n)
}

func (r *drainRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / drainMemory.Seconds()
}

// holding is what one request holds in an account. It is not safe for concurrent use.
type holding struct {
	account   *account
	workspace string
	bytes     [classLarge + 1]int64
	// onLong is called once the memory of a long request body, and of a wider receive buffer
	// for it, is reserved; nil if that does not matter.
	onLong func()
}

func (h *holding) reserve(c memoryClass, n int64) error {
	if err := h.account.reserve(c, h.workspace, n); err != nil {
		return err
	}
	h.bytes[c] += n
	return nil
}

func (h *holding) release(c memoryClass, n int64) {
	h.bytes[c] -= n
	h.account.release(c, h.workspace, n)
}

// releaseAll releases all that the request holds.
func (h *holding) releaseAll() {
	for c, n := range h.bytes {
		h.release(memoryClass(c), n)
	}
}
