package feed_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/feed"
)

func row(version uint64) feed.Row {
	return feed.Row{Version: version, Value: fmt.Append(nil, version)}
}

// TestCopyFollowsSources lets a copy hear two sources of one growing table, each
// of which reads it now and then, and checks that no row of the copy ever goes
// back and that it has everything once it has heard a source that is current.
func TestCopyFollowsSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := map[string]feed.Row{}
		sources := []*feed.Source{feed.NewSource("a"), feed.NewSource("b")}
		listener := feed.NewMirror()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			source := sources[rapid.IntRange(0, 1).Draw(t, "source")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"g/1", "g/2", "g/3"}).Draw(t, "key")
				table[key] = row(table[key].Version + 1)
			case 1:
				source.Replace("g/", maps.Clone(table))
			default:
				before := listener.Rows("")
				listener.Apply(source.Since(listener.Position()))
				after := listener.Rows("")
				for key, r := range before {
					if now, ok := after[key]; ok && now.Version < r.Version {
						t.Fatalf("%s went back from %d to %d", key, r.Version, now.Version)
					}
				}
			}
		}
		sources[0].Replace("g/", maps.Clone(table))
		listener.Apply(sources[0].Since(listener.Position()))
		if diff := cmp.Diff(table, listener.Rows("g/")); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestSinceIsSmall(t *testing.T) {
	source := feed.NewSource("a")
	rows := map[string]feed.Row{"v/1": row(0), "v/2": row(0)}
	source.Replace("v/", rows)
	source.Replace("g/", map[string]feed.Row{"g/1": row(1)})
	listener := feed.NewMirror()
	listener.Apply(source.Since(listener.Position()))

	source.Replace("v/", maps.Clone(rows))
	if d := source.Since(listener.Position()); d.Full || len(d.Rows)+len(d.Deleted) > 0 {
		t.Errorf("nothing has changed: %+v", d)
	}
	source.Replace("v/", map[string]feed.Row{"v/1": row(0)})
	d := source.Since(listener.Position())
	if diff := cmp.Diff([]string{"v/2"}, d.Deleted); diff != "" || d.Full || len(d.Rows) > 0 {
		t.Errorf("one row is gone: %+v", d)
	}
	if !listener.Apply(d) || len(listener.Rows("")) != 2 {
		t.Errorf("after the deletion: %v", listener.Rows(""))
	}
}

// TestForgottenDeletions deletes more rows than a source remembers: a listener
// from before must be given everything, so that no row stays for ever.
func TestForgottenDeletions(t *testing.T) {
	source := feed.NewSource("a")
	listener := feed.NewMirror()
	source.Replace("v/", map[string]feed.Row{"v/first": row(0)})
	listener.Apply(source.Since(listener.Position()))
	for i := range 5000 {
		source.Replace("v/", map[string]feed.Row{fmt.Sprint("v/", i): row(0)})
	}
	d := source.Since(listener.Position())
	listener.Apply(d)
	if rows := listener.Rows(""); !d.Full || len(rows) != 1 {
		t.Errorf("whole %v, %d rows", d.Full, len(rows))
	}
}
