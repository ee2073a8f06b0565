package peer

import (
	"encoding/json"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform/platformwire"
)

type wireFleet struct {
	VMs    []platformwire.VM `json:"vms"`
	Groups []json.RawMessage `json:"groups"`
}

func wireFleetOf(f Fleet) wireFleet {
	wire := wireFleet{
		VMs:    make([]platformwire.VM, 0, len(f.VMs)),
		Groups: make([]json.RawMessage, 0, len(f.Groups)),
	}
	for _, vm := range f.VMs {
		wire.VMs = append(wire.VMs, platformwire.FromVM(vm))
	}
	for _, row := range f.Groups {
		wire.Groups = append(wire.Groups, row)
	}
	return wire
}

func toFleet(w wireFleet) Fleet {
	f := Fleet{
		VMs:    make([]fleet.VM, 0, len(w.VMs)),
		Groups: make([][]byte, 0, len(w.Groups)),
	}
	for _, vm := range w.VMs {
		f.VMs = append(f.VMs, platformwire.ToVM(vm))
	}
	for _, row := range w.Groups {
		f.Groups = append(f.Groups, row)
	}
	return f
}
