/*
 * The lease of a failure domain over returns of the store from an older copy.
 *
 * Two nodes compete for the lease by conditional writes of its row. The store makes a copy
 * at any time and later comes back from it, up to MAX_DRILLS times: what was written since is
 * gone, the era rises by one, and versions are given out again. Rows have the era in which
 * they were written, so that a reader tells one that comes from a copy.
 *
 * Checked: no two nodes hold the lease at a time; a term is higher than all before it.
 *
 * mutant: -DCONDITION_WITHOUT_ERA
 * mutant: -DCOPY_BELIEVED
 * mutant: -DFENCE_GOES_BACK
 * mutant: -DONE_JUMP
 */

#define DURATION 2
#define MAX_VERSION 4
#define MAX_DRILLS 2
#define MAX_TERM 32
#ifdef FENCE_GOES_BACK
#define JUMP 0
#else
#define JUMP 9  /* more than the writes of two eras */
#endif

typedef Row {
	byte holder;   /* 0 for none, else the number of the node + 1 */
	byte version;
	byte term;
	byte written;  /* era of the write */
};

Row row;
Row copied;
bool hasCopy;
byte era;
byte highestTerm;

typedef Candidate {
	byte left;     /* ticks for which it holds the lease */
	byte wait;     /* ticks until the row that it knows is free */
	bool seen;
	byte version;  /* of the row that it knows, and the era that it was read in */
	byte era;
	byte restored; /* eras since that row was written; it comes from a copy if there are any */
	byte term;     /* of that row */
};
Candidate node[2];

#ifdef ONE_JUMP
#define JUMPS(i) (node[i].restored > 0 -> JUMP : 0)
#else
#define JUMPS(i) (JUMP * node[i].restored)
#endif

#define KNOWN(i) (node[i].seen && node[i].version == row.version && node[i].era == era)
#ifdef CONDITION_WITHOUT_ERA
#define HOLDS_CONDITION(i) (node[i].seen && node[i].version == row.version)
#else
#define HOLDS_CONDITION(i) KNOWN(i)
#endif

inline write(i, byWhom, underTerm) {
	row.holder = byWhom;
	row.version++;
	row.term = underTerm;
	row.written = era;
	node[i].version = row.version;
	node[i].era = era;
	node[i].term = row.term;
	node[i].restored = 0
}

proctype Node(byte i) {
	byte next;
end:	do
	:: atomic {
		!KNOWN(i) ->
		node[i].seen = true;
		node[i].version = row.version;
		node[i].era = era;
		/* A holder keeps its own term. */
		node[i].term = (node[i].left > 0 && node[i].term > row.term -> node[i].term : row.term);
		node[i].restored = era - row.written;
#ifdef COPY_BELIEVED
		node[i].wait = (row.holder == 0 || row.holder == i + 1 -> 0 : DURATION)
#else
		node[i].wait = (node[i].restored == 0 && (row.holder == 0 || row.holder == i + 1) -> 0 : DURATION)
#endif
	}
	:: atomic { node[i].left > 0 && HOLDS_CONDITION(i) && row.version < MAX_VERSION ->
		/* It renews, or writes its row again after a return of the store. */
		next = (row.term > node[i].term -> row.term : node[i].term);
		write(i, i + 1, next);
		node[i].left = DURATION
	}
	:: atomic { node[i].left > 0 && HOLDS_CONDITION(i) && row.version < MAX_VERSION ->
		next = (row.term > node[i].term -> row.term : node[i].term);
		write(i, 0, next);
		node[i].left = 0;
		node[i].wait = 0
	}
	:: atomic {
		node[i].left == 0 && node[i].wait == 0 && HOLDS_CONDITION(i) && row.version < MAX_VERSION && node[i].term + MAX_DRILLS * JUMP < MAX_TERM + JUMP ->
		next = node[i].term + 1 + JUMPS(i);
		write(i, i + 1, next);
		node[i].left = DURATION;
		assert(next > highestTerm);
		highestTerm = next;
		next = 0;
		assert(node[1 - i].left == 0)
	}
	od
}

proctype Time() {
end:	do
	:: atomic {
		node[0].left > 0 || node[1].left > 0 || node[0].wait > 0 || node[1].wait > 0 ->
		node[0].left = (node[0].left > 0 -> node[0].left - 1 : 0);
		node[1].left = (node[1].left > 0 -> node[1].left - 1 : 0);
		node[0].wait = (node[0].wait > 0 -> node[0].wait - 1 : 0);
		node[1].wait = (node[1].wait > 0 -> node[1].wait - 1 : 0)
	}
	od
}

proctype Store() {
end:	do
	:: atomic {
		!hasCopy && era < MAX_DRILLS ->
		hasCopy = true;
		copied.holder = row.holder; copied.version = row.version; copied.term = row.term; copied.written = row.written
	}
	:: atomic {
		hasCopy ->
		hasCopy = false;
		era++;
		row.holder = copied.holder; row.version = copied.version; row.term = copied.term; row.written = copied.written
	}
	od
}

init {
	atomic {
		run Node(0);
		run Node(1);
		run Time();
		run Store()
	}
}
