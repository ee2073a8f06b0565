package control

import (
	"context"

	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

// Prefixes of the keys of rows.
const (
	groupPrefix   = "group/"
	rolloutPrefix = "rollout/"
	vmPrefix      = "vm/"
	leasePrefix   = "lease/"
	// termPrefix starts the key of a row that is written once in each term of
	// a fabric domain's lease. Every write under the lease is conditional on
	// it, which renewals of the lease do not disturb.
	termPrefix = "term/"
)

// GroupPrefix starts the keys of the rows of an environment's groups.
func GroupPrefix(environment string) string {
	return groupPrefix + environment + "/"
}

func groupKey(environment, id string) string {
	return GroupPrefix(environment) + id
}

func rolloutKey(environment, model string) string {
	return rolloutPrefix + environment + "/" + model
}

// rowReader reads the rows under a prefix. It decodes only those whose version
// has changed; a version never comes back with another value. It is not safe
// for concurrent use; the maps that it returns are not changed later.
type rowReader[T any] struct {
	prefix string
	decode func([]byte) (T, error)
	name   func(T) string
	// known holds the rows of the last read by key.
	known map[string]group.Versioned[T]
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
	known := make(map[string]group.Versioned[T], len(rows))
	named := make(map[string]group.Versioned[T], len(rows))
	for _, row := range rows {
		value, ok := r.known[row.Key]
		if !ok || value.Version != row.Version {
			value.Version = row.Version
			value.Value, err = r.decode(row.Value)
		}
		if err != nil {
			return nil, Error.New("row %q: %v", row.Key, err)
		}
		known[row.Key] = value
		named[r.name(value.Value)] = value
	}
	r.known = known
	return named, nil
}
