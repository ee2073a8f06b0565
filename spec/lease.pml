/*
 * Lease of one fabric domain without a shared clock, and the fencing number of
 * its orders.
 *
 * Two nodes share one row. A commit is a message that the table service applies
 * at any later time or loses; the response may be late or lost. The holder
 * counts its lease from before it sent the renewal, less MARGIN. The other node
 * acquires the lease only after it has observed the row unchanged for DURATION
 * by its own clock. Clocks drift: the countdown of a holder may miss one tick,
 * and that of an observer may count one tick twice. Time is unbounded: the
 * model keeps only countdowns, and represents row versions as "unchanged since"
 * bits.
 *
 * Checked: a node that finds its lease valid is the holder in the row, and a
 * member that checks fencing numbers never accepts an order with a lower number
 * than its last.
 *
 * mutant: -DMARGIN=0
 * mutant: -DMARGIN=1
 * mutant: -DCOUNT_FROM_ANSWER
 * mutant: -DCONDITION_DROPPED
 * mutant: -DREAD_BACK_DROPPED
 * mutant: -DOBSERVATION_DROPPED
 * mutant: -DOBSERVATION_NOT_RESTARTED
 * mutant: -DHAND_ON_BEFORE_STOP
 * mutant: -DDEADLINE_CHECK_DROPPED
 * mutant: -DRESTART_BELIEVES_ROW
 * mutant: -DFENCING_IGNORED
 */

#define NODES 2
#define DURATION 3
#ifndef MARGIN
#define MARGIN 2
#endif
#define MAX_TERM 2
#define NOBODY NODES

mtype = { idle, sent, confirmed, unknown };

/* The lease row. */
byte rowHolder = NOBODY;
byte rowTerm;

typedef Node {
	bool seen;         /* row unchanged since this node last read it */
	byte wait;         /* ticks until the row counts as unchanged for DURATION */
	bool hurried;      /* the one extra tick of wait (fast clock) is used up */
	byte left;         /* ticks left of the lease, by this node's clock */
	bool lagged;       /* the one missed tick of left (slow clock) is used up */
	byte next;         /* value of left if the pending commit succeeds */
	bool nextLagged;   /* the one missed tick of next is used up */
	byte term;         /* term of the lease that left counts */
	mtype commit;      /* state of the commit as known to the node */
	bool inFlight;     /* the commit has not reached the table service yet */
	bool holds;        /* condition of the pending commit still holds */
	bool takeOver;     /* the pending commit starts a new term */
	byte wrote;        /* term in the commit */
	bool mine;         /* the row's last operation is the node's commit */
	byte order;        /* term of an order that was checked but not sent yet */
};
Node node[NODES];

/* Highest fencing number that the member accepted. */
byte fence;

inline touchRow(i) {
	node[0].seen = false; node[1].seen = false;
	node[0].holds = false; node[1].holds = false;
	node[0].mine = false; node[1].mine = false;
	node[i].mine = true
}

inline countDown(i) {
	if
	:: (node[i].left > 0 || node[i].next > 0) && !node[i].lagged && !node[i].nextLagged ->
		/* The node's clock misses this tick. */
		node[i].lagged = node[i].left > 0;
		node[i].nextLagged = node[i].next > 0
	:: true ->
		node[i].left = (node[i].left > 0 -> node[i].left - 1 : 0);
		node[i].next = (node[i].next > 0 -> node[i].next - 1 : 0)
	fi;
	if
	:: node[i].wait > 1 && !node[i].hurried ->
		/* The node's clock counts this tick twice. */
		node[i].hurried = true;
		node[i].wait = node[i].wait - 2
	:: true ->
		node[i].wait = (node[i].wait > 0 -> node[i].wait - 1 : 0)
	fi;
	node[i].lagged = node[i].lagged && node[i].left > 0;
	node[i].nextLagged = node[i].nextLagged && node[i].next > 0;
	node[i].hurried = node[i].hurried && node[i].wait > 0
}

active proctype Clock() {
	do
	:: atomic { countDown(0); countDown(1) }
	od
}

/* Table service: applies or loses the commit of a node, at any time. */
proctype Table(byte i) {
	do
	:: atomic {
		node[i].inFlight ->
		node[i].inFlight = false;
		if
		:: true ->
			node[i].holds = false;
			/* The commit is lost. */
			node[i].commit = (node[i].commit == sent -> unknown : node[i].commit)
#ifdef CONDITION_DROPPED
		:: true ->
#else
		:: !node[i].holds ->
			node[i].commit = (node[i].commit == sent -> unknown : node[i].commit)
		:: node[i].holds ->
#endif
			touchRow(i);
			rowHolder = i;
			rowTerm = (node[i].takeOver -> rowTerm + 1 : rowTerm);
			if
			:: node[i].commit == sent ->
				node[i].wrote = rowTerm;
				node[i].commit = confirmed
			:: node[i].commit == sent || node[i].commit == unknown ->
				node[i].wrote = rowTerm;
				node[i].commit = unknown
			:: node[i].commit == idle -> node[i].mine = false
			fi
		fi;
		node[i].takeOver = false
	}
	od
}

