package trial

import "time"

// Fault is a disturbance at the crest.
type Fault string

// Faults.
const (
	// FaultSlow makes two engines five times slower from before the crest on.
	FaultSlow Fault = "slow"
	// FaultDomainOutage takes a failure domain out, nodes and engines, during the crest.
	FaultDomainOutage Fault = "dark"
	// FaultUnderreport makes a third of the engines report no load.
	FaultUnderreport Fault = "emptyLies"
	// FaultOverreport makes a third of the engines report a full batch.
	FaultOverreport Fault = "fullLies"
	// FaultChurn makes nodes leave and join all through the crest.
	FaultChurn Fault = "churn"
)

const (
	slowEngines   = 2
	slowFactor    = 5
	slowBefore    = 10 * time.Second
	darkAfter     = 20 * time.Second
	churnInterval = 5 * time.Second
	// churnPart is one over the part of the nodes that is replaced each time.
	churnPart = 10
)

// schedule plans the fault.
func (w *world) schedule(f Fault) {
	switch f {
	case FaultSlow:
		w.after(warm-slowBefore, func() {
			for _, e := range w.engines[:slowEngines] {
				e.slowness = slowFactor
			}
		})
	case FaultDomainOutage:
		w.after(warm+darkAfter, func() { w.darken(0) })
	case FaultUnderreport, FaultOverreport:
		for i, e := range w.engines {
			if i%domains == 0 {
				e.lie = 0
				if f == FaultOverreport {
					e.lie = engineSlots
				}
			}
		}
	case FaultChurn:
		for at := warm + churnInterval; at < warm+crest; at += churnInterval {
			w.after(at, w.churn)
		}
	}
}

// darken takes out a failure domain; callers of its nodes get no answer.
func (w *world) darken(domain int) {
	for i := range w.nodes {
		if w.nodes[i].domain == domain {
			w.nodes[i].live = false
		}
	}
	for _, j := range w.jobs {
		if j.outcome == pending && !w.nodes[j.node].live {
			j.outcome = failed
		}
	}
	for _, e := range w.engines {
		if e.domain != domain {
			continue
		}
		for _, j := range e.fail() {
			attempt := j.attempt
			w.after(detection, func() { w.lose(j, attempt) })
		}
	}
	w.after(detection, w.sharing.changed)
}

// churn lets some nodes drain and gives the places of those that left before to
// new ones. Nodes that leave finish what they have. An owner is replaced too.
func (w *world) churn() {
	for i := range w.nodes {
		w.nodes[i].live = true
	}
	for range max(1, len(w.nodes)/churnPart) {
		w.nodes[w.random.IntN(len(w.nodes))].live = false
	}
	if c, ok := w.sharing.(*cells); ok {
		for i, cell := range c.list {
			joined := cell.node >= 0 && w.nodes[cell.node].live && cell.left
			owner := cell.node < 0 && w.random.IntN(domains) == 0
			if joined || owner {
				c.replace(i)
			}
			c.list[i].left = cell.node >= 0 && !w.nodes[cell.node].live
		}
	}
	w.after(detection, w.sharing.changed)
}
