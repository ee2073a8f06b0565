/*
 * Proof that requests may be dispatched to a replica group, as seen from one
 * gateway.
 *
 * A group has two members; member 0 is the leader. The state of a member may
 * change at any time: orders of any controller, current or delayed, make it
 * join or leave the expected group and epoch, and it may stop answering and
 * resume. The control protocol allows fewer changes, so the properties checked
 * here hold for every state of leases and rows. Probes and their responses may
 * take any time.
 *
 * Checked: a request is dispatched only if each member was, within PROOF_TTL,
 * up and in the expected group and epoch; a response reaches the caller only if
 * it was computed by exactly that group and epoch with all members up. Assumed:
 * members that are not all up and in the same group and epoch cannot compute
 * together (variant COLLECTIVE_UNCHECKED shows that the second property depends
 * on this).
 *
 * mutant: -DIDENTITY_CHECK_DROPPED
 * mutant: -DLEADER_ONLY
 * mutant: -DAGE_FROM_ANSWER
 * mutant: -DPROOF_NOT_EXPIRED
 * mutant: -DHEAD_CHECK_DROPPED
 * refuted: -DCOLLECTIVE_UNCHECKED
 * refuted: -DNO_PROOF_AGE
 */

#define MEMBERS 2
#define PROOF_TTL 2
#define STALE (PROOF_TTL + 1)

mtype = { none, asked, answeredMatch, answeredOther };

typedef Member {
	bool up;
	bool match;     /* runs the expected group and epoch */
	byte apart;     /* ticks since it was last up and matching; STALE if never */
	mtype probe;
	byte probeAge;  /* ticks since the probe was sent */
	byte proofAge;  /* ticks since the last matching probe was sent; STALE if none */
};
Member member[MEMBERS];

mtype = { idle, sent, computed };
mtype request = idle;
bool headMatches;   /* the head of the response has the expected identity */
bool whole;         /* computed by all members in the expected group and epoch */

inline older(age) {
	age = (age < STALE -> age + 1 : STALE)
}

active proctype Clock() {
	byte m;
	do
	:: atomic {
		for (m : 0 .. MEMBERS - 1) {
			if
			:: member[m].up && member[m].match -> member[m].apart = 0
			:: else -> older(member[m].apart)
			fi;
			if
			:: member[m].probe != none -> older(member[m].probeAge)
			:: else
			fi;
#ifndef PROOF_NOT_EXPIRED
			older(member[m].proofAge)
#endif
		};
		m = 0
	}
	od
}

proctype Life(byte m) {
	do
	:: atomic { /* An order, a restart or the loss of the VM changes the member. */
		if
		:: member[m].up = !member[m].up
		:: member[m].match = !member[m].match
		fi;
		if
		:: member[m].up && member[m].match -> member[m].apart = 0
		:: else
		fi
	}
	od
}

proctype Prober(byte m) {
	do
	:: atomic {
		member[m].probe == none ->
		member[m].probe = asked;
		member[m].probeAge = 0
	}
	:: atomic { /* The member responds at any time. */
		member[m].probe == asked && member[m].up ->
		member[m].probe = (member[m].match -> answeredMatch : answeredOther)
	}
	:: atomic { /* The probe or its response is lost. */
		member[m].probe != none ->
		member[m].probe = none;
		member[m].probeAge = 0
	}
	:: atomic { /* The response arrives at any later time. */
#ifdef IDENTITY_CHECK_DROPPED
		member[m].probe == answeredMatch || member[m].probe == answeredOther ->
#else
		member[m].probe == answeredMatch ->
#endif
#ifdef AGE_FROM_ANSWER
		member[m].proofAge = 0;
#else
		member[m].proofAge = member[m].probeAge;
#endif
		member[m].probe = none;
		member[m].probeAge = 0
	}
	:: atomic {
		member[m].probe == answeredOther ->
		member[m].proofAge = STALE;
		member[m].probe = none;
		member[m].probeAge = 0
	}
	od
}

#ifdef LEADER_ONLY
#define PROVED (member[0].proofAge <= PROOF_TTL)
#else
#define PROVED (member[0].proofAge <= PROOF_TTL && member[1].proofAge <= PROOF_TTL)
#endif

proctype Gateway() {
	do
	:: atomic {
		request == idle && PROVED ->
#ifdef NO_PROOF_AGE
		assert(member[0].up && member[0].match && member[1].up && member[1].match);
#else
		assert(member[0].apart <= PROOF_TTL && member[1].apart <= PROOF_TTL);
#endif
		request = sent
	}
	:: atomic { /* The leader computes a response if the members can compute together. */
		request == sent && member[0].up &&
#ifndef COLLECTIVE_UNCHECKED
			member[1].up && member[0].match == member[1].match &&
#endif
			true ->
		request = computed;
		headMatches = member[0].match;
		whole = member[0].match && member[1].match && member[1].up
	}
	:: atomic { /* The response is lost, or the caller canceled. */
		request != idle ->
		request = idle; headMatches = false; whole = false
	}
	:: atomic { /* The head is checked before any byte is forwarded to the caller. */
#ifdef HEAD_CHECK_DROPPED
		request == computed ->
#else
		request == computed && headMatches ->
#endif
		assert(whole);
		request = idle; headMatches = false; whole = false
	}
	od
}

init {
	atomic {
		byte m;
		for (m : 0 .. MEMBERS - 1) {
			member[m].probe = none;
			member[m].apart = STALE;
			member[m].proofAge = STALE;
			run Life(m);
			run Prober(m)
		};
		run Gateway()
	}
}
