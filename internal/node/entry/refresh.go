package entry

import (
	"context"
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
	// nodesTable is the table in which nodes find each other.
	nodesTable = "nodes"

	// serversInterval is the least time between two reads of registrations: a
	// fraction of the time in which a leaving server must be left alone.
	serversInterval = 350 * time.Millisecond
	// heardInterval is the least time between two reads at another node; it
	// gathers changes that come close together.
	heardInterval = 60 * time.Millisecond
	// gatherInterval gathers versions that come in quick succession.
	gatherInterval = 40 * time.Millisecond
	// nodesInterval gathers nodes that start together.
	nodesInterval = 400 * time.Millisecond
	// serversWait bounds the wait for a registration to change.
	serversWait = 500 * time.Millisecond
	// configurationWait bounds the wait for a new configuration. A node that
	// hears from another notices after it, a second wait and a call that the
	// other has lost the store, which together must be within the bound on
	// configuration.
	configurationWait = 700 * time.Millisecond
	// nodesWait bounds the wait for a node to come, and how long a call to a
	// store that has gone silent lasts.
	nodesWait = 2 * time.Second

	retryFirst = 150 * time.Millisecond
	retryMax   = time.Second
	// holdMax is how long a node leaves looking out for the store to others. With
	// a call that gets no answer before it and one after it, a configuration must
	// be in force in time though the others never reach the store.
	holdMax = 1500 * time.Millisecond
)

// followers returns the follower of the table of nodes, and those of the other
// tables.
func (n *Node) followers() (*store.Follower, []*store.Follower) {
	base := store.FollowerConfig{
		Clock:        n.config.Clock,
		Feed:         n.feed,
		RetryFirst:   retryFirst,
		RetryMax:     retryMax,
		DeferToPeers: n.hold,
		MaxDeferral:  holdMax,
	}
	servers := base
	servers.Table = n.config.Codec.ServersTable
	servers.Wait = serversWait
	servers.Interval = n.readInterval(servers.Table, serversInterval)
	servers.Replace = func(c platform.Changes) { n.takeServers(c, true) }
	servers.Apply = func(c platform.Changes) { n.takeServers(c, false) }
	servers.OnFailure = func(err error, failures int) {
		n.book.RecordFailure(n.config.Clock.Now())
		n.journal.stepFailed(err, failures)
	}
	configuration := base
	configuration.Table = n.config.Codec.ConfigurationTable
	configuration.Wait = configurationWait
	configuration.Interval = n.readInterval(configuration.Table, gatherInterval)
	configuration.Replace = n.takeConfiguration
	configuration.Apply = n.takeConfiguration
	configuration.OnFailure = n.journal.stepFailed
	nodes := base
	nodes.Table = nodesTable
	nodes.Wait = nodesWait
	nodes.Interval = n.readInterval(nodesTable, nodesInterval)
	known := map[string]gossip.Peer{}
	nodes.Replace = func(c platform.Changes) { clear(known); n.takeNodes(known, c) }
	nodes.Apply = func(c platform.Changes) { n.takeNodes(known, c) }
	nodes.OnFailure = n.journal.stepFailed
	return store.NewFollower(nodes), []*store.Follower{store.NewFollower(servers), store.NewFollower(configuration)}
}

// readInterval returns the least time between two reads: the given one at the
// store, whose calls are few for all, and a short one at another node.
func (n *Node) readInterval(table string, direct time.Duration) func() time.Duration {
	return func() time.Duration {
		if n.feed.Direct(table) {
			return direct
		}
		return min(direct, heardInterval)
	}
}

// takeServers takes in registrations.
func (n *Node) takeServers(c platform.Changes, whole bool) {
	now := n.config.Clock.Now()
	updates := make([]registry.Update, 0, len(c.Rows))
	for _, row := range c.Rows {
		u := registry.Update{ID: row.Key, Version: row.Version}
		if !row.Deleted {
			u.Server = n.config.Codec.DecodeServer(row.Key, row.Value)
		}
		updates = append(updates, u)
	}
	if whole {
		n.book.Replace(updates, c.Version, now)
	} else {
		n.book.Apply(updates, c.Version, now)
	}
	n.refreshHeads()
}

// headsMaxAge is when heads are made anew though no registration changed:
// missing ones come to be believed with time.
const headsMaxAge = 500 * time.Millisecond

// refreshHeads makes the heads from what is known.
func (n *Node) refreshHeads() {
	c := n.configuration.Load()
	if c == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()

	now := n.config.Clock.Now()
	generation := n.book.Generation()
	if generation == n.generation && c.Version == n.version && now.Sub(n.headsAt) < headsMaxAge {
		return
	}
	n.generation, n.version, n.headsAt = generation, c.Version, now
	view := n.book.View(now)
	heads := registry.Heads(view, c.Sizes(), now, returnGrace)
	n.board.SetHeads(heads)
	n.logHeads(heads, view)
}

// logHeads logs how many heads each service and model has, when that changes.
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

// takeConfiguration takes in a configuration. It never goes back to an older
// one.
func (n *Node) takeConfiguration(c platform.Changes) {
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
		n.metrics.Version.Set(float64(next.Version))
		event.ConfigurationInForce.Log(n.config.Logger, zap.Uint64("version", next.Version), zap.Uint64("previous", previous),
			zap.Int("routes", len(next.Routes)), zap.Int("keys", len(next.Workspaces)))
	}
	n.refreshHeads()
}

// takeNodes takes in the rows of other nodes.
func (n *Node) takeNodes(known map[string]gossip.Peer, c platform.Changes) {
	for _, row := range c.Rows {
		if row.Deleted {
			delete(known, row.Key)
			continue
		}
		_, value, err := n.config.Codec.Unwrap(row.Value)
		if err == nil {
			known[row.Key], err = decodePeer(value)
		}
		if err != nil {
			n.journal.stepFailed(err, 1)
		}
	}
	peers := make([]gossip.Peer, 0, len(known))
	for _, p := range known {
		peers = append(peers, p)
	}
	n.members.SetPeers(peers)
	n.budget.SetNodes(n.members.Count())
}

// announce writes this node's row until the store has it.
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
