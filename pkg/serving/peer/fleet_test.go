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

// fixedFleet serves the rows of one source with a fixed age; without a source it
// has no data.
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

// TestFetchFleet fetches fleet data over HTTP into a mirror. The rows and the age
// must arrive unchanged, and a second fetch must return an empty delta.
func TestFetchFleet(t *testing.T) {
	source := feed.NewSource("s")
	want := map[string]feed.Row{
		"list/vm":      {Value: []byte(`{"id":"vm"}`)},
		"group/e/m-0":  {Version: 7, Value: []byte(`{"id":"m-0"}`)},
		"drain/vm-old": {Version: 2, Value: nil},
	}
	source.Replace("", want)
	mirror := feed.NewMirror()
	server := httptest.NewServer(fleetRelay(fixedFleet{source: source, age: 1500 * time.Millisecond}).Handler())
	defer server.Close()

	delta, age, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), mirror.Position())
	if err != nil || age != 1500*time.Millisecond {
		t.Fatalf("fetched data of age %v, error %v, want age 1.5s", age, err)
	}
	mirror.Apply(delta)
	if diff := cmp.Diff(want, mirror.Rows("")); diff != "" {
		t.Errorf("rows of the mirror (-want +got):\n%s", diff)
	}
	again, _, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), mirror.Position())
	if err != nil || again.Full || len(again.Rows) > 0 {
		t.Errorf("second fetch without changes: %+v, error %v, want an empty delta", again, err)
	}
}

// TestFetchFleetWithoutData checks that fetching from a node without fleet data
// fails, so that its empty data are not taken for an empty fleet.
func TestFetchFleetWithoutData(t *testing.T) {
	server := httptest.NewServer(fleetRelay(fixedFleet{}).Handler())
	defer server.Close()
	if _, _, err := fleetRelay(nil).FetchFleet(context.Background(), server.Listener.Addr().String(), feed.Position{}); err == nil {
		t.Error("fetch from a node without fleet data returned no error")
	}
}

// BenchmarkFleetBytes reports the size in JSON of the response to a fetch: without
// changes, and with all rows of a fleet of 10850.
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
	full := source.Since(feed.Position{})
	for b.Loop() {
		source.Since(full.Position)
	}
	b.ReportMetric(size(source.Since(full.Position)), "B/unchanged")
	b.ReportMetric(size(full), "B/whole")
}
