package registry

import "time"

// Head is a backend server that requests can be sent to: the head of a complete
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

// Life returns the run of the server that is the head.
func (h Head) Life() Life {
	return Life{ID: h.ID, Incarnation: h.Incarnation}
}

// Heads returns the servers that can be sent requests. The head of a group is
// included only while every member reports the group's name and epoch; sizes
// holds the number of members per group by model.
func Heads(v View, sizes map[string]int, now time.Time, grace time.Duration) []Head {
	type groupEpoch struct {
		name  string
		epoch uint64
	}
	members := map[groupEpoch]int{}
	for _, r := range v.Servers {
		if r.Group.Name != "" && serves(v, r, now, grace) && r.Group.State != StateJoining && r.Group.State != StateBroken {
			members[groupEpoch{r.Group.Name, r.Group.Epoch}]++
		}
	}
	var heads []Head
	for _, r := range v.Servers {
		if !serves(v, r, now, grace) {
			continue
		}
		if r.FabricDomain != "" || r.Group.Name != "" {
			complete := members[groupEpoch{r.Group.Name, r.Group.Epoch}] >= sizes[r.Model] && sizes[r.Model] > 0
			if r.Group.State != StateOpen || r.Group.Rank != 0 || !complete {
				continue
			}
		}
		heads = append(heads, newHead(r))
	}
	return heads
}

// serves reports whether a server is registered and known not to be about to shut down.
func serves(v View, r Record, now time.Time, grace time.Duration) bool {
	return !r.Draining && !r.Leaving && !r.Doubtful && !v.Missing(r, now, grace)
}

// newHead returns the head that a record describes.
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
