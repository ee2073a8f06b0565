package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path names the changed item, such as "models/draft/version".
	Path string
	// Before is empty when the item was added.
	Before string
	// After is empty when the item was removed.
	After string
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Difference returns the changes that turn one document into the other,
// ordered by path. Items are matched by name, so that their order in the text
// makes no difference. It is empty when both ask for the same.
func Difference(before, after Document) []Change {
	old, new := flatten(before), flatten(after)
	paths := slices.Collect(maps.Keys(old))
	for path := range new {
		if _, known := old[path]; !known {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var changes []Change
	for _, path := range paths {
		if old[path] != new[path] {
			changes = append(changes, Change{Path: path, Before: old[path], After: new[path]})
		}
	}
	return changes
}

// flatten lists the settings of a document by path. No value is empty.
func flatten(d Document) map[string]string {
	values := make(map[string]string)
	for _, m := range d.Models {
		flattenModel(values, "models/"+m.Name, m)
	}
	for _, w := range d.Workspaces {
		flattenWorkspace(values, "workspaces/"+w.Name, w)
	}
	for _, s := range d.Services {
		path := "services/" + s.Name
		values[path+"/timeout"] = s.Timeout.String()
		values[path+"/nonIdempotent"] = calls(s.NonIdempotent)
	}
	values["engines/fencing"] = list(d.Engines.Fencing)
	return values
}

func flattenModel(values map[string]string, path string, m Model) {
	values[path+"/version"] = m.Version
	values[path+"/groups"] = fmt.Sprint(m.Groups)
	values[path+"/span"] = fmt.Sprint(m.Span)
	values[path+"/spares"] = fmt.Sprint(m.Spares)
	values[path+"/maxUnavailable"] = fmt.Sprint(m.MaxUnavailable)
	for _, a := range m.Adapters {
		values[path+"/adapters/"+a.Name] = a.Version
	}
}

func flattenWorkspace(values map[string]string, path string, w Workspace) {
	values[path+"/keyHashes"] = list(shorten(w.KeyHashes))
	values[path+"/share"] = fmt.Sprint(w.Share)
	values[path+"/models"] = list(w.Models)
	if w.Objective == (Objective{}) {
		return
	}
	values[path+"/objective/firstToken"] = w.Objective.FirstToken.String()
	values[path+"/objective/betweenToken"] = w.Objective.BetweenToken.String()
	values[path+"/objective/target"] = fmt.Sprint(w.Objective.Target)
}

func calls(calls []Call) string {
	lines := make([]string, 0, len(calls))
	for _, c := range calls {
		lines = append(lines, c.Method+" "+c.Path)
	}
	return list(lines)
}

// shownHashDigits is the number of digits that tell one key hash from another.
const shownHashDigits = 12

func shorten(hashes []string) []string {
	short := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		short = append(short, hash[:min(len(hash), shownHashDigits)])
	}
	return short
}

// list renders a set of values, whose order in the text makes no difference.
func list(values []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(values)), ", ") + "]"
}
