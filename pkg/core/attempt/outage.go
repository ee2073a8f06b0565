package attempt

import (
	"slices"
	"time"
)

const (
	// outageWindow is the maximum time between crashes at one site that are
	// assumed to have a common cause.
	outageWindow = 5 * time.Second
	// outageGroups is the number of distinct groups that must crash within
	// outageWindow for an outage.
	outageGroups = 3
	// maxOutageCrashes is the maximum number of crashes kept for each site.
	maxOutageCrashes = 64
)

type crashTime struct {
	crash Crash
	at    time.Time
}

// outages detects sites, such as fabric domains, where several groups crash at
// about the same time. Such a crash is not counted against any request.
type outages struct {
	sites *shardedMap[string, []crashTime]
}

func newOutages() *outages {
	return &outages{sites: newShardedMap[string, []crashTime](hashString)}
}

// record adds a crash to its site; a crash that is already known is ignored.
func (o *outages) record(c Crash, at time.Time) {
	o.sites.with(c.Site, func(entries map[string][]crashTime) {
		known := entries[c.Site]
		if slices.ContainsFunc(known, func(k crashTime) bool { return k.crash == c }) {
			return
		}
		if len(known) >= maxOutageCrashes {
			known = known[1:]
		}
		entries[c.Site] = append(known, crashTime{crash: c, at: at})
	})
}

// includes reports whether the crash was part of an outage.
func (o *outages) includes(c Crash) bool {
	included := false
	o.sites.with(c.Site, func(entries map[string][]crashTime) {
		known := entries[c.Site]
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

// expire removes the crashes older than limit.
func (o *outages) expire(now time.Time, limit time.Duration) {
	o.sites.each(func(entries map[string][]crashTime) {
		for site, known := range entries {
			entries[site] = slices.DeleteFunc(known, func(k crashTime) bool { return now.Sub(k.at) > limit })
			if len(entries[site]) == 0 {
				delete(entries, site)
			}
		}
	})
}
