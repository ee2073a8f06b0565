package feed_test

import (
	"fmt"

	"almondbay.example/core/feed"
)

// A node reads a table and sends a mirror a full delta first, then only the
// changes.
func ExampleSource() {
	source := feed.NewSource("node-1/boot")
	mirror := feed.NewMirror()

	source.Replace("vm/", map[string]feed.Row{
		"vm/1": {Version: 1, Value: []byte("free")},
		"vm/2": {Version: 1, Value: []byte("free")},
	})
	first := source.Since(mirror.Position())
	mirror.Apply(first)
	fmt.Println("full:", first.Full, "rows:", len(first.Rows))

	source.Replace("vm/", map[string]feed.Row{
		"vm/1": {Version: 2, Value: []byte("draft-0")},
		"vm/2": {Version: 1, Value: []byte("free")},
	})
	next := source.Since(mirror.Position())
	mirror.Apply(next)
	fmt.Println("full:", next.Full, "rows:", len(next.Rows))
	fmt.Printf("%s\n", mirror.Rows("vm/1")["vm/1"].Value)
	// Output:
	// full: true rows: 2
	// full: false rows: 1
	// draft-0
}
