// Package quarantine finds the requests that crash the backend servers that run
// them and keeps them from further servers.
//
// A try that its server left without a complete response is a loss. A loss counts
// against its request only if a server ended then: the connection to it is refused,
// it has another start time, or its registration lapsed. A server that
// resets a connection, stalls, cuts off a response or leaves as planned has not
// crashed. The package does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"almondbay.example/core/attempt"
	"almondbay.example/internal/fleet/registry"
)

// Loss is a try of a request that ended without a complete response.
type Loss struct {
	// Marks lists the marks of the request, beginning with its content.
	Marks []Mark
	Head  registry.Head
	// Since is when the try last received data, or when it was sent; At is when it
	// ended.
	Since, At time.Time
	// Abrupt is set if the head ended the connection. Otherwise the node gave up the
	// try.
	Abrupt bool
	// Until is the latest time at which the request can have ended the server; zero for no
	// such limit.
	Until time.Time
}

// mayEnd reports whether the request of a try can have ended a server at a time.
func (l Loss) mayEnd(at time.Time) bool {
	return l.Until.IsZero() || !at.After(l.Until)
}

// Proof is how a node found out that a server ended.
type Proof string

// Proofs of the end of a server.
const (
	// ProofRefused means that the server's address refused a connection.
	ProofRefused Proof = "connection refused"
	// ProofRestarted means that the server reported or registered another start time.
	ProofRestarted Proof = "restarted"
	// ProofUnregistered means that the registration lapsed without an
	// announcement.
	ProofUnregistered Proof = "registration lapsed"
)

// End is the end of a server, with the marks of the requests that lost a try by it.
type End struct {
	Server registry.Life
	// Crash is the same on all nodes: the group with its epoch, or for a plain
	// service the server with its start time.
	Crash attempt.Crash
	Proof Proof
	// At is when the first of these tries was lost.
	At time.Time
	// Marks holds no mark twice.
	Marks []Mark
}

// add adds a loss.
func (e *End) add(l Loss) {
	if l.At.Before(e.At) {
		e.At = l.At
	}
	for _, m := range l.Marks {
		if !slices.Contains(e.Marks, m) {
			e.Marks = append(e.Marks, m)
		}
	}
}

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	// Retention is how long a loss waits for proof that a server ended: the time
	// until the registration of a dead server lapses, and some slack.
	Retention time.Duration
	// LapseMin and LapseMax are the least and greatest time from the end of a server
	// until this node reads that its registration lapsed.
	LapseMin, LapseMax time.Duration
	// ReturnGrace is how long after an outage of the store a missing registration
	// may still reappear.
	ReturnGrace time.Duration
	// CheckInterval is the minimum time between two checks of a head. The time between
	// those without an answer doubles from there on.
	CheckInterval time.Duration
	// MaxLosses bounds the losses kept; the oldest is dropped first.
	MaxLosses int
}

// pendingLoss is a loss that no end explains yet.
type pendingLoss struct {
	Loss
	// headLives is set once the head answered a check after the loss.
	headLives bool
	// checks is the number of checks of the head after the loss, dueAt is when the next
	// one is due.
	checks int
	dueAt  time.Time
	// headSettled is set once a check after the loss told what it can, or the head said
	// that it leaves.
	headSettled bool
	// members are the servers of the head's group, without the head.
	members []registry.Life
}

// groupKey identifies an epoch of a group.
type groupKey struct {
	name  string
	epoch uint64
}

// groupMembers are the members of an epoch of a group when it was last complete.
type groupMembers struct {
	lives  []registry.Life
	seenAt time.Time
}

// Tracker matches losses with the ends of servers. It is safe for concurrent use.
type Tracker struct {
	config TrackerConfig

	mu     sync.Mutex
	losses []*pendingLoss
	groups map[groupKey]groupMembers
	// checkedAt is when each head was last checked.
	checkedAt map[registry.Life]time.Time
}

// NewTracker returns a tracker without losses.
func NewTracker(c TrackerConfig) *Tracker {
	return &Tracker{config: c, groups: map[groupKey]groupMembers{}, checkedAt: map[registry.Life]time.Time{}}
}

