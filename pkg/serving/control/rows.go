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

func groupID(r group.Row) string             { return r.ID }
func vmID(r group.VMRow) string              { return r.ID }
func rolloutModel(r group.Rollout) string    { return r.Model }
func groupKey(environment, id string) string { return GroupPrefix(environment) + id }

func rolloutKey(environment, model string) string {
	return rolloutPrefix + environment + "/" + model
}

// readRows reads the rows under a prefix into a map by name.
func readRows[T any](
	ctx context.Context, table platform.Table, prefix string,
	decode func([]byte) (T, error), name func(T) string,
) (map[string]group.Versioned[T], error) {
	rows, err := table.Range(ctx, prefix)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	all := make(map[string]group.Versioned[T], len(rows))
	for _, row := range rows {
		value, err := decode(row.Value)
		if err != nil {
			return nil, Error.New("row %q: %v", row.Key, err)
		}
		all[name(value)] = group.Versioned[T]{Value: value, Version: row.Version}
	}
	return all, nil
}
