/*
 * At-most-once requests: one idempotency key, called several times at
 * different nodes at once.
 *
 * A call claims the booking row, on the version that it expects, dispatches
 * once, and closes the row: recorded with the result, or released when the
 * request was certainly not run. A released row may be claimed again. A write
 * that gets no answer is sent again as it is, some times; a claim given up may
 * still take effect, and is then withdrawn. Writes reach the table service at
 * any later time or never and their answers may be lost; nodes crash between
 * any two steps and forget everything; the service's answer may be lost.
 *
 * Checked: the request runs at most once; a call that answers notRun did not
 * run the request and never will; a recorded result belongs to a run. Not so,
 * and shown by the refuted variant: that notRun speaks for earlier calls of
 * the same key as well.
 *
 * mutant: -DCLAIM_AFTER_DISPATCH
 * mutant: -DREAD_BACK_DROPPED
 * mutant: -DVERSION_CONDITION_DROPPED
 * mutant: -DVERSION_REUSED
 * mutant: -DOPERATION_SHARED
 * mutant: -DRERUN_WITHOUT_RESULT
 * mutant: -DDISPATCH_RETRIED
 * mutant: -DNOT_RUN_AFTER_DISPATCH
 * mutant: -DDISPATCH_WHEN_UNKNOWN
 * mutant: -DRELEASED_WHEN_UNKNOWN
 * mutant: -DDISPATCH_AFTER_WITHDRAWAL
 * mutant: -DRECORD_BEFORE_ANSWER
 * refuted: -DNOT_RUN_FOR_THE_KEY
 */

#define CALLS 3
#define NOBODY 7
#define CRASHES 1
#define TRIES 2

mtype = { absent, pending, released, recorded };
mtype = { waiting, claiming, reading, claimed, dispatched, closing, done };
mtype = { none, notRun, ran, outcomeUnknown };
mtype = { noAnswer, applied, conflict };

/* The booking row. An operation is that of a call's claim; a closing write
 * needs none of its own here, since nothing follows it. */
mtype rowPhase = absent;
byte rowVersion;
byte rowOperation = NOBODY;

/* The backend service. */
byte runs;

typedef Call {
	mtype step;
	mtype told;
	byte version;   /* the row's version that the write under way expects */
	byte tries;
	bool inFlight;  /* the table service has still to apply the write */
	bool closes;    /* the write under way closes the row */
	mtype phase;    /* what the write under way makes of the row */
	mtype answer;
	bool withdraws; /* the claim was given up */
	bool request;   /* a request is on its way to the service */
	bool reply;     /* the service's answer is there */
	bool refused;   /* the request certainly did not reach the service */
	bool reached;   /* the service ran the request */
	bool retried;
};
Call call[CALLS];
byte crashes;

#ifdef OPERATION_SHARED
#define OPERATION(c) 0
#else
#define OPERATION(c) (c)
#endif

inline tell(c, outcome) {
	call[c].told = outcome;
	if
	:: outcome == notRun ->
		assert(!call[c].reached && !call[c].request);
#ifdef NOT_RUN_FOR_THE_KEY
		assert(runs == 0)
#endif
	:: outcome == ran -> assert(runs == 1)
	:: else
	fi
}

inline submit(c) {
	call[c].tries++;
	call[c].inFlight = true;
	call[c].answer = noAnswer
}

inline claim(c, expected) {
	call[c].tries = (call[c].version == expected -> call[c].tries : 0);
	call[c].version = expected;
	call[c].phase = pending;
	call[c].closes = false;
	call[c].step = claiming;
	submit(c)
}

inline close(c, to) {
	call[c].version = call[c].version + 1;
	call[c].phase = to;
	call[c].closes = true;
	call[c].tries = 0;
	call[c].step = closing;
	submit(c)
}

/* Ends a call. What it has in flight may still take effect. */
inline finish(c) {
	call[c].step = done;
	call[c].answer = noAnswer;
	call[c].tries = 0
}

/* The table service applies a call's write at any time, or loses it. */
proctype Table(byte c) {
end:	do
	:: atomic {
		call[c].inFlight ->
		call[c].inFlight = false;
		if
		:: true /* Lost before it took effect. */
#ifdef VERSION_CONDITION_DROPPED
		:: true ->
#else
		:: rowVersion == call[c].version ->
#endif
			rowPhase = call[c].phase;
			rowOperation = (call[c].closes -> NOBODY : OPERATION(c));
#ifdef VERSION_REUSED
			rowVersion = (call[c].phase == released -> 0 : call[c].version + 1);
#else
			rowVersion = call[c].version + 1;
#endif
			if
			:: call[c].answer = applied
			:: true /* The answer is lost. */
			fi
		:: rowVersion != call[c].version ->
			if
			:: call[c].answer = conflict
			:: true
			fi
		fi;
		call[c].answer = (call[c].step == done -> noAnswer : call[c].answer)
	}
	od
}

