package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/lease"
	"almondbay.example/internal/fleet/control"
	"almondbay.example/internal/peer/gossip"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/serving/event"
)

// Sources of load reports, as keys of the board.
const (
	nodeSource   = "node/"
	domainSource = "domain/"
	// digestSource is the collector of the failure domain.
	digestSource = "digest"
)

// sentReport describes the last report that was sent to the failure domain.
type sentReport struct {
	at time.Time
	// storeUnreachable is set if the report said that the store is unreachable.
	storeUnreachable bool
	stalled          []string
	loads            map[string]int
}

// reportHistory holds the loads of this node's last reports by sequence number, to
// be taken out of a digest that includes one of them.
type reportHistory struct {
	entries [maxReportHistory]reportEntry
	next    int
}

type reportEntry struct {
	sequence uint64
	loads    map[string]int
}

// maxReportHistory covers the reports that may be sent until a digest that
// includes the first of them is received.
const maxReportHistory = 16

func (h *reportHistory) add(sequence uint64, loads map[string]int) {
	h.entries[h.next] = reportEntry{sequence: sequence, loads: loads}
	h.next = (h.next + 1) % maxReportHistory
}

// loads returns the loads of a report; nil if it is not among the last ones.
func (h *reportHistory) loads(sequence uint64) map[string]int {
	for _, e := range h.entries {
		if e.sequence == sequence {
			return e.loads
		}
	}
	return nil
}

// collected holds what a collector passes on with its next digest.
type collected struct {
	progressed map[string]bool
	stalled    map[string]bool
	leases     map[string]gossip.Lease
	remote     map[string]gossip.DomainReport
	// urgent is set if the digest must not wait for its interval.
	urgent bool
}

func newCollected() collected {
	return collected{
		progressed: map[string]bool{}, stalled: map[string]bool{},
		leases: map[string]gossip.Lease{}, remote: map[string]gossip.DomainReport{},
	}
}

// add adds a message of another node.
func (c *collected) add(m gossip.Message, now time.Time) {
	if m.DomainLoads != nil {
		c.remote[m.FailureDomain] = gossip.DomainReport{Loads: m.DomainLoads, Demand: m.DomainDemand, ReceivedAt: now}
		return
	}
	for _, head := range m.Progressed {
		c.progressed[head] = true
	}
	for _, head := range m.Stalled {
		c.urgent = c.urgent || !c.stalled[head]
		c.stalled[head] = true
	}
	for _, l := range m.Leases {
		c.leases[l.FailureDomain] = l
	}
}

// clear removes what was passed on.
func (c *collected) clear() {
	clear(c.progressed)
	clear(c.stalled)
	clear(c.leases)
	clear(c.remote)
	c.urgent = false
}

// handleMessage processes a message of another node.
func (n *Node) handleMessage(m gossip.Message) {
	now := n.config.Clock.Now()
	known := n.peers.ReceivedFrom(m.Node, now)
	if !n.peers.Record(m, now) {
		return
	}
	local := m.FailureDomain == n.config.Settings.FailureDomain
	collects, hasCollector := n.peers.IsCollector(now)
	switch {
	case known || m.Leaving || !local:
	case collects:
		n.reportMu.Lock()
		n.collected.urgent = true
		n.reportMu.Unlock()
	case !hasCollector:
		// Reply at once, so that a node that has just started doesn't wait for the
		// next report.
		n.socket.Send(n.reportMessage(n.board.LocalReport(now, now)), []gossip.Peer{{Node: m.Node, Address: m.Address}})
	}
	n.observeLeases(m.Leases)
	n.mergeEvidence(m.Evidence, local, now)
	if m.Digest != nil {
		n.handleDigest(m, now)
		return
	}
	if len(m.Loads)+len(m.DomainLoads) > 0 {
		n.serving.Store(true)
	}
	if hasCollector {
		n.reportMu.Lock()
		n.collected.add(m, now)
		n.reportMu.Unlock()
	}
	if m.DomainLoads != nil {
		n.recordDomainReport(m.FailureDomain, gossip.DomainReport{Loads: m.DomainLoads, Demand: m.DomainDemand, ReceivedAt: now})
		return
	}
	report := balance.Report{Loads: m.Loads, Progressed: m.Progressed, Stalled: m.Stalled}
	if hasCollector && !collects {
		// The loads are also in the digests of the collector.
		report.Loads = nil
	}
	n.board.RecordReport(nodeSource+m.Node, report, now)
}

