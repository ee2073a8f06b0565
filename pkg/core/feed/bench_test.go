package feed_test

import (
	"bytes"
	"fmt"
	"maps"
	"testing"

	"almondbay.example/core/feed"
)

// rowBytes is the approximate size of a replica group's row.
const rowBytes = 400

// table returns the given number of rows.
func table(rows int) map[string]feed.Row {
	all := make(map[string]feed.Row, rows)
	for i := range rows {
		all[fmt.Sprint("row/", i)] = feed.Row{Version: 1, Value: bytes.Repeat([]byte{1}, rowBytes)}
	}
	return all
}

// BenchmarkSource measures the work of a node that polls the table: a read
// without changes, a request of a mirror that is up to date, and one change
// applied by one mirror.
func BenchmarkSource(b *testing.B) {
	for _, rows := range []int{100, 1000, 10850} {
		read := table(rows)
		source := feed.NewSource("a")
		source.Replace("row/", read)
		mirror := feed.NewMirror()
		mirror.Apply(source.Since(mirror.Position()))
		b.Run(fmt.Sprintf("read/%d rows", rows), func(b *testing.B) {
			for b.Loop() {
				source.Replace("row/", read)
			}
		})
		b.Run(fmt.Sprintf("ask/%d rows", rows), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				source.Since(mirror.Position())
			}
		})
		b.Run(fmt.Sprintf("change/%d rows", rows), func(b *testing.B) {
			changed := maps.Clone(read)
			version := uint64(1)
			for b.Loop() {
				version++
				changed["row/0"] = feed.Row{Version: version, Value: read["row/0"].Value}
				source.Replace("row/", changed)
				mirror.Apply(source.Since(mirror.Position()))
			}
		})
	}
}
