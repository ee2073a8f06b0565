package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/core/feed"
)

// fixedFleet tells what one source knows.
type fixedFleet struct {
	source *feed.Source
	age    time.Duration
}

func (f fixedFleet) Since(p feed.Position) (feed.Delta, time.Duration) {
	if f.source == nil {
		return feed.Delta{}, 0
	}
	return f.source.Since(p), f.age
}

func fleetRelay(f Fleet) *Relay {
	return New(Config{Node: "n", FailureDomain: "a", Environment: "e", Fleet: f, Scheme: "http", HTTP: http.DefaultClient})
}

// TestHearFleet hears of a fleet over HTTP and applies what comes.
func TestHearFleet(t *testing.T) {
	source := feed.NewSource("s")
	want := map[string]feed.Row{
		"list/vm":      {Value: []byte(`{"id":"vm"}`)},
		"group/e/m-0":  {Version: 7, Value: []byte(`{"id":"m-0"}`)},
		"drain/vm-old": {Version: 2, Value: nil},
	}
	source.Replace("", want)
	listener := feed.NewMirror()
	server := httptest.NewServer(fleetRelay(fixedFleet{source: source, age: 1500 * time.Millisecond}).Handler())
	defer server.Close()

	delta, age, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), listener.Position())
	if err != nil || age != 1500*time.Millisecond {
		t.Fatalf("age %v, %v", age, err)
	}
	listener.Apply(delta)
	if diff := cmp.Diff(want, listener.Rows("")); diff != "" {
		t.Error(diff)
	}
	again, _, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), listener.Position())
	if err != nil || again.Full || len(again.Rows) > 0 {
		t.Errorf("nothing has changed: %+v, %v", again, err)
	}
}

// TestHearFleetOfNobody asks a node that knows nothing yet.
func TestHearFleetOfNobody(t *testing.T) {
	server := httptest.NewServer(fleetRelay(fixedFleet{}).Handler())
	defer server.Close()
	if _, _, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), feed.Position{}); err == nil {
		t.Error("a node that knows nothing told something")
	}
}

// BenchmarkFleetBytes reports the bytes of a message and its answer, as JSON,
// when nothing has changed, and of the whole fleet of the given size.
func BenchmarkFleetBytes(b *testing.B) {
	source := feed.NewSource("node-1/0b8f0d2e-6d0b-4a52-9a3c-2f2f8f0f6f10")
	rows := make(map[string]feed.Row)
	for i := range 10850 {
		rows[fmt.Sprint("row/", i)] = feed.Row{Version: 1, Value: bytes.Repeat([]byte{'x'}, 300)}
	}
	source.Replace("", rows)
	size := func(d feed.Delta) float64 {
		body, err := json.Marshal(wireFleet{Delta: wireFleetDeltaOf(d)})
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(body))
	}
	whole := source.Since(feed.Position{})
	for b.Loop() {
		source.Since(whole.Position)
	}
	b.ReportMetric(size(source.Since(whole.Position)), "B/unchanged")
	b.ReportMetric(size(whole), "B/whole")
}
