package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is a setting that differs between two documents.
type Change struct {
	// Path identifies the setting by names, such as "models/draft/version".
	Path string
	// Before is the value in the first document; empty if the setting was added.
	Before string
	// After is the value in the second document; empty if the setting was
	// removed.
	After string
}

// String returns the change on one line, prefixed with "+" if the setting was
// added, "-" if it was removed and "~" if its value changed.
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

// Difference returns the changes from one document to the other, ordered by
// path. Items are matched by name, so a different order in the text is no
// change. It returns nil if all settings are equal.
func Difference(before, after Document) []Change {
	oldValues, newValues := flatten(before), flatten(after)
	paths := slices.Collect(maps.Keys(oldValues))
	for path := range newValues {
		if _, known := oldValues[path]; !known {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var changes []Change
	for _, path := range paths {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{Path: path, Before: oldValues[path], After: newValues[path]})
		}
	}
	return changes
}

// flatten returns the settings of a document by path. No value is empty, since
// an empty value in a Change means that the setting is absent.
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
		values[path+"/nonIdempotent"] = formatCalls(s.NonIdempotent)
	}
	values["engines/fencing"] = formatSet(d.Engines.Fencing)
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
	values[path+"/keyHashes"] = formatSet(abbreviateHashes(w.KeyHashes))
	values[path+"/share"] = fmt.Sprint(w.Share)
	values[path+"/models"] = formatSet(w.Models)
	if w.Objective == (Objective{}) {
		return
	}
	values[path+"/objective/firstToken"] = w.Objective.FirstToken.String()
	values[path+"/objective/betweenToken"] = w.Objective.BetweenToken.String()
	values[path+"/objective/target"] = fmt.Sprint(w.Objective.Target)
}

func formatCalls(calls []Call) string {
	lines := make([]string, 0, len(calls))
	for _, c := range calls {
		lines = append(lines, c.Method+" "+c.Path)
	}
	return formatSet(lines)
}

// shownHashDigits is the number of leading hex digits of a key hash that are
// shown, enough to identify it.
const shownHashDigits = 12

func abbreviateHashes(hashes []string) []string {
	abbreviated := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		abbreviated = append(abbreviated, hash[:min(len(hash), shownHashDigits)])
	}
	return abbreviated
}

// formatSet returns the values in sorted order, as their order in the text has
// no meaning.
func formatSet(values []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(values)), ", ") + "]"
}
