package schedule

import "time"

// class separates work that is predicted to run long from the rest.
type class int

const (
	classShort class = iota
	classLong
	classes
)

// costBuckets is the number of binary orders of magnitude of predicted cost
// that a queue keeps its backlog by.
const costBuckets = 20

// workspaceQueue holds the waiting tickets of one workspace and one model.
type workspaceQueue struct {
	name string
	// share is the weight in fair queueing; above zero.
	share float64
	// virtualTime is the service received over the share. It never decreases
	// except by a refund of cost charged too high.
	virtualTime float64
	waiting     [classes]heap[*Ticket]
	// backlog is the predicted cost that waits, by order of magnitude.
	backlog [costBuckets]float64
	at      [classes]int
	running int
	// refusedFirst and refusedLast are the first and last refusal of those that
	// came without a long gap.
	refusedFirst time.Time
	refusedLast  time.Time
}

func newWorkspaceQueue(name string, share float64) *workspaceQueue {
	return &workspaceQueue{name: name, share: share, at: [classes]int{-1, -1}}
}

// len returns the number of waiting tickets.
func (q *workspaceQueue) len() int {
	return q.waiting[classShort].len() + q.waiting[classLong].len()
}

func (q *workspaceQueue) before(other *workspaceQueue, _ int) bool {
	return q.virtualTime < other.virtualTime
}

func (q *workspaceQueue) place(key, position int) {
	q.at[key] = position
}

func (q *workspaceQueue) position(key int) int {
	return q.at[key]
}

func (t *Ticket) before(other *Ticket, _ int) bool {
	return t.order < other.order
}

func (t *Ticket) place(_, position int) {
	t.index = position
}

func (t *Ticket) position(int) int {
	return t.index
}

// backlogUpTo returns the waiting cost in this and all cheaper buckets.
func (q *workspaceQueue) backlogUpTo(bucket int) float64 {
	sum := 0.0
	for _, cost := range q.backlog[:bucket+1] {
		sum += cost
	}
	return sum
}

// fairQueue orders the tickets of one shard: workspaces by virtual time, the
// tickets of a workspace by predicted cost and age.
type fairQueue struct {
	byName map[string]*workspaceQueue
	// byTime holds, for each class, the workspaces with such work waiting.
	byTime [classes]heap[*workspaceQueue]
	// virtualTime is the virtual time of the workspace served last.
	virtualTime float64
	// credit is the virtual time that an idle workspace may fall behind.
	credit float64
	// waiting is the number of tickets of each class.
	waiting [classes]int
	// activeShares is the sum of shares of the workspaces with work waiting.
	activeShares float64
}

func newFairQueue() *fairQueue {
	f := &fairQueue{byName: make(map[string]*workspaceQueue)}
	f.byTime[classLong].key = int(classLong)
	return f
}

// push adds a ticket. A workspace that was idle starts at most credit behind the
// present virtual time, so that it can have a burst but not save up service.
func (f *fairQueue) push(t *Ticket) {
	q := t.queue
	if q.len() == 0 {
		q.virtualTime = max(q.virtualTime, f.virtualTime-f.credit)
		f.activeShares += q.share
	}
	q.waiting[t.class].push(t)
	q.backlog[t.bucket] += t.predicted
	f.waiting[t.class]++
	if q.waiting[t.class].len() == 1 {
		f.byTime[t.class].push(q)
	}
	f.reorder(q)
}

// remove takes out a waiting ticket.
func (f *fairQueue) remove(t *Ticket) {
	q := t.queue
	q.waiting[t.class].remove(t)
	q.backlog[t.bucket] = max(0, q.backlog[t.bucket]-t.predicted)
	f.waiting[t.class]--
	if q.waiting[t.class].len() == 0 {
		f.byTime[t.class].remove(q)
	}
	if q.len() == 0 {
		q.backlog = [costBuckets]float64{}
		f.activeShares -= q.share
	}
}

// charge adds cost to the workspace's account; a negative cost is a refund.
func (f *fairQueue) charge(q *workspaceQueue, cost float64) {
	q.virtualTime += cost / q.share
	f.reorder(q)
}

func (f *fairQueue) reorder(q *workspaceQueue) {
	for c := range f.byTime {
		if q.at[c] >= 0 {
			f.byTime[c].fix(q)
		}
	}
}

// peek returns the ticket that is next when work of the given classes may be
// dispatched, or nil.
func (f *fairQueue) peek(allowed [classes]bool) *Ticket {
	var best *Ticket
	for c := range f.byTime {
		if !allowed[c] || f.byTime[c].len() == 0 {
			continue
		}
		q := f.byTime[c].peek()
		t := q.waiting[c].peek()
		if best == nil || t.precedes(best) {
			best = t
		}
	}
	return best
}

// precedes orders tickets of different classes.
func (t *Ticket) precedes(other *Ticket) bool {
	if t.queue == other.queue {
		return t.order < other.order
	}
	return t.queue.virtualTime < other.queue.virtualTime
}

// served moves the virtual time of the queue on to the workspace that is
// served.
func (f *fairQueue) served(q *workspaceQueue) {
	f.virtualTime = max(f.virtualTime, q.virtualTime)
}

// overdue returns the waiting tickets that had to be dispatched before now.
func (f *fairQueue) overdue(now time.Time) []*Ticket {
	var late []*Ticket
	for c := range f.byTime {
		for _, q := range f.byTime[c].items {
			for _, t := range q.waiting[c].items {
				if t.dispatchBy.Before(now) {
					late = append(late, t)
				}
			}
		}
	}
	return late
}
