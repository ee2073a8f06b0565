package control

import (
	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

// transaction maps a planned transaction to the table service's. It is
// conditional on the lease's term, so that it fails once another node holds
// the lease, whatever this node believes.
func (d *domain) transaction(t group.Transaction, operation string) *platform.Transaction {
	out := &platform.Transaction{
		Operation:  operation,
		Conditions: []platform.Condition{{Key: termPrefix + d.name, Version: d.fence}},
	}
	add := func(key string, version uint64, w platform.Write) {
		w.Key = key
		out.Conditions = append(out.Conditions, platform.Condition{Key: key, Version: version})
		out.Writes = append(out.Writes, w)
	}
	environment := d.config.Environment
	if t.Rollout != nil {
		add(rolloutKey(environment, t.Rollout.Value.Model), t.Rollout.Version, platform.Write{Value: encodeRollout(t.Rollout.Value)})
	}
	if t.Group != nil {
		add(groupKey(environment, t.Group.Value.ID), t.Group.Version, platform.Write{Value: EncodeGroup(t.Group.Value)})
	}
	for _, w := range t.VMs {
		write := platform.Write{Value: encodeVM(w.Value), Delete: w.Delete}
		if w.Delete {
			write.Value = nil
		}
		add(vmPrefix+w.Value.ID, w.Version, write)
	}
	return out
}
