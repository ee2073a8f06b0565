package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"almondbay.example/core/fleet"
)

// Numbers of candidates for the lease of a fabric domain. Nodes in the failure
// domain of the fabric domain rank first, since they still reach its members
// when that failure domain is partitioned from the others.
const (
	// localCandidates is the number of candidates in the same failure domain.
	localCandidates = 3
	// remoteCandidates is the number of candidates in other failure domains.
	remoteCandidates = 3
)

// candidateRanks returns the rank of a node, zero first, for each fabric domain
// whose lease it may acquire. If entries is empty, the node ranks first in all
// fabric domains.
func candidateRanks(node string, backends, entries []fleet.VM) map[string]int {
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
		if i := slices.Index(leaseCandidates(fabric, failure, entries), node); i >= 0 {
			ranks[fabric] = i
		}
	}
	return ranks
}

// leaseCandidates returns the IDs of the nodes that may acquire the lease of a
// fabric domain, in the order of their ranks. Rendezvous hashing distributes
// the leases over the nodes and keeps most ranks unchanged when a node joins or
// leaves.
func leaseCandidates(fabric, failure string, entries []fleet.VM) []string {
	live := slices.DeleteFunc(slices.Clone(entries), func(vm fleet.VM) bool { return vm.State != fleet.VMLive })
	slices.SortFunc(live, func(a, b fleet.VM) int {
		return cmp.Or(
			-cmp.Compare(xxhash.Sum64String(fabric+"/"+a.ID), xxhash.Sum64String(fabric+"/"+b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var local, remote []string
	for _, vm := range live {
		switch {
		case vm.FailureDomain == failure && len(local) < localCandidates:
			local = append(local, vm.ID)
		case vm.FailureDomain != failure && len(remote) < remoteCandidates:
			remote = append(remote, vm.ID)
		}
	}
	return slices.Concat(local, remote)
}