// handleDigest processes the digest of a collector.
func (n *Node) handleDigest(m gossip.Message, now time.Time) {
	if !n.peers.RecordDigest(m, n.demand.Local(), now) {
		return
	}
	d := m.Digest
	if len(d.Loads) > 0 {
		n.serving.Store(true)
	}
	n.reportMu.Lock()
	for head, count := range n.sentLoads.loads(d.Sequences[n.config.Settings.Node]) {
		if all, ok := d.Loads[head]; ok {
			d.Loads[head] = max(0, all-count)
		}
	}
	n.reportMu.Unlock()
	n.board.RecordReport(digestSource, balance.Report{Loads: d.Loads, Progressed: m.Progressed, Stalled: m.Stalled}, now)
	for domain, r := range d.Remote {
		n.recordDomainReport(domain, r)
	}
}

// recordDomainReport records the report of another failure domain.
func (n *Node) recordDomainReport(failureDomain string, r gossip.DomainReport) {
	n.demand.SetRemote(failureDomain, r.Demand, r.ReceivedAt)
	n.board.RecordReport(domainSource+failureDomain, balance.Report{Loads: r.Loads, Remote: true}, r.ReceivedAt)
}

// observeLeases passes on the leases that their holders announced.
func (n *Node) observeLeases(leases []gossip.Lease) {
	for _, l := range leases {
		n.controller.ObserveLease(control.HeldLease{
			Row: lease.Row{
				FabricDomain: l.FailureDomain, Holder: l.Holder, Term: l.Term, Sequence: l.Sequence, Duration: l.Duration,
			},
			Version: l.Version,
		})
	}
}

// unchangedInterval is the time between two reports, or digests, that say the
// same. A few of them may be lost before the sender counts as dead.
const unchangedInterval = 300 * time.Millisecond

// sendReport reports this node's requests in flight to its failure domain once per
// interval, and at once when a head newly stalls or the store becomes unreachable
// or reachable. A collector sends a digest of all reports instead.
func (n *Node) sendReport(context.Context) error {
	now := n.config.Clock.Now()
	n.setCollector(n.peers.Collector(now))
	hasCollector := n.collector != ""
	since := now.Sub(n.lastSent.at)
	report := n.board.LocalReport(n.lastSent.at, now)
	unreachable := n.storeUnreachable()
	due := since >= n.peers.Interval()-reportInterval/2
	urgent := unreachable != n.lastSent.storeUnreachable || slices.ContainsFunc(report.Stalled, func(head string) bool {
		return !slices.Contains(n.lastSent.stalled, head)
	})
	n.sendDigest(report, urgent, now)
	if hasCollector && since < unchangedInterval && len(report.Progressed)+len(report.Loads)+len(n.lastSent.loads) == 0 {
		due = false
	}
	if !due && !urgent && !n.suspects.reports.Urgent() {
		return nil
	}
	n.lastSent = sentReport{at: now, storeUnreachable: unreachable, stalled: report.Stalled, loads: report.Loads}
	receivers := n.peers.ReportReceivers(now)
	if len(receivers) == 0 {
		n.suspects.reports.Clear()
		return nil
	}
	m := n.reportMessage(report)
	m.Evidence = n.evidence(n.suspects.reports, now)
	sequence := n.socket.Send(m, receivers)
	n.reportMu.Lock()
	defer n.reportMu.Unlock()

	n.sentLoads.add(sequence, report.Loads)
	return nil
}

// setCollector sets the collector that this node reports to. The load reports of the
// sources that it no longer uses are dropped when it becomes the collector or ceases
// to be.
func (n *Node) setCollector(name string) {
	if name == n.collector {
		return
	}
	event.CollectorChosen.Log(n.config.Logger, zap.String("collector", name), zap.String("previous", n.collector))
	collected := n.collects()
	n.collector = name
	switch {
	case collected == n.collects():
	case n.collects():
		n.board.DropReports(func(source string) bool { return source == digestSource })
	case name != "":
		n.board.DropReports(func(source string) bool { return strings.HasPrefix(source, nodeSource) })
	}
}

// collects reports whether this node is the collector of its failure domain.
func (n *Node) collects() bool {
	return n.collector == n.config.Settings.Node
}

