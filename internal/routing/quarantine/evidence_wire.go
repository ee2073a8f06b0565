package quarantine

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quarantine")

// evidenceWire is the JSON form of Evidence, in messages between nodes and in rows.
type evidenceWire struct {
	Quick uint64 `json:"quick,string"`
	// Part is the ID of a part of a prompt; without it, the evidence is that against a
	// content.
	Part     string          `json:"part,omitempty"`
	Evidence json.RawMessage `json:"evidence"`
}

// EncodeEvidence returns evidence as JSON.
func EncodeEvidence(e Evidence) ([]byte, error) {
	body, err := attempt.EncodeEvidence(e.Evidence)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	value, err := json.Marshal(evidenceWire{Quick: e.Quick, Part: e.Part, Evidence: body})
	return value, Error.Wrap(err)
}

// DecodeEvidence parses evidence from JSON.
func DecodeEvidence(value []byte) (Evidence, error) {
	var w evidenceWire
	if err := json.Unmarshal(value, &w); err != nil {
		return Evidence{}, Error.Wrap(err)
	}
	e, err := attempt.DecodeEvidence(w.Evidence)
	if err != nil {
		return Evidence{}, Error.Wrap(err)
	}
	if w.Part != "" {
		if m := NewParts([]string{w.Part})[0].Mark(); m.Fingerprint != e.Fingerprint || m.Quick != w.Quick {
			return Evidence{}, Error.New("evidence against part %.20q has the fingerprint of something else", w.Part)
		}
	}
	return Evidence{Evidence: e, Quick: w.Quick, Part: w.Part}, nil
}
