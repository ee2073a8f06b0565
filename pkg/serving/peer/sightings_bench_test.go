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

// byteCounter counts the bytes read and written on the connections of a client.
type byteCounter struct {
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (m *byteCounter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return countedConn{conn, m}, err
		},
	}}
}

// BenchmarkSightingsHeartbeat measures one heartbeat of all nodes of a failure
// domain, without changes and with a changed load at every hundredth member. It
// reports the TCP payload, the elapsed time and the heap, each per node. A join is
// the first exchange of all nodes.
func BenchmarkSightingsHeartbeat(b *testing.B) {
	for _, size := range []struct{ nodes, members int }{{7, 50}, {30, 213}, {60, 426}, {183, 1300}} {
		for _, moving := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/moving=%v", size.nodes, moving), func(b *testing.B) {
				c := newCluster(b, size.nodes, 1, size.members)
				var m byteCounter
				for _, s := range c.nodes {
					s.sender.config.HTTP = m.client()
				}
				c.probe(1)
				for range 4 {
					c.heartbeat(b)
				}
				joined := m.bytes.Swap(0)
				c.heartbeat(b)
				m.bytes.Store(0)
				for b.Loop() {
					c.clock.Advance(time.Second)
					c.reprobe(moving, b.N)
					c.heartbeat(b)
				}
				nodes := float64(size.nodes)
				b.ReportMetric(float64(m.bytes.Load())/nodes/float64(b.N), "B/node/beat")
				b.ReportMetric(float64(joined)/nodes, "B/node/join")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/nodes/float64(b.N), "µs/node/beat")
				b.ReportMetric(c.heap()/nodes, "heapB/node")
			})
		}
	}
}

// heartbeat runs one heartbeat of each node in turn.
func (c *cluster) heartbeat(b *testing.B) {
	for _, s := range c.nodes {
		if err := s.Heartbeat(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// reprobe records the same results again. If moving is true, the load of every
// hundredth member changes with the round.
func (c *cluster) reprobe(moving bool, round int) {
	sentAt := c.clock.Now()
	for _, s := range c.nodes {
		for i, m := range s.Assign(c.members) {
			seen := c.probeResult(m, 1)
			if moving && i%100 == 0 {
				seen.Report.Load.Running = round%30 + 1
			}
			s.Observe(seen, sentAt)
		}
	}
}

// heap returns the heap size of the nodes' data, measured by freeing them.
func (c *cluster) heap() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, s := range c.nodes {
		s.table, s.links = nil, nil
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(before.HeapAlloc) - float64(after.HeapAlloc)
}
