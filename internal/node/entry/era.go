package entry

import (
	"go.uber.org/zap"

	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// observeEra reports whether a table was read from a store that came back from an older copy
// since the table was last read as a whole, and logs that. It is called by the follower of
// the table only.
func (n *Node) observeEra(table string, c platform.Changes) bool {
	n.mu.Lock()
	previous, known := n.tableVersions[table]
	n.tableVersions[table] = c.Version
	n.mu.Unlock()
	if !known || platform.Era(c.Version) <= platform.Era(previous) {
		return false
	}
	event.StoreRestored.Log(n.config.Logger, zap.String("table", table),
		zap.Uint64("era", platform.Era(c.Version)), zap.Uint64("previousEra", platform.Era(previous)),
		zap.Uint64("version", platform.VersionWithinEra(c.Version)), zap.Uint64("previousVersion", platform.VersionWithinEra(previous)),
		zap.Int("rows", len(c.Rows)))
	return true
}

// rewriteRows has this node write its rows again, which the store may have lost.
func (n *Node) rewriteRows() {
	n.suspects.rewrite()
	select {
	case n.announceDue <- struct{}{}:
	default:
		// It is due already.
	}
}

// rewrite marks all evidence that this node contributed to as not written.
func (s *suspects) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()

	clear(s.own)
	for f := range s.contributed {
		s.changed[f] = true
	}
}

// configurationSupersedes reports whether a configuration is newer than another one. One
// that can't be decoded is none, so the order of the store decides.
func (n *Node) configurationSupersedes(old, next []byte) bool {
	a, err := n.config.Codec.DecodeConfiguration(old)
	if err != nil {
		return true
	}
	b, err := n.config.Codec.DecodeConfiguration(next)
	return err != nil || b.Version > a.Version
}
