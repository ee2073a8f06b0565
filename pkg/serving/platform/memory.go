package platform

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"almondbay.example/core/fleet"
)

// Memory is an in-memory platform for tests and the dev command. It
// implements Table, Objects and VMs.
type Memory struct {
	mu   sync.RWMutex
	rows map[string]Row
	// deleted holds the last version of each deleted row, so that a row that is
	// written again never reuses a version.
	deleted map[string]uint64
	objects map[string][]byte
	vms     []fleet.VM
}

var (
	_ Table   = (*Memory)(nil)
	_ Objects = (*Memory)(nil)
	_ VMs     = (*Memory)(nil)
)

// NewMemory returns a platform without rows, objects and VMs.
func NewMemory() *Memory {
	return &Memory{
		rows:    make(map[string]Row),
		deleted: make(map[string]uint64),
		objects: make(map[string][]byte),
	}
}

// Read implements Table.
func (m *Memory) Read(_ context.Context, key string) (Row, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	row, ok := m.rows[key]
	if !ok {
		return Row{Key: key}, nil
	}
	return row, nil
}

// Range implements Table.
func (m *Memory) Range(_ context.Context, prefix string) ([]Row, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, t Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, c := range t.Conditions {
		if version := m.rows[c.Key].Version; version != c.Version {
			return &ConflictError{Key: c.Key, Version: version}
		}
	}
	for _, w := range t.Writes {
		m.apply(t.Operation, w)
	}
	return nil
}

// apply sets or deletes one row. The caller must hold m.mu.
func (m *Memory) apply(operation string, w Write) {
	version := max(m.rows[w.Key].Version, m.deleted[w.Key])
	if w.Delete {
		delete(m.rows, w.Key)
		m.deleted[w.Key] = version
		return
	}
	delete(m.deleted, w.Key)
	m.rows[w.Key] = Row{
		Key:       w.Key,
		Version:   version + 1,
		Operation: operation,
		Value:     bytes.Clone(w.Value),
	}
}

// Put implements Objects.
func (m *Memory) Put(_ context.Context, name string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.objects[name] = bytes.Clone(body)
	return nil
}

// Get implements Objects.
func (m *Memory) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	body, ok := m.objects[name]
	if !ok {
		return nil, &NotFoundError{Name: name}
	}
	return bytes.Clone(body), nil
}

// List implements VMs.
func (m *Memory) List(context.Context) ([]fleet.VM, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()

	return slices.Clone(m.vms), nil
}

// SetVM adds a VM to the list or replaces the entry with the same ID.
func (m *Memory) SetVM(vm fleet.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()

	i := slices.IndexFunc(m.vms, func(v fleet.VM) bool { return v.ID == vm.ID })
	if i < 0 {
		m.vms = append(m.vms, vm)
		return
	}
	m.vms[i] = vm
}

// RemoveVM removes a VM from the list.
func (m *Memory) RemoveVM(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.vms = slices.DeleteFunc(m.vms, func(v fleet.VM) bool { return v.ID == id })
}
