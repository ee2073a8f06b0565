/*
 * At-most-once requests: one idempotency key, called several times at two
 * nodes at once.
 *
 * A call inserts the booking row on condition that it is absent, dispatches
 * once, then records the result. Commits reach the table service at any later
 * time or never and their answers may be lost; nodes crash between any two
 * steps and forget everything; the service's answer may be lost.
 *
 * Checked: the request runs at most once; a call that answers notRun did not
 * run the request and never will; a recorded result belongs to a run. Not so,
 * and shown by the refuted variant: that notRun speaks for earlier calls of
 * the same key as well.
 *
 * mutant: -DINSERT_AFTER_DISPATCH
 * mutant: -DREAD_BACK_DROPPED
 * mutant: -DCONDITION_DROPPED
 * mutant: -DOPERATION_SHARED
 * mutant: -DRERUN_WITHOUT_RESULT
 * mutant: -DDISPATCH_RETRIED
 * mutant: -DNOT_RUN_AFTER_DISPATCH
 * mutant: -DDISPATCH_WHEN_UNKNOWN
 * mutant: -DRECORD_BEFORE_ANSWER
 * refuted: -DNOT_RUN_FOR_THE_KEY
 */

#define CALLS 3
#define NOBODY 7
#define CRASHES 2

mtype = { waiting, inserting, inserted, unsure, dispatched, answered, recording, done };
mtype = { none, notRun, ran, outcomeUnknown };

/* The booking row: absent, or written by an operation, with or without result. */
byte rowOperation = NOBODY;
bool rowResult;

/* The backend service. */
byte runs;
byte ranFor[CALLS];

typedef Call {
	mtype step;
	mtype told;
	bool inFlight;  /* the table service has still to apply the insert */
	bool answer;    /* the insert's answer is there */
	bool won;       /* what the answer says */
	bool request;   /* a request is on its way to the service */
	bool reply;     /* the service's answer is there */
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
	call[c].step = done;
	if
	:: outcome == notRun ->
		assert(ranFor[c] == 0 && !call[c].request);
#ifdef NOT_RUN_FOR_THE_KEY
		assert(runs == 0);
#endif
	:: outcome == ran -> assert(runs == 1)
	:: else
	fi
}

/* The row belongs to another call: return its result, or unknown. */
inline repeat(c) {
	if
	:: rowResult -> tell(c, ran)
	:: else ->
#ifdef RERUN_WITHOUT_RESULT
		call[c].step = inserted
#else
		tell(c, outcomeUnknown)
#endif
	fi
}

/* The table service applies a call's insert at any time, or loses it. */
proctype Insert(byte c) {
end:	do
	:: atomic {
		call[c].inFlight ->
		call[c].inFlight = false;
		if
		:: true /* Lost before it took effect. */
#ifdef CONDITION_DROPPED
		:: true ->
#else
		:: rowOperation == NOBODY ->
#endif
			rowOperation = OPERATION(c);
			if
			:: call[c].answer = true; call[c].won = true
			:: true /* The answer is lost. */
			fi
		:: rowOperation != NOBODY ->
			call[c].answer = true; call[c].won = false
		fi
	}
	od
}

proctype Service(byte c) {
end:	do
	:: atomic {
		call[c].request ->
		call[c].request = false;
		if
		:: true /* The request is lost. */
		:: runs < 2 ->
			runs++;
			ranFor[c]++;
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
	call[c].step = dispatched
}

proctype Node(byte c) {
end:	do
	:: atomic {
		call[c].step == waiting ->
#ifdef INSERT_AFTER_DISPATCH
		dispatch(c)
#else
		if
		:: call[c].inFlight = true; call[c].step = inserting
		:: tell(c, notRun) /* The platform is known to be down: refused. */
		fi
#endif
	}
	:: atomic { call[c].step == inserting && call[c].answer && call[c].won ->
		call[c].step = inserted
	}
	:: atomic { call[c].step == inserting && call[c].answer && !call[c].won ->
		/* A conflict may be with an earlier try of the same operation. */
		call[c].step = unsure
	}
	:: atomic { /* No answer in time. */
		call[c].step == inserting && !call[c].answer ->
		call[c].step = unsure
	}
	:: atomic { /* Read back. */
		call[c].step == unsure ->
#ifdef READ_BACK_DROPPED
		call[c].step = inserted
#else
#ifdef DISPATCH_WHEN_UNKNOWN
		if
		:: rowOperation == NOBODY -> call[c].step = inserted
		:: else -> skip
		fi;
#endif
		if
		:: call[c].step == unsure && rowOperation == OPERATION(c) -> call[c].step = inserted
		:: call[c].step == unsure && rowOperation != OPERATION(c) && rowOperation != NOBODY -> repeat(c)
		:: call[c].step == unsure && rowOperation == NOBODY ->
			/* The insert may yet be applied; this call will not dispatch. */
			tell(c, notRun)
		:: else
		fi
#endif
	}
	:: atomic { call[c].step == inserted -> dispatch(c) }
	:: atomic {
		call[c].step == dispatched && call[c].reply ->
		call[c].step = answered
	}
	:: atomic { /* No answer from the service in time. */
		call[c].step == dispatched && !call[c].reply ->
#ifdef DISPATCH_RETRIED
		if
		:: !call[c].retried && !call[c].request -> call[c].retried = true; dispatch(c)
		:: else -> tell(c, outcomeUnknown)
		fi
#else
#ifdef NOT_RUN_AFTER_DISPATCH
		tell(c, notRun)
#else
#ifdef RECORD_BEFORE_ANSWER
		call[c].step = answered
#else
		tell(c, outcomeUnknown)
#endif
#endif
#endif
	}
	:: atomic { /* Record the result; the write may be lost. */
		call[c].step == answered ->
#ifdef INSERT_AFTER_DISPATCH
		if
		:: rowOperation == NOBODY -> rowOperation = OPERATION(c)
		:: else
		fi;
#endif
		if
		:: rowOperation == OPERATION(c) -> rowResult = true
		:: true
		fi;
		tell(c, ran)
	}
	:: atomic { /* Crash: the call's memory is gone, its messages are not. */
		crashes < CRASHES && call[c].step != waiting && call[c].step != done ->
		crashes++;
		call[c].step = done;
		call[c].told = none
	}
	od
}

init {
	atomic {
		byte c;
		for (c : 0 .. CALLS - 1) {
			call[c].step = waiting;
			call[c].told = none;
			run Insert(c);
			run Service(c);
			run Node(c)
		}
	}
}
