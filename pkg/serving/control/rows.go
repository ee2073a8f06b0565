package control

import (
	"context"

	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

// Key prefixes of the rows in the table service.
const (
	groupPrefix   = "group/"
	rolloutPrefix = "rollout/"
	vmPrefix      = "vm/"
	leasePrefix   = "lease/"
	// termPrefix is the prefix of the term rows. The term row of a fabric domain
	// is written when its lease is acquired. Every write under the lease is
	// conditional on the version of the term row, which, unlike that of the
	// lease row, does not change when the lease is renewed.
	termPrefix = "term/"
)

// GroupPrefix returns the key prefix of the rows of an environment's groups.
func GroupPrefix(environment string) string {
	return groupPrefix + environment + "/"
}

func groupKey(environment, id string) string {
	return GroupPrefix(environment) + id
}

func rolloutKey(environment, model string) string {
	return rolloutPrefix + environment + "/" + model
}

// rowReader reads the rows under a key prefix. It decodes only rows whose
// version has changed: a version is never reused for another value of the same
// key. It is not safe for concurrent use. It does not modify maps that it
// has returned.
type rowReader[T any] struct {
	prefix string
	decode func([]byte) (T, error)
	// name returns the name of a row in the result of read.
	name func(T) string
	// cached holds the decoded rows of the last read by key.
	cached map[string]group.Versioned[T]
}

func newGroupReader(environment string) *rowReader[group.Row] {
	return &rowReader[group.Row]{
		prefix: GroupPrefix(environment),
		decode: DecodeGroup,
		name:   func(r group.Row) string { return r.ID },
	}
}

func newVMReader() *rowReader[group.VMRow] {
	return &rowReader[group.VMRow]{
		prefix: vmPrefix,
		decode: decodeVM,
		name:   func(r group.VMRow) string { return r.ID },
	}
}

func newRolloutReader(environment string) *rowReader[group.Rollout] {
	return &rowReader[group.Rollout]{
		prefix: rolloutKey(environment, ""),
		decode: decodeRollout,
		name:   func(r group.Rollout) string { return r.Model },
	}
}

// read returns the rows by name.
func (r *rowReader[T]) read(ctx context.Context, table platform.Table) (map[string]group.Versioned[T], error) {
	rows, err := table.Range(ctx, r.prefix)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cached := make(map[string]group.Versioned[T], len(rows))
	byName := make(map[string]group.Versioned[T], len(rows))
	for _, row := range rows {
		value, ok := r.cached[row.Key]
		if !ok || value.Version != row.Version {
			value.Version = row.Version
			value.Value, err = r.decode(row.Value)
		}
		if err != nil {
			return nil, Error.New("row %q: %v", row.Key, err)
		}
		cached[row.Key] = value
		byName[r.name(value.Value)] = value
	}
	r.cached = cached
	return byName, nil
}