proctype Service(byte c) {
end:	do
	:: atomic {
		call[c].request ->
		call[c].request = false;
		if
		:: true /* The request is lost; nobody knows. */
		:: call[c].refused = true /* The connection was refused. */
		:: runs < 2 ->
			runs++;
			call[c].reached = true;
			assert(runs == 1 && call[c].told != notRun);
			if
			:: call[c].reply = true
			:: true /* The answer is lost. */
			fi
		fi
	}
	od
}

inline dispatch(c) {
	call[c].request = true;
	call[c].step = dispatched;
	call[c].answer = noAnswer
}

/* The call's claim is in force. */
inline own(c) {
	if
#ifndef DISPATCH_AFTER_WITHDRAWAL
	:: call[c].withdraws -> close(c, released)
	:: else ->
#else
	:: true ->
#endif
		call[c].step = claimed;
		call[c].answer = noAnswer
	fi
}

/* The row belongs to nobody, or to another call. */
inline meet(c) {
	if
	:: call[c].withdraws -> finish(c)
	:: !call[c].withdraws && (rowPhase == absent || rowPhase == released) && call[c].tries < TRIES ->
		claim(c, rowVersion)
	:: !call[c].withdraws && (rowPhase == absent || rowPhase == released) && call[c].tries >= TRIES ->
		call[c].step = claiming;
		call[c].answer = noAnswer
	:: !call[c].withdraws && rowPhase == recorded -> tell(c, ran); finish(c)
	:: !call[c].withdraws && rowPhase == pending ->
#ifdef RERUN_WITHOUT_RESULT
		call[c].step = claimed
#else
		tell(c, outcomeUnknown); finish(c)
#endif
	fi
}

proctype Node(byte c) {
end:	do
	:: atomic {
		call[c].step == waiting ->
		if
#ifdef CLAIM_AFTER_DISPATCH
		:: dispatch(c)
#else
		:: claim(c, 0)
#endif
		:: tell(c, notRun); finish(c) /* The platform is known to be down. */
		fi
	}
	:: atomic { call[c].step == claiming && call[c].answer == applied -> own(c) }
	:: atomic { call[c].step == claiming && call[c].answer == conflict -> call[c].step = reading }
	:: atomic { /* No answer in time: the same write again. */
		call[c].step == claiming && call[c].answer == noAnswer && call[c].tries < TRIES ->
#ifdef READ_BACK_DROPPED
		own(c)
#else
		submit(c)
#endif
	}
	:: atomic { /* Given up: the claim may still take effect. */
		call[c].step == claiming && call[c].answer == noAnswer && call[c].tries >= TRIES ->
#ifdef DISPATCH_WHEN_UNKNOWN
		call[c].step = claimed
#else
		if
		:: !call[c].withdraws ->
			tell(c, notRun);
			call[c].withdraws = true;
			call[c].tries = 0;
			submit(c)
		:: else -> finish(c)
		fi
#endif
	}
	:: atomic { /* A conflict: whose is the row? */
		call[c].step == reading ->
#ifdef READ_BACK_DROPPED
		own(c)
#else
		if
		:: rowOperation == OPERATION(c) -> own(c)
		:: else -> meet(c)
		fi
#endif
	}
	:: atomic { call[c].step == claimed -> dispatch(c) }
	:: atomic {
		call[c].step == dispatched && call[c].reply ->
#ifdef CLAIM_AFTER_DISPATCH
		call[c].version = rowVersion - 1;
#endif
		tell(c, ran);
		close(c, recorded)
	}
	:: atomic {
		call[c].step == dispatched && call[c].refused ->
		tell(c, notRun);
		close(c, released)
	}
	:: atomic { /* No answer from the service in time. */
		call[c].step == dispatched && !call[c].reply && !call[c].refused ->
#ifdef DISPATCH_RETRIED
		if
		:: !call[c].retried && !call[c].request -> call[c].retried = true; dispatch(c)
		:: else -> tell(c, outcomeUnknown); finish(c)
		fi
#else
#ifdef NOT_RUN_AFTER_DISPATCH
		tell(c, notRun); finish(c)
#else
#ifdef RELEASED_WHEN_UNKNOWN
		tell(c, outcomeUnknown); close(c, released)
#else
#ifdef RECORD_BEFORE_ANSWER
		tell(c, ran); close(c, recorded)
#else
		tell(c, outcomeUnknown); finish(c)
#endif
#endif
#endif
#endif
	}
	:: atomic { call[c].step == closing && call[c].answer != noAnswer -> finish(c) }
	:: atomic {
		call[c].step == closing && call[c].answer == noAnswer ->
		if
		:: call[c].tries < TRIES -> submit(c)
		:: else -> finish(c)
		fi
	}
	:: atomic { /* Crash: the call's memory is gone, its messages are not. */
		crashes < CRASHES && call[c].step != waiting && call[c].step != done ->
		crashes++;
		call[c].step = done;
		call[c].answer = noAnswer;
		call[c].tries = 0
	}
	od
}

init {
	atomic {
		byte c;
		for (c : 0 .. CALLS - 1) {
			call[c].step = waiting;
			call[c].told = none;
			call[c].phase = pending;
			call[c].answer = noAnswer;
			run Table(c);
			run Service(c);
			run Node(c)
		}
	}
}
