package schedule

import (
	"maps"
	"sync"
	"time"
)

// NodeTimeout is how long a node may tell nothing before its slots are taken back.
const NodeTimeout = 10 * time.Second

// Ask is a request for a slot by another node.
type SlotRequest struct {
	// Node is the node that asks, and ID what it calls the request; never used
	// again by that node.
	Node string
	ID   string
	// Request says what is asked for. Its FirstTokenBy and Notify are not used:
	// clocks are not shared.
	Request Request
	// FirstTokenIn is the time until the first token is due.
	FirstTokenIn time.Duration
}

// Grant is the answer to an Ask.
type Grant struct {
	// Group is empty when the request was refused.
	Group string
	Long  bool
	// Refusal is nil unless the request was refused.
	Refusal *Refusal
}

// Event is what has become of a granted slot.
type EventKind string

// Events of a granted slot.
const (
	EventFirstToken EventKind = "firstToken"
	EventProgress   EventKind = "progress"
	EventFinish     EventKind = "finish"
	EventRelease    EventKind = "release"
)

// News tells the owner of the slots what has become of one.
type SlotEvent struct {
	ID   string
	Kind EventKind
	// Tokens is the number of tokens made so far; not used for a release.
	Tokens int
}

// SlotServer lets other nodes use a scheduler. A node that has not been heard of for
// long gives back its slots, so that a lost node or message loses none for
// good. It is safe for concurrent use.
type SlotServer struct {
	scheduler *Scheduler

	mu    sync.RWMutex
	nodes map[string]*slotNode
}

// slotNode holds what one node has asked for.
type slotNode struct {
	mu      sync.Mutex
	heard   time.Time
	tickets map[string]*Ticket
}

// NewSlotServer returns a desk of the scheduler.
func NewSlotServer(s *Scheduler) *SlotServer {
	return &SlotServer{scheduler: s, nodes: make(map[string]*slotNode)}
}

// Ask submits the request of another node. answer is called as Request.Notify
// is, unless Ask returns an error.
func (d *SlotServer) Acquire(a SlotRequest, answer func(Grant), now time.Time) error {
	r := a.Request
	r.FirstTokenBy = now.Add(a.FirstTokenIn)
	r.Notify = func(d Decision) {
		answer(Grant{Group: d.Group, Long: d.Long, Refusal: d.Refusal})
	}
	n := d.node(a.Node)
	n.mu.Lock()
	defer n.mu.Unlock()

	n.heard = now
	ticket, err := d.scheduler.Submit(r, now)
	if err != nil {
		return err
	}
	n.tickets[a.ID] = ticket
	return nil
}

// Tell takes in news from a node; none at all keeps its slots.
func (d *SlotServer) RecordEvents(node string, news []SlotEvent, now time.Time) {
	n := d.node(node)
	n.mu.Lock()
	defer n.mu.Unlock()

	n.heard = now
	for _, x := range news {
		if t := n.tickets[x.ID]; t != nil {
			d.apply(n, t, x, now)
		}
	}
}

// apply passes one piece of news on. The caller holds the lock of the node.
func (d *SlotServer) apply(n *slotNode, t *Ticket, x SlotEvent, now time.Time) {
	switch x.Kind {
	case EventFirstToken:
		d.scheduler.FirstToken(t, now)
	case EventProgress:
		d.scheduler.Progress(t, x.Tokens, now)
	case EventFinish:
		d.scheduler.Finish(t, x.Tokens, now)
	case EventRelease:
		d.scheduler.Cancel(t, now)
		delete(n.tickets, x.ID)
	}
}

// Expire takes back the slots of nodes that have been silent for long.
func (d *SlotServer) Expire(now time.Time) {
	d.mu.RLock()
	nodes := maps.Clone(d.nodes)
	d.mu.RUnlock()
	for _, n := range nodes {
		d.expireNode(n, now)
	}
}

func (d *SlotServer) expireNode(n *slotNode, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if now.Sub(n.heard) < NodeTimeout {
		return
	}
	for id, t := range n.tickets {
		d.scheduler.Cancel(t, now)
		delete(n.tickets, id)
	}
}

func (d *SlotServer) node(name string) *slotNode {
	d.mu.RLock()
	n := d.nodes[name]
	d.mu.RUnlock()
	if n != nil {
		return n
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	if n := d.nodes[name]; n != nil {
		return n
	}
	n = &slotNode{tickets: make(map[string]*Ticket)}
	d.nodes[name] = n
	return n
}
