package feed_test

import (
	"fmt"

	"almondbay.example/core/feed"
)

// A node reads a table and passes on to a listener what it lacks: everything at
// first, then only what has changed.
func ExampleSource() {
	source := feed.NewSource("node-1/boot")
	listener := feed.NewMirror()

	source.Replace("vm/", map[string]feed.Row{
		"vm/1": {Version: 1, Value: []byte("free")},
		"vm/2": {Version: 1, Value: []byte("free")},
	})
	first := source.Since(listener.Position())
	listener.Apply(first)
	fmt.Println("whole:", first.Full, "rows:", len(first.Rows))

	source.Replace("vm/", map[string]feed.Row{
		"vm/1": {Version: 2, Value: []byte("draft-0")},
		"vm/2": {Version: 1, Value: []byte("free")},
	})
	next := source.Since(listener.Position())
	listener.Apply(next)
	fmt.Println("whole:", next.Full, "rows:", len(next.Rows))
	fmt.Printf("%s\n", listener.Rows("vm/1")["vm/1"].Value)
	// Output:
	// whole: true rows: 2
	// whole: false rows: 1
	// draft-0
}
