package balance

import (
	"sync"
	"time"

	"almondbay.example/internal/fleet/registry"
)

// backoffs holds until when servers want no requests from this node. It belongs to a
// run of a server, which may be head of one group after the other, so all pools of a
// board share it. It is safe for concurrent use.
type backoffs struct {
	mu    sync.Mutex
	until map[registry.Life]time.Time
}

func newBackoffs() *backoffs {
	return &backoffs{until: map[registry.Life]time.Time{}}
}

// record records that a server wants no requests until a time. The latest such time
// holds: a shorter one may come from an answer that was overtaken. It reports whether
// that is later than what was known.
func (b *backoffs) record(life registry.Life, until, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	for l, t := range b.until {
		if !now.Before(t) {
			delete(b.until, l)
		}
	}
	if !until.After(b.until[life]) {
		return false
	}
	b.until[life] = until
	return true
}

// of returns until when a server wants no requests; zero if it said nothing.
func (b *backoffs) of(life registry.Life) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.until[life]
}
