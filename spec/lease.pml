/*
 * Lease of one fabric domain, without a shared clock, and the fencing number
 * of its orders.
 *
 * Two nodes share one row. A commit is a message that the table service
 * applies at any later time or never; its answer may be late or lost. The
 * holder counts its lease from before the renewal was sent, less MARGIN. The
 * other node takes over only after it has seen the row unchanged for DURATION
 * by its own clock. Clocks drift: one tick may be missed by a holder's
 * countdown and one counted twice by an observer's. Time is unbounded: only
 * countdowns are kept, and row versions are kept as "unchanged since" bits.
 *
 * Checked: a node that finds its lease valid is the holder in the row, and no
 * member that checks fencing numbers takes an order older than its last.
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

/* The row of the lease. */
byte rowHolder = NOBODY;
byte rowTerm;

typedef Node {
	bool seen;         /* row unchanged since this node last read it */
	byte wait;         /* ticks until the row counts as unchanged for DURATION */
	bool hurried;      /* wait has already lost its extra tick */
	byte left;         /* ticks left of the lease, by this node's clock */
	bool lagged;       /* left has already gained its extra tick */
	byte next;         /* ticks that the commit under way would leave */
	bool nextLagged;   /* next has already gained its extra tick */
	byte term;         /* term under which left counts */
	mtype commit;      /* what the node knows of its commit */
	bool inFlight;     /* the table service has still to apply the commit */
	bool holds;        /* condition of the commit under way still holds */
	bool takeOver;     /* the commit under way raises the term */
	byte wrote;        /* term that the commit wrote */
	bool mine;         /* the row's last operation is the node's commit */
	byte order;        /* term of an order checked and not yet emitted */
};
Node node[NODES];

/* The member's last accepted fencing number. */
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

/* Table service: applies or drops the commit of a node, at any time. */
proctype Table(byte i) {
	do
	:: atomic {
		node[i].inFlight ->
		node[i].inFlight = false;
		if
		:: true ->
			node[i].holds = false;
			/* Lost before it took effect. */
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
	:: atomic { /* Renew, while the row still names this node's term. */
		node[i].commit == idle && !node[i].inFlight && node[i].seen &&
			rowHolder == i && node[i].term == rowTerm && node[i].order == 0 ->
		begin(i, false)
	}
	:: atomic { /* Take over a row that is free or was unchanged long enough. */
		node[i].commit == idle && !node[i].inFlight && node[i].seen &&
			node[i].left == 0 && rowTerm < MAX_TERM &&
#ifndef OBSERVATION_DROPPED
			(node[i].wait == 0 || rowHolder == NOBODY) &&
#endif
			true ->
		begin(i, true)
	}
	:: atomic { node[i].commit == confirmed -> finish(i, true) }
	:: atomic { /* Give up waiting for an answer. */
		node[i].commit == sent -> node[i].commit = unknown
	}
	:: atomic { /* Read back after a lost answer. */
		node[i].commit == unknown ->
#ifdef READ_BACK_DROPPED
		node[i].wrote = (node[i].takeOver -> rowTerm + 1 : rowTerm);
		finish(i, true)
#else
		finish(i, node[i].mine && rowHolder == i)
#endif
	}
	:: atomic { /* Hand the lease on: stop first, then free the row. */
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
	:: atomic { /* Check the deadline right before an order. */
#ifdef DEADLINE_CHECK_DROPPED
		node[i].term > 0 && node[i].order == 0 ->
#else
		node[i].left > 0 && node[i].order == 0 ->
#endif
		assert(rowHolder == i && rowTerm == node[i].term);
		node[i].order = node[i].term
	}
	:: atomic { /* Emit it, at any later time: the node may have been paused. */
		node[i].order > 0 ->
#ifdef FENCING_IGNORED
		assert(node[i].order >= fence);
		fence = node[i].order;
#else
		if
		:: node[i].order >= fence -> fence = node[i].order
		:: else /* The member refuses the order. */
		fi;
#endif
		node[i].order = 0
	}
	:: atomic { /* Restart with empty memory; a commit may still be under way. */
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
