package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/serving/platform"
)

// saveSuspects writes the evidence that this node contributed to, so that it reaches
// nodes that hear nothing of this one, and those that start later. It deletes rows
// whose evidence no longer counts.
func (n *Node) saveSuspects(ctx context.Context) error {
	now := n.config.Clock.Now()
	n.expireSuspects(now)
	n.reviewParts(now)
	if n.storeUnreachable() {
		return nil
	}
	s := n.suspects
	s.mu.Lock()
	s.review(now)
	due := s.changed
	s.changed = map[attempt.Fingerprint]bool{}
	s.mu.Unlock()
	n.postpone(due, now)
	var failed error
	for i, f := range n.byCrashes(due, now) {
		if failed == nil && i < maxRowsSaved {
			failed = n.saveSuspect(ctx, f, now)
		}
		if failed != nil || i >= maxRowsSaved {
			// This and the rest are left for the next step.
			s.mu.Lock()
			s.changed[f] = true
			s.mu.Unlock()
		}
	}
	if failed != nil {
		return failed
	}
	return n.deleteOldRows(ctx, now)
}

// review marks the evidence to be written that no row has although it is due, and that whose
// rows an answer refutes, so that they are deleted. It is called with mu held.
func (s *suspects) review(now time.Time) {
	for f, at := range s.reviews {
		if now.Before(at) {
			continue
		}
		delete(s.reviews, f)
		known, written := s.guard.Verdict(f, now).Suspected, len(s.rowsOf(f)) > 0
		if known != written {
			s.changed[f] = true
		}
	}
}

// maxRowsSaved bounds the rows that this node writes in one step, so that a prompt of many
// parts doesn't take the writes of all nodes.
const maxRowsSaved = 32

// byCrashes returns marks in descending order of the crashes that count against them.
func (n *Node) byCrashes(marks map[attempt.Fingerprint]bool, now time.Time) []attempt.Fingerprint {
	crashes := make(map[attempt.Fingerprint]int, len(marks))
	for f := range marks {
		crashes[f] = len(n.suspects.guard.Evidence(f, now).Observations)
	}
	return slices.SortedFunc(maps.Keys(marks), func(a, b attempt.Fingerprint) int { return cmp.Compare(crashes[b], crashes[a]) })
}

// postpone leaves the parts of prompts among the changed marks for later that an answer
// may still acquit: nearly all parts that ran during a crash are answered soon after it.
func (n *Node) postpone(changed map[attempt.Fingerprint]bool, now time.Time) {
	s := n.suspects
	maps.DeleteFunc(changed, func(f attempt.Fingerprint, _ bool) bool {
		e := s.guard.Evidence(f, now)
		if e.Part == "" || len(e.Observations) < savedCrashes {
			return false
		}
		v := s.guard.Verdict(f, now)
		newest := slices.MinFunc(e.Observations, func(a, b attempt.CrashObservation) int { return cmp.Compare(a.Age, b.Age) })
		if v.Blamed || v.New && newest.Age >= partSaveDelay {
			return false
		}
		s.mu.Lock()
		defer s.mu.Unlock()

		s.changed[f] = true
		return true
	})
}

// expireSuspects forgets old evidence and has the rows of this node about it deleted.
func (n *Node) expireSuspects(now time.Time) {
	s := n.suspects
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	s.guard.Expire(now)
	counts := s.guard.Count(now)
	n.metrics.Quarantined.Set(float64(counts.BlamedContents))
	n.metrics.QuarantinedParts.Set(float64(counts.BlamedParts))
	s.mu.Lock()
	defer s.mu.Unlock()

	for f := range s.contributed {
		if s.guard.Verdict(f, now).Suspected {
			continue
		}
		delete(s.contributed, f)
		if _, ok := s.own[f]; ok {
			s.changed[f] = true
		}
	}
	maps.DeleteFunc(s.acquittals, func(_ attempt.Fingerprint, a acquittal) bool { return now.Sub(a.recordedAt) > quarantineTTL })
	maps.DeleteFunc(s.quarantined, func(f attempt.Fingerprint, _ bool) bool {
		return !s.guard.Verdict(f, now).Blamed
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
		now := n.config.Clock.Now()
		for _, key := range part {
			f, err := rowFingerprint(key)
			if err != nil {
				return err
			}
			n.suspects.recordAcquittal(f, now)
		}
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
	if s.guard.Merge(e, now).News {
		n.noteEvidence(e.Fingerprint, sourceStore, now)
	}
	if len(e.Observations) > 0 && !s.guard.Verdict(e.Fingerprint, now).Suspected {
		at := now.Add(n.reviewDelay(e.Fingerprint, now))
		s.mu.Lock()
		s.reviews[e.Fingerprint] = at
		s.mu.Unlock()
	}
	return nil
}

// keepRows forgets the rows that a snapshot of the table doesn't have.
func (s *suspects) keepRows(c platform.Changes) {
	listed := map[string]bool{}
	for _, row := range c.Rows {
		listed[row.Key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	maps.DeleteFunc(s.rows, func(key string, _ time.Time) bool { return !listed[key] })
}

// acquittal is what an answer has refuted.
type acquittal struct {
	// history holds the refuted crashes, too: nodes that start may read them in a row, which
	// doesn't tell how old it is. Its ages are those at the time recordedAt.
	history    quarantine.Evidence
	recordedAt time.Time
}

// recordAcquittal remembers what was known of a request whose rows were deleted, if an answer
// has refuted it.
func (s *suspects) recordAcquittal(f attempt.Fingerprint, now time.Time) {
	history := s.guard.History(f, now)
	if !history.Completed || s.guard.Verdict(f, now).Suspected {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	if _, ok := s.acquittals[f]; !ok && len(s.acquittals) >= maxAcquittals {
		oldest := f
		for other, a := range s.acquittals {
			if oldest == f || a.recordedAt.Before(s.acquittals[oldest].recordedAt) {
				oldest = other
			}
		}
		delete(s.acquittals, oldest)
	}
	s.acquittals[f] = acquittal{history: history, recordedAt: now}
}

// acquitted returns what answers have refuted.
func (s *suspects) acquitted(now time.Time) []quarantine.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()

	var all []quarantine.Evidence
	for _, a := range s.acquittals {
		e, since := a.history, now.Sub(a.recordedAt)
		e.CompletedAge += since
		e.Observations = slices.Clone(e.Observations)
		for i := range e.Observations {
			e.Observations[i].Age += since
		}
		all = append(all, e)
	}
	return all
}

// rowFingerprint returns the fingerprint in the key of a row with evidence.
func rowFingerprint(key string) (attempt.Fingerprint, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, quarantinePrefix), "/")
	f, err := attempt.ParseFingerprint(text)
	if err != nil {
		return f, Error.New("key %q: %w", key, err)
	}
	return f, nil
}

// withdraw takes back the evidence of a row that was deleted.
func (n *Node) withdraw(key string, now time.Time) error {
	f, err := rowFingerprint(key)
	if err != nil {
		return err
	}
	if n.suspects.guard.Withdraw(f, now) {
		n.noteEvidence(f, sourceStore, now)
	}
	n.suspects.recordAcquittal(f, now)
	return nil
}
