package quarantine

import "time"

// answers remembers when the last answered requests with a mark were sent, by the cheap
// hash of the mark. Its caller must serialize the calls.
type answers struct {
	// span is how long an answer is remembered at least; it is for up to twice as long.
	span time.Duration
	// limit bounds the marks in each of recent and older. At the limit those of older are
	// forgotten early: marks that are answered often are in recent again soon.
	limit int
	// recent holds the answers since rotatedAt, older those of the span before it.
	recent, older map[uint64]time.Time
	rotatedAt     time.Time
}

func newAnswers(span time.Duration, limit int) *answers {
	return &answers{span: span, limit: limit, recent: map[uint64]time.Time{}, older: map[uint64]time.Time{}}
}

// record records the answer to a request that was sent at a time.
func (a *answers) record(quick uint64, sentAt, now time.Time) {
	a.rotate(now)
	last, ok := a.recent[quick]
	if ok && last.After(sentAt) {
		return
	}
	if !ok && len(a.recent) >= a.limit {
		a.swap(now)
	}
	a.recent[quick] = sentAt
}

// last returns when the last answered request with the mark was sent, if that is
// remembered.
func (a *answers) last(quick uint64, now time.Time) (time.Time, bool) {
	a.rotate(now)
	if at, ok := a.recent[quick]; ok {
		return at, true
	}
	at, ok := a.older[quick]
	return at, ok
}

// rotate forgets old answers.
func (a *answers) rotate(now time.Time) {
	since := now.Sub(a.rotatedAt)
	if since < a.span {
		return
	}
	a.swap(now)
	if since >= 2*a.span {
		clear(a.older)
	}
}

// swap forgets the older answers and makes the recent ones the older.
func (a *answers) swap(now time.Time) {
	a.older, a.recent = a.recent, a.older
	clear(a.recent)
	a.rotatedAt = now
}
