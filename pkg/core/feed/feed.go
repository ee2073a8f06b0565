// Package feed replicates a table of rows from a node that reads it to nodes
// that do not. A mirror sends its position and receives the changes since
// then, so that following a table that rarely changes is cheap.
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

// Row is one row, encoded by its owner.
type Row struct {
	// Version increases with each change of the row by its owner. It is zero for
	// rows without versions.
	Version uint64
	Value   []byte
}

// Position is the last change of a source that a mirror has applied.
type Position struct {
	// Source is the ID of the source; empty for a mirror that has not applied
	// any delta.
	Source string
	// Sequence is the sequence number of the change at the source.
	Sequence uint64
}

// Delta holds the changes after the position of a mirror.
type Delta struct {
	// Position is the position of the mirror after it has applied the delta.
	Position Position
	// Full is set when Rows holds all rows of the source, so the mirror must
	// delete every other row.
	Full bool
	Rows map[string]Row
	// Deleted lists the keys of deleted rows; empty when Full is set.
	Deleted []string
}

// maxDeleted is the maximum number of deletions that a source keeps. A mirror
// further behind receives a full delta.
const maxDeleted = 4096

// entry is a row with the sequence number of its last change.
type entry struct {
	row      Row
	sequence uint64
}

// deletion is the key of a deleted row with the sequence number of the deletion.
type deletion struct {
	key      string
	sequence uint64
}

// Source holds the rows that a node has read and the sequence of their changes.
type Source struct {
	id string

	mu       sync.Mutex
	sequence uint64
	rows     map[string]entry
	// deleted holds the most recent deletions, oldest first.
	deleted []deletion
	// floor is the sequence number of the last deletion dropped from deleted.
	floor uint64
}

// NewSource returns an empty source. The ID must be unique to one run of one
// node's process.
func NewSource(id string) *Source {
	return &Source{id: id, rows: make(map[string]entry)}
}

// Replace sets the rows, and deletes all other rows whose keys start with prefix.
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

// set stores a row if it differs from the stored one. The caller must hold the
// lock.
func (s *Source) set(key string, row Row) {
	known, ok := s.rows[key]
	if ok && known.row.Version == row.Version && bytes.Equal(known.row.Value, row.Value) {
		return
	}
	s.sequence++
	s.rows[key] = entry{row: row, sequence: s.sequence}
}

// remove deletes a row and records the deletion. The caller must hold the lock.
func (s *Source) remove(key string) {
	s.sequence++
	delete(s.rows, key)
	if len(s.deleted) == maxDeleted {
		s.floor = s.deleted[0].sequence
		s.deleted = s.deleted[1:]
	}
	s.deleted = append(s.deleted, deletion{key: key, sequence: s.sequence})
}

// Since returns the changes after p. The delta is full when p is a position of
// another source, or precedes a deletion that is no longer kept.
func (s *Source) Since(p Position) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()

	full := p.Source != s.id || p.Sequence < s.floor || p.Sequence > s.sequence
	d := Delta{
		Position: Position{Source: s.id, Sequence: s.sequence},
		Full:     full,
		Rows:     make(map[string]Row),
	}
	if !full && p.Sequence == s.sequence {
		return d
	}
	for key, e := range s.rows {
		if full || e.sequence > p.Sequence {
			d.Rows[key] = e.row
		}
	}
	if full {
		return d
	}
	for _, del := range s.deleted {
		if del.sequence > p.Sequence && !s.has(del.key) {
			d.Deleted = append(d.Deleted, del.key)
		}
	}
	return d
}

// has reports whether a row exists. The caller must hold the lock.
func (s *Source) has(key string) bool {
	_, ok := s.rows[key]
	return ok
}

// Mirror is a node's copy of the rows of a source.
type Mirror struct {
	mu       sync.Mutex
	position Position
	rows     map[string]Row
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{rows: make(map[string]Row)}
}

// Position returns the position after the last applied delta.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.position
}

// Apply applies a delta and reports whether any row changed. A row that is
// already present at a higher version is kept, since the source may read the
// table less often than the source followed before.
func (m *Mirror) Apply(d Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	changed := false
	for key, row := range d.Rows {
		known, ok := m.rows[key]
		if ok && (known.Version > row.Version || known.Version == row.Version && bytes.Equal(known.Value, row.Value)) {
			continue
		}
		m.rows[key] = row
		changed = true
	}
	for _, key := range m.deletedKeys(d) {
		delete(m.rows, key)
		changed = true
	}
	m.position = d.Position
	return changed
}

// deletedKeys returns the keys of the mirror that the delta deletes. The caller
// must hold the lock.
func (m *Mirror) deletedKeys(d Delta) []string {
	if !d.Full {
		return slices.DeleteFunc(slices.Clone(d.Deleted), func(key string) bool {
			_, known := m.rows[key]
			return !known
		})
	}
	var deleted []string
	for key := range m.rows {
		if _, kept := d.Rows[key]; !kept {
			deleted = append(deleted, key)
		}
	}
	return deleted
}

// Rows returns the rows whose keys start with prefix.
func (m *Mirror) Rows(prefix string) map[string]Row {
	m.mu.Lock()
	defer m.mu.Unlock()

	rows := maps.Clone(m.rows)
	maps.DeleteFunc(rows, func(key string, _ Row) bool { return !strings.HasPrefix(key, prefix) })
	return rows
}
