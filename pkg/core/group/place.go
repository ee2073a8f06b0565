package group

import (
	"hash/fnv"
	"math"
	"time"

	"almondbay.example/core/document"
)

// claim forms at most one group in an open slot. If several fabric domains
// claim the same slot, the conditional write of the group row lets exactly one
// succeed.
func (p *planner) claim() {
	for _, m := range p.Models {
		open := p.openSlots(m)
		if len(open) == 0 || m.Span > len(p.idle) {
			continue
		}
		// Each domain starts at a slot given by its hash, to reduce conflicts.
		first := int(hash(p.FabricDomain) % uint32(len(open)))
		for i := range open {
			slot := open[(first+i)%len(open)]
			if p.mayClaim(m, slot) {
				p.form(m, slot)
				return
			}
		}
	}
}

// openSlots returns the slots of a model that no fabric domain holds or that
// another fabric domain has yielded.
func (p *planner) openSlots(m document.Model) []int {
	var open []int
	for slot := range m.Groups {
		g, ok := p.Groups[ID(m.Name, slot)]
		if !ok || g.Value.State == StateReleased || p.claimable(g.Value) {
			open = append(open, slot)
		}
	}
	return open
}

func (p *planner) claimable(r Row) bool {
	return r.Yielded && r.FabricDomain != p.FabricDomain
}

// mayClaim reports whether this domain may form a group in the slot now. It
// waits for ClaimDelay if the group would use up spares, so that a domain with
// more spares can claim the slot, or if the slot is yielded, since the domain
// that holds it may recover.
func (p *planner) mayClaim(m document.Model, slot int) bool {
	g := p.Groups[ID(m.Name, slot)]
	since := p.Timers.since("open/"+ID(m.Name, slot), string(g.Value.State), p.Now)
	enoughSpares := len(p.idle)-m.Span >= p.sparesWanted(m)
	if enoughSpares && !p.claimable(g.Value) {
		return true
	}
	return p.Now.Sub(since) >= p.policy.ClaimDelay
}

func (p *planner) form(m document.Model, slot int) {
	id := ID(m.Name, slot)
	g := p.Groups[id]
	to := p.newTarget(m)
	members, _ := p.takeIdle(m.Span)
	next := Row{
		ID:           id,
		Model:        m.Name,
		Slot:         slot,
		FabricDomain: p.FabricDomain,
		Epoch:        g.Value.Epoch + 1,
		State:        StateForming,
		Members:      members,
		Version:      to.version,
		Adapters:     to.adapters,
	}
	p.write(StepForm, g, next, p.bind(next))
}

// newTarget returns the version and adapters for a new group of the model:
// those of the document, or those of a serving group while the rollout is
// halted.
func (p *planner) newTarget(m document.Model) target {
	if !p.halted(m) {
		return target{version: m.Version, adapters: adapters(m)}
	}
	for slot := range m.Groups {
		r := p.Groups[ID(m.Name, slot)].Value
		if r.State == StateServing && r.Version != m.Version {
			return target{version: r.Version, adapters: r.Adapters}
		}
	}
	return target{version: m.Version, adapters: adapters(m)}
}

// sparesWanted returns the number of idle VMs that the domain should keep once
// it has one more group of model m.
func (p *planner) sparesWanted(m document.Model) int {
	present := map[string]bool{m.Name: true}
	members := m.Span
	for _, g := range p.own {
		present[g.Value.Model] = true
		members += len(g.Value.Members)
	}
	wanted := 0
	for name := range present {
		wanted += p.models[name].Spares
	}
	return max(wanted, SpareCount(members, p.policy))
}

// SpareCount returns the number of spares for a fabric domain with the given
// number of group members. With a probability of at least 1-Risk, no more
// members are lost within Replacement than there are spares. Losses are
// assumed to be independent, so their number is Poisson distributed.
func SpareCount(members int, policy Policy) int {
	if policy.Risk <= 0 {
		return 0
	}
	const day = 24 * time.Hour
	mean := float64(members) * policy.LossRate * policy.Replacement.Hours() / day.Hours()
	probability := math.Exp(-mean)
	covered := probability
	spares := 0
	for covered < 1-policy.Risk && spares < members {
		spares++
		probability *= mean / float64(spares)
		covered += probability
	}
	return spares
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
