package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// CacheConfig configures a Book.
type CacheConfig struct {
	// ReturnGrace is how long after the end of an outage of the store a missing
	// row still stands for a server that may register again.
	ReturnGrace time.Duration
	// RecordRetention is how long the record of a server that is gone is kept, so that
	// the head of a group can be asked whether it still serves.
	RecordRetention time.Duration
}

// Update is one change of a registration. Server is nil when the row is gone
// or names no usable server.
type Update struct {
	ID      string
	Version uint64
	Server  *Server
}

// Cache holds all registrations. It is safe for use by several goroutines.
type Cache struct {
	config CacheConfig

	mu      sync.Mutex
	records map[string]Record
	version uint64
	// readAt is when the store last answered.
	readAt time.Time
	// troubledAt is when a call to the store last failed.
	troubledAt time.Time
	// generation grows with every change that routing could depend on.
	generation uint64
}

// NewCache returns an empty book.
func NewCache(c CacheConfig) *Cache {
	return &Cache{config: c, records: map[string]Record{}}
}

// Replace takes in a whole list: servers that it does not name are gone.
func (b *Cache) Replace(updates []Update, version uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	listed := make(map[string]bool, len(updates))
	for _, u := range updates {
		listed[u.ID] = true
		b.apply(u, now)
	}
	for id, r := range b.records {
		if !listed[id] && r.MissingSince.IsZero() {
			b.apply(Update{ID: id, Version: version}, now)
		}
	}
	b.read(version, now)
}

// Apply takes in changes in their order.
func (b *Cache) Apply(updates []Update, version uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, u := range updates {
		b.apply(u, now)
	}
	b.read(version, now)
}

// RecordFailure notes that the store did not answer.
func (b *Cache) RecordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.troubledAt = now
}

func (b *Cache) read(version uint64, now time.Time) {
	b.version = max(b.version, version)
	b.readAt = now
	for id, r := range b.records {
		if !r.MissingSince.IsZero() && now.Sub(r.MissingSince) > b.config.RecordRetention {
			delete(b.records, id)
		}
	}
}

func (b *Cache) apply(u Update, now time.Time) {
	old, known := b.records[u.ID]
	if known && u.Version < old.Version {
		return
	}
	if u.Server == nil {
		if known && old.MissingSince.IsZero() {
			old.MissingSince = now
			old.Version = u.Version
			b.records[u.ID] = old
			b.generation++
		}
		return
	}
	if known && u.Version == old.Version {
		return
	}
	if !known || changed(old, *u.Server) {
		b.generation++
	}
	seenAt := now
	if known && old.Incarnation == u.Server.Incarnation {
		seenAt = old.SeenAt
	}
	b.records[u.ID] = Record{Server: *u.Server, Version: u.Version, SeenAt: seenAt, ChangedAt: now}
}

// changed reports whether a registration differs in more than its heartbeat.
func changed(old Record, next Server) bool {
	return !old.MissingSince.IsZero() || Differs(old.Server, next)
}

// Differs reports whether two registrations differ in anything that a decision
// could depend on.
func Differs(a, b Server) bool {
	return a.Address != b.Address || a.Draining != b.Draining || a.Group != b.Group || a.Incarnation != b.Incarnation ||
		a.Service != b.Service || a.Model != b.Model || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain ||
		a.FabricDomain != b.FabricDomain || !slices.Equal(a.Staged, b.Staged)
}

// View is a book at one moment.
type View struct {
	// Servers is ordered by ID.
	Servers []Record
	// Version is the version of the store that the view is as of.
	Version uint64
	// ReadAt is when the store last answered; zero before the first answer.
	ReadAt time.Time
	// StoreStable is set when missing rows may be believed: the store has answered
	// without failure for longer than ReturnGrace.
	StoreStable bool
	// Generation is equal for two views that route alike.
	Generation uint64
}

// View returns the book as of now.
func (b *Cache) View(now time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()

	v := View{
		Servers:     make([]Record, 0, len(b.records)),
		Version:     b.version,
		ReadAt:      b.readAt,
		StoreStable: b.steady(now),
		Generation:  b.generation,
	}
	for _, r := range b.records {
		v.Servers = append(v.Servers, r)
	}
	slices.SortFunc(v.Servers, func(x, y Record) int { return cmp.Compare(x.ID, y.ID) })
	return v
}

// Generation returns a number that changes whenever routing may.
func (b *Cache) Generation() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.generation
}

// ReadAt returns when the store last answered; zero before the first answer.
func (b *Cache) ReadAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.readAt
}

// steady reports whether missing rows may be believed; it is called with mu
// held.
func (b *Cache) steady(now time.Time) bool {
	return !b.readAt.IsZero() && now.Sub(b.troubledAt) > b.config.ReturnGrace
}

// Missing reports whether the server has left for good: its row is gone and
// the store could have been believed ever since.
func (v View) Missing(r Record, now time.Time, grace time.Duration) bool {
	if r.MissingSince.IsZero() {
		return false
	}
	return v.StoreStable || now.Sub(r.MissingSince) > grace
}
