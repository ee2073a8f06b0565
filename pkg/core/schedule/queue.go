package schedule

import "time"

// class is the predicted run time class of a request.
type class int

const (
	classShort class = iota
	classLong
	classes
)

// costBuckets is the number of binary orders of magnitude of predicted cost by
// which a queue tracks its backlog.
const costBuckets = 20

// workspaceQueue holds the waiting tickets of one workspace for one model.
type workspaceQueue struct {
	name string
	// share is the weight in fair queueing; above zero.
	share float64
	// virtualTime is the service received divided by the share. It decreases
	// only by a refund of cost that was charged in excess.
	virtualTime float64
	waiting     [classes]heap[*Ticket]
	// backlog is the predicted cost of the waiting tickets by order of
	// magnitude.
	backlog   [costBuckets]float64
	positions [classes]int
	running   int
	// firstRefusal and lastRefusal delimit the current streak of refusals.
	firstRefusal time.Time
	lastRefusal  time.Time
}

func newWorkspaceQueue(name string, share float64) *workspaceQueue {
	return &workspaceQueue{name: name, share: share, positions: [classes]int{-1, -1}}
}

// len returns the number of waiting tickets.
func (q *workspaceQueue) len() int {
	return q.waiting[classShort].len() + q.waiting[classLong].len()
}

func (q *workspaceQueue) before(other *workspaceQueue, _ int) bool {
	return q.virtualTime < other.virtualTime
}

func (q *workspaceQueue) setPosition(key, position int) {
	q.positions[key] = position
}

func (q *workspaceQueue) position(key int) int {
	return q.positions[key]
}

func (t *Ticket) before(other *Ticket, _ int) bool {
	return t.orderKey < other.orderKey
}

func (t *Ticket) setPosition(_, position int) {
	t.heapIndex = position
}

func (t *Ticket) position(int) int {
	return t.heapIndex
}

// backlogUpTo returns the waiting cost in the bucket and all cheaper ones.
func (q *workspaceQueue) backlogUpTo(bucket int) float64 {
	sum := 0.0
	for _, cost := range q.backlog[:bucket+1] {
		sum += cost
	}
	return sum
}

// fairQueue orders the tickets of one shard: workspaces by virtual time, and
// the tickets of a workspace by submission time plus a delay for predicted
// cost.
type fairQueue struct {
	byName map[string]*workspaceQueue
	// byVirtualTime holds, for each class, the workspaces with waiting tickets
	// of that class.
	byVirtualTime [classes]heap[*workspaceQueue]
	// virtualTime is the highest virtual time of a workspace at dispatch.
	virtualTime float64
	// credit is how far the virtual time of an idle workspace may lag behind.
	credit float64
	// waiting is the number of tickets per class.
	waiting [classes]int
	// activeShares is the sum of the shares of the workspaces with waiting
	// tickets.
	activeShares float64
}

func newFairQueue() *fairQueue {
	f := &fairQueue{byName: make(map[string]*workspaceQueue)}
	f.byVirtualTime[classLong].key = int(classLong)
	return f
}

// push adds a ticket. A workspace that was idle starts at most credit behind
// the current virtual time, so that it may burst but cannot accumulate service.
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
		f.byVirtualTime[t.class].push(q)
	}
	f.reorder(q)
}

// remove removes a waiting ticket.
func (f *fairQueue) remove(t *Ticket) {
	q := t.queue
	q.waiting[t.class].remove(t)
	q.backlog[t.bucket] = max(0, q.backlog[t.bucket]-t.predicted)
	f.waiting[t.class]--
	if q.waiting[t.class].len() == 0 {
		f.byVirtualTime[t.class].remove(q)
	}
	if q.len() == 0 {
		q.backlog = [costBuckets]float64{}
		f.activeShares -= q.share
	}
}

// charge adds cost to the virtual time of the workspace; a negative cost is a
// refund.
func (f *fairQueue) charge(q *workspaceQueue, cost float64) {
	q.virtualTime += cost / q.share
	f.reorder(q)
}

func (f *fairQueue) reorder(q *workspaceQueue) {
	for c := range f.byVirtualTime {
		if q.positions[c] >= 0 {
			f.byVirtualTime[c].fix(q)
		}
	}
}

// peek returns the next ticket among the allowed classes, or nil.
func (f *fairQueue) peek(allowed [classes]bool) *Ticket {
	var best *Ticket
	for c := range f.byVirtualTime {
		if !allowed[c] || f.byVirtualTime[c].len() == 0 {
			continue
		}
		q := f.byVirtualTime[c].peek()
		t := q.waiting[c].peek()
		if best == nil || t.precedes(best) {
			best = t
		}
	}
	return best
}

// precedes orders tickets across classes.
func (t *Ticket) precedes(other *Ticket) bool {
	if t.queue == other.queue {
		return t.orderKey < other.orderKey
	}
	return t.queue.virtualTime < other.queue.virtualTime
}

// advanceTo advances the virtual time to that of the workspace being
// dispatched.
func (f *fairQueue) advanceTo(q *workspaceQueue) {
	f.virtualTime = max(f.virtualTime, q.virtualTime)
}

// overdue returns the waiting tickets whose dispatch deadline has passed.
func (f *fairQueue) overdue(now time.Time) []*Ticket {
	var late []*Ticket
	for c := range f.byVirtualTime {
		for _, q := range f.byVirtualTime[c].items {
			for _, t := range q.waiting[c].items {
				if t.dispatchBy.Before(now) {
					late = append(late, t)
				}
			}
		}
	}
	return late
}
