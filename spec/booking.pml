/*
 * At-most-once requests: concurrent calls with one idempotency key at different
 * nodes.
 *
 * A call claims the booking row with a conditional write on the expected
 * version, dispatches the request once, and closes the row: as recorded with
 * the result, or as released if the request certainly did not run. A released
 * row may be claimed again. A write without a response is repeated unchanged up
 * to TRIES times. A claim without a response after that may still take effect;
 * the call then releases it. The table service may apply a write at any later
 * time or lose it, and may lose the response. Nodes crash between any two steps
 * and lose their memory. The response of the service may be lost.
 *
 * Checked: the request runs at most once; a call that reports notRun did not
 * run the request and never will; a recorded result belongs to a run. The
 * refuted variant shows a claim that does not hold: that notRun also covers
 * earlier calls with the same key.
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

/* The booking row. rowOperation is the operation ID of the claim. Closing writes
 * need no operation ID in this model, since nothing depends on them. */
mtype rowPhase = absent;
byte rowVersion;
byte rowOperation = NOBODY;

/* The backend service. */
byte runs;

typedef Call {
	mtype step;
	mtype told;
	byte version;   /* row version that the pending write expects */
	byte tries;
	bool inFlight;  /* the write has not reached the table service yet */
	bool closes;    /* the pending write closes the row */
	mtype phase;    /* row phase after the pending write */
	mtype answer;
	bool withdraws; /* the claim timed out and must be released if it takes effect */
	bool request;   /* a request to the service is in flight */
	bool reply;     /* the response of the service has arrived */
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

/* Ends a call. Its messages in flight may still take effect. */
inline finish(c) {
	call[c].step = done;
	call[c].answer = noAnswer;
	call[c].tries = 0
}

/* Table service: applies a call's write at any time, or loses it. */
proctype Table(byte c) {
end:	do
	:: atomic {
		call[c].inFlight ->
		call[c].inFlight = false;
		if
		:: true /* The write is lost. */
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
			:: true /* The response is lost. */
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
		:: true /* The request is lost without an error. */
		:: call[c].refused = true /* The connection was refused. */
		:: runs < 2 ->
			runs++;
			call[c].reached = true;
			assert(runs == 1 && call[c].told != notRun);
			if
			:: call[c].reply = true
			:: true /* The response is lost. */
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

/* The call's claim took effect. */
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

/* The row is unclaimed or claimed by another call. */
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
	:: atomic { /* Timeout: send the same write again. */
		call[c].step == claiming && call[c].answer == noAnswer && call[c].tries < TRIES ->
#ifdef READ_BACK_DROPPED
		own(c)
#else
		submit(c)
#endif
	}
	:: atomic { /* Retries exhausted: the claim may still take effect. */
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
	:: atomic { /* Conflict: read back which call holds the row. */
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
	:: atomic { /* The service timed out. */
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
	:: atomic { /* Crash: loses the call's memory; its messages stay in flight. */
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
