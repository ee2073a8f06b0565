// Package drain stores the drains of VMs, which operators request so that a VM
// receives no new work. Each VM has one row in the platform's table service.
package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drain")

// RowPrefix is the prefix of the keys of all drain rows; the ID of the VM follows.
const RowPrefix = "drain/"

// maxAttempts bounds the attempts of one Set or Clear.
const maxAttempts = 3

// Drain is the request that a VM receive no new work.
type Drain struct {
	VM          string
	Author      string
	RequestedAt time.Time
}

// Config configures a Store.
type Config struct {
	Table platform.Table
	Clock clockwork.Clock
}

// Store reads and writes drains in the platform's table service.
type Store struct {
	config Config
}

// New returns a store.
func New(c Config) *Store {
	return &Store{config: c}
}

// UnknownOutcomeError reports that a Set or Clear may or may not have taken
// effect. The call can be repeated.
type UnknownOutcomeError struct {
	VM    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("drain: outcome for VM %q not known: %v", e.VM, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Set drains a VM, which then receives no new work. It has no effect if the VM is
// already drained.
func (s *Store) Set(ctx context.Context, vm, author string) error {
	value := encode(Drain{VM: vm, Author: author, RequestedAt: s.config.Clock.Now()})
	return s.ensure(ctx, vm, true, value)
}

// Clear ends the drain of a VM. It empties the row and does not delete it, so that
// a delayed write of an earlier Set fails on the row version.
func (s *Store) Clear(ctx context.Context, vm string) error {
	return s.ensure(ctx, vm, false, nil)
}

// List returns all drains, sorted by VM ID.
func (s *Store) List(ctx context.Context) ([]Drain, error) {
	rows, err := s.config.Table.Range(ctx, RowPrefix)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	drains := make([]Drain, 0, len(rows))
	for _, row := range rows {
		d, drained, err := Decode(row.Key, row.Value)
		if err != nil {
			return nil, err
		}
		if drained {
			drains = append(drains, d)
		}
	}
	return drains, nil
}

// Decode decodes the row at key. It returns false if the drain has been cleared.
func Decode(key string, value []byte) (Drain, bool, error) {
	if len(value) == 0 {
		return Drain{}, false, nil
	}
	d, err := decode(strings.TrimPrefix(key, RowPrefix), value)
	return d, err == nil, err
}

// ensure writes value to the VM's row unless the VM is already in the wanted
// state. It reads the row before each attempt, and so detects an attempt that took
// effect although its response was lost. An empty value means not drained.
func (s *Store) ensure(ctx context.Context, vm string, drained bool, value []byte) error {
	key := RowPrefix + vm
	var outcomeUnknown bool
	var lastErr error
	for range maxAttempts {
		row, err := s.config.Table.Read(ctx, key)
		if err != nil {
			lastErr = err
			continue
		}
		if (len(row.Value) > 0) == drained {
			return nil
		}
		lastErr = s.config.Table.Commit(ctx, platform.Transaction{
			Operation:  uuid.NewString(),
			Conditions: []platform.Condition{{Key: key, Version: row.Version}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
		if lastErr == nil {
			return nil
		}
		var unknown *platform.UnknownError
		outcomeUnknown = outcomeUnknown || errors.As(lastErr, &unknown)
	}
	if outcomeUnknown {
		return &UnknownOutcomeError{VM: vm, Cause: lastErr}
	}
	return Error.Wrap(lastErr)
}

func encode(d Drain) []byte {
	value, err := json.Marshal(wireDrain{Author: d.Author, RequestedAt: d.RequestedAt.UTC()})
	if err != nil {
		// Encoding a string and a time in UTC does not fail.
		panic(err)
	}
	return value
}

func decode(vm string, value []byte) (Drain, error) {
	var wire wireDrain
	if err := json.Unmarshal(value, &wire); err != nil {
		return Drain{}, Error.Wrap(err)
	}
	return Drain{VM: vm, Author: wire.Author, RequestedAt: wire.RequestedAt}, nil
}
