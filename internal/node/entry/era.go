package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

// observeEra reports whether a table was read from a store that came back from an older copy
// since the table was last read as a whole, and logs that. It is called by the follower of
// the table only.
func (n *Node) observeEra(table string, c platform.Changes) bool {
	n.mu.Lock()
	previous, known := n.tableVersions[table]
	n.tableVersions[table] = max(previous, c.Version)
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

// rewriteRows has this node write its rows again, which the store may have lost, and those
// about requests that crash servers which other nodes may not be there to write.
func (n *Node) rewriteRows() {
	n.rewriteSuspects(n.config.Clock.Now())
	select {
	case n.announceDue <- struct{}{}:
	default:
		// It is due already.
	}
}

// rewriteSuspects marks the evidence that this node contributed to as not written, and has
// the rest of what it knows compared with the rows of the store.
func (n *Node) rewriteSuspects(now time.Time) {
	s := n.suspects
	reviews := map[attempt.Fingerprint]time.Time{}
	for _, e := range s.guard.All(now) {
		if len(e.Observations) >= savedCrashes {
			reviews[e.Fingerprint] = now.Add(n.reviewDelay(e.Fingerprint, now))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	clear(s.own)
	for f := range s.contributed {
		s.changed[f] = true
	}
	maps.Copy(s.reviews, reviews)
}

// decodeConfigurationVersion returns the version of a configuration; zero if it can't be
// decoded.
func (n *Node) decodeConfigurationVersion(value []byte) any {
	c, err := n.config.Codec.DecodeConfiguration(value)
	if err != nil {
		return uint64(0)
	}
	return c.Version
}

// configurationSupersedes reports whether the version of a configuration is higher than that
// of another one. A value that is none has no version, so the order of the store decides.
func configurationSupersedes(old, next any) bool {
	a, b := old.(uint64), next.(uint64)
	return a == 0 || b == 0 || b > a
}