// SetGroups records the members of the groups of a view. A group that is no longer
// in it is kept for Retention, since its losses may come later.
func (t *Tracker) SetGroups(v registry.View, now time.Time) {
	members := map[groupKey][]registry.Life{}
	for _, r := range v.Servers {
		if r.Group.Name != "" && r.MissingSince.IsZero() {
			k := groupKey{r.Group.Name, r.Group.Epoch}
			members[k] = append(members[k], r.Life())
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()

	for k, lives := range members {
		if len(lives) >= len(t.groups[k].lives) {
			t.groups[k] = groupMembers{lives: lives, seenAt: now}
		}
	}
	for k, g := range t.groups {
		if _, ok := members[k]; !ok && now.Sub(g.seenAt) > t.config.Retention {
			delete(t.groups, k)
		}
	}
}

// Add records a loss.
func (t *Tracker) Add(l Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()

	p := &pendingLoss{Loss: l}
	head := l.Head.Life()
	for _, m := range t.groups[groupKey{l.Head.Group, l.Head.Epoch}].lives {
		if m != head {
			p.members = append(p.members, m)
		}
	}
	if len(t.losses) >= t.config.MaxLosses {
		t.losses = slices.Delete(t.losses, 0, 1)
	}
	t.losses = append(t.losses, p)
}

// Due returns the heads that should be checked, to find out whether they ended, those of
// new losses first. A head that gave no answer is checked again, in case its address did
// not refuse the connection although it had ended.
func (t *Tracker) Due(now time.Time) []registry.Head {
	t.mu.Lock()
	defer t.mu.Unlock()

	var first, again []registry.Head
	for _, p := range t.losses {
		life := p.Head.Life()
		if !p.Abrupt || now.Sub(t.checkedAt[life]) < t.config.CheckInterval || !t.checkable(p, now) || now.Before(p.dueAt) {
			continue
		}
		t.checkedAt[life] = now
		if p.checks == 0 {
			first = append(first, p.Head)
		} else {
			again = append(again, p.Head)
		}
	}
	return append(first, again...)
}

// checkable reports whether a check begun at a time can tell whether the head ended when
// the try was lost. Later checks than the first one could find another end, so they
// reach back no further than a lapsed registration may.
func (t *Tracker) checkable(p *pendingLoss, startedAt time.Time) bool {
	if p.checks == 0 {
		return true
	}
	return !p.headSettled && startedAt.Sub(p.At) <= t.config.LapseMax-t.config.LapseMin
}

// CheckResult is what a node found out about a head by calling it.
type CheckResult uint8

// Results of checks.
const (
	// CheckUnknown means that the head gave an answer that does not tell.
	CheckUnknown CheckResult = iota
	// CheckNoAnswer means that the head gave no answer.
	CheckNoAnswer
	// CheckLives means that the head answered, and has not restarted.
	CheckLives
	// CheckRefused means that the head's address refused the connection.
	CheckRefused
	// CheckRestarted means that the head answered, and has restarted.
	CheckRestarted
)

// RecordCheck records the result of a check of a head that was begun at a time. It
// returns the end of the head if that is the result.
func (t *Tracker) RecordCheck(head registry.Head, startedAt time.Time, result CheckResult) []End {
	t.mu.Lock()
	defer t.mu.Unlock()

	explains := func(p *pendingLoss) bool {
		return p.Head.Life() == head.Life() && !p.At.After(startedAt) && p.mayEnd(startedAt) && t.checkable(p, startedAt)
	}
	switch result {
	case CheckRefused:
		return t.end(head.Life(), ProofRefused, explains)
	case CheckRestarted:
		return t.end(head.Life(), ProofRestarted, explains)
	}
	for _, p := range t.losses {
		if explains(p) {
			p.checks++
			p.dueAt = startedAt.Add(t.config.CheckInterval << p.checks)
			p.headSettled = p.headSettled || result != CheckNoAnswer
			p.headLives = result == CheckLives
		}
	}
	return nil
}

// Match compares the losses with the registrations, returns the ends of servers
// that explain some of them, and drops old ones.
func (t *Tracker) Match(v registry.View, now time.Time) []End {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(t.losses) == 0 {
		return nil
	}
	ended := map[registry.Life]Proof{}
	var lives []registry.Life
	for _, p := range t.losses {
		if r, ok := v.Find(p.Head.ID); ok && r.Life() == p.Head.Life() && (r.Draining || r.Leaving) {
			p.headSettled = true
		}
		for _, life := range p.candidates() {
			if proof, ok := t.ended(v, life, p.Loss, now); ok && ended[life] == "" {
				ended[life] = proof
				lives = append(lives, life)
			}
		}
	}
	var ends []End
	for _, life := range lives {
		ends = append(ends, t.end(life, ended[life], func(p *pendingLoss) bool {
			_, ok := t.ended(v, life, p.Loss, now)
			return ok && slices.Contains(p.candidates(), life)
		})...)
	}
	t.losses = slices.DeleteFunc(t.losses, func(p *pendingLoss) bool { return now.Sub(p.At) > t.config.Retention })
	for life, at := range t.checkedAt {
		if now.Sub(at) > t.config.Retention {
			delete(t.checkedAt, life)
		}
	}
	return ends
}

// Pending returns the number of losses without an explanation.
func (t *Tracker) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.losses)
}

