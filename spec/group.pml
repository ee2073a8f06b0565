/*
 * Membership of replica groups: rows in the table service compared with the
 * groups that the engines run, with two concurrent controllers.
 *
 * Controller 0 holds the lease first. At any time controller 1 acquires it.
 * From then on controller 0 reaches the engines but not the platform, or was
 * paused and does not know of the change: it keeps sending orders based on the
 * rows that it last read, without end and in any order, and completes a pending
 * commit. Orders based on those rows also arrive under the new term: they
 * represent orders that controller 1 sent right after it acquired the lease and
 * that the network delivers late. There are three VMs; group A spans two of
 * them, group B one. VMs stop answering (one at a time), resume unchanged, or
 * restart without a group and without their fencing number.
 *
 * Checked: no VM is in the rows of two groups; a VM that is assigned to a group
 * has left its previous one, unless it executed an order based on outdated rows
 * since; a gateway with either set of rows dispatches to a group only while all
 * members are up and run that group and epoch.
 *
 * holds: -DFENCING_IGNORED
 * holds: -DTERM_CONDITION_DROPPED
 * mutant: -DROW_CONDITION_DROPPED
 * mutant: -DRELEASE_ACKNOWLEDGEMENT_DROPPED
 * mutant: -DUNREACHABLE_RELEASED
 * mutant: -DREPORT_CHECK_DROPPED
 * mutant: -DFENCING_IGNORED -DREPORT_CHECK_DROPPED
 * mutant: -DEPOCH_CHECK_DROPPED
 */

#define VMS 3
#define A 1
#define B 2
#define MAX_EPOCH 2  /* of group A; group B is formed once */

mtype = { absent, loading, serving, dissolving };
mtype = { nothing, form, repair, dissolve, release, serve };

typedef Group {
	mtype state;
	byte epoch;
	byte members;  /* bit set of VMs */
};

typedef Rows {
	byte group[VMS];  /* group in each VM row; zero for none */
	byte epoch[3];    /* of each group */
	byte members[3];
};

/* Rows in the table service. */
Group group[3];
byte vmGroup[VMS];
byte term = 1;

/* State of the engines on the VMs. */
typedef Member {
	bool up;
	byte group;
	byte epoch;
	byte fence;
	bool stray;  /* executed an order based on outdated rows */
};
Member member[VMS];

/* Rows as controller 0 last read them before it lost the lease. */
Rows old;

/* Pending commit of a controller; holds is set while the rows that it read are
 * unchanged. */
typedef Plan {
	mtype kind;
	byte group;
	byte vm;
	byte spare;
	bool holds;
};
Plan plan[2];

#define ANY_VM(v) if :: v = 0 :: v = 1 :: v = 2 fi
#define HAS(set, v) ((set >> (v)) & 1)
#define WANTED(v) ((vmGroup[v] != 0 && HAS(group[vmGroup[v]].members, v) && group[vmGroup[v]].state != dissolving) -> vmGroup[v] : 0)
#define OLD_WANTED(v) ((old.group[v] != 0 && HAS(old.members[old.group[v]], v)) -> old.group[v] : 0)
#define MATCHES(v, g, e) (member[v].up && member[v].group == g && member[v].epoch == e)
#define ALL_MATCH(set, g, e) ((!HAS(set, 0) || MATCHES(0, g, e)) && (!HAS(set, 1) || MATCHES(1, g, e)) && (!HAS(set, 2) || MATCHES(2, g, e)))
#define ALL_UP(set) ((!HAS(set, 0) || member[0].up) && (!HAS(set, 1) || member[1].up) && (!HAS(set, 2) || member[2].up))
#define IN_GROUP(set, g) ((!HAS(set, 0) || member[0].group == g) && (!HAS(set, 1) || member[1].group == g) && (!HAS(set, 2) || member[2].group == g))

inline readRows() {
	old.group[0] = vmGroup[0]; old.group[1] = vmGroup[1]; old.group[2] = vmGroup[2];
	old.epoch[A] = group[A].epoch; old.epoch[B] = group[B].epoch;
	old.members[A] = (group[A].state != dissolving -> group[A].members : 0);
	old.members[B] = group[B].members
}

