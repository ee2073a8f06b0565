package control

import (
	"encoding/json"

	"almondbay.example/serving/view"
)

type wireGroup struct {
	ID      string   `json:"id"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
}

type wireMember struct {
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
}

func decodeGroup(value []byte) (view.Group, error) {
	var w wireGroup
	if err := json.Unmarshal(value, &w); err != nil {
		return view.Group{}, Error.Wrap(err)
	}
	return view.Group{
		ID:      w.ID,
		Epoch:   w.Epoch,
		Members: w.Members,
		Model:   w.Model,
		Version: w.Version,
	}, nil
}

func encodeGroup(g view.Group) []byte {
	return mustEncode(wireGroup{
		ID:      g.ID,
		Epoch:   g.Epoch,
		Members: g.Members,
		Model:   g.Model,
		Version: g.Version,
	})
}

func encodeMember(group string, epoch uint64) []byte {
	return mustEncode(wireMember{Group: group, Epoch: epoch})
}

// mustEncode encodes a wire type of this package, which never fails.
func mustEncode(w any) []byte {
	body, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return body
}
