package entry

import (
	"testing"
	"time"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/peer/relay"
	"almondbay.example/serving/platform"
)

// TestRowsOfOtherWritersDoNotEndNode guards against a node that ends since a row of the table of
// registrations is empty, or can't be decoded, before or after a registration or a deletion.
func TestRowsOfOtherWritersDoNotEndNode(t *testing.T) {
	n, _ := newNodeOfStore(t)
	n.config.Codec.DecodeServer = func(id string, value []byte) *registry.Server {
		if string(value) != "registration" {
			return nil
		}
		return &registry.Server{ID: id, Service: "svc", Slots: 6, Incarnation: 1}
	}
	log := relay.NewLog(relay.ValuePolicy{Decode: n.decodeServer, Differs: serverDiffers, Supersedes: serverSupersedes})
	rows := []platform.Change{{Value: nil}, {Value: []byte{}}, {Value: []byte("?")}, {Value: []byte("registration")}, {Deleted: true}, {Deleted: true, Value: []byte("?")}}
	version := uint64(0)
	for _, before := range rows {
		for _, after := range rows {
			for _, row := range []platform.Change{before, after} {
				version++
				row.Key, row.Version = "k", version
				log.Apply(platform.Changes{Rows: []platform.Change{row}, Version: version}, time.Time{})
			}
		}
	}
	if got := log.Since(relay.Position{Log: log.Snapshot(time.Time{}).Position.Log}, time.Time{}); got.Version != version || len(got.Rows) != 1 {
		t.Errorf("got version %d and rows %+v, want version %d and one row", got.Version, got.Rows, version)
	}
}
