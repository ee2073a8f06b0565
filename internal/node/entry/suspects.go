package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/serving/event"
	"almondbay.example/serving/platform"
)

const (
	// maxCrashes is the number of servers that may end under one request.
	maxCrashes = 3
	// savedCrashes is the number of crashes from which evidence is written to the
	// store: nodes that can't reach each other may know of the others.
	savedCrashes = 2
	// observationTTL and quarantineTTL are how long evidence counts that does not
	// suffice for a quarantine, and that does.
	observationTTL = 10 * time.Minute
	quarantineTTL  = time.Hour
	// completionGrace is some times the time between two requests with the same
	// content, where these are frequent.
	completionGrace = 10 * time.Second
	// maxSuspects bounds the requests with evidence in each of 64 shards.
	maxSuspects = 256
	// maxRecentAnswers exceeds the answers of a node in half of completionGrace.
	maxRecentAnswers = 4096
	// evidenceRepeats is the number of messages that tell news, so that the loss of
	// two in a row is tolerated.
	evidenceRepeats = 3
	// maxMessageEvidence bounds the size of a message: evidence of one request takes
	// about 300 bytes.
	maxMessageEvidence = 16
	// unsavedDelay gives the nodes that contributed to evidence time to write it.
	unsavedDelay = 600 * time.Millisecond
	// suspectsInterval is the time between two writes of evidence.
	suspectsInterval = 250 * time.Millisecond
	// expireInterval is the time between two removals of old evidence.
	expireInterval = 10 * time.Second
	// quarantinePrefix starts the keys of the rows with evidence in the nodes table,
	// which every node follows anyway.
	quarantinePrefix = "quarantine/"
)

// suspects is what this node knows of requests that crash servers, and what it has
// yet to tell of it.
type suspects struct {
	guard *quarantine.Guard
	// reports holds what to tell the nodes of the failure domain, digests what to
	// pass on to them as the collector, domains what to tell other failure domains.
	reports, digests, domains *quarantine.Outbox

	mu sync.Mutex
	// contributed holds the requests that this node found out something about itself.
	contributed map[attempt.Fingerprint]bool
	// changed holds those of them with new evidence since the last write.
	changed map[attempt.Fingerprint]bool
	// unsaved holds the quarantined requests that only peers contributed to, with the
	// time at which this node writes the evidence if none of them has.
	unsaved map[attempt.Fingerprint]time.Time
	// own holds the requests that this node wrote a row for, with the number of
	// crashes in it.
	own map[attempt.Fingerprint]int
	// rows holds when this node first read each row with evidence.
	rows map[string]time.Time
	// quarantined holds the requests that were logged as quarantined.
	quarantined map[attempt.Fingerprint]bool
	expiredAt   time.Time
}

func newSuspects() *suspects {
	return &suspects{
		guard: quarantine.NewGuard(quarantine.GuardConfig{
			Quarantine: attempt.QuarantineConfig{
				ObservationTTL: observationTTL, QuarantineTTL: quarantineTTL, MaxCrashes: maxCrashes,
				CompletionGrace: completionGrace, MaxRequests: maxSuspects,
			},
			MaxRecent: maxRecentAnswers,
		}),
		reports:     quarantine.NewOutbox(evidenceRepeats),
		digests:     quarantine.NewOutbox(evidenceRepeats),
		domains:     quarantine.NewOutbox(evidenceRepeats),
		contributed: map[attempt.Fingerprint]bool{},
		changed:     map[attempt.Fingerprint]bool{},
		unsaved:     map[attempt.Fingerprint]time.Time{},
		own:         map[attempt.Fingerprint]int{},
		rows:        map[string]time.Time{},
		quarantined: map[attempt.Fingerprint]bool{},
	}
}

// Sources of evidence, for logs.
const (
	sourceOwn   = "own"
	sourcePeer  = "peer"
	sourceStore = "store"
)

// recordAnswer records that a server answered a request.
func (n *Node) recordAnswer(c *quarantine.Content) {
	now := n.config.Clock.Now()
	if e, news := n.suspects.guard.RecordAnswer(c, now); news {
		n.noteEvidence(e.Fingerprint, sourceOwn, now)
		n.tellAll(e.Fingerprint)
	}
}

// tellAll puts what this node found out itself into all messages.
func (n *Node) tellAll(f attempt.Fingerprint) {
	n.suspects.reports.Add(f)
	n.suspects.digests.Add(f)
	n.suspects.domains.Add(f)
}

