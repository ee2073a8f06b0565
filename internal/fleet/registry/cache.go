package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// CacheConfig configures a Cache.
type CacheConfig struct {
	// ReturnGrace is how long after an outage of the store a server whose row is
	// missing still counts as registered, since it may register again.
	ReturnGrace time.Duration
	// RecordRetention is how long the record of a server is kept after its row was
	// deleted, so that the head of a group can be probed to find out whether it
	// still serves.
	RecordRetention time.Duration
	// LapseMin is the least time from the last heartbeat of a server until the store
	// deletes its row.
	LapseMin time.Duration
}

// Update is a change of one registration. Server is nil if the row was deleted
// or describes no usable server.
type Update struct {
	ID      string
	Version uint64
	Server  *Server
	// Last is the last registration of a server whose row was deleted, as another node
	// knows it; nil if it isn't known.
	Last *Server
}

// LateReport is a registration that was older than the known one of its server, although the
// store wrote it later.
type LateReport struct {
	Known, Late Server
	// Missing is set if the row of the known one had been deleted.
	Missing bool
}

// Cache holds all registrations. It is safe for concurrent use.
type Cache struct {
	config CacheConfig

	mu      sync.Mutex
	records map[string]Record
	version uint64
	// readAt is when the store was last read successfully.
	readAt time.Time
	// lastFailureAt is when a call to the store last failed.
	lastFailureAt time.Time
	// leaving holds the servers that said that they are about to shut down, with the
	// time at which they last said so or were registered.
	leaving map[Life]time.Time
	// doubts holds the runs of servers that are in doubt, with the time since when.
	doubts map[Life]time.Time
	// generation is incremented on every change that may affect routing.
	generation uint64
	// ordered holds the records in the order of their IDs; nil after a change. Views
	// share it, so it is replaced and never written to.
	ordered []Record
}

// NewCache returns an empty cache.
func NewCache(c CacheConfig) *Cache {
	return &Cache{config: c, records: map[string]Record{}, leaving: map[Life]time.Time{}, doubts: map[Life]time.Time{}}
}

// Replace applies a full list of registrations. Servers that aren't in the list
// are marked as missing. It returns the late reports among them, which it ignores.
func (c *Cache) Replace(updates []Update, version uint64, now time.Time) []LateReport {
	c.mu.Lock()
	defer c.mu.Unlock()

	var late []LateReport
	listed := make(map[string]bool, len(updates))
	for _, u := range updates {
		listed[u.ID] = true
		late = append(late, c.apply(u, now)...)
	}
	for id, r := range c.records {
		if !listed[id] && r.MissingSince.IsZero() {
			c.apply(Update{ID: id, Version: version}, now)
		}
	}
	c.recordRead(version, now)
	return late
}

// Apply applies changes in order. It returns the late reports among them, which it ignores.
func (c *Cache) Apply(updates []Update, version uint64, now time.Time) []LateReport {
	c.mu.Lock()
	defer c.mu.Unlock()

	var late []LateReport
	for _, u := range updates {
		late = append(late, c.apply(u, now)...)
	}
	c.recordRead(version, now)
	return late
}

// RecordLeaving records that a server said that it is about to shut down. That holds
// for this run of the server, whatever its registration says. It reports whether that
// is news. An answer doesn't name the run, so that it may be of one which isn't registered
// yet: the next run that registers is in doubt.
func (c *Cache) RecordLeaving(life Life, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	_, known := c.leaving[life]
	c.leaving[life] = now
	r, ok := c.records[life.ID]
	if ok && r.Life() == life && !r.Leaving {
		r.Leaving = true
		c.records[life.ID] = r
		c.ordered = nil
		c.generation++
	}
	return !known
}

// ConfirmServing records that a run of a server answered without saying that it is about to
// shut down.
func (c *Cache) ConfirmServing(life Life) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.endDoubt(life)
}

// endDoubt lets a run of a server that was in doubt count as serving. The caller must hold
// mu.
func (c *Cache) endDoubt(life Life) {
	delete(c.doubts, life)
	if r, ok := c.records[life.ID]; ok && r.Life() == life && r.Doubtful {
		r.Doubtful = false
		c.records[life.ID] = r
		c.ordered = nil
		c.generation++
	}
}