/* A member receives an order sent under a term. */
inline accept(target, toGroup, toEpoch, under) {
	if
	:: !member[target].up /* The order is lost. */
#ifndef FENCING_IGNORED
	:: member[target].up && under < member[target].fence /* The order is rejected. */
	:: member[target].up && under >= member[target].fence ->
#else
	:: member[target].up ->
#endif
		member[target].stray = (under < term || WANTED(target) != toGroup || (toGroup != 0 && group[toGroup].epoch != toEpoch));
		member[target].group = toGroup;
		member[target].epoch = toEpoch;
		member[target].fence = (member[target].fence > under -> member[target].fence : under)
	fi
}

inline checkRows() {
	assert((group[A].members & group[B].members) == 0);
	assert((!HAS(group[A].members, 0) || vmGroup[0] == A) && (!HAS(group[B].members, 0) || vmGroup[0] == B));
	assert((!HAS(group[A].members, 1) || vmGroup[1] == A) && (!HAS(group[B].members, 1) || vmGroup[1] == B));
	assert((!HAS(group[A].members, 2) || vmGroup[2] == A) && (!HAS(group[B].members, 2) || vmGroup[2] == B))
}

#define GIVE(v, g) \
	assert(member[v].group == 0 || member[v].stray); \
	vmGroup[v] = g; \
	group[g].members = group[g].members | (1 << v)

inline apply(i) {
	if
	:: plan[i].kind == form ->
		group[plan[i].group].state = loading;
		group[plan[i].group].epoch++;
		GIVE(plan[i].vm, plan[i].group)
	:: plan[i].kind == repair ->
		group[plan[i].group].state = loading;
		group[plan[i].group].epoch++;
		group[plan[i].group].members = group[plan[i].group].members & (7 - (1 << plan[i].vm));
		GIVE(plan[i].spare, plan[i].group)
	:: plan[i].kind == dissolve ->
		group[plan[i].group].state = dissolving
	:: plan[i].kind == serve ->
		group[plan[i].group].state = serving
	:: plan[i].kind == release ->
		vmGroup[plan[i].vm] = 0;
		group[plan[i].group].members = group[plan[i].group].members & (7 - (1 << plan[i].vm));
		if
		:: group[plan[i].group].members == 0 -> group[plan[i].group].state = absent
		:: else
		fi
	fi
}

inline decide(i, what, which, taken, added) {
	plan[i].kind = what; plan[i].group = which; plan[i].vm = taken; plan[i].spare = added;
	plan[i].holds = true
}

inline drop(i) {
	plan[i].kind = nothing; plan[i].group = 0; plan[i].vm = 0; plan[i].spare = 0;
	plan[i].holds = false
}

/* Plans one transaction from the current rows and reports. */
inline consider(i) {
	byte one;
	byte other;
	if
	:: group[B].state == absent && group[B].epoch == 0 ->
		ANY_VM(one);
		if
		:: vmGroup[one] == 0 && member[one].up -> decide(i, form, B, one, 0)
		:: else
		fi
	:: (group[A].state == serving || group[A].state == loading) && group[A].epoch < MAX_EPOCH && !ALL_UP(group[A].members) ->
		ANY_VM(one);
		ANY_VM(other);
		if
		:: HAS(group[A].members, one) && !member[one].up && vmGroup[other] == 0 && member[other].up ->
			decide(i, repair, A, one, other)
		:: else
		fi
	:: group[A].state == serving || group[A].state == loading -> decide(i, dissolve, A, 0, 0)
	:: group[A].state == loading && ALL_MATCH(group[A].members, A, group[A].epoch) -> decide(i, serve, A, 0, 0)
	:: group[B].state == loading && ALL_MATCH(group[B].members, B, group[B].epoch) -> decide(i, serve, B, 0, 0)
	:: true ->
		ANY_VM(one);
		if
		:: vmGroup[one] != 0 && WANTED(one) == 0 &&
#ifdef RELEASE_ACKNOWLEDGEMENT_DROPPED
				true ->
#else
#ifdef UNREACHABLE_RELEASED
				(!member[one].up || member[one].group == 0) ->
#else
				member[one].up && member[one].group == 0 ->
#endif
#endif
			decide(i, release, vmGroup[one], one, 0)
		:: else
		fi
	fi;
	one = 0; other = 0
}

