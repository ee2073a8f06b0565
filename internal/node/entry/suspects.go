package entry

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/routing/quarantine"
	"almondbay.example/serving/event"
)

const (
	// maxCrashes is the number of servers that may end under one request.
	maxCrashes = 3
	// maxCrashesUnderPart is the number of servers that may end under requests with one
	// part in their prompts.
	maxCrashesUnderPart = 5
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
	// maxSuspects bounds the contents, and the parts of prompts, with evidence in each of
	// 64 shards.
	maxSuspects = 256
	// maxRecentAnswers exceeds the answers of a node in half of completionGrace, and the
	// different parts of prompts that it answers in answeredFor, unless most requests have
	// hundreds of parts of their own. Both tables take some 2 MB at most.
	maxRecentAnswers = 16384
	// partTTL is how long crashes count against a part of prompts. It is shorter than for
	// contents, since a wrong verdict falls on many requests.
	partTTL = 10 * time.Minute
	// answeredFor is how long a part of prompts counts as answered before.
	answeredFor = time.Minute
	// commonCause exceeds the time in which nodes see the ends of servers by one fault.
	commonCause = 50 * time.Millisecond
	// suspectCrashes is one less than suffices to blame a new part.
	suspectCrashes = maxCrashes - 1
	// decisiveCrashes tolerates one crash by another cause.
	decisiveCrashes = 2
	// answeredSilence exceeds the duration of most requests, whose answers would acquit
	// the part.
	answeredSilence = 2 * time.Second
	// trialSlot is several times the time that news takes to reach all nodes.
	trialSlot = 4 * time.Second
	// evidenceRepeats is the number of messages that tell news, so that the loss of
	// two in a row is tolerated.
	evidenceRepeats = 3
	// maxMessageEvidence bounds the size of a message: evidence of one request takes
	// about 300 bytes.
	maxMessageEvidence = 16
	// firstReviewDelay gives the nodes that contributed to evidence time to write it.
	// reviewStep is about the time that a row takes to reach all nodes.
	firstReviewDelay = 600 * time.Millisecond
	reviewStep       = 500 * time.Millisecond
	// maxAcquittals bounds the acquittals that a node tells others of when they start.
	maxAcquittals = 1024
	// partSaveDelay is the time in which most parts of prompts that are innocent of a crash
	// are answered.
	partSaveDelay = 500 * time.Millisecond
	// suspectsInterval is the time between two writes of evidence.
	suspectsInterval = 250 * time.Millisecond
	// expireInterval is the time between two removals of old evidence.
	expireInterval = 10 * time.Second
	// quarantinePrefix starts the keys of the rows with evidence in the nodes table,
	// which every node follows anyway.
	quarantinePrefix = "quarantine/"
)

// suspects is what this node knows of requests that crash servers, and what it has
// yet to tell of it. Its maps are by the fingerprint of a content or of a part of prompts.
type suspects struct {
	guard *quarantine.Guard
	// reports holds what to tell the nodes of the failure domain, digests what to
	// pass on to them as the collector, domains what to tell other failure domains.
	reports, digests, domains *quarantine.Outbox
	// domainsUrgent is set if domains must be told soon.
	domainsUrgent atomic.Bool

	mu sync.Mutex
	// contributed holds the requests that this node found out something about itself.
	contributed map[attempt.Fingerprint]bool
	// changed holds those of them with new evidence since the last write.
	changed map[attempt.Fingerprint]bool
	// reviews holds when this node compares the evidence against a request with the rows about
	// it. It writes evidence that no row has by then, and deletes rows that an answer refutes.
	reviews map[attempt.Fingerprint]time.Time
	// acquittals holds what answers have refuted: a copy of the store may still have the rows
	// about it.
	acquittals map[attempt.Fingerprint]acquittal
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
			Parts: quarantine.PartPolicy{
				Quarantine: attempt.QuarantineConfig{ObservationTTL: partTTL, QuarantineTTL: partTTL, MaxRequests: maxSuspects},
				New:        quarantine.PartThreshold{Crashes: maxCrashes, Episodes: 2},
				Answered:   quarantine.PartThreshold{Crashes: maxCrashesUnderPart, Episodes: 3, Silence: answeredSilence},

				AnsweredFor: answeredFor, CommonCause: commonCause, Decisive: decisiveCrashes, SuspectCrashes: suspectCrashes,
			},
			Trials: quarantine.TrialPolicy{
				Doubtful: []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 30 * time.Second},
				Sure:     []time.Duration{time.Minute, 4 * time.Minute},
				Slot:     trialSlot,
			},
			MaxRecent: maxRecentAnswers,
		}),
		reports:     quarantine.NewOutbox(evidenceRepeats),
		digests:     quarantine.NewOutbox(evidenceRepeats),
		domains:     quarantine.NewOutbox(evidenceRepeats),
		contributed: map[attempt.Fingerprint]bool{},
		changed:     map[attempt.Fingerprint]bool{},
		reviews:     map[attempt.Fingerprint]time.Time{},
		acquittals:  map[attempt.Fingerprint]acquittal{},
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
	// sourceTime means that there was no news but time without an answer.
	sourceTime = "time"
)

