/*
 * Propagation of accepted configuration revisions.
 *
 * Nodes 0 and 1 are in one failure domain, node 2 in another. The relay of a
 * domain (its lowest live node) polls the platform and pushes new revisions to
 * the nodes of its domain; a push may be late, repeated, reordered or lost. In
 * addition, every node pulls from each peer that it can reach. A domain may be
 * unable to reach the platform, the domains may be partitioned from each other,
 * nodes restart without memory, and one may fail permanently. Each of these
 * faults ends or is bounded, so that the properties required after the faults
 * can be checked in the final states.
 *
 * Checked: a node never moves to an older revision; a starting node adopts at
 * least the revision of the platform if it reaches the platform, and otherwise
 * the highest that the live nodes of its domain hold; in the final states,
 * every live node has the last accepted revision. The refuted variant shows a
 * claim that does not hold: that a revision in force at a node stays in force
 * in its domain if that node is lost while the domain cannot reach the
 * platform.
 *
 * holds: -DPUSH_DROPPED
 * holds: -DDOMAINS_DO_NOT_PULL
 * holds: -DDARK_FOR_GOOD
 * mutant: -DFOLLOWER_TAKES_LOWER
 * mutant: -DANTI_ENTROPY_DROPPED
 * mutant: -DRELAY_FIXED -DDOMAINS_DO_NOT_PULL
 * mutant: -DJOIN_SKIPS_PLATFORM
 * mutant: -DJOIN_TAKES_ANY_PEER
 * mutant: -DJOIN_READY_WITHOUT_REVISION
 * mutant: -DDARK_FOR_GOOD -DDOMAINS_DO_NOT_PULL
 * refuted: -DDOMAIN_NEVER_LOSES
 */

#define NODES 3
#define ACCEPTS 2
#define RESTARTS 2
#define OUTAGES 2
#define FIRST 1

#define DOMAIN(n) ((n) / 2)

byte accepted = FIRST;

typedef Node {
	bool live;
	bool ready;
	byte revision;   /* in force; zero for none */
	byte pushed;     /* bit set of revisions pushed to this node and in flight */
};
Node node[NODES];

typedef Domain {
	bool dark;       /* the domain cannot reach the platform */
	byte best;       /* highest revision that was in force in the domain */
};
Domain domain[2];
bool cut;            /* network partition between the domains */

byte restarts;
byte outages;
bool death;

#ifdef RELAY_FIXED
#define RELAY(n) ((n) != 1)
#else
#define RELAY(n) ((n) != 1 || !node[0].live)
#endif
#define REACHES(n, p) (DOMAIN(n) == DOMAIN(p) || !cut)

#ifdef DOMAINS_DO_NOT_PULL
#define PULLS(n, p) (DOMAIN(n) == DOMAIN(p))
#else
#define PULLS(n, p) REACHES(n, p)
#endif
#define PULL(n, p) atomic { \
	node[n].live && node[n].ready && node[p].live && node[p].ready && \
	PULLS(n, p) && node[p].revision > node[n].revision -> \
	r = node[p].revision; \
	move(n, r); \
	r = 0 }

/* Sets the revision in force at a node. */
inline move(i, to) {
	assert(to >= node[i].revision);
	node[i].revision = to;
	node[i].ready = true;
	domain[DOMAIN(i)].best = (to > domain[DOMAIN(i)].best -> to : domain[DOMAIN(i)].best)
}

proctype Operator() {
end:	do
	:: atomic { accepted < FIRST + ACCEPTS -> accepted++ }
	od
}

proctype Faults() {
	byte n;
end:	do
	:: atomic { outages < OUTAGES -> outages++;
		if
		:: domain[0].dark = true
		:: domain[1].dark = true
		:: domain[0].dark = true; domain[1].dark = true
		:: cut = true
		fi
	}
	:: atomic { domain[0].dark -> domain[0].dark = false }
#ifndef DARK_FOR_GOOD
	:: atomic { domain[1].dark -> domain[1].dark = false }
#endif
	:: atomic { cut -> cut = false }
	:: atomic { restarts < RESTARTS ->
		restarts++;
		if :: n = 0 :: n = 1 :: n = 2 fi;
		if
		:: node[n].live ->
			node[n].ready = false;
			node[n].revision = 0;
			if
			:: n < 2 && !death -> death = true; node[n].live = false
			:: true
			fi
		:: else
		fi;
		n = 0
	}
	od
}

