package attempt

import "time"

// SuspectGrants grants each group to one suspect at a time. One node, the owner of a
// group, keeps the grants for it on behalf of all nodes of the failure domain:
// the suspects of one crash are spread over nodes, and two of them on the same
// group would leave it open which one caused the next crash. It is safe for
// use by several goroutines.
type SuspectGrants struct {
	grants *table[string, grant]
}

type grant struct {
	holder Fingerprint
	until  time.Time
}

// NewSuspectGrants returns a register without grants.
func NewSuspectGrants() *SuspectGrants {
	return &SuspectGrants{grants: newTable[string, grant](hashString)}
}

// Grant gives the group to a suspect for at most the given time. It reports
// false while another suspect holds the group.
func (t *SuspectGrants) Grant(group string, f Fingerprint, now time.Time, limit time.Duration) bool {
	granted := false
	t.grants.with(group, func(rows map[string]grant) {
		g, held := rows[group]
		if held && g.holder != f && now.Before(g.until) {
			return
		}
		rows[group] = grant{holder: f, until: now.Add(limit)}
		granted = true
	})
	return granted
}

// Release ends the grant of a suspect; it has no effect on that of another.
func (t *SuspectGrants) Release(group string, f Fingerprint) {
	t.grants.with(group, func(rows map[string]grant) {
		if g, held := rows[group]; held && g.holder == f {
			delete(rows, group)
		}
	})
}
