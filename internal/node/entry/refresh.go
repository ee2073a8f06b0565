package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondbay.example/internal/fleet/registry"
	"almondbay.example/internal/fleet/store"
	"almondbay.example/internal/peer/gossip"
	"almondbay.example/internal/routing/balance"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

const (
	// nodesTable is the table in which nodes register for peer discovery. It also has
	// the evidence against requests that crash servers.
	nodesTable = "nodes"

	// serversInterval is the minimum time between two reads of registrations from
	// the store. It is a fraction of the time within which nodes must stop sending
	// requests to a draining server.
	serversInterval = 350 * time.Millisecond
	// peerReadInterval is the minimum time between two reads from another node. It
	// batches changes that arrive close together.
	peerReadInterval = 60 * time.Millisecond
	// configurationInterval batches configurations in quick succession.
	configurationInterval = 40 * time.Millisecond
	// nodesInterval batches the rows of nodes that start together.
	nodesInterval = 400 * time.Millisecond
	// serversWait limits one long poll for changed registrations.
	serversWait = 500 * time.Millisecond
	// configurationWait limits one long poll for a new configuration. A node that
	// reads from another detects that the other has lost the store after this
	// wait, a second one and a call. Together they must stay within the time in
	// which a configuration has to take effect.
	configurationWait = 700 * time.Millisecond
	// nodesWait limits one long poll for changed nodes, and thereby the duration of
	// a call to a store that does not respond.
	nodesWait = 2 * time.Second

	retryFirst = 150 * time.Millisecond
	retryMax   = time.Second
	// maxDeferral is how long a node lets its peers retry the store in its place.
	// Including one unanswered call before it and one after it, a configuration
	// must take effect in time even if the peers never reach the store.
	maxDeferral = 1500 * time.Millisecond
)

// followers returns the follower of the nodes table, and those of the other
// tables.
func (n *Node) followers() (*store.Follower, []*store.Follower) {
	base := store.FollowerConfig{
		Clock:        n.config.Clock,
		Feed:         n.feed,
		RetryFirst:   retryFirst,
		RetryMax:     retryMax,
		DeferToPeers: n.deferToPeers,
		MaxDeferral:  maxDeferral,
	}
	servers := base
	servers.Table = n.config.Codec.ServersTable
	servers.Wait = serversWait
	servers.Interval = n.readInterval(servers.Table, serversInterval)
	servers.Replace = n.replaceServers
	servers.Apply = func(c platform.Changes) { n.applyServers(c, false) }
	servers.OnFailure = func(err error, failures int) {
		n.registrations.RecordFailure(n.config.Clock.Now())
		n.eventLog.stepFailed(err, failures)
	}
	configuration := base
	configuration.Table = n.config.Codec.ConfigurationTable
	configuration.Wait = configurationWait
	configuration.Interval = n.readInterval(configuration.Table, configurationInterval)
	configuration.Replace = func(c platform.Changes) {
		n.observeEra(configuration.Table, c)
		n.applyConfiguration(c)
	}
	configuration.Apply = n.applyConfiguration
	configuration.OnFailure = n.eventLog.stepFailed
	nodes := base
	nodes.Table = nodesTable
	nodes.Wait = nodesWait
	nodes.Interval = n.readInterval(nodesTable, nodesInterval)
	known := map[string]gossip.Peer{}
	nodes.Replace = func(c platform.Changes) { n.replaceNodes(known, c) }
	nodes.Apply = func(c platform.Changes) { n.applyNodes(known, c) }
	nodes.OnFailure = n.eventLog.stepFailed
	return store.NewFollower(nodes), []*store.Follower{store.NewFollower(servers), store.NewFollower(configuration)}
}

// readInterval returns the minimum time between two reads of a table: the given
// one at the store, whose call rate all nodes share, and at most
// peerReadInterval at another node.
func (n *Node) readInterval(table string, direct time.Duration) func() time.Duration {
	return func() time.Duration {
		if n.feed.Direct(table) {
			return direct
		}
		return min(direct, peerReadInterval)
	}
}

// replaceServers applies the whole table of registrations.
func (n *Node) replaceServers(c platform.Changes) {
	if n.observeEra(n.config.Codec.ServersTable, c) {
		// Servers whose rows the copy lacks will write them again, as after an outage.
		n.registrations.RecordFailure(n.config.Clock.Now())
	}
	n.applyServers(c, true)
}

// applyServers applies registrations; full marks a snapshot of the whole table.
func (n *Node) applyServers(c platform.Changes, full bool) {
	now := n.config.Clock.Now()
	updates := make([]registry.Update, 0, len(c.Rows))
	for _, row := range c.Rows {
		u := registry.Update{ID: row.Key, Version: row.Version}
		switch {
		case !row.Deleted:
			u.Server = n.config.Codec.DecodeServer(row.Key, row.Value)
		case row.Value != nil:
			u.Last = n.config.Codec.DecodeServer(row.Key, row.Value)
		}
		updates = append(updates, u)
	}
	apply := n.registrations.Apply
	if full {
		apply = n.registrations.Replace
	}
	for _, late := range apply(updates, c.Version, now) {
		event.LateReportIgnored.Log(n.config.Logger, zap.String("server", late.Known.ID), zap.Int64("incarnation", late.Late.Incarnation),
			zap.Uint64("sequence", late.Late.Sequence), zap.Int64("knownIncarnation", late.Known.Incarnation),
			zap.Uint64("knownSequence", late.Known.Sequence), zap.Bool("missing", late.Missing))
	}
	n.refreshHeads()
}

