package caller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/platform"
)

// Peers exchanges crash evidence and suspect grants with the other nodes.
type Peers interface {
	// Announce sends evidence to the other nodes. It returns once all reachable
	// nodes have received it or when ctx is done.
	Announce(ctx context.Context, e attempt.Evidence)
	// Grant requests exclusive use of a group for a suspect request from the
	// owner of the group. It also returns true when the owner is unreachable.
	Grant(ctx context.Context, group string, f attempt.Fingerprint) bool
	// Release ends a grant.
	Release(ctx context.Context, group string, f attempt.Fingerprint)
}

const (
	// announceTimeout bounds the time that the announcement of a crash delays
	// an answer.
	announceTimeout = time.Second
	// maxAnnouncements bounds the messages to peers that are sent in the
	// background.
	maxAnnouncements = 64
	// grantTimeout bounds one request to the owner of a group.
	grantTimeout = 500 * time.Millisecond
	// maxGrantTime is the time after which a grant expires.
	maxGrantTime = 10 * time.Minute
	// quarantinePrefix is the key prefix of the rows of quarantined requests.
	quarantinePrefix = "quarantine/"
)

// suspects tracks requests that were in flight when backend servers crashed. It
// separates them from other suspects, quarantines them and announces the
// evidence.
type suspects struct {
	disabled   bool
	quarantine *attempt.Quarantine
	inFlight   *attempt.InFlight
	// grants holds the grants for the groups that this node owns.
	grants     *attempt.SuspectGrants
	peers      Peers
	table      platform.Table
	background errgroup.Group

	mu sync.Mutex
	// loaded holds the version last read of each row and when it was first
	// read, from which the age of the evidence is computed.
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
		inFlight:   attempt.NewInFlight(q),
		grants:     attempt.NewSuspectGrants(),
		peers:      c.Peers,
		table:      c.Table,
		loaded:     make(map[string]loadedRow),
	}
	s.background.SetLimit(maxAnnouncements)
	return s
}

func (s *suspects) status(f attempt.Fingerprint, now time.Time) attempt.QuarantineStatus {
	if s.disabled {
		return attempt.StatusClear
	}
	return s.quarantine.Status(f, now)
}

// admit admits a request to a group and returns a function that releases the
// group. It returns nil when the request must not run there now.
func (s *suspects) admit(ctx context.Context, group string, f attempt.Fingerprint, now time.Time) func() {
	if s.disabled {
		return func() {}
	}
	if s.quarantine.Status(f, now) != attempt.StatusSuspect {
		if !s.inFlight.Admit(group, f, now) {
			return nil
		}
		return func() { s.inFlight.Done(group, f) }
	}
	if !s.grant(ctx, group, f, now) {
		return nil
	}
	if !s.inFlight.Admit(group, f, now) {
		s.release(ctx, group, f)
		return nil
	}
	return func() {
		s.inFlight.Done(group, f)
		s.release(ctx, group, f)
	}
}

func (s *suspects) grant(ctx context.Context, group string, f attempt.Fingerprint, now time.Time) bool {
	if s.peers != nil {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		return s.peers.Grant(ctx, group, f)
	}
	return s.grants.Grant(group, f, now, maxGrantTime)
}

func (s *suspects) release(ctx context.Context, group string, f attempt.Fingerprint) {
	if s.peers == nil {
		s.grants.Release(group, f)
		return
	}
	ctx = context.WithoutCancel(ctx)
	// Done in the background: a grant that is not released expires.
	s.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		s.peers.Release(ctx, group, f)
		return nil
	})
}

// recordCrash records that a request was in flight during a crash. If this
// quarantines the request, the other nodes are notified before recordCrash
// returns, so that the caller, which receives the answer afterwards, cannot run
// the request on another node.
func (s *suspects) recordCrash(ctx context.Context, f attempt.Fingerprint, c attempt.Crash, now time.Time) {
	if s.disabled {
		return
	}
	status := s.quarantine.RecordCrash(f, c, now)
	evidence := s.quarantine.Evidence(f, now)
	ctx = context.WithoutCancel(ctx)
	if status == attempt.StatusQuarantined {
		s.announceEvidence(ctx, evidence, true)
		return
	}
	s.background.TryGo(func() error {
		s.announceEvidence(ctx, evidence, false)
		return nil
	})
}

func (s *suspects) announceEvidence(ctx context.Context, e attempt.Evidence, quarantined bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	var g errgroup.Group
	if s.peers != nil {
		g.Go(func() error {
			s.peers.Announce(ctx, e)
			return nil
		})
	}
	if quarantined && s.table != nil {
		g.Go(func() error { return s.saveEvidence(ctx, e) })
	}
	_ = g.Wait() // Either path suffices: peers relay the evidence, and nodes poll the table.
}

// saveEvidence writes the row of a quarantined request, replacing an older one.
func (s *suspects) saveEvidence(ctx context.Context, e attempt.Evidence) error {
	value, err := attempt.EncodeEvidence(e)
	if err != nil {
		return Error.Wrap(err)
	}
	key := quarantinePrefix + e.Fingerprint.String()
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

// MergeEvidence merges evidence received from another node.
func (g *Gateway) MergeEvidence(e attempt.Evidence) {
	g.suspects.quarantine.Merge(e, g.clock.Now())
}

// Grant grants a group that this node owns to a suspect request.
func (g *Gateway) Grant(group string, f attempt.Fingerprint) bool {
	return g.suspects.grants.Grant(group, f, g.clock.Now(), maxGrantTime)
}

// Release ends a grant of this node.
func (g *Gateway) Release(group string, f attempt.Fingerprint) {
	g.suspects.grants.Release(group, f)
}

// LoadQuarantine reads the rows of quarantined requests. It must be called when
// the node starts and then every few seconds.
func (g *Gateway) LoadQuarantine(ctx context.Context) error {
	rows, err := g.suspects.table.Range(ctx, quarantinePrefix)
	if err != nil {
		return Error.Wrap(err)
	}
	now := g.clock.Now()
	for _, r := range rows {
		if !g.suspects.markLoaded(r, now) {
			g.suspects.deleteExpired(ctx, r, now)
			continue
		}
		e, err := attempt.DecodeEvidence(r.Value)
		if err != nil {
			continue
		}
		g.suspects.quarantine.Merge(e, now)
	}
	return nil
}

func (s *suspects) markLoaded(r platform.Row, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.loaded[r.Key].version == r.Version {
		return false
	}
	s.loaded[r.Key] = loadedRow{version: r.Version, at: now}
	return true
}

// deleteExpired deletes a row whose quarantine has expired. Any node may delete
// it; the version condition protects a row that was rewritten meanwhile.
func (s *suspects) deleteExpired(ctx context.Context, r platform.Row, now time.Time) {
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
		return // The next LoadQuarantine retries.
	}
	s.mu.Lock()
	delete(s.loaded, r.Key)
	s.mu.Unlock()
}
