package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// meter counts the bytes on the connections that a client opens.
type meter struct {
	bytes atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (m *meter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return meteredConn{conn, m}, err
		},
	}}
}

// BenchmarkBeat measures one beat of all nodes of a failure domain in which
// nothing changes, and one in which every hundredth member's load has moved.
// Reported are the bytes of TCP payload and the time of all cores for each
// node, and the heap for each node.
func BenchmarkBeat(b *testing.B) {
	for _, size := range []struct{ nodes, members int }{{7, 50}, {30, 213}, {60, 426}, {183, 1300}} {
		for _, moving := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/moving=%v", size.nodes, moving), func(b *testing.B) {
				w := newWatch(b, size.nodes, 1, size.members)
				var m meter
				for _, s := range w.nodes {
					s.sender.config.HTTP = m.client()
				}
				w.probe(1)
				for range 4 {
					w.heartbeat(b)
				}
				joined := m.bytes.Swap(0)
				w.heartbeat(b)
				m.bytes.Store(0)
				for b.Loop() {
					w.clock.Advance(time.Second)
					w.reprobe(moving, b.N)
					w.heartbeat(b)
				}
				nodes := float64(size.nodes)
				b.ReportMetric(float64(m.bytes.Load())/nodes/float64(b.N), "B/node/beat")
				b.ReportMetric(float64(joined)/nodes, "B/node/join")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/nodes/float64(b.N), "µs/node/beat")
				b.ReportMetric(w.heap()/nodes, "heapB/node")
			})
		}
	}
}

// beat lets all nodes beat in turn.
func (w *watch) heartbeat(b *testing.B) {
	for _, s := range w.nodes {
		if err := s.Heartbeat(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// reprobe repeats what was last seen; when moving, the load of every hundredth
// member differs.
func (w *watch) reprobe(moving bool, round int) {
	sentAt := w.clock.Now()
	for _, s := range w.nodes {
		for i, m := range s.Assign(w.members) {
			seen := w.sighting(m, 1)
			if moving && i%100 == 0 {
				seen.Report.Load.Running = round%30 + 1
			}
			s.Observe(seen, sentAt)
		}
	}
}

// heap returns the bytes that the sightings hold, by dropping them.
func (w *watch) heap() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, s := range w.nodes {
		s.table, s.links = nil, nil
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(before.HeapAlloc) - float64(after.HeapAlloc)
}
