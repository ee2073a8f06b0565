package attempt

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of each shardedMap. It is a power of two.
const shardCount = 64

// shardedMap is a map split into shards, each with its own lock, to reduce lock
// contention.
type shardedMap[K comparable, V any] struct {
	hash   func(K) uint64
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

func newShardedMap[K comparable, V any](hash func(K) uint64) *shardedMap[K, V] {
	t := &shardedMap[K, V]{hash: hash}
	for i := range t.shards {
		t.shards[i].entries = make(map[K]V)
	}
	return t
}

// with calls f on the shard of k while holding its lock.
func (t *shardedMap[K, V]) with(k K, f func(entries map[K]V)) {
	s := &t.shards[t.hash(k)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// each calls f on every shard in turn while holding its lock.
func (t *shardedMap[K, V]) each(f func(entries map[K]V)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		f(s.entries)
		s.mu.Unlock()
	}
}

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}
