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

// TestMirrorFollowsSources applies deltas of two sources, which read one growing
// table at different times. It checks that no row of the mirror goes back to an
// older version, and that the mirror equals the table once it has followed a
// source that is up to date.
func TestMirrorFollowsSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := map[string]feed.Row{}
		sources := []*feed.Source{feed.NewSource("a"), feed.NewSource("b")}
		mirror := feed.NewMirror()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			source := sources[rapid.IntRange(0, 1).Draw(t, "source")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"g/1", "g/2", "g/3"}).Draw(t, "key")
				table[key] = row(table[key].Version + 1)
			case 1:
				source.Replace("g/", maps.Clone(table))
			default:
				before := mirror.Rows("")
				mirror.Apply(source.Since(mirror.Position()))
				after := mirror.Rows("")
				for key, r := range before {
					if now, ok := after[key]; ok && now.Version < r.Version {
						t.Fatalf("version of %s went back from %d to %d", key, r.Version, now.Version)
					}
				}
			}
		}
		sources[0].Replace("g/", maps.Clone(table))
		mirror.Apply(sources[0].Since(mirror.Position()))
		if diff := cmp.Diff(table, mirror.Rows("g/")); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	source := feed.NewSource("a")
	rows := map[string]feed.Row{"v/1": row(0), "v/2": row(0)}
	source.Replace("v/", rows)
	source.Replace("g/", map[string]feed.Row{"g/1": row(1)})
	mirror := feed.NewMirror()
	mirror.Apply(source.Since(mirror.Position()))

	source.Replace("v/", maps.Clone(rows))
	if d := source.Since(mirror.Position()); d.Full || len(d.Rows)+len(d.Deleted) > 0 {
		t.Errorf("got delta %+v without a change, want an empty one", d)
	}
	source.Replace("v/", map[string]feed.Row{"v/1": row(0)})
	d := source.Since(mirror.Position())
	if diff := cmp.Diff([]string{"v/2"}, d.Deleted); diff != "" || d.Full || len(d.Rows) > 0 {
		t.Errorf("got delta %+v after the deletion of v/2, want only that deletion", d)
	}
	if !mirror.Apply(d) || len(mirror.Rows("")) != 2 {
		t.Errorf("got rows %v after the deletion, want g/1 and v/1", mirror.Rows(""))
	}
}

// TestFullDeltaAfterTooManyDeletions deletes more rows than a source keeps track
// of. A mirror that is further behind must receive a full delta; otherwise it
// would keep deleted rows forever.
func TestFullDeltaAfterTooManyDeletions(t *testing.T) {
	source := feed.NewSource("a")
	mirror := feed.NewMirror()
	source.Replace("v/", map[string]feed.Row{"v/first": row(0)})
	mirror.Apply(source.Since(mirror.Position()))
	for i := range 5000 {
		source.Replace("v/", map[string]feed.Row{fmt.Sprint("v/", i): row(0)})
	}
	d := source.Since(mirror.Position())
	mirror.Apply(d)
	if rows := mirror.Rows(""); !d.Full || len(rows) != 1 {
		t.Errorf("got full %v and %d rows, want true and 1", d.Full, len(rows))
	}
}
