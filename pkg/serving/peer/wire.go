package peer

import (
	"time"

	"almondbay.example/core/burn"
	"almondbay.example/core/relay"
	"almondbay.example/core/revision"
	"almondbay.example/serving/operator/operatorwire"
)

// push is the message that sends a revision to another node.
type push struct {
	// Root is the node at the root of the distribution tree that the push follows.
	// If it is empty, the receiver becomes the root of a tree.
	Root  string
	Entry revision.Entry
	// ParentHash is the hash of the document that Delta applies to. It is empty if
	// Delta.Middle holds the full document.
	ParentHash string
	Delta      relay.Delta
}

type wirePeerState struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failureDomain"`
	Revision      uint64 `json:"revision"`
	Hash          string `json:"hash"`
}

func wirePeerStateOf(n peerState) wirePeerState {
	return wirePeerState{Node: n.Node, FailureDomain: n.FailureDomain, Revision: n.Revision, Hash: n.Hash}
}

func toPeerState(w wirePeerState) peerState {
	return peerState{Node: w.Node, FailureDomain: w.FailureDomain, Revision: w.Revision, Hash: w.Hash}
}

type wirePush struct {
	Root       string             `json:"root,omitempty"`
	Entry      operatorwire.Entry `json:"entry"`
	ParentHash string             `json:"parentHash,omitempty"`
	Prefix     int                `json:"prefix,omitempty"`
	Suffix     int                `json:"suffix,omitempty"`
	// Middle is encoded in base64.
	Middle []byte `json:"middle"`
}

func wirePushOf(p push) wirePush {
	return wirePush{
		Root:       p.Root,
		Entry:      operatorwire.FromEntry(p.Entry),
		ParentHash: p.ParentHash,
		Prefix:     p.Delta.Prefix,
		Suffix:     p.Delta.Suffix,
		Middle:     p.Delta.Middle,
	}
}

func toPush(w wirePush) push {
	return push{
		Root:       w.Root,
		Entry:      operatorwire.ToEntry(w.Entry),
		ParentHash: w.ParentHash,
		Delta:      relay.Delta{Prefix: w.Prefix, Suffix: w.Suffix, Middle: w.Middle},
	}
}

type wireGrant struct {
	Group       string `json:"group"`
	Fingerprint string `json:"fingerprint"`
}

type wireGrantReply struct {
	Granted bool `json:"granted"`
}

type wireHistories struct {
	Histories []wireHistory `json:"histories"`
}

type wireHistory struct {
	Workspace string       `json:"workspace"`
	Model     string       `json:"model"`
	Fine      []wireBucket `json:"fine"`
	Coarse    []wireBucket `json:"coarse"`
}

type wireBucket struct {
	Start time.Time `json:"start"`
	Good  uint64    `json:"good"`
	Bad   uint64    `json:"bad"`
}

func wireHistoriesOf(histories []burn.History) wireHistories {
	wire := wireHistories{Histories: []wireHistory{}}
	for _, h := range histories {
		wire.Histories = append(wire.Histories, wireHistory{
			Workspace: h.Workspace, Model: h.Model, Fine: wireBuckets(h.Fine), Coarse: wireBuckets(h.Coarse),
		})
	}
	return wire
}

func wireBuckets(buckets []burn.Bucket) []wireBucket {
	wire := make([]wireBucket, 0, len(buckets))
	for _, b := range buckets {
		wire = append(wire, wireBucket{Start: b.Start, Good: b.Good, Bad: b.Bad})
	}
	return wire
}

func toHistories(w wireHistories) []burn.History {
	var histories []burn.History
	for _, h := range w.Histories {
		histories = append(histories, burn.History{
			Series: burn.Series{Workspace: h.Workspace, Model: h.Model},
			Fine:   toBuckets(h.Fine),
			Coarse: toBuckets(h.Coarse),
		})
	}
	return histories
}

func toBuckets(wire []wireBucket) []burn.Bucket {
	var buckets []burn.Bucket
	for _, b := range wire {
		buckets = append(buckets, burn.Bucket{Start: b.Start, Count: burn.Count{Good: b.Good, Bad: b.Bad}})
	}
	return buckets
}