// mergeEvidence records the evidence of another node. What a node of this failure
// domain told is passed on to the others, and what others told to this one; only
// nodes that send such messages do so.
func (n *Node) mergeEvidence(all []quarantine.Evidence, local bool, now time.Time) {
	for _, e := range all {
		if !n.suspects.guard.Merge(e, now) {
			continue
		}
		n.noteEvidence(e.Fingerprint, sourcePeer, now)
		n.suspects.digests.Add(e.Fingerprint)
		if local {
			n.suspects.domains.Add(e.Fingerprint)
		}
	}
}

// evidence returns what the next message tells of an outbox.
func (n *Node) evidence(o *quarantine.Outbox, now time.Time) []quarantine.Evidence {
	var all []quarantine.Evidence
	for _, f := range o.Take(maxMessageEvidence) {
		all = append(all, n.suspects.guard.Evidence(f, now))
	}
	return all
}

// noteEvidence logs the changed status of a request, and marks its evidence to be
// written if this node contributed to it.
func (n *Node) noteEvidence(f attempt.Fingerprint, source string, now time.Time) {
	s := n.suspects
	quarantined, _ := s.guard.Verdict(f, now)
	s.mu.Lock()
	if source == sourceOwn {
		s.contributed[f] = true
	}
	if s.contributed[f] {
		s.changed[f] = true
	}
	was := s.quarantined[f]
	if quarantined && !was && source == sourcePeer {
		s.unsaved[f] = now.Add(unsavedDelay + rand.N(unsavedDelay))
	}
	if quarantined {
		s.quarantined[f] = true
	} else {
		delete(s.quarantined, f)
	}
	s.mu.Unlock()
	switch {
	case quarantined && !was:
		// Told on whoever it came from: the nodes that found it out may not reach all.
		n.tellAll(f)
		event.RequestQuarantined.Log(n.config.Logger, zap.String("fingerprint", quarantine.Short(f)),
			zap.String("source", source), zap.String("crashes", formatCrashes(s.guard.Evidence(f, now))))
	case was && !quarantined:
		event.QuarantineWithdrawn.Log(n.config.Logger, zap.String("fingerprint", quarantine.Short(f)), zap.String("source", source))
	}
}

// formatCrashes lists the crashes in evidence with their ages.
func formatCrashes(e quarantine.Evidence) string {
	var shown []string
	for _, obs := range e.Observations {
		shown = append(shown, obs.Crash.Group+" age="+obs.Age.Round(time.Millisecond).String())
	}
	return strings.Join(shown, "; ")
}

// saveSuspects writes the evidence that this node contributed to, so that it reaches
// nodes that hear nothing of this one, and those that start later. It deletes rows
// whose evidence no longer counts.
func (n *Node) saveSuspects(ctx context.Context) error {
	now := n.config.Clock.Now()
	n.expireSuspects(now)
	if n.storeUnreachable() {
		return nil
	}
	s := n.suspects
	s.mu.Lock()
	for f, at := range s.unsaved {
		if now.Before(at) {
			continue
		}
		delete(s.unsaved, f)
		if len(s.rowsOf(f)) == 0 {
			s.changed[f] = true
		}
	}
	due := slices.Collect(maps.Keys(s.changed))
	s.mu.Unlock()
	for _, f := range due {
		if err := n.saveSuspect(ctx, f, now); err != nil {
			return err
		}
	}
	return n.deleteOldRows(ctx, now)
}

// expireSuspects forgets old evidence and has the rows of this node about it deleted.
func (n *Node) expireSuspects(now time.Time) {
	s := n.suspects
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	s.guard.Expire(now)
	_, quarantined := s.guard.Count(now)
	n.metrics.Quarantined.Set(float64(quarantined))
	s.mu.Lock()
	defer s.mu.Unlock()

	for f := range s.contributed {
		if _, suspected := s.guard.Verdict(f, now); suspected {
			continue
		}
		delete(s.contributed, f)
		if _, ok := s.own[f]; ok {
			s.changed[f] = true
		}
	}
	maps.DeleteFunc(s.quarantined, func(f attempt.Fingerprint, _ bool) bool {
		quarantined, _ := s.guard.Verdict(f, now)
		return !quarantined
	})
}

