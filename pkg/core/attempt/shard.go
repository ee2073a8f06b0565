package attempt

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of each table. It is a power of two.
const shardCount = 64

// table is a map split into shards, each with its own lock, to reduce lock
// contention.
type table[K comparable, V any] struct {
	hash   func(K) uint64
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu   sync.Mutex
	rows map[K]V
}

func newTable[K comparable, V any](hash func(K) uint64) *table[K, V] {
	t := &table[K, V]{hash: hash}
	for i := range t.shards {
		t.shards[i].rows = make(map[K]V)
	}
	return t
}

// with calls f on the shard of k while holding its lock.
func (t *table[K, V]) with(k K, f func(rows map[K]V)) {
	s := &t.shards[t.hash(k)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.rows)
}

// each calls f on every shard in turn while holding its lock.
func (t *table[K, V]) each(f func(rows map[K]V)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s.rows)
		s.mu.Unlock()
	}
}

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}
