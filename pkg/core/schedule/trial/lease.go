package trial

import (
	"slices"

	"almondbay.example/core/schedule"
)

// leaseTicks is the number of ticks between two lease rounds.
const leaseTicks = 2

// lease reassigns idle slots of each engine to the nodes of its failure domain
// with waiting requests. A slot in use stays leased until its request ends.
func (c *instances) lease() {
	before := make([][]int, len(c.list))
	demand := make([]int, len(c.list))
	for n, instance := range c.list {
		before[n] = slices.Clone(instance.leased)
		copy(instance.leased, instance.inUse)
		demand[n] = instance.waiting
	}
	for i, e := range c.engines {
		if !e.down {
			c.leaseFree(i, demand)
		}
	}
	for n, instance := range c.list {
		if !slices.Equal(before[n], instance.leased) {
			c.messages += 2
			c.process(instance, func() { c.publishLeases(instance) })
		}
	}
}

// leaseFree leases the free slots of one engine: first one at a time to nodes
// with waiting requests, then the rest round robin.
func (c *instances) leaseFree(engine int, demand []int) {
	free := engineSlots
	var local []int
	for n, instance := range c.list {
		free -= instance.inUse[engine]
		if c.nodes[n].live && instance.domain == c.engines[engine].domain {
			local = append(local, n)
		}
	}
	c.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	for free > 0 && len(local) > 0 {
		granted := false
		for _, n := range local {
			if free > 0 && demand[n] > 0 {
				demand[n]--
				c.list[n].leased[engine]++
				free--
				granted = true
			}
		}
		if !granted {
			break
		}
	}
	for i := 0; free > 0 && len(local) > 0; i++ {
		c.list[local[i%len(local)]].leased[engine]++
		free--
	}
}

// publishLeases updates an instance with the slots leased to it.
func (c *instances) publishLeases(instance *instance) {
	instance.SetGroups(c.groupsOf(instance), c.clock())
	for i, e := range c.engines {
		instance.ObserveLoad(schedule.Report{
			Model: trialModel, Group: e.id, Running: instance.inUse[i], At: c.clock(),
		}, c.clock())
	}
}