proctype Run(byte n) {
	byte p;
	byte r;
end:	do
	:: atomic { /* Start: read from the platform, else from the reachable peers. */
		node[n].live && !node[n].ready ->
#ifdef JOIN_READY_WITHOUT_REVISION
		move(n, r);
		assert(node[n].revision > 0)
#else
		if
#ifndef JOIN_SKIPS_PLATFORM
		:: !domain[DOMAIN(n)].dark -> r = accepted; move(n, r)
		:: domain[DOMAIN(n)].dark ->
#else
		:: true ->
#endif
			p = (n < 2 -> 1 - n : 0);
			r = (REACHES(n, p) && node[p].live && node[p].ready -> node[p].revision : 0);
			if
			:: n != 2 && !cut && node[2].ready && node[2].revision > r -> r = node[2].revision
			:: n == 2 && !cut && node[1].live && node[1].ready && node[1].revision > r -> r = node[1].revision
#ifdef JOIN_TAKES_ANY_PEER
			:: n != 2 && !cut && node[2].ready -> r = node[2].revision
#endif
			:: else
			fi;
			if
			:: r > 0 ->
				move(n, r);
				assert(domain[DOMAIN(n)].dark || r >= accepted);
				assert(n == 2 || !node[1 - n].live || !node[1 - n].ready || r >= node[1 - n].revision);
#ifdef DOMAIN_NEVER_LOSES
				assert(r >= domain[DOMAIN(n)].best)
#endif
			:: else /* Not ready until the platform or a peer answers. */
			fi
		fi;
		p = 0; r = 0
#endif
	}
	:: atomic { /* Relay: poll the platform and push to the other node of the domain. */
		node[n].live && node[n].ready && RELAY(n) && !domain[DOMAIN(n)].dark && node[n].revision < accepted ->
		r = accepted;
		move(n, r);
		r = 0;
#ifndef PUSH_DROPPED
		if
		:: n < 2 -> node[1 - n].pushed = node[1 - n].pushed | (1 << node[n].revision)
		:: else
		fi
#endif
	}
	:: atomic { /* A push arrives, in any order and possibly several times. */
		node[n].live && node[n].ready && node[n].pushed != 0 ->
		if
		:: node[n].pushed & 2 -> r = 1
		:: node[n].pushed & 4 -> r = 2
		:: node[n].pushed & 8 -> r = 3
		fi;
		if
		:: node[n].pushed = node[n].pushed & (15 - (1 << r))
		:: node[n].revision < r /* It stays in flight and arrives again. */
		fi;
#ifndef FOLLOWER_TAKES_LOWER
		if
		:: r > node[n].revision -> move(n, r)
		:: else
		fi;
#else
		move(n, r);
#endif
		r = 0
	}
	:: atomic { node[n].pushed != 0 -> node[n].pushed = 0 /* Pushes are lost. */ }
#ifndef ANTI_ENTROPY_DROPPED
	:: PULL(n, 0) /* Pull the revision of a peer. */
	:: PULL(n, 1)
	:: PULL(n, 2)
#endif
	od
}

/* Final state: no other process can take a step. */
active proctype Quiet() {
	timeout ->
	assert(!node[0].live || node[0].revision == accepted);
	assert(!node[1].live || node[1].revision == accepted);
	assert(!node[2].live || node[2].revision == accepted)
}

init {
	atomic {
		byte i;
		for (i : 0 .. NODES - 1) {
			node[i].live = true;
			node[i].ready = true;
			node[i].revision = FIRST
		};
		domain[0].best = FIRST;
		domain[1].best = FIRST;
		i = 0;
		run Operator();
		run Faults();
		run Run(0);
		run Run(1);
		run Run(2)
	}
}
