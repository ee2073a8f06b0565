package environment

import (
	"encoding/json"
	"time"

	"almondbay.example/core/revision"
)

type wireRow struct {
	Entry   wireEntry   `json:"entry"`
	History []wireEntry `json:"history"`
}

type wireEntry struct {
	Revision          uint64    `json:"revision"`
	Hash              string    `json:"hash"`
	Parent            uint64    `json:"parent"`
	Operation         string    `json:"operation"`
	Kind              string    `json:"kind"`
	Author            string    `json:"author"`
	SourceEnvironment string    `json:"sourceEnvironment,omitempty"`
	SourceRevision    uint64    `json:"sourceRevision,omitempty"`
	AcceptedAt        time.Time `json:"acceptedAt"`
}

func encodeRow(row revision.Row) []byte {
	wire := wireRow{Entry: wireEntryOf(row.Entry), History: []wireEntry{}}
	for _, e := range row.History {
		wire.History = append(wire.History, wireEntryOf(e))
	}
	value, err := json.Marshal(wire)
	if err != nil {
		// All fields of wireRow can be encoded.
		panic(err)
	}
	return value
}

func decodeRow(name string, value []byte) (revision.Row, error) {
	var wire wireRow
	if err := json.Unmarshal(value, &wire); err != nil {
		return revision.Row{}, Error.Wrap(err)
	}
	row := revision.Row{Environment: name, Entry: toEntry(wire.Entry)}
	for _, e := range wire.History {
		row.History = append(row.History, toEntry(e))
	}
	return row, nil
}

func wireEntryOf(e revision.Entry) wireEntry {
	return wireEntry{
		Revision:          e.Revision,
		Hash:              e.Hash,
		Parent:            e.Parent,
		Operation:         e.Operation,
		Kind:              string(e.Kind),
		Author:            e.Author,
		SourceEnvironment: e.Source.Environment,
		SourceRevision:    e.Source.Revision,
		AcceptedAt:        e.AcceptedAt.UTC(),
	}
}

func toEntry(w wireEntry) revision.Entry {
	return revision.Entry{
		Revision:   w.Revision,
		Hash:       w.Hash,
		Parent:     w.Parent,
		Operation:  w.Operation,
		Kind:       revision.Kind(w.Kind),
		Author:     w.Author,
		Source:     revision.Source{Environment: w.SourceEnvironment, Revision: w.SourceRevision},
		AcceptedAt: w.AcceptedAt,
	}
}