// sendDigest sends the digest of this node, if any node waits for one: once per
// interval, or at once if it is urgent. report is this node's own.
func (n *Node) sendDigest(report balance.Report, urgent bool, now time.Time) {
	receivers := n.peers.DigestReceivers(now)
	n.reportMu.Lock()
	defer n.reportMu.Unlock()

	if len(receivers) == 0 {
		// A later digest must not pass on what is old by then.
		n.collected.clear()
		n.suspects.digests.Clear()
		return
	}
	since := now.Sub(n.digestSentAt)
	idle := len(n.collected.progressed)+len(n.collected.leases)+len(n.collected.remote)+len(report.Progressed) == 0
	wait := n.peers.Interval() - reportInterval/2
	if idle {
		wait = max(wait, unchangedInterval)
	}
	urgent = urgent || n.collected.urgent || n.suspects.digests.Urgent()
	if since < wait && !urgent {
		return
	}
	n.digestSentAt = now
	m := n.baseMessage()
	m.Leases = n.heldLeases()
	for _, l := range n.collected.leases {
		m.Leases = append(m.Leases, l)
	}
	m.Progressed = appendMissing(report.Progressed, n.collected.progressed)
	m.Stalled = appendMissing(report.Stalled, n.collected.stalled)
	sources := []string{digestSource}
	if n.collects() {
		sources = n.localSources(now)
	}
	m.Digest = n.peers.Digest(n.board.DomainReport(sources, now).Loads, n.demand.Local(), maps.Clone(n.collected.remote), urgent, now)
	n.collected.clear()
	m.Evidence = n.evidence(n.suspects.digests, now)
	n.socket.Send(m, receivers)
}

// appendMissing returns the heads with those of the set that it lacks.
func appendMissing(heads []string, set map[string]bool) []string {
	for head := range set {
		if !slices.Contains(heads, head) {
			heads = append(heads, head)
		}
	}
	return heads
}

// reportMessage returns the message of this node to its failure domain.
func (n *Node) reportMessage(r balance.Report) gossip.Message {
	m := n.baseMessage()
	m.Loads, m.Progressed, m.Stalled = r.Loads, r.Progressed, r.Stalled
	m.Demand = n.demand.Local()
	m.Leases = n.heldLeases()
	return m
}

// heldLeases returns the leases that this node holds, to announce them.
func (n *Node) heldLeases() []gossip.Lease {
	held := n.controller.HeldLeases()
	n.metrics.Leases.Set(float64(len(held)))
	leases := make([]gossip.Lease, 0, len(held))
	for _, l := range held {
		leases = append(leases, gossip.Lease{
			FailureDomain: l.FabricDomain, Holder: l.Holder, Term: l.Term,
			Sequence: l.Sequence, Duration: l.Duration, Version: l.Version,
		})
	}
	return leases
}

// baseMessage returns a message with only the fields that describe the node.
func (n *Node) baseMessage() gossip.Message {
	return gossip.Message{
		Node:             n.config.Settings.Node,
		FailureDomain:    n.config.Settings.FailureDomain,
		Capacity:         n.config.Settings.Cores,
		Leaving:          n.stopping.Load(),
		StoreUnreachable: n.storeUnreachable(),
	}
}

// localSources returns the sources of the reports of the live nodes of this failure
// domain.
func (n *Node) localSources(now time.Time) []string {
	var sources []string
	for _, p := range n.peers.Alive(n.config.Settings.FailureDomain, now) {
		sources = append(sources, nodeSource+p.Node)
	}
	return sources
}

// urgentDomainInterval is the minimum time between two reports to other failure domains.
const urgentDomainInterval = 100 * time.Millisecond

// domainReportDue reports whether it is time for a report to other failure domains: once
// per interval, or soon if there is urgent evidence.
func (n *Node) domainReportDue(now time.Time) bool {
	wait := domainReportInterval
	if n.suspects.domainsUrgent.Load() {
		wait = urgentDomainInterval
	}
	if now.Sub(n.domainReportAt) < wait-reportInterval/2 {
		return false
	}
	n.domainReportAt = now
	n.suspects.domainsUrgent.Store(false)
	return true
}

// sendDomainReport reports the requests in flight and the demand of the whole
// failure domain to the other failure domains when that is due, if this node is its
// reporter.
func (n *Node) sendDomainReport(context.Context) error {
	now := n.config.Clock.Now()
	if !n.domainReportDue(now) {
		return nil
	}
	if !n.peers.IsReporter(now) {
		n.suspects.domains.Clear()
		return nil
	}
	m := n.baseMessage()
	m.DomainLoads = n.board.DomainReport(n.localSources(now), now).Loads
	m.Evidence = n.evidence(n.suspects.domains, now)
	m.DomainDemand = n.demand.DomainTotal(n.peers.Demand(n.config.Settings.FailureDomain, now))
	n.socket.Send(m, n.peers.DomainReportReceivers(now))
	return nil
}
