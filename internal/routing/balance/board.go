package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondbay.example/internal/fleet/registry"
)

// Board holds the pools of all services and models, and the load reports of
// other nodes.
type Board struct {
	policy   Policy
	backoffs *backoffs

	mu    sync.RWMutex
	pools map[Key]*Pool
	// reports holds the latest load report of each other node or failure domain,
	// by sender.
	reports map[string]report
}

// Report describes the heads as one node, or a whole failure domain, observes
// them.
type Report struct {
	// Loads is the number of requests in flight by head ID.
	Loads map[string]int
	// Progressed lists the heads that have sent response data recently; Stalled
	// lists those that have stopped sending.
	Progressed []string
	Stalled    []string
	// Remote is set if the report is that of another failure domain.
	Remote bool
}

// report is the latest load report of one sender.
type report struct {
	loads  map[string]int
	remote bool
	at     time.Time
}

// reportTTL is how long a load report is valid: several times the longest
// interval between two reports.
const reportTTL = 3 * time.Second

// NewBoard returns a board that has no heads yet.
func NewBoard(policy Policy) *Board {
	if policy.Random == nil {
		policy.Random = rand.Float64
	}
	return &Board{policy: policy, backoffs: newBackoffs(), pools: map[Key]*Pool{}, reports: map[string]report{}}
}

// SetHeads replaces the heads of all pools.
func (b *Board) SetHeads(heads []registry.Head) {
	byKey := map[Key][]registry.Head{}
	for _, h := range heads {
		k := Key{Service: h.Service, Model: h.Model}
		byKey[k] = append(byKey[k], h)
	}
	b.mu.Lock()
	for k := range byKey {
		if b.pools[k] == nil {
			b.pools[k] = newPool(k, b.policy, b.backoffs)
		}
	}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		p.setHeads(byKey[p.key])
	}
}

// Pool returns the pool of a service and model, or nil if no head was ever
// registered for them.
func (b *Board) Pool(k Key) *Pool {
	b.mu.RLock()
	defer b.mu.RUnlock()

	return b.pools[k]
}

// RecordReport stores the report of another node, or of a whole other failure
// domain. The loads take effect at the next Refresh; progress and stalls take
// effect immediately.
func (b *Board) RecordReport(from string, r Report, now time.Time) {
	b.mu.Lock()
	b.reports[from] = report{loads: r.Loads, remote: r.Remote, at: now}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		for _, id := range r.Progressed {
			p.recordRemoteProgress(id, now)
		}
		for _, id := range r.Stalled {
			p.recordRemoteStall(id, now)
		}
	}
}

// DropReports discards the load reports of the senders that the function selects.
func (b *Board) DropReports(drop func(from string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	maps.DeleteFunc(b.reports, func(from string, _ report) bool { return drop(from) })
}

// ReportAge holds the ages up to which load reports are usual: the intervals at which
// they are sent and read.
type ReportAge struct {
	// Peer is that of reports of nodes of the same failure domain, Domain that of
	// reports of other failure domains.
	Peer, Domain time.Duration
}

// Refresh adds up the loads in the reports of other nodes, discards expired
// reports, and updates all pools.
func (b *Board) Refresh(now time.Time, age ReportAge) {
	b.mu.Lock()
	peers, domains := map[string]int{}, map[string]int{}
	for from, r := range b.reports {
		if now.Sub(r.at) > reportTTL {
			delete(b.reports, from)
			continue
		}
		sums := peers
		if r.remote {
			sums = domains
		}
		for id, n := range r.loads {
			sums[id] += n
		}
	}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		p.setRemoteLoads(peers, domains, age)
	}
}

// LocalReport returns this node's own requests in flight, the heads that have
// made progress here after since, and the heads that are stalled here at now.
func (b *Board) LocalReport(since, now time.Time) Report {
	b.mu.RLock()
	defer b.mu.RUnlock()

	r := Report{Loads: map[string]int{}}
	for _, p := range b.pools {
		p.addTo(&r, since, now)
	}
	return r
}

// DomainReport returns the loads of the failure domain: this node's requests in
// flight plus those that the given nodes reported. It leaves out progress and
// stalls.
func (b *Board) DomainReport(nodes []string, now time.Time) Report {
	r := b.LocalReport(now, now)
	r.Stalled = nil
	b.mu.RLock()
	defer b.mu.RUnlock()

	for _, n := range nodes {
		for id, count := range b.reports[n].loads {
			r.Loads[id] += count
		}
	}
	return r
}

// Demand returns this node's demand for each model, in slots, averaged over the
// time since the previous call.
func (b *Board) Demand(elapsed time.Duration) map[string]float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()

	demand := map[string]float64{}
	for k, p := range b.pools {
		if k.Model != "" {
			demand[k.Model] += p.Demand(elapsed)
		}
	}
	return demand
}
