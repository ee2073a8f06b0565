package quarantine

import (
	"sync"

	"almondbay.example/core/attempt"
)

// Outbox holds the requests whose evidence is to be told to other nodes. Messages
// may be lost, so each is told several times. It is safe for concurrent use.
type Outbox struct {
	// repeats is the number of messages that tell the evidence of a request.
	repeats int

	mu sync.Mutex
	// left is the number of messages that are still to tell a request.
	left map[attempt.Fingerprint]int
	// order lists the keys of left in the order in which they were added.
	order []attempt.Fingerprint
	// urgent is set while some of them were not told at all.
	urgent bool
}

// maxOutbox bounds the requests in an outbox; the oldest is dropped first.
const maxOutbox = 1024

// NewOutbox returns an empty outbox.
func NewOutbox(repeats int) *Outbox {
	return &Outbox{repeats: repeats, left: map[attempt.Fingerprint]int{}}
}

// Add adds a request, or tells it again if there is more evidence now.
func (o *Outbox) Add(f attempt.Fingerprint) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if _, ok := o.left[f]; !ok {
		if len(o.order) >= maxOutbox {
			delete(o.left, o.order[0])
			o.order = o.order[1:]
		}
		o.order = append(o.order, f)
	}
	o.left[f] = o.repeats
	o.urgent = true
}

// Urgent reports whether there is evidence that was not told yet.
func (o *Outbox) Urgent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.urgent
}

// Clear empties the outbox, for a node that sends no such messages at present.
func (o *Outbox) Clear() {
	o.mu.Lock()
	defer o.mu.Unlock()

	clear(o.left)
	o.order = nil
	o.urgent = false
}

// Take returns up to limit requests to tell in the next message. Those that were told
// least often come first, the newest among them.
func (o *Outbox) Take(limit int) []attempt.Fingerprint {
	o.mu.Lock()
	defer o.mu.Unlock()

	var taken []attempt.Fingerprint
	for repeats := o.repeats; repeats > 0 && len(taken) < limit; repeats-- {
		for i := len(o.order) - 1; i >= 0 && len(taken) < limit; i-- {
			if o.left[o.order[i]] == repeats {
				taken = append(taken, o.order[i])
			}
		}
	}
	for _, f := range taken {
		o.left[f]--
	}
	kept := o.order[:0]
	o.urgent = false
	for _, f := range o.order {
		switch o.left[f] {
		case 0:
			delete(o.left, f)
			continue
		case o.repeats:
			o.urgent = true
		}
		kept = append(kept, f)
	}
	o.order = kept
	return taken
}
