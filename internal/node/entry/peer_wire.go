package entry

import (
	"encoding/json"
	"strconv"

	"almondbay.example/internal/peer/gossip"
)

// peerWire is the stored form of a node's row.
type peerWire struct {
	Node          string  `json:"node"`
	FailureDomain string  `json:"failureDomain"`
	Address       string  `json:"address"`
	Cores         float64 `json:"cores"`
}

func encodePeer(p gossip.Peer) ([]byte, error) {
	body, err := json.Marshal(peerWire{Node: p.Node, FailureDomain: p.FailureDomain, Address: p.Address, Cores: p.Capacity})
	return body, Error.Wrap(err)
}

func decodePeer(value []byte) (gossip.Peer, error) {
	var w peerWire
	if err := json.Unmarshal(value, &w); err != nil {
		return gossip.Peer{}, Error.New("decode node row: %w", err)
	}
	return gossip.Peer{Node: w.Node, FailureDomain: w.FailureDomain, Address: w.Address, Capacity: w.Cores}, nil
}

// operation returns the ID of a write, unique to this incarnation of the node.
func (n *Node) operation(what string) string {
	return what + "/" + n.config.Settings.Node + "/" + strconv.FormatInt(n.incarnation, 10)
}