// doubtTimeout is how long a run of a server stays in doubt that doesn't answer. One that is
// about to shut down has ended by then.
const doubtTimeout = 30 * time.Second

// InDoubt returns the registered servers that must be asked whether they are about to shut
// down.
func (c *Cache) InDoubt(now time.Time) []Server {
	c.mu.Lock()
	defer c.mu.Unlock()

	var servers []Server
	for life, since := range c.doubts {
		if r, ok := c.records[life.ID]; ok && r.Life() == life && now.Sub(since) <= doubtTimeout {
			servers = append(servers, r.Server)
			continue
		}
		c.endDoubt(life)
	}
	return servers
}

// leavingRetention is how long a server that said that it is about to shut down is
// remembered after it was last registered.
const leavingRetention = 10 * time.Minute

// RecordFailure records that a call to the store failed.
func (c *Cache) RecordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.lastFailureAt = now
}

// recordRead records a successful read of the store and drops the records of
// servers that have been missing for longer than RecordRetention. The caller must
// hold mu.
func (c *Cache) recordRead(version uint64, now time.Time) {
	c.version = max(c.version, version)
	c.readAt = now
	for id, r := range c.records {
		if !r.MissingSince.IsZero() && now.Sub(r.MissingSince) > c.config.RecordRetention {
			delete(c.records, id)
			c.ordered = nil
		}
	}
	for life, at := range c.leaving {
		if now.Sub(at) > leavingRetention {
			delete(c.leaving, life)
		}
	}
}

// apply applies one change unless a newer version of the row or a newer registration is
// known. A late report neither brings a server back whose row was deleted nor counts as a
// sign of life. The caller must hold mu.
func (c *Cache) apply(u Update, now time.Time) []LateReport {
	old, known := c.records[u.ID]
	switch {
	case known && u.Version <= old.Version && u.Server != nil:
		// Another node may know a newer report from before the store lost it.
		if !old.MissingSince.IsZero() || !u.Server.Outdates(old.Server) {
			return nil
		}
		u.Version = old.Version
	case known && u.Version < old.Version:
		return nil
	}
	if u.Server == nil {
		c.recordMissing(u, now)
		return nil
	}
	if known && !u.Server.Supersedes(old.Server) {
		late := LateReport{Known: old.Server, Late: *u.Server, Missing: !old.MissingSince.IsZero()}
		old.Version = u.Version
		c.records[u.ID] = old
		c.ordered = nil
		return []LateReport{late}
	}
	c.recordServer(u, now)
	return nil
}

// recordMissing records that the row of a server was deleted. The caller must hold mu.
func (c *Cache) recordMissing(u Update, now time.Time) {
	old, known := c.records[u.ID]
	switch {
	case !known && u.Last == nil:
		return
	case !known:
		// It was missing before this node began to read, so that no grace is due.
		old = Record{Server: *u.Last, SeenAt: now, ChangedAt: now, MissingSince: now.Add(-c.config.ReturnGrace), HeardAt: now}
	case u.Last != nil && u.Last.Supersedes(old.Server):
		old.Incarnation, old.Sequence = u.Last.Incarnation, u.Last.Sequence
	}
	if old.MissingSince.IsZero() {
		old.MissingSince = now
		old.HeardAt = c.lastHeartbeat(now)
		c.generation++
	}
	old.Version = u.Version
	c.records[u.ID] = old
	c.ordered = nil
}