inline commit(i) {
	if
#ifdef ROW_CONDITION_DROPPED
	:: true ->
#else
	:: plan[i].holds &&
#ifndef TERM_CONDITION_DROPPED
			term == i + 1 &&
#endif
			true ->
#endif
		apply(i);
		checkRows();
		plan[1 - i].holds = false
	:: else
	fi;
	drop(i)
}

/* Controller 0: plans until it loses the lease, then sends orders based on
 * outdated rows without end. */
proctype OldController() {
	byte v;
	byte g;
	byte e;
	byte t;
	do
	:: atomic { plan[0].kind == nothing && term == 1 -> consider(0) }
	:: atomic { plan[0].kind != nothing -> commit(0) }
	:: atomic {
		term == 2 ->
		ANY_VM(v);
		g = OLD_WANTED(v);
		e = (g != 0 -> old.epoch[g] : 0);
		if :: t = 1 :: t = 2 fi;
		accept(v, g, e, t);
		v = 0; g = 0; e = 0; t = 0
	}
	od
}

/* Controller 1: acquires the lease at any time. */
proctype NewController() {
	do
	:: atomic { term == 1 -> readRows(); term = 2 }
	:: atomic { plan[1].kind == nothing && term == 2 -> consider(1) }
	:: atomic { plan[1].kind != nothing -> commit(1) }
	od
}

/* Orders of the lease holder, from the current rows. */
proctype Orders() {
	byte v;
	byte g;
	byte e;
	byte t;
	do
	:: atomic {
		ANY_VM(v);
		g = WANTED(v);
		e = (g != 0 -> group[g].epoch : 0);
		t = term;
		accept(v, g, e, t);
		v = 0; g = 0; e = 0; t = 0
	}
	od
}

proctype Life() {
	byte v;
	do
	:: atomic {
		ANY_VM(v);
		if
		:: !member[v].up -> member[v].up = true
		:: member[0].up && member[1].up && member[2].up -> member[v].up = false
		:: member[v].up ->
			/* Restart: the fencing number is not persisted, so it is lost. */
			member[v].group = 0;
			member[v].epoch = 0;
			member[v].fence = 0;
			member[v].stray = false
		fi;
		v = 0
	}
	od
}

#ifdef REPORT_CHECK_DROPPED
#define PROVED(set, g, e) ALL_UP(set)
#else
#ifdef EPOCH_CHECK_DROPPED
#define PROVED(set, g, e) (ALL_UP(set) && IN_GROUP(set, g))
#else
#define PROVED(set, g, e) ALL_MATCH(set, g, e)
#endif
#endif

/* Gateways: dispatch by the current rows or by those that controller 0 last
 * read. */
proctype Gateway(byte g) {
	do
	:: atomic {
		group[g].state == serving && PROVED(group[g].members, g, group[g].epoch) ->
		assert(ALL_MATCH(group[g].members, g, group[g].epoch))
	}
	:: atomic {
		old.members[g] != 0 && PROVED(old.members[g], g, old.epoch[g]) ->
		assert(ALL_MATCH(old.members[g], g, old.epoch[g]))
	}
	od
}

init {
	atomic {
		plan[0].kind = nothing;
		plan[1].kind = nothing;
		group[B].state = absent;
		group[A].state = serving;
		group[A].epoch = 1;
		group[A].members = 3;
		vmGroup[0] = A;
		vmGroup[1] = A;
		byte v;
		for (v : 0 .. VMS - 1) {
			member[v].up = true;
			member[v].group = vmGroup[v];
			member[v].epoch = group[vmGroup[v]].epoch;
			member[v].fence = 1
		};
		v = 0;
		run OldController();
		run Orders();
		run NewController();
		run Life();
		run Gateway(A);
		run Gateway(B)
	}
}
