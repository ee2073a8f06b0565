package control

import (
	"testing"

	"almondbay.example/core/group"
	"almondbay.example/serving/platform"
)

// BenchmarkReadGroups reads the rows of 1,950 groups with all of them cached and
// unchanged, and with an empty cache.
func BenchmarkReadGroups(b *testing.B) {
	memory := platform.NewMemory()
	for slot := range 1950 {
		r := group.Row{
			ID: group.ID("m", slot), Model: "m", Slot: slot, FabricDomain: "b", Epoch: 1,
			State: group.StateServing, Members: []string{"w", "x", "y", "z"}, Version: "1",
			Boots: map[string]string{"w": "1", "x": "1", "y": "1", "z": "1"},
		}
		err := memory.Commit(b.Context(), platform.Transaction{
			Writes: []platform.Write{{Key: groupKey("e", r.ID), Value: EncodeGroup(r)}},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	reader := newGroupReader("e")
	for _, uncached := range []bool{false, true} {
		b.Run(map[bool]string{false: "unchanged", true: "uncached"}[uncached], func(b *testing.B) {
			for b.Loop() {
				if uncached {
					reader.cached = nil
				}
				if _, err := reader.read(b.Context(), memory); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