// recordServer records a registration. The caller must hold mu.
func (c *Cache) recordServer(u Update, now time.Time) {
	old, known := c.records[u.ID]
	if !known || changed(old, *u.Server) {
		c.generation++
	}
	seenAt, servedEpoch := now, uint64(0)
	if known && old.Incarnation == u.Server.Incarnation {
		seenAt, servedEpoch = old.SeenAt, old.ServedEpoch
	}
	if u.Server.Group.Ready() {
		servedEpoch = max(servedEpoch, u.Server.Group.Epoch)
	}
	c.ordered = nil
	life := u.Server.Life()
	_, leaving := c.leaving[life]
	if leaving && life.Incarnation == 0 && known && !old.MissingSince.IsZero() {
		// Its restart can be told only by the gap in its registration.
		delete(c.leaving, life)
		leaving = false
	}
	if leaving {
		c.leaving[life] = now
	}
	if _, said := c.leaving[old.Life()]; said && known && old.Life() != life && !leaving {
		c.doubts[life] = now
	}
	_, doubtful := c.doubts[life]
	c.records[u.ID] = Record{Server: *u.Server, Version: u.Version, SeenAt: seenAt, ChangedAt: now, ServedEpoch: servedEpoch, Leaving: leaving, Doubtful: doubtful}
}

// lastHeartbeat returns the latest time at which a server may have renewed a registration
// whose deletion is observed now. In an outage of the store it may have tried in vain. The
// caller must hold mu.
func (c *Cache) lastHeartbeat(now time.Time) time.Time {
	if at := now.Add(-c.config.LapseMin); c.lastFailureAt.Before(at) {
		return at
	}
	return now
}

// changed reports whether a registration differs in more than its heartbeat, or
// had been missing.
func changed(old Record, next Server) bool {
	return !old.MissingSince.IsZero() || Differs(old.Server, next)
}

// Differs reports whether two registrations differ in anything that affects
// routing or group formation.
func Differs(a, b Server) bool {
	return a.Address != b.Address || a.Draining != b.Draining || a.Group != b.Group || a.Incarnation != b.Incarnation ||
		a.Service != b.Service || a.Model != b.Model || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain ||
		a.FabricDomain != b.FabricDomain || !slices.Equal(a.Staged, b.Staged)
}

// View is a snapshot of a cache.
type View struct {
	// Servers is ordered by ID and must not be changed: views share it.
	Servers []Record
	// Version is the version of the store that the view reflects.
	Version uint64
	// ReadAt is when the store was last read successfully; zero if it never was.
	ReadAt time.Time
	// StoreStable is set if no call to the store has failed for longer than
	// ReturnGrace. A missing row then means that the server is gone.
	StoreStable bool
	// Generation is the same for two views that lead to the same routing.
	Generation uint64
}

// View returns a snapshot of the cache.
func (c *Cache) View(now time.Time) View {
	c.mu.Lock()
	defer c.mu.Unlock()

	return View{
		Servers:     c.orderedRecords(),
		Version:     c.version,
		ReadAt:      c.readAt,
		StoreStable: c.storeStable(now),
		Generation:  c.generation,
	}
}

// orderedRecords returns the records in the order of their IDs. The caller must hold
// mu.
func (c *Cache) orderedRecords() []Record {
	if c.ordered == nil {
		c.ordered = make([]Record, 0, len(c.records))
		for _, id := range slices.Sorted(maps.Keys(c.records)) {
			c.ordered = append(c.ordered, c.records[id])
		}
	}
	return c.ordered
}

// Generation returns a number that increases with every change that may affect
// routing.
func (c *Cache) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.generation
}

// ReadAt returns when the store was last read successfully; zero if it never
// was.
func (c *Cache) ReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.readAt
}

// storeStable reports whether no call to the store has failed for longer than
// ReturnGrace. The caller must hold mu.
func (c *Cache) storeStable(now time.Time) bool {
	return !c.readAt.IsZero() && now.Sub(c.lastFailureAt) > c.config.ReturnGrace
}

// Find returns the record of a server.
func (v View) Find(id string) (Record, bool) {
	i, ok := slices.BinarySearchFunc(v.Servers, id, func(r Record, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return Record{}, false
	}
	return v.Servers[i], true
}

// Missing reports whether a server counts as gone: its row is missing, and
// either the store is stable or the row has been missing for longer than grace.
func (v View) Missing(r Record, now time.Time, grace time.Duration) bool {
	if r.MissingSince.IsZero() {
		return false
	}
	return v.StoreStable || now.Sub(r.MissingSince) > grace
}
