package trial

import (
	"slices"

	"almondbay.example/core/schedule"
)

// lendTicks is the number of ticks between two rounds of lending.
const lendTicks = 2

// lend moves idle slots of each engine to the nodes of its failure domain with
// work waiting. A slot in use stays where it is until its request has ended.
func (c *cells) lend() {
	before := make([][]int, len(c.list))
	wanting := make([]int, len(c.list))
	for n, cell := range c.list {
		before[n] = slices.Clone(cell.lent)
		copy(cell.lent, cell.inUse)
		wanting[n] = cell.waiting
	}
	for i, e := range c.engines {
		if !e.dark {
			c.lendFree(i, wanting)
		}
	}
	for n, cell := range c.list {
		if !slices.Equal(before[n], cell.lent) {
			c.messages += 2
			c.call(cell, func() { c.tellLent(cell) })
		}
	}
}

// lendFree lends what is free at one engine: first one slot at a time to nodes
// with work waiting, then the rest in turn.
func (c *cells) lendFree(engine int, wanting []int) {
	free := engineSlots
	var near []int
	for n, cell := range c.list {
		free -= cell.inUse[engine]
		if c.nodes[n].live && cell.domain == c.engines[engine].domain {
			near = append(near, n)
		}
	}
	c.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for free > 0 && len(near) > 0 {
		lent := false
		for _, n := range near {
			if free > 0 && wanting[n] > 0 {
				wanting[n]--
				c.list[n].lent[engine]++
				free--
				lent = true
			}
		}
		if !lent {
			break
		}
	}
	for i := 0; free > 0 && len(near) > 0; i++ {
		c.list[near[i%len(near)]].lent[engine]++
		free--
	}
}

// tellLent tells a cell the slots that are lent to it.
func (c *cells) tellLent(cell *cell) {
	cell.SetGroups(c.groupsOf(cell), c.clock())
	for i, e := range c.engines {
		cell.ObserveLoad(schedule.Report{
			Model: trialModel, Group: e.id, Running: cell.inUse[i], At: c.clock(),
		}, c.clock())
	}
}
