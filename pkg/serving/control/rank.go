package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"almondbay.example/core/fleet"
)

// Candidates for a fabric domain's lease. Nodes of the fabric domain's own
// failure domain come first, since they reach its members when the failure
// domain is cut off from the others.
const (
	nearCandidates = 3
	farCandidates  = 3
)

// rank returns the place of a node among the candidates of each fabric domain
// that it is a candidate for. Without any entry VM in the list the node is the
// first candidate for all.
func rank(node string, backends, entries []fleet.VM) map[string]int {
	failureDomain := map[string]string{}
	for _, vm := range backends {
		failureDomain[vm.FabricDomain] = vm.FailureDomain
	}
	ranks := map[string]int{}
	for fabric, failure := range failureDomain {
		if len(entries) == 0 {
			ranks[fabric] = 0
			continue
		}
		if i := slices.Index(candidates(fabric, failure, entries), node); i >= 0 {
			ranks[fabric] = i
		}
	}
	return ranks
}

// candidates returns the nodes that may hold a fabric domain's lease, by
// rendezvous hashing, so that leases spread over the nodes and few of them
// change places when a node comes or goes.
func candidates(fabric, failure string, entries []fleet.VM) []string {
	live := slices.DeleteFunc(slices.Clone(entries), func(vm fleet.VM) bool { return vm.State != fleet.VMLive })
	slices.SortFunc(live, func(a, b fleet.VM) int {
		return cmp.Or(
			-cmp.Compare(xxhash.Sum64String(fabric+"/"+a.ID), xxhash.Sum64String(fabric+"/"+b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var near, far []string
	for _, vm := range live {
		switch {
		case vm.FailureDomain == failure && len(near) < nearCandidates:
			near = append(near, vm.ID)
		case vm.FailureDomain != failure && len(far) < farCandidates:
			far = append(far, vm.ID)
		}
	}
	return slices.Concat(near, far)
}
