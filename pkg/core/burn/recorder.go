package burn

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Widths and numbers of the buckets of a history: one hour in buckets of one
// minute and one day in buckets of ten minutes, each plus the current bucket.
const (
	FineWidth     = time.Minute
	fineBuckets   = int(time.Hour/FineWidth) + 1
	CoarseWidth   = 10 * time.Minute
	coarseBuckets = int(Period/CoarseWidth) + 1
)

// shardCount is the number of separately locked shards of a Recorder.
const shardCount = 16

// Bucket counts the requests that ended in the interval of one bucket width from
// Start.
type Bucket struct {
	// Start is a multiple of the bucket width.
	Start time.Time
	Count
}

// History holds the requests of a series counted by one or more nodes.
type History struct {
	Series
	// Fine and Coarse are ordered by Start and omit empty buckets.
	Fine   []Bucket
	Coarse []Bucket
}

// Recorder counts requests by series. It uses about 5 KB of memory for each
// series. Histories removes a series that had no requests for a whole Period. A
// Recorder is safe for concurrent use.
type Recorder struct {
	seed   maphash.Seed
	shards [shardCount]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	series map[Series]*counters
}

type counters struct {
	fine   ring
	coarse ring
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].series = make(map[Series]*counters)
	}
	return r
}

// Record counts a request that ended at now. The caller must pass only series
// whose workspace and model are in the document, so that the number of series
// is bounded.
func (r *Recorder) Record(s Series, good bool, now time.Time) {
	shard := &r.shards[maphash.Comparable(r.seed, s)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	c, known := shard.series[s]
	if !known {
		c = &counters{
			fine:   newRing(FineWidth, fineBuckets),
			coarse: newRing(CoarseWidth, coarseBuckets),
		}
		shard.series[s] = c
	}
	c.fine.record(good, now)
	c.coarse.record(good, now)
}

// Histories returns the history of each series, ordered by workspace and model.
func (r *Recorder) Histories(now time.Time) []History {
	var histories []History
	for i := range r.shards {
		histories = r.shards[i].collect(histories, now)
	}
	sortHistories(histories)
	return histories
}

// collect appends the histories of the shard and removes the series that have no
// requests left.
func (s *recorderShard) collect(histories []History, now time.Time) []History {
	s.mu.Lock()
	defer s.mu.Unlock()
	for series, c := range s.series {
		h := History{Series: series, Fine: c.fine.buckets(now), Coarse: c.coarse.buckets(now)}
		if len(h.Coarse) == 0 {
			delete(s.series, series)
			continue
		}
		histories = append(histories, h)
	}
	return histories
}

// ring is a ring buffer of the latest buckets of one width.
type ring struct {
	width time.Duration
	slots []slot
}

// slot is one bucket. Its index is its start time divided by the bucket width.
type slot struct {
	index int64
	count Count
}

func newRing(width time.Duration, buckets int) ring {
	return ring{width: width, slots: make([]slot, buckets)}
}

// record counts a request in the slot of now. When the clock was set back and
// the slot already holds a newer bucket, the request is counted in that bucket
// so that the newer counts are not lost.
func (r *ring) record(good bool, now time.Time) {
	index := now.UnixNano() / int64(r.width)
	s := &r.slots[index%int64(len(r.slots))]
	if index > s.index {
		*s = slot{index: index}
	}
	if good {
		s.count.Good++
		return
	}
	s.count.Bad++
}

func (r *ring) buckets(now time.Time) []Bucket {
	oldest := now.UnixNano()/int64(r.width) - int64(len(r.slots))
	var buckets []Bucket
	for _, s := range r.slots {
		if s.index > oldest && s.count.Total() > 0 {
			start := time.Unix(0, s.index*int64(r.width)).UTC()
			buckets = append(buckets, Bucket{Start: start, Count: s.count})
		}
	}
	slices.SortFunc(buckets, compareBuckets)
	return buckets
}

func compareBuckets(a, b Bucket) int { return a.Start.Compare(b.Start) }

// Merge sums the histories of several nodes. The result is ordered by workspace
// and model.
func Merge(nodes ...[]History) []History {
	merged := make(map[Series]History)
	for _, histories := range nodes {
		for _, h := range histories {
			sum := merged[h.Series]
			merged[h.Series] = History{
				Series: h.Series,
				Fine:   mergeBuckets(sum.Fine, h.Fine),
				Coarse: mergeBuckets(sum.Coarse, h.Coarse),
			}
		}
	}
	histories := make([]History, 0, len(merged))
	for _, h := range merged {
		histories = append(histories, h)
	}
	sortHistories(histories)
	return histories
}

// mergeBuckets sums the buckets with equal start.
func mergeBuckets(a, b []Bucket) []Bucket {
	all := slices.Concat(a, b)
	slices.SortFunc(all, compareBuckets)
	var merged []Bucket
	for _, bucket := range all {
		last := len(merged) - 1
		if last >= 0 && merged[last].Start.Equal(bucket.Start) {
			merged[last].Count = merged[last].Add(bucket.Count)
			continue
		}
		merged = append(merged, bucket)
	}
	return merged
}

func sortHistories(histories []History) {
	slices.SortFunc(histories, func(a, b History) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
}
