package registry

import "time"

// Head is a backend server that requests can be sent to: the head of a whole
// replica group, or a server of a plain service.
type Head struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	// Model is empty for plain services.
	Model string
	Slots int
	// Group and Epoch are zero for plain services.
	Group       string
	Epoch       uint64
	Incarnation int64
}

// Heads returns the servers that may be sent requests. A group counts only
// while every one of its members reports the group's name and epoch; sizes
// gives the number of members that a model needs.
func Heads(v View, sizes map[string]int, now time.Time, grace time.Duration) []Head {
	type epoch struct {
		name  string
		epoch uint64
	}
	members := map[epoch]int{}
	for _, r := range v.Servers {
		if r.Group.Name != "" && serves(v, r, now, grace) && r.Group.State != StateJoining && r.Group.State != StateBroken {
			members[epoch{r.Group.Name, r.Group.Epoch}]++
		}
	}
	var heads []Head
	for _, r := range v.Servers {
		if !serves(v, r, now, grace) {
			continue
		}
		if r.FabricDomain != "" || r.Group.Name != "" {
			whole := members[epoch{r.Group.Name, r.Group.Epoch}] >= sizes[r.Model] && sizes[r.Model] > 0
			if r.Group.State != StateOpen || r.Group.Rank != 0 || !whole {
				continue
			}
		}
		heads = append(heads, newHead(r))
	}
	return heads
}

// serves reports whether a server may be sent new requests.
func serves(v View, r Record, now time.Time, grace time.Duration) bool {
	return !r.Draining && !v.Missing(r, now, grace)
}

func newHead(r Record) Head {
	h := Head{
		ID:            r.ID,
		Service:       r.Service,
		Address:       r.Address,
		FailureDomain: r.FailureDomain,
		FabricDomain:  r.FabricDomain,
		Slots:         r.Slots,
		Incarnation:   r.Incarnation,
	}
	if r.Group.Name != "" {
		h.Model, h.Group, h.Epoch = r.Model, r.Group.Name, r.Group.Epoch
	}
	return h
}
