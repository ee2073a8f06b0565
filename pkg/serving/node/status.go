package node

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/event"
	"almondbay.example/serving/status"
	"almondbay.example/serving/view"
)

// Version is the version of the program.
const Version = "0.1.0"

// noRevision is the reason why a node without a document is not ready.
const noRevision = "no revision of the document is known"

// Status returns the state of the node.
func (n *Node) Status() status.Status {
	now := n.config.Clock.Now()
	groups := n.view.Groups(now)
	s := status.Status{
		Node:           n.config.Settings.Node,
		FailureDomain:  n.config.Settings.FailureDomain,
		Environment:    n.config.Settings.Environment,
		Version:        Version,
		At:             now,
		Revision:       n.relay.RevisionState(),
		PlatformSeenAt: n.platform.lastSeen(),
		Models:         n.modelStates(groups),
		VMs:            n.vmStates(),
		Leases:         n.controller.HeldLeases(),
		Nodes:          n.relay.Nodes(),
	}
	s.Ready = s.Revision.Revision > 0
	if !s.Ready {
		s.Reasons = []string{noRevision}
	}
	for _, g := range groups {
		s.Groups = append(s.Groups, status.Group{
			ID:      g.Row.ID,
			Model:   g.Row.Model,
			Version: g.Row.Version,
			Epoch:   g.Row.Epoch,
			State:   string(g.Row.State),
			Members: g.Row.Members,
			Serving: g.Serving,
		})
	}
	return s
}

func (n *Node) modelStates(groups []view.GroupState) []status.Model {
	d, _ := n.view.Document()
	models := make([]status.Model, 0, len(d.Models))
	for _, m := range d.Models {
		state := status.Model{Name: m.Name, Version: m.Version, Wanted: m.Groups}
		for _, g := range groups {
			if g.Serving && g.Row.Model == m.Name && g.Row.Version == m.Version {
				state.Serving++
			}
		}
		models = append(models, state)
	}
	return models
}

func (n *Node) vmStates() []status.VM {
	var vms []status.VM
	for _, role := range []fleet.Role{fleet.RoleBackend, fleet.RoleService} {
		for _, vm := range n.view.VMs(role) {
			report, _ := n.view.Report(vm.ID)
			vms = append(vms, status.VM{
				ID:            vm.ID,
				Role:          string(vm.Role),
				FailureDomain: vm.FailureDomain,
				FabricDomain:  vm.FabricDomain,
				State:         string(vm.State),
				Phase:         string(report.Phase),
				Drained:       n.view.Drained(vm.ID),
				SeenAt:        report.SeenAt,
			})
		}
	}
	return vms
}

// platformMonitor records when the table service last responded, and logs when the
// service becomes unreachable or reachable again.
type platformMonitor struct {
	clock  clockwork.Clock
	logger *zap.Logger

	mu     sync.Mutex
	seenAt time.Time
	failed bool
}

// recordRead records the result of a read.
func (p *platformMonitor) recordRead(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if !p.failed {
			event.PlatformUnreachable.Log(p.logger, zap.Error(err))
		}
		p.failed = true
		return
	}
	if p.failed {
		event.PlatformReachable.Log(p.logger)
	}
	p.failed = false
	p.seenAt = p.clock.Now()
}

// lastSeen returns the time of the table service's last response, or zero if there
// was none.
func (p *platformMonitor) lastSeen() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seenAt
}
