/*
 * When the members of a head may join another group that has no registration, or whose
 * registration says that it has left its group.
 *
 * The head serves, then leaves without an announcement: it stops listening, works on what
 * it has accepted for up to MAX_WORK ticks, and ends. It may crash at any time and start
 * again. While the store is down, its registration may lapse although it serves. At most
 * MAX_CUTS times it is cut off from all nodes, for up to CUT ticks each. The holder of the
 * lease probes it whenever it gets to: it may be suspended, or another node may hold the
 * lease for a time. A refused connection shows that the head accepts nothing new; silence
 * may be a cut.
 *
 * A partition may separate the nodes that are alive from the whole failure domain of the head,
 * for any time. They see that, however few they are: they reach no other server of the
 * failure domain either.
 *
 * Once the head has ended, another server may be given its address. A write of the entry of
 * the server that had the address before the head may be performed late, at any time.
 *
 * The head may leave its group after a close, and says so in its registration. The store may
 * write an older report late, from before the head joined, so that a head that serves seems
 * to have left; the next report corrects that. The holder asks the head.
 *
 * If the head is silent, the holder may order a member to leave the group, which then stands
 * still and is broken after STALL ticks.
 *
 * Checked: members are released only once the head has no work.
 *
 * mutant: -DTWO_PROBES_SUFFICE
 * mutant: -DABSENCE_SUFFICES
 * mutant: -DGAP_IGNORED
 * mutant: -DSILENCE_LIKE_REFUSAL
 * mutant: -DWAIT=3
 * mutant: -DBROKEN_AT_ONCE
 * mutant: -DPARTITION_IGNORED
 * mutant: -DANY_ENTRY_AT_ADDRESS
 * mutant: -DLATE_REPORT_BELIEVED
 */

#define MAX_WORK 4
#define CUT 2
#define MAX_CUTS 2
#define MAX_GAP 1
#define STALL 2
#ifndef WAIT
#define WAIT 6
#endif

mtype = { serving, finishing, ended, restarted, left };

mtype head = serving;
byte work = MAX_WORK;     /* ticks that the head may work after it has stopped listening */
bool registered = true;
bool lateReport;          /* the registration is an older report, from before it joined */
bool cut;
byte cutLeft;
byte cuts;
bool partitioned;         /* the nodes reach no server of the failure domain */
bool entryAtAddress;      /* another server is registered at the address of the head */
bool startedLater;        /* it started later than the head */
bool memberOut;           /* a member has left the group */
byte stall = STALL;       /* ticks until the group is broken then */

/* What the holder knows. */
bool unreachable;         /* the latest probes all failed */
bool refused;             /* the head refused a connection in one of them */
byte failures;            /* their number, up to 2 */
byte elapsed;             /* ticks since the first of them, or since the first refusal if
                             there was one, up to WAIT */
byte gap;                 /* ticks since the last of them, up to MAX_GAP + 1 */
bool released;

#define WORKING ((head == serving || head == finishing) && !(memberOut && stall == 0))
#define UP(x, limit) (x < limit -> x + 1 : limit)

inline forget() { unreachable = false; refused = false; failures = 0; elapsed = 0; gap = 0 }

inline release() { assert(!WORKING); released = true }

inline fail(byRefusal) {
	if
#ifndef GAP_IGNORED
	:: unreachable && gap > MAX_GAP -> forget()
#endif
	:: else
	fi;
	if
#ifndef SILENCE_LIKE_REFUSAL
	:: byRefusal && !refused -> refused = true; elapsed = 0
#endif
	:: else
	fi;
	unreachable = true;
	failures = UP(failures, 2);
	gap = 0;
	if
#ifdef TWO_PROBES_SUFFICE
	:: failures == 2 -> release()
#endif
	:: elapsed >= WAIT -> release()
	:: !byRefusal && !refused && !memberOut -> memberOut = true
#ifdef BROKEN_AT_ONCE
	:: memberOut -> release()
#else
	:: memberOut && stall == 0 -> release()
#endif
	:: true /* The order is lost, or nothing is due. */
	fi
}

proctype Head() {
	do
	:: atomic { head == serving -> head = finishing; registered = false }
	:: atomic { head == serving || head == finishing -> head = ended; registered = false }
	:: atomic { head == ended -> head = restarted; registered = true }
	/* An outage of the store, and its end. */
	:: atomic { head == serving && registered -> registered = false }
	:: atomic { head == serving && !registered -> registered = true; forget() }
	:: atomic { !cut && cuts < MAX_CUTS -> cut = true; cutLeft = CUT; cuts++ }
	:: atomic { cut -> cut = false }
	:: atomic { head == serving && registered -> head = left; lateReport = false }
	:: atomic { head == serving && registered -> lateReport = !lateReport }
	:: atomic { partitioned = !partitioned }
	:: atomic { !entryAtAddress -> entryAtAddress = true; startedLater = false }
	:: atomic { head == ended -> entryAtAddress = true; startedLater = true }
	od
}

proctype Time() {
	do
	:: atomic {
		(head != finishing || work > 0) && (!cut || cutLeft > 0) ->
		stall = (memberOut && stall > 0 -> stall - 1 : stall);
		work = (head == finishing -> work - 1 : work);
		cutLeft = (cut -> cutLeft - 1 : cutLeft);
		elapsed = (unreachable -> UP(elapsed, WAIT) : 0);
		gap = (unreachable -> UP(gap, MAX_GAP + 1) : 0)
	}
	od
}

proctype Holder() {
	do
	:: released -> break
	:: atomic { !released && registered && head == restarted -> release() }
	:: atomic {
		!released && registered && (lateReport || head == left) ->
		if
#ifdef LATE_REPORT_BELIEVED
		:: release()
#endif
		:: head == left && !cut && !partitioned -> release()
		:: else /* The head says that it serves, or isn't reached. */
		fi
	}
	:: atomic {
		!released && !registered && entryAtAddress ->
		if
#ifdef ANY_ENTRY_AT_ADDRESS
		:: true -> release()
#else
		:: startedLater -> release()
		:: !startedLater
#endif
		fi
	}
	:: atomic {
		!released && !registered && partitioned ->
#ifdef PARTITION_IGNORED
		fail(false)
#else
		skip
#endif
	}
	:: atomic {
		!released && !registered && !partitioned ->
		if
#ifdef ABSENCE_SUFFICES
		:: release()
#endif
		:: head == restarted && !cut -> release()
		:: head == serving && !cut -> forget()
		:: cut -> fail(false)
		:: (head == finishing || head == ended) && !cut -> fail(true)
		fi
	}
	od
}

init {
	atomic {
		run Head();
		run Time();
		run Holder()
	}
}
