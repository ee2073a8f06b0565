package attempt

import "time"

// SuspectGrants grants each group to one suspect at a time. One node, the owner
// of a group, holds its grant on behalf of all nodes of the failure domain: the
// suspects of one crash are spread over nodes, and if two of them ran on the
// same group, the next crash would not show which one caused it. It is safe for
// concurrent use.
type SuspectGrants struct {
	grants *shardedMap[string, grant]
}

type grant struct {
	holder Fingerprint
	until  time.Time
}

// NewSuspectGrants returns an empty set of grants.
func NewSuspectGrants() *SuspectGrants {
	return &SuspectGrants{grants: newShardedMap[string, grant](hashString)}
}

// Grant reserves the group for a suspect until limit has elapsed, or renews its
// reservation. It reports false while another suspect holds the group.
func (s *SuspectGrants) Grant(group string, f Fingerprint, now time.Time, limit time.Duration) bool {
	granted := false
	s.grants.with(group, func(entries map[string]grant) {
		g, held := entries[group]
		if held && g.holder != f && now.Before(g.until) {
			return
		}
		entries[group] = grant{holder: f, until: now.Add(limit)}
		granted = true
	})
	return granted
}

// Release ends the grant of the group if the suspect holds it.
func (s *SuspectGrants) Release(group string, f Fingerprint) {
	s.grants.with(group, func(entries map[string]grant) {
		if g, held := entries[group]; held && g.holder == f {
			delete(entries, group)
		}
	})
}
