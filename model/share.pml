/* Shares: what instances spend of an account never exceeds what it has paid.
 *
 * A row in the store grants amounts to holders; a holder is one life of one
 * instance. Holders draw and give back by compare-and-swap on the row's revision.
 * The answer of a write may be lost whether or not it took effect, and a write
 * without an answer may take effect later, while the row is still as it expected.
 * Any instance may be killed; its next life closes the last one with its first
 * write. Holders lend each other single tokens by a message, which may get lost.
 *
 * Broken variants, each of which must be refuted:
 *   CLOSE_SPENT   a dead holder is closed at what it had told, not at its grant
 *   RAISE_EARLY   a raise counts before the row is known to have it
 *   LOWER_LATE    what is given back can be spent until the answer comes
 *   LENDER_KEEPS  the lender goes on spending what it has lent
 *   LOAN_TWICE    the borrower takes the same answer twice
 */

#ifndef PAID
#define PAID 2
#endif
#ifndef REVS
#define REVS 4
#endif
#define N 3          /* holders: 0 and 1 are lives of one instance, 2 is another */

byte rev;            /* of the row */
short granted[N];    /* in the row */
bool inrow[N];
short closed;        /* in the row: of holders that are no more */

bool alive[N];
bool known[N];
byte at[N];          /* revision that the holder has read */
short others[N];     /* what the row then granted beside it */
short ours[N];       /* what it counts as granted */
short avail[N];      /* of that, what it may still spend */

bool pending[N];     /* a write that may still take effect */
byte expects[N];
short to[N];

byte spent;          /* what targets truly ran */

inline look(h) {
	at[h] = rev;
	known[h] = true;
	others[h] = closed + granted[0] + granted[1] + granted[2] - granted[h];
	avail[h] = avail[h] + granted[h] - ours[h];
	ours[h] = granted[h]
}

/* The write of holder h takes effect; the second life closes the first. */
inline apply(h, g) {
	rev++;
	granted[h] = g;
	inrow[h] = true;
	if
	:: h == 1 && inrow[0] ->
#ifndef CLOSE_SPENT
		closed = closed + granted[0];
#endif
		granted[0] = 0;
		inrow[0] = false
	:: else
	fi
}

inline early(h, g) {
#ifdef RAISE_EARLY
	if
	:: g > ours[h] -> avail[h] = avail[h] + g - ours[h]; ours[h] = g
	:: else
	fi;
#endif
	skip
}

inline send(h, g) {
	if
	/* it takes effect, and its answer comes */
	:: rev == at[h] -> apply(h, g); look(h)
	/* it takes effect, and its answer is lost */
	:: rev == at[h] -> apply(h, g); early(h, g)
	/* it may take effect later */
	:: rev == at[h] && !pending[h] -> pending[h] = true; expects[h] = at[h]; to[h] = g; early(h, g)
	/* it comes to nothing, and nobody says so */
	:: early(h, g)
	/* the row has moved on */
	:: rev != at[h] -> look(h)
	fi
}

/* What is given back is set aside before it is sent. */
inline giveback(h) {
#ifdef LOWER_LATE
	send(h, ours[h] - 1)
#else
	avail[h] = avail[h] - 1;
	ours[h] = ours[h] - 1;
	send(h, ours[h])
#endif
}

inline lend(h, k) {
#ifndef LENDER_KEEPS
	avail[h] = avail[h] - 1;
#endif
	if
	:: avail[k] = avail[k] + 1
#ifdef LOAN_TWICE
		; avail[k] = avail[k] + 1
#endif
	:: skip /* the answer gets lost */
	fi
}

#define HOLDER(h) \
	:: atomic { alive[h] && !known[h] -> look(h) } \
	:: atomic { alive[h] && known[h] && rev < REVS && others[h] + ours[h] + 1 <= PAID -> send(h, ours[h] + 1) } \
	:: atomic { alive[h] && known[h] && rev < REVS && avail[h] > 0 -> giveback(h) } \
	:: atomic { alive[h] && avail[h] > 0 -> avail[h] = avail[h] - 1; spent++; assert(spent <= PAID) } \
	:: atomic { pending[h] && expects[h] == rev -> pending[h] = false; apply(h, to[h]) } \
	:: atomic { pending[h] && expects[h] != rev -> pending[h] = false }

#define LOAN(h, k) \
	:: atomic { alive[h] && alive[k] && avail[h] > 0 && avail[k] < PAID -> lend(h, k) }

active proctype world() {
	alive[0] = true;
	alive[2] = true;
	do
	HOLDER(0)
	HOLDER(1)
	HOLDER(2)
	LOAN(0, 2)
	LOAN(2, 0)
	LOAN(1, 2)
	LOAN(2, 1)
	/* a kill, and the next life */
	:: atomic { alive[0] -> alive[0] = false; avail[0] = 0; ours[0] = 0; alive[1] = true }
	od
}
