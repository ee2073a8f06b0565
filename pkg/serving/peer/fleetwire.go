package peer

import "almondbay.example/core/feed"

type wirePosition struct {
	Source   string `json:"source"`
	Sequence uint64 `json:"sequence"`
}

type wireRow struct {
	Version uint64 `json:"version,omitempty"`
	// Value is encoded in base64.
	Value []byte `json:"value"`
}

type wireFleetDelta struct {
	Position wirePosition       `json:"position"`
	Full     bool               `json:"whole,omitempty"`
	Rows     map[string]wireRow `json:"rows,omitempty"`
	Deleted  []string           `json:"deleted,omitempty"`
}

type wireFleet struct {
	Delta     wireFleetDelta `json:"delta"`
	AgeMillis int64          `json:"ageMillis"`
}

func wirePositionOf(p feed.Position) wirePosition {
	return wirePosition{Source: p.Source, Sequence: p.Sequence}
}

func toPosition(w wirePosition) feed.Position {
	return feed.Position{Source: w.Source, Sequence: w.Sequence}
}

func wireFleetDeltaOf(d feed.Delta) wireFleetDelta {
	w := wireFleetDelta{
		Position: wirePositionOf(d.Position),
		Full:     d.Full,
		Rows:     make(map[string]wireRow, len(d.Rows)),
		Deleted:  d.Deleted,
	}
	for key, row := range d.Rows {
		w.Rows[key] = wireRow{Version: row.Version, Value: row.Value}
	}
	return w
}

func toFleetDelta(w wireFleetDelta) feed.Delta {
	d := feed.Delta{
		Position: toPosition(w.Position),
		Full:     w.Full,
		Rows:     make(map[string]feed.Row, len(w.Rows)),
		Deleted:  w.Deleted,
	}
	for key, row := range w.Rows {
		d.Rows[key] = feed.Row{Version: row.Version, Value: row.Value}
	}
	return d
}
