package peer

import (
	"fmt"
	"testing"
)

// BenchmarkSpread measures the time from the first poller's read of a new revision
// until it is in force at all nodes, over HTTP on loopback. It excludes the time
// until a poller reads the platform, which is at most one poll interval.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{3, 7}, {1, 60}, {1, 184}} {
		b.Run(fmt.Sprintf("%dx%d", size.domains, size.perDomain), func(b *testing.B) {
			c := newRelayCluster(b, size.domains, size.perDomain)
			number := 0
			for b.Loop() {
				b.StopTimer()
				number++
				c.accept(b, number)
				b.StartTimer()
				for _, r := range c.relays {
					if err := r.Poll(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
				for len(c.behind(uint64(number))) > 0 {
					for _, r := range c.relays {
						r.Wait()
					}
				}
			}
		})
	}
}
