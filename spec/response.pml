/*
 * Which response of a server a node believes.
 *
 * Callers send requests with an ID to either of two nodes. The node sends the request to a
 * server on a kept connection that it uses for one request at a time. The server runs it or
 * rejects it. After a rejection the node may try again at any server, also at the same one,
 * since two registrations may have one address, or refuse the request as not run. A caller
 * that was refused repeats the request under its ID at either node. Two callers have one ID at
 * the same time.
 *
 * A server decides on a request when it is sent: one that will run counts as run. It may send
 * a copy of a rejection at any later moment while the connection is open. The copy counts as
 * sent when it is read, since all that was read before came before. A connection may be closed
 * at any time: by a server, a fault or a time limit, and by bytes that come without a request.
 *
 * A connection remembers the IDs that were rejected on it; a request whose ID is among them
 * goes on a new one. It is closed once it would remember BOUND of them.
 *
 * Checked: the calls of a caller, each made after the one before was refused, run at most once
 * together (TWICE); a call that was refused has not run and will not (REFUSED). The mutants
 * break the latter first; with REFUSED_UNCHECKED they must break the former. The refuted
 * variant claims REFUSED for the ID, whose request another caller may have run.
 *
 * mutant: -DID_NOT_COMPARED
 * mutant: -DID_ALONE
 * mutant: -DFORGET_AT_BOUND
 * mutant: -DMEMORY_BY_REGISTRATION
 * mutant: -DUNJUDGED
 * mutant: -DFOREIGN_KEEPS
 * mutant: -DABANDONED_KEEPS
 * mutant: -DBROKEN_IS_NOT_SENT
 * mutant: -DID_ALONE -DREFUSED_UNCHECKED
 * mutant: -DFORGET_AT_BOUND -DREFUSED_UNCHECKED
 * mutant: -DUNJUDGED -DREFUSED_UNCHECKED
 * mutant: -DFOREIGN_KEEPS -DREFUSED_UNCHECKED
 * holds: -DBOUND=1
 * holds: -DSECOND_DOUBTED
 * refuted: -DNOT_RUN_FOR_THE_ID
 */

#define CALLERS 3
#define SERVERS 2
#define CONNECTIONS 4     /* one for each of two nodes and server, a new one once it is closed */
#define NONE CONNECTIONS
#define TRIES 2
#ifndef BOUND
#define BOUND 2
#endif

#define ID(c) (c == 0 -> 0 : 1)
#define CALLS(c) (c == 0 -> 2 : 1)
#define BIT(i) (1 << (i))
#define SIZE(set) ((set & 1) + (set >> 1))

mtype = { waiting, choosing, sent, received, done };

typedef Caller {
	mtype step;
	byte calls;
	byte node;
	byte tries;       /* of the current call */
	byte connection;  /* that of the current try; NONE once it is closed */
	bool alias;       /* the try is at the second registration of the server's address */
	byte answer;      /* ID in the response that was read */
	bool rejected;    /* the response is a rejection */
	bool doubted;     /* its ID was rejected on the connection before */
	byte runs;
};
Caller caller[CALLERS];

/* IDs, by connection. */
byte rejections[CONNECTIONS];  /* in rejections that were read; the server may copy these */
byte remembered[CONNECTIONS];  /* that the node remembers as rejected */
#ifdef MEMORY_BY_REGISTRATION
byte rememberedByAlias[CONNECTIONS];
#endif

/* The responses that are due on a connection: ID, rejected. */
chan due[CONNECTIONS] = [2] of { byte, bool };

#ifdef UNJUDGED
#define USES(c, k) (caller[c].connection == k && caller[c].step == sent)
#else
#define USES(c, k) (caller[c].connection == k)
#endif
#define BUSY(k) (USES(0, k) || USES(1, k) || USES(2, k))

#define LEAVE(c, k) caller[c].connection = (caller[c].connection == k -> NONE : caller[c].connection)

inline shut(k) {
	do
	:: due[k]?_, _
	:: empty(due[k]) -> break
	od;
	LEAVE(0, k);
	LEAVE(1, k);
	LEAVE(2, k);
#ifdef MEMORY_BY_REGISTRATION
	rememberedByAlias[k] = 0;
#endif
	remembered[k] = 0;
	rejections[k] = 0
}

#ifdef MEMORY_BY_REGISTRATION
#define REJECTED_BEFORE(c, k) ((caller[c].alias -> rememberedByAlias[k] : remembered[k]) & BIT(ID(c)))
#else
#define REJECTED_BEFORE(c, k) (remembered[k] & BIT(ID(c)))
#endif

inline send(c, k) {
	if
#if !defined(ID_ALONE) && !defined(SECOND_DOUBTED)
	:: REJECTED_BEFORE(c, k) -> shut(k)
#endif
	:: else
	fi;
	caller[c].connection = k;
	caller[c].tries++;
	caller[c].step = sent;
	if
	:: due[k]!ID(c), true
	:: due[k]!ID(c), false ->
		caller[c].runs++;
		assert(caller[c].runs == 1) /* TWICE */
	fi
}

