package trial

import "time"

// Fault is a disturbance during the load peak.
type Fault string

// Faults.
const (
	// FaultSlow makes two engines five times slower, starting before the peak.
	FaultSlow Fault = "slow"
	// FaultDomainOutage fails all nodes and engines of one failure domain
	// during the peak.
	FaultDomainOutage Fault = "dark"
	// FaultUnderreport makes a third of the engines report no load.
	FaultUnderreport Fault = "emptyLies"
	// FaultOverreport makes a third of the engines report a full batch.
	FaultOverreport Fault = "fullLies"
	// FaultChurn makes nodes leave and join throughout the peak.
	FaultChurn Fault = "churn"
)

const (
	slowEngines   = 2
	slowFactor    = 5
	slowBefore    = 10 * time.Second
	outageAfter   = 20 * time.Second
	churnInterval = 5 * time.Second
	// churnDivisor is the inverse of the fraction of nodes replaced at each
	// interval.
	churnDivisor = 10
)

// scheduleFault schedules the events of the fault.
func (s *simulation) scheduleFault(f Fault) {
	switch f {
	case FaultSlow:
		s.after(warmup-slowBefore, func() {
			for _, e := range s.engines[:slowEngines] {
				e.slowdown = slowFactor
			}
		})
	case FaultDomainOutage:
		s.after(warmup+outageAfter, func() { s.failDomain(0) })
	case FaultUnderreport, FaultOverreport:
		for i, e := range s.engines {
			if i%domains == 0 {
				e.reportOverride = 0
				if f == FaultOverreport {
					e.reportOverride = engineSlots
				}
			}
		}
	case FaultChurn:
		for at := warmup + churnInterval; at < warmup+peak; at += churnInterval {
			s.after(at, s.churn)
		}
	}
}

// failDomain fails a failure domain; callers of its nodes get no response.
func (s *simulation) failDomain(domain int) {
	for i := range s.nodes {
		if s.nodes[i].domain == domain {
			s.nodes[i].live = false
		}
	}
	for _, j := range s.jobs {
		if j.outcome == pending && !s.nodes[j.node].live {
			j.outcome = failed
		}
	}
	for _, e := range s.engines {
		if e.domain != domain {
			continue
		}
		for _, j := range e.fail() {
			attempt := j.attempt
			s.after(detectionDelay, func() { s.failAttempt(j, attempt) })
		}
	}
	s.after(detectionDelay, s.strategy.membershipChanged)
}

// churn drains some nodes and replaces those drained before. A draining node
// finishes the requests that it has. Each domain owner is replaced with a
// probability of one in the number of domains.
func (s *simulation) churn() {
	for i := range s.nodes {
		s.nodes[i].live = true
	}
	for range max(1, len(s.nodes)/churnDivisor) {
		s.nodes[s.random.IntN(len(s.nodes))].live = false
	}
	if c, ok := s.strategy.(*instances); ok {
		for i, instance := range c.list {
			joined := instance.node >= 0 && s.nodes[instance.node].live && instance.draining
			owner := instance.node < 0 && s.random.IntN(domains) == 0
			if joined || owner {
				c.replace(i)
			}
			c.list[i].draining = instance.node >= 0 && !s.nodes[instance.node].live
		}
	}
	s.after(detectionDelay, s.strategy.membershipChanged)
}