// headsMaxAge is the age at which the heads are rebuilt even if no registration
// changed: a missing registration counts as gone only after a grace period.
const headsMaxAge = 500 * time.Millisecond

// refreshHeads rebuilds the heads if the registrations or the configuration
// changed, or the heads are older than headsMaxAge.
func (n *Node) refreshHeads() {
	c := n.configuration.Load()
	if c == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()

	now := n.config.Clock.Now()
	if !n.registrations.ReadAt().IsZero() {
		// Set on return, when the heads include the registrations.
		defer n.headsKnown.Store(true)
	}
	generation := n.registrations.Generation()
	if generation == n.headsGeneration && c.Version == n.headsVersion && now.Sub(n.headsBuiltAt) < headsMaxAge {
		return
	}
	n.headsGeneration, n.headsVersion, n.headsBuiltAt = generation, c.Version, now
	view := n.registrations.View(now)
	n.losses.SetGroups(view, now)
	heads := registry.Heads(view, c.Sizes(), now, returnGrace)
	if slices.Equal(heads, n.lastHeads) {
		return
	}
	n.lastHeads = heads
	n.board.SetHeads(heads)
	n.logHeads(heads, view)
}

// logHeads logs each change in the number of heads of a service and model.
func (n *Node) logHeads(heads []registry.Head, view registry.View) {
	counts := map[balance.Key]int{}
	for k := range n.heads {
		counts[k] = 0
	}
	for _, h := range heads {
		counts[balance.Key{Service: h.Service, Model: h.Model}]++
	}
	for k, count := range counts {
		if n.heads[k] == count {
			continue
		}
		n.metrics.Heads.WithLabelValues(k.Service, k.Model).Set(float64(count))
		event.HeadsChanged.Log(n.config.Logger, zap.String("service", k.Service), zap.String("model", k.Model),
			zap.Int("heads", count), zap.Uint64("registryVersion", view.Version), zap.Bool("steady", view.StoreStable))
	}
	n.heads = counts
}

// applyConfiguration puts a configuration in force unless a newer one already is.
func (n *Node) applyConfiguration(c platform.Changes) {
	for _, row := range c.Rows {
		if row.Key != n.config.Codec.ConfigurationKey || row.Deleted {
			continue
		}
		next, err := n.config.Codec.DecodeConfiguration(row.Value)
		if err != nil {
			event.ConfigurationUnreadable.Log(n.config.Logger, zap.Error(err))
			continue
		}
		var previous uint64
		if current := n.configuration.Load(); current != nil {
			previous = current.Version
		}
		if next.Version <= previous {
			continue
		}
		n.configuration.Store(next)
		n.metrics.ConfigurationVersion.Set(float64(next.Version))
		event.ConfigurationInForce.Log(n.config.Logger, zap.Uint64("version", next.Version), zap.Uint64("previous", previous),
			zap.Int("routes", len(next.Routes)), zap.Int("keys", len(next.Workspaces)))
	}
	n.refreshHeads()
}

// replaceNodes applies the whole table of nodes to known.
func (n *Node) replaceNodes(known map[string]gossip.Peer, c platform.Changes) {
	if n.observeEra(nodesTable, c) {
		n.rewriteRows()
	} else {
		clear(known)
	}
	n.suspects.keepRows(c)
	n.applyNodes(known, c)
}

// applyNodes applies changed rows of nodes to known and updates the peers.
func (n *Node) applyNodes(known map[string]gossip.Peer, c platform.Changes) {
	for _, row := range c.Rows {
		if strings.HasPrefix(row.Key, quarantinePrefix) {
			if err := n.applySuspect(row); err != nil {
				n.eventLog.stepFailed(err, 1)
			}
			continue
		}
		if row.Deleted {
			delete(known, row.Key)
			continue
		}
		_, value, err := n.config.Codec.Unwrap(row.Value)
		if err == nil {
			known[row.Key], err = decodePeer(value)
		}
		if err != nil {
			n.eventLog.stepFailed(err, 1)
		}
	}
	peers := make([]gossip.Peer, 0, len(known))
	for _, p := range known {
		peers = append(peers, p)
	}
	n.peers.SetPeers(peers)
	n.budget.SetNodes(n.peers.Count())
}

// announce writes this node's row.
func (n *Node) announce(ctx context.Context) error {
	s := n.config.Settings
	value, err := encodePeer(n.self())
	if err != nil {
		return err
	}
	return n.config.Store.Commit(ctx, platform.Transaction{
		Operation: n.operation("announce"),
		Writes:    []platform.Write{{Key: nodesTable + "//" + s.Node, Value: value}},
	})
}
