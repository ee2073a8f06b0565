package caller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/platform"
)

// Peers is the other nodes, as far as requests that crash backend servers are
// concerned.
type Peers interface {
	// Announce tells evidence to the other nodes. It returns once those that
	// can be reached have it, or when ctx is done.
	Announce(ctx context.Context, c attempt.Evidence)
	// Grant asks the owner of a group to grant it to a suspect. It reports
	// true also when the owner cannot be reached.
	Grant(ctx context.Context, group string, f attempt.Fingerprint) bool
	// Release ends a grant.
	Release(ctx context.Context, group string, f attempt.Fingerprint)
}

const (
	// announceTimeout bounds the time that news of a crash hold up an answer.
	announceTimeout = time.Second
	// maxAnnouncements bounds the messages to peers that nobody waits for.
	maxAnnouncements = 64
	// grantTimeout bounds one question to the owner of a group.
	grantTimeout = 500 * time.Millisecond
	// grantTime is how long a group is granted to a suspect at most.
	grantTime = 10 * time.Minute
	// quarantinePrefix starts the keys of the rows of quarantined requests.
	quarantinePrefix = "quarantine/"
)

// suspects keeps apart, judges and announces requests that were in flight when
// backend servers crashed.
type suspects struct {
	disabled   bool
	quarantine *attempt.Quarantine
	flights    *attempt.InFlight
	// trials holds the grants that this node owns.
	trials   *attempt.SuspectGrants
	peers    Peers
	table    platform.Table
	announce errgroup.Group

	mu sync.Mutex
	// loaded holds what was read of each row. The age of evidence counts from
	// when its version was first read.
	loaded map[string]loadedRow
}

type loadedRow struct {
	version uint64
	at      time.Time
}

func newSuspects(c Config) *suspects {
	q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
	s := &suspects{
		disabled:   c.NoQuarantine,
		quarantine: q,
		flights:    attempt.NewInFlight(q),
		trials:     attempt.NewSuspectGrants(),
		peers:      c.Peers,
		table:      c.Table,
		loaded:     make(map[string]loadedRow),
	}
	s.announce.SetLimit(maxAnnouncements)
	return s
}

func (s *suspects) standing(f attempt.Fingerprint, now time.Time) attempt.QuarantineStatus {
	if s.disabled {
		return attempt.StatusClear
	}
	return s.quarantine.Status(f, now)
}

// enter takes the group for a request and returns how to give it back. It
// returns nil when a suspect must not run there now.
func (s *suspects) enter(ctx context.Context, group string, f attempt.Fingerprint, now time.Time) func() {
	if s.disabled {
		return func() {}
	}
	if s.quarantine.Status(f, now) != attempt.StatusSuspect {
		if !s.flights.Admit(group, f, now) {
			return nil
		}
		return func() { s.flights.Done(group, f) }
	}
	if !s.grant(ctx, group, f, now) {
		return nil
	}
	if !s.flights.Admit(group, f, now) {
		s.release(ctx, group, f)
		return nil
	}
	return func() {
		s.flights.Done(group, f)
		s.release(ctx, group, f)
	}
}

func (s *suspects) grant(ctx context.Context, group string, f attempt.Fingerprint, now time.Time) bool {
	if s.peers != nil {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		return s.peers.Grant(ctx, group, f)
	}
	return s.trials.Grant(group, f, now, grantTime)
}

func (s *suspects) release(ctx context.Context, group string, f attempt.Fingerprint) {
	if s.peers == nil {
		s.trials.Release(group, f)
		return
	}
	ctx = context.WithoutCancel(ctx)
	// Nobody waits for this. A grant that is not released ends by itself.
	s.announce.TryGo(func() error {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		s.peers.Release(ctx, group, f)
		return nil
	})
}

// strike notes that a request was in flight during a crash. The other nodes
// know of a quarantine before strike returns, so that the caller, who is told
// after that, cannot have the request run at another node.
func (s *suspects) strike(ctx context.Context, f attempt.Fingerprint, c attempt.Crash, now time.Time) {
	if s.disabled {
		return
	}
	standing := s.quarantine.RecordCrash(f, c, now)
	evidence := s.quarantine.Evidence(f, now)
	ctx = context.WithoutCancel(ctx)
	if standing == attempt.StatusQuarantined {
		s.tell(ctx, evidence, true)
		return
	}
	s.announce.TryGo(func() error {
		s.tell(ctx, evidence, false)
		return nil
	})
}

func (s *suspects) tell(ctx context.Context, c attempt.Evidence, quarantined bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	var g errgroup.Group
	if s.peers != nil {
		g.Go(func() error {
			s.peers.Announce(ctx, c)
			return nil
		})
	}
	if quarantined && s.table != nil {
		g.Go(func() error { return s.save(ctx, c) })
	}
	_ = g.Wait() // The table is the second way; peers repeat the news.
}

// save writes the row of a quarantined request, over an older one.
func (s *suspects) save(ctx context.Context, c attempt.Evidence) error {
	value, err := attempt.EncodeEvidence(c)
	if err != nil {
		return Error.Wrap(err)
	}
	key := quarantinePrefix + c.Fingerprint.String()
	row, err := s.table.Read(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(s.table.Commit(ctx, platform.Transaction{
		Operation:  newOperation(),
		Conditions: []platform.Condition{{Key: key, Version: row.Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}))
}

// MergeEvidence takes in evidence from another node.
func (g *Gateway) MergeEvidence(c attempt.Evidence) {
	g.suspects.quarantine.Merge(c, g.clock.Now())
}

// Grant grants a group that this node owns to a suspect.
func (g *Gateway) Grant(group string, f attempt.Fingerprint) bool {
	return g.suspects.trials.Grant(group, f, g.clock.Now(), grantTime)
}

// Release ends a grant of this node.
func (g *Gateway) Release(group string, f attempt.Fingerprint) {
	g.suspects.trials.Release(group, f)
}

// LoadQuarantine reads the rows of quarantined requests. It is to be called
// when the node starts and every few seconds.
func (g *Gateway) LoadQuarantine(ctx context.Context) error {
	rows, err := g.suspects.table.Range(ctx, quarantinePrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	now := g.clock.Now()
	for _, r := range rows {
		if !g.suspects.isNew(r, now) {
			g.suspects.dropOld(ctx, r, now)
			continue
		}
		c, err := attempt.DecodeEvidence(r.Value)
		if err != nil {
			continue
		}
		g.suspects.quarantine.Merge(c, now)
	}
	return nil
}

func (s *suspects) isNew(r platform.Row, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.loaded[r.Key].version == r.Version {
		return false
	}
	s.loaded[r.Key] = loadedRow{version: r.Version, at: now}
	return true
}

// dropOld deletes a row whose quarantine has ended. Any node may do so; a row
// written anew in the meantime stays.
func (s *suspects) dropOld(ctx context.Context, r platform.Row, now time.Time) {
	s.mu.Lock()
	at := s.loaded[r.Key].at
	s.mu.Unlock()
	if now.Sub(at) <= attempt.DefaultQuarantineConfig().QuarantineTTL {
		return
	}
	err := s.table.Commit(ctx, platform.Transaction{
		Operation:  newOperation(),
		Conditions: []platform.Condition{{Key: r.Key, Version: r.Version}},
		Writes:     []platform.Write{{Key: r.Key, Delete: true}},
	})
	if err != nil {
		return // The next read tries again.
	}
	s.mu.Lock()
	delete(s.loaded, r.Key)
	s.mu.Unlock()
}
