package balance

import (
	"math"
	"time"
)

// The engine of a replica group works on all requests in its slots at the same time,
// and further ones wait until a slot is free. At the crest of a swing nodes therefore
// reject requests before the slots are taken, by the load of all heads of the pool:
// old reports tell the load of the whole pool better than that of each head. The
// share of rejected requests grows with the load, so that nodes that all see the same
// load don't all reject, or all accept, at the same time.
const (
	// maxAcceptAllBelow is the load up to which all requests are accepted if reports
	// have no age. It decreases by acceptAllDecrease for each second of their age,
	// since a load that is known late has grown by what arrived since, but not below
	// minAcceptAllBelow.
	maxAcceptAllBelow = 1.05
	acceptAllDecrease = 1.1
	minAcceptAllBelow = 0.6
	// rejectionBand is the increase of the load over which the share of rejected
	// requests grows from none to all.
	rejectionBand = 0.225
	// lateLoad is added to the load for requests that can no longer meet their
	// objective, so that they use only slots that others leave.
	lateLoad = 0.05
	// rankLoad is added to the load for each rank below the most urgent one, up to
	// maxRankLoad, so that less urgent requests are rejected first but not all.
	rankLoad    = 0.05
	maxRankLoad = 0.1
	// usualLateShare is the share of late responses that is due to other causes than
	// the load. What exceeds it is added to the load, times lateShareWeight
	// and up to maxLateShareLoad: some engines are too slow before their slots are
	// taken.
	usualLateShare   = 0.1
	lateShareWeight  = 2
	maxLateShareLoad = 0.5
	// lateWindow is the number of responses over which lateShare averages.
	lateWindow = 16
	// failedLoad is subtracted from the load for requests that failed at another
	// head, since a late response is better than none.
	failedLoad = 0.5
)

// rejectedShare returns the share of requests like r to reject at a load. A plain
// service rejects none by load: its requests don't slow each other down.
func (p *Pool) rejectedShare(r Request, load float64) float64 {
	if p.key.Model == "" {
		return 0
	}
	switch {
	case r.Failed:
		load -= failedLoad
	case r.Late:
		load += lateLoad
	}
	load += min(maxLateShareLoad, lateShareWeight*max(0, p.lateShare-usualLateShare))
	load += min(maxRankLoad, rankLoad*float64(max(0, r.Rank-p.urgent.rank)))
	acceptAllBelow := max(maxAcceptAllBelow-acceptAllDecrease*p.reportAge.Seconds(), minAcceptAllBelow)
	return (load - acceptAllBelow) / rejectionBand
}

// urgentRank is the most urgent rank of the requests of the last urgentRankTTL.
type urgentRank struct {
	rank int
	at   time.Time
}

// urgentRankTTL is how long requests count as recent.
const urgentRankTTL = 10 * time.Second

// record records the rank of a request.
func (u *urgentRank) record(rank int, now time.Time) {
	if u.at.IsZero() || rank <= u.rank || now.Sub(u.at) > urgentRankTTL {
		*u = urgentRank{rank: rank, at: now}
	}
}

// queueAllowance returns how many requests beyond its slots a head may have in
// flight when it accepts r. At a plain service it is the queue length at which r is
// still likely to meet its objective, and shorter for late requests. Requests that
// failed at another head get a long queue, since a late response is better than none.
func (p *Pool) queueAllowance(h *head, r Request) int {
	switch {
	case r.Failed:
		return h.Slots / retryQueueDivisor
	case p.key.Model != "":
		return 0
	case r.Late:
		return h.Slots / lateQueueDivisor
	}
	wait := float64(max(0, r.Objective-p.meanFirstByte)) * p.policy.QueueShare
	return int(math.Round(wait / float64(max(p.meanDuration, time.Millisecond)) * float64(h.Slots)))
}

// lateQueueDivisor limits the queue for late requests to 1/lateQueueDivisor of
// the slots of a head. They have the lowest priority in its queue.
const lateQueueDivisor = 6

// retryQueueDivisor limits the queue for requests that failed at another head to
// 1/retryQueueDivisor of the slots of a head.
const retryQueueDivisor = 3
