package callertest

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/standin/enginestandin"
)

// countedConn adds the bytes read and written on a connection to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures one health probe of a member in the same process: its
// time and its bytes in both directions.
func BenchmarkProbe(b *testing.B) {
	member := enginestandin.NewMember(enginestandin.Config{ID: "backend-1", Boot: "b", Clock: clockwork.NewRealClock(), Slots: 32})
	member.ApplyOrder(fleet.Order{Term: 1, Group: "draft-1", Epoch: 1, Members: []string{"backend-1"}, Model: "draft", Version: "v7"})
	server := httptest.NewServer(enginestandin.NewServer(member))
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{conn, &bytes}, err
	}}
	client := enginehttp.New(enginehttp.Config{Transport: transport, ControlTimeout: time.Second})
	address := server.Listener.Addr().String()
	for b.Loop() {
		if _, err := client.Health(b.Context(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/probe")
}
