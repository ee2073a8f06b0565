/*
 * Proof that a replica group may be given work, seen from one gateway.
 *
 * A group has two members; member 0 leads. Anything may happen to a member at
 * any time: orders of any controller, current or late, make it part of the
 * expected group and epoch or of something else; it may stop answering and
 * come back. This is more than the control protocol allows, so what holds here
 * holds for every state of leases and rows. Probes and answers are messages
 * that take any time.
 *
 * Checked: work is dispatched only if each member was, within PROOF_TTL, up
 * and part of the expected group and epoch; an answer reaches the caller only
 * if it was computed by exactly that group and epoch with all members up.
 * Assumed: members that are not all up and in the same group and epoch cannot
 * compute together (variant COLLECTIVE_UNCHECKED shows what rests on this).
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
	bool match;     /* in the expected group and epoch */
	byte apart;     /* ticks since it was last up and matching; STALE is never */
	mtype probe;
	byte probeAge;  /* ticks since the probe was sent */
	byte proofAge;  /* ticks since the proving probe was sent; STALE is none */
};
Member member[MEMBERS];

mtype = { idle, sent, computed };
mtype request = idle;
bool headMatches;   /* identity in the head of the answer */
bool whole;         /* computed by all members of the expected group and epoch */

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
	:: atomic { /* An order, a restart or a lost VM changes the member. */
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
	:: atomic { /* The member answers, at any time. */
		member[m].probe == asked && member[m].up ->
		member[m].probe = (member[m].match -> answeredMatch : answeredOther)
	}
	:: atomic { /* The probe or its answer is lost. */
		member[m].probe != none ->
		member[m].probe = none;
		member[m].probeAge = 0
	}
	:: atomic { /* The answer arrives, at any later time. */
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
	:: atomic { /* The leader computes an answer, if the members can. */
		request == sent && member[0].up &&
#ifndef COLLECTIVE_UNCHECKED
			member[1].up && member[0].match == member[1].match &&
#endif
			true ->
		request = computed;
		headMatches = member[0].match;
		whole = member[0].match && member[1].match && member[1].up
	}
	:: atomic { /* The answer is lost, or the caller gave up. */
		request != idle ->
		request = idle; headMatches = false; whole = false
	}
	:: atomic { /* Its head is checked before a byte goes to the caller. */
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