// saveSuspect writes the row of this node about one request, or deletes all rows
// about it if nothing counts against it.
func (n *Node) saveSuspect(ctx context.Context, f attempt.Fingerprint, now time.Time) error {
	s := n.suspects
	e := s.guard.Evidence(f, now)
	key := rowPrefix(f) + n.config.Settings.Node
	s.mu.Lock()
	written, ok := s.own[f]
	rows := s.rowsOf(f)
	s.mu.Unlock()
	switch {
	case len(e.Observations) == 0:
		if ok && !slices.Contains(rows, key) {
			rows = append(rows, key)
		}
		if err := n.deleteSuspectRows(ctx, rows); err != nil {
			return err
		}
	case len(e.Observations) >= savedCrashes && (!ok || len(e.Observations) > written):
		value, err := quarantine.EncodeEvidence(e)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := n.commitSuspect(ctx, platform.Write{Key: nodesTable + "//" + key, Value: value}); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.changed, f)
	switch {
	case len(e.Observations) == 0:
		delete(s.own, f)
	case len(e.Observations) >= savedCrashes:
		s.own[f] = len(e.Observations)
	}
	return nil
}

// rowPrefix returns the start of the keys of the rows about a request, which end in
// the name of the node that wrote them.
func rowPrefix(f attempt.Fingerprint) string {
	return quarantinePrefix + f.String() + "/"
}

// rowsOf returns the keys of the known rows about a request. It is called with mu held.
func (s *suspects) rowsOf(f attempt.Fingerprint) []string {
	var rows []string
	for row := range s.rows {
		if strings.HasPrefix(row, rowPrefix(f)) {
			rows = append(rows, row)
		}
	}
	return rows
}

// commitSuspect writes or deletes rows with evidence.
func (n *Node) commitSuspect(ctx context.Context, writes ...platform.Write) error {
	return Error.Wrap(n.config.Store.Commit(ctx, platform.Transaction{Operation: n.operation("quarantine"), Writes: writes}))
}

// deleteSuspectRows deletes rows with evidence, in several transactions if there are
// many.
func (n *Node) deleteSuspectRows(ctx context.Context, keys []string) error {
	slices.Sort(keys)
	for part := range slices.Chunk(keys, maxRowsDeleted) {
		var writes []platform.Write
		for _, key := range part {
			writes = append(writes, platform.Write{Key: nodesTable + "//" + key, Delete: true})
		}
		if err := n.commitSuspect(ctx, writes...); err != nil {
			return err
		}
		n.suspects.mu.Lock()
		for _, key := range part {
			delete(n.suspects.rows, key)
		}
		n.suspects.mu.Unlock()
	}
	return nil
}

// maxRowsDeleted is below the number of entries that the store takes in one
// transaction.
const maxRowsDeleted = 50

// deleteOldRows deletes the rows that this node has known for longer than a
// quarantine lasts: the node that wrote them may be gone.
func (n *Node) deleteOldRows(ctx context.Context, now time.Time) error {
	s := n.suspects
	s.mu.Lock()
	var old []string
	for key, at := range s.rows {
		if now.Sub(at) > quarantineTTL {
			old = append(old, key)
		}
	}
	s.mu.Unlock()
	return n.deleteSuspectRows(ctx, old)
}

// applySuspect applies a changed row with evidence.
func (n *Node) applySuspect(row platform.Change) error {
	s := n.suspects
	now := n.config.Clock.Now()
	s.mu.Lock()
	_, known := s.rows[row.Key]
	switch {
	case row.Deleted:
		delete(s.rows, row.Key)
	case !known:
		s.rows[row.Key] = now
	}
	s.mu.Unlock()
	if row.Deleted {
		return n.withdraw(row.Key, now)
	}
	_, value, err := n.config.Codec.Unwrap(row.Value)
	if err != nil {
		return Error.Wrap(err)
	}
	e, err := quarantine.DecodeEvidence(value)
	if err != nil {
		return Error.Wrap(err)
	}
	if s.guard.Merge(e, now) {
		n.noteEvidence(e.Fingerprint, sourceStore, now)
	}
	return nil
}

// withdraw takes back the evidence of a row that was deleted.
func (n *Node) withdraw(key string, now time.Time) error {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, quarantinePrefix), "/")
	f, err := attempt.ParseFingerprint(text)
	if err != nil {
		return Error.New("key %q: %w", key, err)
	}
	if n.suspects.guard.Withdraw(f, now) {
		n.noteEvidence(f, sourceStore, now)
	}
	return nil
}
