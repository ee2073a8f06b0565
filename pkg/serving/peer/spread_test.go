package peer

import (
	"fmt"
	"testing"
)

// BenchmarkSpread measures the time from the first poller's read of a new
// revision until the last node has it in force, over HTTP on loopback. The
// time until a poller reads comes on top: at most one interval of its polls.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{3, 7}, {1, 60}, {1, 184}} {
		b.Run(fmt.Sprintf("%dx%d", size.domains, size.perDomain), func(b *testing.B) {
			f := newFleet(b, size.domains, size.perDomain)
			number := 0
			for b.Loop() {
				b.StopTimer()
				number++
				f.accept(b, number)
				b.StartTimer()
				for _, r := range f.relays {
					if err := r.Poll(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
				for len(f.behind(uint64(number))) > 0 {
					for _, r := range f.relays {
						r.Wait()
					}
				}
			}
		})
	}
}