inline endTry(c) {
	caller[c].connection = NONE;
	caller[c].alias = false;
	caller[c].answer = 0;
	caller[c].rejected = false;
	caller[c].doubted = false
}

inline endCall(c, next) {
	endTry(c);
	caller[c].tries = 0;
	caller[c].node = 0;
	caller[c].step = next
}

inline refuse(c) {
#ifndef REFUSED_UNCHECKED
	assert(caller[c].runs == 0); /* REFUSED */
#endif
#ifdef NOT_RUN_FOR_THE_ID
	assert(c == 0 || caller[1].runs + caller[2].runs == 0);
#endif
	if
	:: caller[c].calls < CALLS(c) -> endCall(c, waiting)
	:: else -> endCall(c, done)
	fi
}

/* Records that the request of a caller was rejected on a connection. */
inline record(c, k) {
#ifdef MEMORY_BY_REGISTRATION
	if
	:: caller[c].alias -> rememberedByAlias[k] = rememberedByAlias[k] | BIT(ID(c))
	:: else -> remembered[k] = remembered[k] | BIT(ID(c))
	fi;
#else
	remembered[k] = remembered[k] | BIT(ID(c));
#endif
	if
	:: SIZE(remembered[k]) < BOUND
#ifdef FORGET_AT_BOUND
	:: else -> remembered[k] = BIT(ID(c))
#else
	:: else -> shut(k)
#endif
	fi
}

inline receive(c, id, isRejected) {
	caller[c].answer = id;
	caller[c].rejected = isRejected;
#ifdef SECOND_DOUBTED
	/* An ID may come again, and its second rejection says nothing. */
	caller[c].doubted = isRejected && REJECTED_BEFORE(c, caller[c].connection);
#endif
	caller[c].step = received
}

inline judge(c, k) {
	if
#ifdef ID_NOT_COMPARED
	:: caller[c].answer != ID(c) && !caller[c].rejected || caller[c].doubted ->
#else
	:: caller[c].answer != ID(c) || caller[c].doubted ->
#endif
#ifndef FOREIGN_KEEPS
		if
		:: k != NONE -> shut(k)
		:: else
		fi;
#endif
		endCall(c, done) /* It may have run. */
	:: else ->
		if
		:: !caller[c].rejected -> endCall(c, done)
		:: else ->
			if
			:: k != NONE -> record(c, k)
			:: else
			fi;
			endTry(c);
			caller[c].step = choosing
		fi
	fi
}

/* A caller, and the node that handles its call. */
proctype Call(byte c) {
	byte k;
	byte id;
	bool isRejected;
end:	do
	:: atomic {
		/* Callers 1 and 2 are alike, so caller 1 begins. */
		caller[c].step == waiting && (c != 2 || caller[1].calls) ->
		caller[c].calls++;
		caller[c].step = choosing;
		if
		:: caller[c].node = 0
		/* The nodes are alike, so the first call of caller 0 is at node 0. */
		:: c != 0 || caller[c].calls > 1 -> caller[c].node = 1
		fi
	}
	:: atomic { caller[c].step == choosing -> refuse(c) }
	:: atomic {
		caller[c].step == choosing && caller[c].tries < TRIES ->
		if
		:: k = caller[c].node * SERVERS
		:: k = caller[c].node * SERVERS + 1
		fi;
#ifdef MEMORY_BY_REGISTRATION
		if
		:: caller[c].alias = false
		:: caller[c].alias = true
		fi;
#endif
		if
		:: !BUSY(k) && len(due[k]) < 2 -> send(c, k)
		:: else -> caller[c].alias = false
		fi;
		k = 0
	}
	:: atomic {
		caller[c].step == sent && caller[c].connection != NONE ->
		k = caller[c].connection;
		if
		:: due[k]?id, isRejected ->
			rejections[k] = (isRejected -> rejections[k] | BIT(id) : rejections[k])
		/* A copy. */
		:: rejections[k] & BIT(0) -> id = 0; isRejected = true
		:: rejections[k] & BIT(1) -> id = 1; isRejected = true
		fi;
		receive(c, id, isRejected);
		id = 0;
		isRejected = false;
		k = 0
	}
	:: atomic {
		caller[c].step == received ->
		k = caller[c].connection;
		judge(c, k);
		k = 0
	}
	/* The connection was closed. */
	:: atomic {
		caller[c].step == sent && caller[c].connection == NONE ->
#ifdef BROKEN_IS_NOT_SENT
		endTry(c);
		caller[c].step = choosing
#else
		endCall(c, done) /* It may have run. */
#endif
	}
#ifdef ABANDONED_KEEPS
	:: atomic { caller[c].step == sent -> endCall(c, done) }
#endif
	od
}

proctype Fault() {
	byte k;
end:	do
	:: atomic {
		if
		:: k = 0
		:: k = 1
		:: k = 2
		:: k = 3
		fi;
		shut(k);
		k = 0
	}
	od
}

init {
	byte i;
	atomic {
		do
		:: i < CALLERS ->
			caller[i].step = waiting;
			caller[i].connection = NONE;
			run Call(i);
			i++
		:: else -> break
		od;
		i = 0;
		run Fault()
	}
}
