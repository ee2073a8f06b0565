package attempt

import (
	"slices"
	"time"
)

const (
	// outageWindow is the time within which crashes at one site are taken to
	// share a cause.
	outageWindow = 5 * time.Second
	// outageGroups is the number of groups that have to crash for that.
	outageGroups = 3
	// maxOutageCrashes bounds the crashes remembered of each site.
	maxOutageCrashes = 64
)

type crashTime struct {
	crash Crash
	at    time.Time
}

// outages recognises sites, such as fabric domains, that have gone dark. No request is to be
// blamed for a crash that was part of that.
type outages struct {
	sites *table[string, []crashTime]
}

func newOutages() *outages {
	return &outages{sites: newTable[string, []crashTime](hashString)}
}

func (o *outages) note(c Crash, at time.Time) {
	o.sites.with(c.Site, func(rows map[string][]crashTime) {
		known := rows[c.Site]
		if slices.ContainsFunc(known, func(k crashTime) bool { return k.crash == c }) {
			return
		}
		if len(known) >= maxOutageCrashes {
			known = known[1:]
		}
		rows[c.Site] = append(known, crashTime{crash: c, at: at})
	})
}

// includes reports whether the crash was part of an outage.
func (o *outages) includes(c Crash) bool {
	included := false
	o.sites.with(c.Site, func(rows map[string][]crashTime) {
		known := rows[c.Site]
		i := slices.IndexFunc(known, func(k crashTime) bool { return k.crash == c })
		if i < 0 {
			return
		}
		var groups []string
		for _, k := range known {
			if k.at.Sub(known[i].at).Abs() <= outageWindow && !slices.Contains(groups, k.crash.Group) {
				groups = append(groups, k.crash.Group)
			}
		}
		included = len(groups) >= outageGroups
	})
	return included
}

func (o *outages) expire(now time.Time, limit time.Duration) {
	o.sites.each(func(rows map[string][]crashTime) {
		for f, known := range rows {
			rows[f] = slices.DeleteFunc(known, func(k crashTime) bool { return now.Sub(k.at) > limit })
			if len(rows[f]) == 0 {
				delete(rows, f)
			}
		}
	})
}
