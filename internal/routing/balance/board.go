package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"almondbay.example/internal/fleet/registry"
)

// Board holds the pools of all services and models.
type Board struct {
	policy Policy

	mu    sync.RWMutex
	pools map[Key]*Pool
	// reports holds what other nodes last said, by node.
	reports map[string]report
}

// Report is what a node, or a whole failure domain, has in flight and has seen.
type Report struct {
	// Loads holds the requests in flight by head.
	Loads map[string]int
	// Progressed and Stalled list heads whose answers moved lately, and those that
	// stand still.
	Progressed []string
	Stalled    []string
}

// report is what another node last said.
type report struct {
	loads map[string]int
	at    time.Time
}

// reportTTL is how long another node's word on its requests in flight counts:
// several times the longest interval between two reports.
const reportTTL = 3 * time.Second

// NewBoard returns a board without heads.
func NewBoard(policy Policy) *Board {
	return &Board{policy: policy, pools: map[Key]*Pool{}, reports: map[string]report{}}
}

// SetHeads replaces all heads.
func (b *Board) SetHeads(heads []registry.Head) {
	byKey := map[Key][]registry.Head{}
	for _, h := range heads {
		k := Key{Service: h.Service, Model: h.Model}
		byKey[k] = append(byKey[k], h)
	}
	b.mu.Lock()
	for k := range byKey {
		if b.pools[k] == nil {
			b.pools[k] = newPool(k, b.policy)
		}
	}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		p.setHeads(byKey[p.key])
	}
}

// Pool returns the pool of a service and model, or nil when it never had a head.
func (b *Board) Pool(k Key) *Pool {
	b.mu.RLock()
	defer b.mu.RUnlock()

	return b.pools[k]
}

// RecordReport takes in what a node, or a whole other failure domain, has in flight.
func (b *Board) RecordReport(from string, r Report, now time.Time) {
	b.mu.Lock()
	b.reports[from] = report{loads: r.Loads, at: now}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		for _, id := range r.Progressed {
			p.toldMoved(id, now)
		}
		for _, id := range r.Stalled {
			p.toldStalled(id, now)
		}
	}
}

// Refresh sums up the reports of other nodes.
func (b *Board) Refresh(now time.Time) {
	b.mu.Lock()
	sums := map[string]int{}
	for from, r := range b.reports {
		if now.Sub(r.at) > reportTTL {
			delete(b.reports, from)
			continue
		}
		for id, n := range r.loads {
			sums[id] += n
		}
	}
	pools := slices.Collect(maps.Values(b.pools))
	b.mu.Unlock()
	for _, p := range pools {
		p.setOthers(sums)
	}
}

// LocalReport returns what this node has in flight and has seen since a time.
func (b *Board) LocalReport(since, now time.Time) Report {
	b.mu.RLock()
	defer b.mu.RUnlock()

	r := Report{Loads: map[string]int{}}
	for _, p := range b.pools {
		p.snapshot(&r, since, now)
	}
	return r
}

// DomainReport returns what the failure domain has in flight: this node's requests
// and those of the given nodes. It says nothing of what moves.
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

// Demand returns this node's demand for each model, in slots, over the time
// since the last call.
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
