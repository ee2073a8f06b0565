package schedule

import (
	"maps"
	"sync"
	"time"
)

// NodeTimeout is the time without messages from a node after which its slots
// are reclaimed.
const NodeTimeout = 10 * time.Second

// SlotRequest is a request for a slot by another node.
type SlotRequest struct {
	// Node is the requesting node, ID its identifier of the request; a node
	// never reuses an ID.
	Node string
	ID   string
	// Request describes the request. FirstTokenBy and Notify are ignored: the
	// clocks of nodes are not synchronized.
	Request Request
	// FirstTokenIn is the time left until the deadline of the first token.
	FirstTokenIn time.Duration
}

// Grant is the response to a SlotRequest.
type Grant struct {
	// Group is empty when the request was refused.
	Group string
	Long  bool
	// Refusal is nil unless the request was refused.
	Refusal *Refusal
}

// EventKind is the kind of a SlotEvent.
type EventKind string

// Kinds of slot events.
const (
	EventFirstToken EventKind = "firstToken"
	EventProgress   EventKind = "progress"
	EventFinish     EventKind = "finish"
	EventRelease    EventKind = "release"
)

// SlotEvent reports a change of a granted slot to the scheduler that granted
// it.
type SlotEvent struct {
	ID   string
	Kind EventKind
	// Tokens is the number of tokens produced so far; unused for a release.
	Tokens int
}

// SlotServer grants slots of a scheduler to other nodes. Slots of a node that
// sends no message for NodeTimeout are reclaimed, so that a lost node or
// message does not leak them. It is safe for concurrent use.
type SlotServer struct {
	scheduler *Scheduler

	mu    sync.RWMutex
	nodes map[string]*slotNode
}

// slotNode holds the tickets of one node.
type slotNode struct {
	mu       sync.Mutex
	lastSeen time.Time
	tickets  map[string]*Ticket
}

// NewSlotServer returns a server that grants slots of the scheduler.
func NewSlotServer(scheduler *Scheduler) *SlotServer {
	return &SlotServer{scheduler: scheduler, nodes: make(map[string]*slotNode)}
}

// Acquire submits the request of another node. reply is called under the
// conditions of Request.Notify, and not at all when Acquire returns an error.
func (s *SlotServer) Acquire(req SlotRequest, reply func(Grant), now time.Time) error {
	r := req.Request
	r.FirstTokenBy = now.Add(req.FirstTokenIn)
	r.Notify = func(d Decision) {
		reply(Grant{Group: d.Group, Long: d.Long, Refusal: d.Refusal})
	}
	n := s.node(req.Node)
	n.mu.Lock()
	defer n.mu.Unlock()

	n.lastSeen = now
	ticket, err := s.scheduler.Submit(r, now)
	if err != nil {
		return err
	}
	n.tickets[req.ID] = ticket
	return nil
}

// RecordEvents applies the events of a node and renews its slots. An empty list
// only renews them.
func (s *SlotServer) RecordEvents(node string, events []SlotEvent, now time.Time) {
	n := s.node(node)
	n.mu.Lock()
	defer n.mu.Unlock()

	n.lastSeen = now
	for _, e := range events {
		if t := n.tickets[e.ID]; t != nil {
			s.apply(n, t, e, now)
		}
	}
}

// apply passes one event to the scheduler. The caller holds the lock of the
// node.
func (s *SlotServer) apply(n *slotNode, t *Ticket, e SlotEvent, now time.Time) {
	switch e.Kind {
	case EventFirstToken:
		s.scheduler.FirstToken(t, now)
	case EventProgress:
		s.scheduler.Progress(t, e.Tokens, now)
	case EventFinish:
		s.scheduler.Finish(t, e.Tokens, now)
	case EventRelease:
		s.scheduler.Cancel(t, now)
		delete(n.tickets, e.ID)
	}
}

// Expire reclaims the slots of nodes that have exceeded NodeTimeout.
func (s *SlotServer) Expire(now time.Time) {
	s.mu.RLock()
	nodes := maps.Clone(s.nodes)
	s.mu.RUnlock()
	for _, n := range nodes {
		s.expireNode(n, now)
	}
}

func (s *SlotServer) expireNode(n *slotNode, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if now.Sub(n.lastSeen) < NodeTimeout {
		return
	}
	for id, t := range n.tickets {
		s.scheduler.Cancel(t, now)
		delete(n.tickets, id)
	}
}

func (s *SlotServer) node(name string) *slotNode {
	s.mu.RLock()
	n := s.nodes[name]
	s.mu.RUnlock()
	if n != nil {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	if n := s.nodes[name]; n != nil {
		return n
	}
	n = &slotNode{tickets: make(map[string]*Ticket)}
	s.nodes[name] = n
	return n
}
