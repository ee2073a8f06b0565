package operator

import (
	"context"
	"encoding/json"

	"almondbay.example/core/document"
)

type wireRevision struct {
	Revision uint64 `json:"revision"`
	// Document is the name of the document's body in the object store.
	Document string `json:"document"`
}

// ReadDocument returns the last accepted revision of an environment and its
// document. The revision is zero when none has been accepted. It reads no
// document when the revision is not above known.
func ReadDocument(ctx context.Context, c Config, known uint64) (uint64, document.Document, error) {
	row, err := c.Table.Read(ctx, environmentPrefix+c.Environment)
	if err != nil {
		return 0, document.Document{}, Error.Wrap(err)
	}
	if row.Version == 0 {
		return 0, document.Document{}, nil
	}
	var w wireRevision
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return 0, document.Document{}, Error.Wrap(err)
	}
	if w.Revision <= known {
		return w.Revision, document.Document{}, nil
	}
	body, err := c.Objects.Get(ctx, w.Document)
	if err != nil {
		return 0, document.Document{}, Error.Wrap(err)
	}
	d, faults := document.Parse(w.Document, body)
	return w.Revision, d, faults.Err()
}
