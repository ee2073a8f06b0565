package schedule

import (
	"maps"
	"sync"
	"time"
)

// Silence is how long a node may tell nothing before its slots are taken back.
const Silence = 10 * time.Second

// Ask is a request for a slot by another node.
type Ask struct {
	// Node is the node that asks, and ID what it calls the request; never used
	// again by that node.
	Node string
	ID   string
	// Request says what is asked for. Its FirstTokenBy and Notify are not used:
	// clocks are not shared.
	Request Request
	// Patience is the time until the first token is due.
	Patience time.Duration
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
type Event string

// Events of a granted slot.
const (
	EventFirstToken Event = "firstToken"
	EventProgress   Event = "progress"
	EventFinish     Event = "finish"
	EventRelease    Event = "release"
)

// News tells the owner of the slots what has become of one.
type News struct {
	ID    string
	Event Event
	// Tokens is the number of tokens made so far; not used for a release.
	Tokens int
}

// Desk lets other nodes use a scheduler. A node that has not been heard of for
// long gives back its slots, so that a lost node or message loses none for
// good. It is safe for concurrent use.
type Desk struct {
	scheduler *Scheduler

	mu    sync.RWMutex
	nodes map[string]*deskNode
}

// deskNode holds what one node has asked for.
type deskNode struct {
	mu      sync.Mutex
	heard   time.Time
	tickets map[string]*Ticket
}

// NewDesk returns a desk of the scheduler.
func NewDesk(s *Scheduler) *Desk {
	return &Desk{scheduler: s, nodes: make(map[string]*deskNode)}
}

// Ask submits the request of another node. answer is called as Request.Notify
// is, unless Ask returns an error.
func (d *Desk) Ask(a Ask, answer func(Grant), now time.Time) error {
	r := a.Request
	r.FirstTokenBy = now.Add(a.Patience)
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
func (d *Desk) Tell(node string, news []News, now time.Time) {
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
func (d *Desk) apply(n *deskNode, t *Ticket, x News, now time.Time) {
	switch x.Event {
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
func (d *Desk) Expire(now time.Time) {
	d.mu.RLock()
	nodes := maps.Clone(d.nodes)
	d.mu.RUnlock()
	for _, n := range nodes {
		d.expireNode(n, now)
	}
}

func (d *Desk) expireNode(n *deskNode, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if now.Sub(n.heard) < Silence {
		return
	}
	for id, t := range n.tickets {
		d.scheduler.Cancel(t, now)
		delete(n.tickets, id)
	}
}

func (d *Desk) node(name string) *deskNode {
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
	n = &deskNode{tickets: make(map[string]*Ticket)}
	d.nodes[name] = n
	return n
}