inline begin(i, raises) {
	node[i].takeOver = raises;
	node[i].inFlight = true;
	node[i].holds = true;
	node[i].mine = false;
	node[i].commit = sent;
	node[i].wrote = 0;
	node[i].next = DURATION - MARGIN;
	node[i].nextLagged = false
}

inline finish(i, won) {
	if
	:: won ->
#ifdef COUNT_FROM_ANSWER
		node[i].left = DURATION - MARGIN;
		node[i].lagged = false;
#else
		node[i].left = node[i].next;
		node[i].lagged = node[i].nextLagged;
#endif
		node[i].term = node[i].wrote
	:: else
	fi;
	node[i].next = 0;
	node[i].nextLagged = false;
	node[i].wrote = 0;
	node[i].mine = false;
	node[i].commit = idle
}

proctype Holder(byte i) {
	do
	:: atomic { /* Read the row. */
		!node[i].seen ->
		node[i].seen = true;
#ifdef OBSERVATION_NOT_RESTARTED
		if
		:: node[i].wait == 0 && node[i].term == 0 && node[i].left == 0
		:: else -> node[i].wait = DURATION
		fi;
#else
		node[i].wait = DURATION;
#endif
		node[i].hurried = false
	}
	:: atomic { /* Renew while the row still has this node's term. */
		node[i].commit == idle && !node[i].inFlight && node[i].seen &&
			rowHolder == i && node[i].term == rowTerm && node[i].order == 0 ->
		begin(i, false)
	}
	:: atomic { /* Acquire a lease that is free or whose row was unchanged for DURATION. */
		node[i].commit == idle && !node[i].inFlight && node[i].seen &&
			node[i].left == 0 && rowTerm < MAX_TERM &&
#ifndef OBSERVATION_DROPPED
			(node[i].wait == 0 || rowHolder == NOBODY) &&
#endif
			true ->
		begin(i, true)
	}
	:: atomic { node[i].commit == confirmed -> finish(i, true) }
	:: atomic { /* Time out waiting for a response. */
		node[i].commit == sent -> node[i].commit = unknown
	}
	:: atomic { /* Read the row back after a lost response. */
		node[i].commit == unknown ->
#ifdef READ_BACK_DROPPED
		node[i].wrote = (node[i].takeOver -> rowTerm + 1 : rowTerm);
		finish(i, true)
#else
		finish(i, node[i].mine && rowHolder == i)
#endif
	}
	:: atomic { /* Release the lease: stop sending orders first, then write the row. */
		node[i].commit == idle && !node[i].inFlight && node[i].seen &&
			rowHolder == i && node[i].term == rowTerm && rowTerm < MAX_TERM ->
#ifndef HAND_ON_BEFORE_STOP
		node[i].left = 0;
		node[i].lagged = false;
#endif
		touchRow(i);
		node[i].mine = false;
		rowHolder = NOBODY
	}
	:: atomic { /* Check the deadline immediately before an order. */
#ifdef DEADLINE_CHECK_DROPPED
		node[i].term > 0 && node[i].order == 0 ->
#else
		node[i].left > 0 && node[i].order == 0 ->
#endif
		assert(rowHolder == i && rowTerm == node[i].term);
		node[i].order = node[i].term
	}
	:: atomic { /* Send the order at any later time: the node may have been paused. */
		node[i].order > 0 ->
#ifdef FENCING_IGNORED
		assert(node[i].order >= fence);
		fence = node[i].order;
#else
		if
		:: node[i].order >= fence -> fence = node[i].order
		:: else /* The member rejects the order. */
		fi;
#endif
		node[i].order = 0
	}
	:: atomic { /* Restart without memory; a commit may still be in flight. */
		node[i].term > 0 || node[i].commit != idle ->
		node[i].seen = false;
		node[i].wait = DURATION;
		node[i].hurried = false;
		node[i].left = 0;
		node[i].lagged = false;
		node[i].term = 0;
		node[i].order = 0;
		node[i].wrote = 0;
		node[i].next = 0;
		node[i].nextLagged = false;
		node[i].mine = false;
		node[i].commit = idle;
#ifdef RESTART_BELIEVES_ROW
		if
		:: rowHolder == i ->
			node[i].term = rowTerm;
			node[i].left = DURATION - MARGIN
		:: else
		fi
#endif
	}
	od
}

init {
	atomic {
		node[0].wait = DURATION;
		node[1].wait = DURATION;
		node[0].commit = idle;
		node[1].commit = idle;
		run Table(0);
		run Table(1);
		run Holder(0);
		run Holder(1)
	}
}
