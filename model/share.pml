/* Shares: instances never spend more of an account than it has paid.
 *
 * A row in the store grants amounts to holders; a holder is one run of one
 * instance, from start to stop. Holders raise and lower their grant by
 * compare-and-swap on the row's revision. The answer to a write may be lost,
 * whether or not the write took effect, and a write whose answer was lost may take
 * effect later, as long as the row is at the revision that the write expects.
 * Any instance may be killed; after the restart, its first write closes the
 * holder of the previous run. Holders lend each other single tokens by messages,
 * which may get lost.
 *
 * Broken variants, each of which the checker must refute:
 *   CLOSE_SPENT   a dead holder is closed at its reported spend, not at its grant
 *   RAISE_EARLY   a raised grant counts before the row is known to have it
 *   LOWER_LATE    what is given back can be spent until the answer comes
 *   LENDER_KEEPS  the lender goes on spending what it has lent
 *   LOAN_TWICE    the borrower takes the same loan answer twice
 */

#ifndef PAID
#define PAID 2
#endif
#ifndef REVS
#define REVS 4
#endif
#define HOLDERS 3   /* 0 and 1 are successive runs of one instance, 2 is another */

byte revision;           /* revision of the row */
short granted[HOLDERS];  /* in the row: by holder */
bool inRow[HOLDERS];
short closedTotal;       /* in the row: total counted for closed holders */

bool alive[HOLDERS];
bool hasRead[HOLDERS];
byte readRevision[HOLDERS];    /* row revision that the holder has read */
short othersGranted[HOLDERS];  /* what the row granted to all others at that revision */
short ownGranted[HOLDERS];     /* what the holder counts as granted to it */
short spendable[HOLDERS];      /* the part of ownGranted that it may still spend */

bool pendingWrite[HOLDERS];  /* a write that may still take effect */
byte expectedRevision[HOLDERS];
short newGrant[HOLDERS];

byte totalSpent;  /* tokens of the requests that targets ran */

inline refresh(h) {
	readRevision[h] = revision;
	hasRead[h] = true;
	othersGranted[h] = closedTotal + granted[0] + granted[1] + granted[2] - granted[h];
	spendable[h] = spendable[h] + granted[h] - ownGranted[h];
	ownGranted[h] = granted[h]
}

/* The write of holder h takes effect. The first write of holder 1 closes holder 0,
 * the previous run of the same instance. */
inline applyWrite(h, g) {
	revision++;
	granted[h] = g;
	inRow[h] = true;
	if
	:: h == 1 && inRow[0] ->
#ifndef CLOSE_SPENT
		closedTotal = closedTotal + granted[0];
#endif
		granted[0] = 0;
		inRow[0] = false
	:: else
	fi
}

inline countEarly(h, g) {
#ifdef RAISE_EARLY
	if
	:: g > ownGranted[h] -> spendable[h] = spendable[h] + g - ownGranted[h]; ownGranted[h] = g
	:: else
	fi;
#endif
	skip
}

inline writeGrant(h, g) {
	if
	/* The write takes effect, and its answer comes. */
	:: revision == readRevision[h] -> applyWrite(h, g); refresh(h)
	/* The write takes effect, and its answer is lost. */
	:: revision == readRevision[h] -> applyWrite(h, g); countEarly(h, g)
	/* The write may take effect later. */
	:: revision == readRevision[h] && !pendingWrite[h] -> pendingWrite[h] = true; expectedRevision[h] = readRevision[h]; newGrant[h] = g; countEarly(h, g)
	/* The write is lost, and no answer comes. */
	:: countEarly(h, g)
	/* The row has another revision: the write is refused. */
	:: revision != readRevision[h] -> refresh(h)
	fi
}

/* What is given back stops being spendable before the write is sent. */
inline giveBack(h) {
#ifdef LOWER_LATE
	writeGrant(h, ownGranted[h] - 1)
#else
	spendable[h] = spendable[h] - 1;
	ownGranted[h] = ownGranted[h] - 1;
	writeGrant(h, ownGranted[h])
#endif
}

inline lend(h, k) {
#ifndef LENDER_KEEPS
	spendable[h] = spendable[h] - 1;
#endif
	if
	:: spendable[k] = spendable[k] + 1
#ifdef LOAN_TWICE
		; spendable[k] = spendable[k] + 1
#endif
	:: skip /* the loan message is lost */
	fi
}

#define HOLDER_STEPS(h) \
	:: atomic { alive[h] && !hasRead[h] -> refresh(h) } \
	:: atomic { alive[h] && hasRead[h] && revision < REVS && othersGranted[h] + ownGranted[h] + 1 <= PAID -> writeGrant(h, ownGranted[h] + 1) } \
	:: atomic { alive[h] && hasRead[h] && revision < REVS && spendable[h] > 0 -> giveBack(h) } \
	:: atomic { alive[h] && spendable[h] > 0 -> spendable[h] = spendable[h] - 1; totalSpent++; assert(totalSpent <= PAID) } \
	:: atomic { pendingWrite[h] && expectedRevision[h] == revision -> pendingWrite[h] = false; applyWrite(h, newGrant[h]) } \
	:: atomic { pendingWrite[h] && expectedRevision[h] != revision -> pendingWrite[h] = false }

#define LOAN_STEP(h, k) \
	:: atomic { alive[h] && alive[k] && spendable[h] > 0 && spendable[k] < PAID -> lend(h, k) }

active proctype shares() {
	alive[0] = true;
	alive[2] = true;
	do
	HOLDER_STEPS(0)
	HOLDER_STEPS(1)
	HOLDER_STEPS(2)
	LOAN_STEP(0, 2)
	LOAN_STEP(2, 0)
	LOAN_STEP(1, 2)
	LOAN_STEP(2, 1)
	/* The instance of holder 0 is killed and restarts as holder 1. */
	:: atomic { alive[0] -> alive[0] = false; spendable[0] = 0; ownGranted[0] = 0; alive[1] = true }
	od
}