// recordAnswer records that a server answered a request that was sent to it at a time.
func (n *Node) recordAnswer(c *quarantine.Content, sentAt time.Time) {
	now := n.config.Clock.Now()
	for _, e := range n.suspects.guard.RecordAnswer(c, sentAt, now) {
		n.noteEvidence(e.Fingerprint, sourceOwn, now)
		n.tellAll(e.Fingerprint)
	}
}

// tellAll puts what this node found out itself into all messages.
func (n *Node) tellAll(f attempt.Fingerprint) {
	n.suspects.reports.Add(f)
	n.suspects.digests.Add(f)
	n.tellDomains(f)
}

// tellDomains puts what the nodes of this failure domain found out into the messages to
// others, which don't wait for their interval if it is about a new part of prompts.
func (n *Node) tellDomains(f attempt.Fingerprint) {
	n.suspects.domains.Add(f)
	if n.suspects.guard.Verdict(f, n.config.Clock.Now()).New {
		n.suspects.domainsUrgent.Store(true)
	}
}

// sendsTrial reports whether this node is the one, among those that it knows to be alive,
// to send the trial with a key.
func (n *Node) sendsTrial(key uint64) bool {
	rank := func(node string) uint64 {
		return xxhash.Sum64String("trial/" + strconv.FormatUint(key, 16) + "/" + node)
	}
	return n.rankAmongLive(n.config.Clock.Now(), rank) == 0
}

// rankAmongLive returns the number of live peers whose weight exceeds that of this node.
func (n *Node) rankAmongLive(now time.Time, weight func(node string) uint64) int {
	own := weight(n.config.Settings.Node)
	above := 0
	for _, p := range n.peers.Callable(now) {
		if weight(p.Node) > own {
			above++
		}
	}
	return above
}

// reviewDelay returns how long this node waits until it compares the evidence against a
// request with the rows about it. The nodes do so one after the other, so that few write.
func (n *Node) reviewDelay(f attempt.Fingerprint, now time.Time) time.Duration {
	rank := n.rankAmongLive(now, func(node string) uint64 { return xxhash.Sum64String("row/" + f.String() + "/" + node) })
	return firstReviewDelay + time.Duration(rank)*reviewStep
}

// mergeEvidence records the evidence of another node. What a node of this failure
// domain told is passed on to the others, and what others told to this one; only
// nodes that send such messages do so.
func (n *Node) mergeEvidence(all []quarantine.Evidence, local bool, now time.Time) {
	for _, e := range all {
		merged := n.suspects.guard.Merge(e, now)
		if !merged.News {
			continue
		}
		n.noteEvidence(e.Fingerprint, sourcePeer, now)
		if merged.Answered {
			n.tellAll(e.Fingerprint)
			continue
		}
		n.suspects.digests.Add(e.Fingerprint)
		if local {
			n.tellDomains(e.Fingerprint)
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
	quarantined := s.guard.Verdict(f, now).Blamed
	reviewAt := now.Add(n.reviewDelay(f, now))
	s.mu.Lock()
	if source == sourceOwn {
		s.contributed[f] = true
	}
	if s.contributed[f] {
		s.changed[f] = true
	}
	was := s.quarantined[f]
	if quarantined && !was && source == sourcePeer {
		s.reviews[f] = reviewAt
	}
	if quarantined {
		s.quarantined[f] = true
	} else {
		delete(s.quarantined, f)
	}
	s.mu.Unlock()
	if quarantined == was {
		return
	}
	e := s.guard.Evidence(f, now)
	if !quarantined {
		event.QuarantineWithdrawn.Log(n.config.Logger, zap.String("fingerprint", quarantine.Short(f)), zap.String("part", e.Part), zap.String("source", source))
		return
	}
	// Told on whoever it came from: the nodes that found it out may not reach all.
	n.tellAll(f)
	event.RequestQuarantined.Log(n.config.Logger, zap.String("fingerprint", quarantine.Short(f)), zap.String("part", e.Part),
		zap.String("source", source), zap.String("crashes", formatCrashes(e)))
}

// reviewParts notes the parts of prompts that are blamed by now: those that were
// answered before are only after some time without an answer.
func (n *Node) reviewParts(now time.Time) {
	for _, m := range n.suspects.guard.BlamableParts() {
		blamed := n.suspects.guard.Verdict(m.Fingerprint, now).Blamed
		n.suspects.mu.Lock()
		was := n.suspects.quarantined[m.Fingerprint]
		n.suspects.mu.Unlock()
		if blamed != was {
			n.noteEvidence(m.Fingerprint, sourceTime, now)
		}
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