// candidates returns the servers whose end would explain the loss.
func (p *pendingLoss) candidates() []registry.Life {
	if p.headLives {
		return p.members
	}
	return append([]registry.Life{p.Head.Life()}, p.members...)
}

// ended reports whether a server ended during the silence before a try was lost, and
// not as planned.
func (t *Tracker) ended(v registry.View, life registry.Life, l Loss, now time.Time) (Proof, bool) {
	r, ok := v.Find(life.ID)
	switch {
	case !ok || r.Draining && r.Incarnation == life.Incarnation:
		return "", false
	case r.Incarnation != life.Incarnation:
		// The registration of the next start may come as late as the lapse would.
		return ProofRestarted, r.SeenAt.After(l.Since) && l.mayEnd(r.SeenAt.Add(-t.config.LapseMax))
	case r.MissingSince.IsZero():
		return "", false
	default:
		earliest, latest := r.MissingSince.Add(-t.config.LapseMax), r.MissingSince.Add(-t.config.LapseMin)
		return ProofUnregistered, !l.At.Before(earliest) && !l.Since.After(latest) && v.Missing(r, now, t.config.ReturnGrace)
	}
}

// end removes the losses that the end of a server explains and returns it, or
// nothing if it explains none. Losses of several groups, which a server was a member
// of one after the other, are ends of several groups. The caller must hold mu.
func (t *Tracker) end(life registry.Life, proof Proof, explains func(*pendingLoss) bool) []End {
	byCrash := map[attempt.Crash]*End{}
	t.losses = slices.DeleteFunc(t.losses, func(p *pendingLoss) bool {
		if !explains(p) {
			return false
		}
		c := crashOf(p.Head)
		if byCrash[c] == nil {
			byCrash[c] = &End{Server: life, Crash: c, Proof: proof, At: p.At}
		}
		byCrash[c].add(p.Loss)
		return true
	})
	ends := make([]End, 0, len(byCrash))
	for _, e := range byCrash {
		ends = append(ends, *e)
	}
	slices.SortFunc(ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.Crash.Group, b.Crash.Group), cmp.Compare(a.Crash.Epoch, b.Crash.Epoch))
	})
	return ends
}

// crashOf returns the identity of a crash of a head's group, or of a server of a
// plain service. Crashes of plain servers share no cause by their place.
func crashOf(h registry.Head) attempt.Crash {
	if h.Group == "" {
		return attempt.Crash{Group: h.ID, Epoch: uint64(h.Incarnation), Site: h.ID}
	}
	return attempt.Crash{Group: h.Group, Epoch: h.Epoch, Site: h.FabricDomain}
}
