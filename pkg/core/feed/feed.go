// Package feed passes a table of rows on from a node that reads it to nodes
// that only hear of it. A listener tells how far it has heard and is given what
// has changed since, so that a table that seldom changes costs next to nothing
// to follow.
//
// A Source and a Mirror do no I/O. Both are safe for concurrent use.
package feed

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Row is one row as its owner encodes it.
type Row struct {
	// Version grows with each change of the row at its owner; zero for rows
	// that have no version.
	Version uint64
	Value   []byte
}

// Position is how far a listener has heard a source.
type Position struct {
	// Source is the ID of the source; empty for a listener that has heard
	// nothing.
	Source   string
	Sequence uint64
}

// Delta is what a listener at some position lacks.
type Delta struct {
	// Position is where the listener is once it has applied the delta.
	Position Position
	// Full is set when Rows holds all rows of the source, so that what the
	// listener has besides is gone.
	Full bool
	Rows map[string]Row
	// Deleted lists the keys of rows that are gone; empty when Full is set.
	Deleted []string
}

// maxDeleted bounds the deletions that a source remembers. A listener further
// behind is given everything.
const maxDeleted = 4096

// entry is a row together with the sequence of its last change.
type entry struct {
	row      Row
	sequence uint64
}

// deletion is a row that is gone.
type deletion struct {
	key      string
	sequence uint64
}

// Source holds the rows that a node has read.
type Source struct {
	id string

	mu       sync.Mutex
	sequence uint64
	rows     map[string]entry
	// deleted holds the last deletions, the oldest first.
	deleted []deletion
	// floor is the sequence of the last deletion that was forgotten.
	floor uint64
}

// NewSource returns an empty source. The ID is unique to one start of one
// node's process.
func NewSource(id string) *Source {
	return &Source{id: id, rows: make(map[string]entry)}
}

// Replace sets the rows whose keys start with prefix to exactly these.
func (s *Source) Replace(prefix string, rows map[string]Row) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for key, row := range rows {
		s.set(key, row)
	}
	for key := range s.rows {
		if _, kept := rows[key]; !kept && strings.HasPrefix(key, prefix) {
			s.remove(key)
		}
	}
}

// set notes a row if it differs from the one known. The caller holds the lock.
func (s *Source) set(key string, row Row) {
	known, ok := s.rows[key]
	if ok && known.row.Version == row.Version && bytes.Equal(known.row.Value, row.Value) {
		return
	}
	s.sequence++
	s.rows[key] = entry{row: row, sequence: s.sequence}
}

// remove deletes a row. The caller holds the lock.
func (s *Source) remove(key string) {
	s.sequence++
	delete(s.rows, key)
	if len(s.deleted) == maxDeleted {
		s.floor = s.deleted[0].sequence
		s.deleted = s.deleted[1:]
	}
	s.deleted = append(s.deleted, deletion{key: key, sequence: s.sequence})
}

// Since returns what a listener at p lacks. It returns everything when the
// listener heard another source last, or is behind a deletion that is
// forgotten.
func (s *Source) Since(p Position) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()

	whole := p.Source != s.id || p.Sequence < s.floor || p.Sequence > s.sequence
	d := Delta{
		Position: Position{Source: s.id, Sequence: s.sequence},
		Full:     whole,
		Rows:     make(map[string]Row),
	}
	if !whole && p.Sequence == s.sequence {
		return d
	}
	for key, e := range s.rows {
		if whole || e.sequence > p.Sequence {
			d.Rows[key] = e.row
		}
	}
	if whole {
		return d
	}
	for _, gone := range s.deleted {
		if gone.sequence > p.Sequence && !s.has(gone.key) {
			d.Deleted = append(d.Deleted, gone.key)
		}
	}
	return d
}

// has reports whether a row is there. The caller holds the lock.
func (s *Source) has(key string) bool {
	_, ok := s.rows[key]
	return ok
}

// Mirror holds the rows that a node has heard of.
type Mirror struct {
	mu       sync.Mutex
	position Position
	rows     map[string]Row
}

// NewMirror returns an empty copy.
func NewMirror() *Mirror {
	return &Mirror{rows: make(map[string]Row)}
}

// Position returns how far the copy has heard.
func (c *Mirror) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.position
}

// Apply takes a delta and reports whether any row changed. A row that is known
// at a higher version is kept: the source may be one that reads the table less
// often than the one heard before.
func (c *Mirror) Apply(d Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	changed := false
	for key, row := range d.Rows {
		known, ok := c.rows[key]
		if ok && (known.Version > row.Version || known.Version == row.Version && bytes.Equal(known.Value, row.Value)) {
			continue
		}
		c.rows[key] = row
		changed = true
	}
	for _, key := range c.gone(d) {
		delete(c.rows, key)
		changed = true
	}
	c.position = d.Position
	return changed
}

// gone returns the known keys that a delta says are gone. The caller holds the
// lock.
func (c *Mirror) gone(d Delta) []string {
	if !d.Full {
		return slices.DeleteFunc(slices.Clone(d.Deleted), func(key string) bool {
			_, known := c.rows[key]
			return !known
		})
	}
	var gone []string
	for key := range c.rows {
		if _, kept := d.Rows[key]; !kept {
			gone = append(gone, key)
		}
	}
	return gone
}

// Rows returns the rows whose keys start with prefix.
func (c *Mirror) Rows(prefix string) map[string]Row {
	c.mu.Lock()
	defer c.mu.Unlock()

	rows := maps.Clone(c.rows)
	maps.DeleteFunc(rows, func(key string, _ Row) bool { return !strings.HasPrefix(key, prefix) })
	return rows
}
