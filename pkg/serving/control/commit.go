package control

import (
	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

// tableTransaction converts a planned transaction to one of the table service.
// It is conditional on the term row of the lease, so that it fails once another
// node has acquired the lease, even if this node still considers itself the
// holder.
func (d *domainController) tableTransaction(t group.Transaction, operation string) *platform.Transaction {
	out := &platform.Transaction{
		Operation:  operation,
		Conditions: []platform.Condition{{Key: termPrefix + d.name, Version: d.fenceVersion}},
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
