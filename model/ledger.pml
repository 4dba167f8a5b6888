/* Budgets: draw, grant, spend, change of witness, close, borrow, settle.
 *
 * One page in the store holds one budget. A holder draws an amount from the page.
 * Holder 0 is modelled in detail: its keeper, the instance that owns it, grants
 * amounts to two grantees and reports the granted totals as marks to one of two
 * witnesses. Holder 1 belongs to another failure domain and lends to grantee 1. A
 * closer may close holder 0 at any time, also while its keeper is running.
 *
 * Pause, crash and partition are steps that are taken late or never: each step
 * may be delayed for ever. A message in flight is a variable that may be read at
 * any later time, never, or twice. A page write whose answer was lost stays in a
 * slot and may take effect as long as the page is at the revision on which the
 * write was based.
 *
 * Broken variants, each of which the checker must refute:
 *   RECLAIM_TIME   the closer treats a silent keeper as dead and reclaims all
 *   RECLAIM_COPY   the closer trusts a stale copy of what the grantees had spent
 *   LATE_ACK       a keeper that changes its witness still accepts
 *                  acknowledgements of the old one
 *   LIMBO_MOST     a draw whose answer was lost is used as if it had taken effect
 *   GRANT_CLOSED   a grantee that surrendered accepts later grants
 */

#ifndef PAID
#define PAID 2
#endif
#ifndef TOPUP
#define TOPUP 1
#endif
#ifndef REVS
#define REVS 5   /* page writes, except closing and settling */
#endif
#ifndef MAX_MOVES
#define MAX_MOVES 1
#endif
#define MAX_PAID (PAID + TOPUP)

/* The page. */
byte revision, paid = PAID, settled;
byte drawn[2];
bool hasEntry[2];
byte witness;  /* the witness that the page names for holder 0 */
byte stuck[2];
bool isStuck[2];

/* Page writes of holder 0 that may still take effect: whether the slot is in use,
 * the page revision that the write expects, and what it writes. */
bool pendingWrite[2];
byte writeBase[2], writeDrawn[2], writeWitness[2];

/* The keeper of holder 0. UNCERTAIN: the answer to a write was lost, and the write
 * may still take effect while the page is at uncertainBase. keeperFresh: the page
 * was read after the last write. keeperLost: the entry was removed from the page. */
#define IDLE 0
#define WRITING 1
#define UNCERTAIN 2
byte keeperState, keeperSlot, keeperRevision, keeperDrawn, keeperWitness, uncertainBase;
bool keeperOpen, keeperLost, keeperMoving, keeperFresh;
byte sentMark[2], ackedMark[2];
byte witnessMoves;

/* Marks held by the witnesses, indexed by witness * 2 + grantee: the total granted
 * to a grantee. An acknowledgement in flight is a mark that the keeper has not
 * read; a mark in flight is a sentMark that the witness has not taken over. */
byte witnessMark[4];
bool witnessFrozen[2];

/* Grantees. */
byte granted[2], granteeSpent[2];
bit granteeReserved[2];  /* reserved by a request in flight */
bool granteeClosed[2];

/* What holder 1 lent to grantee 1, and how much of it was spent. */
byte lent, lentSpent;

/* The closer: reads the page, freezes the witness, asks the grantees. */
#define CLOSER_READ 0
#define CLOSER_FREEZE 1
#define CLOSER_ASK 2
#define CLOSER_DONE 3
byte closerState, closerWitness, closerMark[2], closerAnswer[2];
#ifdef RECLAIM_COPY
byte copiedSpent[2];
#endif
bool closerAnswered[2], closerFinal[2];

byte totalSpent;  /* by all grantees and from the loan */

#define ALLOCATED (settled + stuck[0] + stuck[1] + drawn[0] + drawn[1])
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* A broken variant counts as refuted only when it overspends. */
inline check() {
	assert(totalSpent <= paid);
#ifndef BROKEN
	assert(ALLOCATED <= paid);
	assert(totalSpent <= ALLOCATED)
#endif
}

/* submit puts a page write of holder 0 in flight. */
inline submit(d, w) {
	keeperSlot = pendingWrite[0];
	pendingWrite[keeperSlot] = true; writeBase[keeperSlot] = keeperRevision; writeDrawn[keeperSlot] = d; writeWitness[keeperSlot] = w;
#ifdef LIMBO_MOST
	keeperDrawn = MAX(keeperDrawn, d);
#else
	keeperDrawn = MIN(keeperDrawn, d);
#endif
	uncertainBase = (keeperState == UNCERTAIN -> uncertainBase : keeperRevision);
	keeperState = WRITING; keeperFresh = false
}

/* applyWrite lets the write of a slot take effect if the page is still at the
 * revision that the write expects. */
inline applyWrite(s) {
	if
	:: writeBase[s] == revision ->
		drawn[0] = writeDrawn[s]; witness = writeWitness[s]; hasEntry[0] = true; revision++
	:: else
	fi;
	pendingWrite[s] = false; writeBase[s] = 0; writeDrawn[s] = 0; writeWitness[s] = 0
}

/* adoptPage sets the keeper's state from the page once no write of the keeper can
 * take effect any more. */
inline adoptPage() {
	keeperRevision = revision; keeperState = IDLE; keeperFresh = true; uncertainBase = 0;
	if
	:: hasEntry[0] -> keeperOpen = true; keeperDrawn = drawn[0]; keeperWitness = witness
	:: !hasEntry[0] && keeperOpen -> keeperLost = true; keeperDrawn = 0; keeperWitness = 0; keeperRevision = 0; sentMark[0] = 0; sentMark[1] = 0; keeperSlot = 0
	:: else -> keeperDrawn = 0
	fi;
	keeperMoving = false
}

/* The keeper may not write while both slots hold writes whose answer was lost. */
#define CAN_WRITE (revision < REVS && keeperState != WRITING && keeperFresh && !keeperLost && keeperRevision == revision && !(pendingWrite[0] && pendingWrite[1]))

active proctype ledger() {
	byte grantee;
	do
	/* The keeper: read the page, draw, give back, change the witness; then the
	 * answer to its write comes, or is lost. */
	:: atomic { keeperState != WRITING && !keeperLost && (!keeperFresh || keeperRevision != revision) ->
		if
		:: keeperState == UNCERTAIN && revision == uncertainBase -> keeperRevision = revision; keeperFresh = true
		:: else -> adoptPage()
		fi }
	:: atomic { CAN_WRITE && (hasEntry[0] || (!keeperOpen && keeperState == IDLE && closerState != CLOSER_DONE)) && ALLOCATED < paid ->
		submit(drawn[0] + 1, witness * hasEntry[0]) }
	:: atomic { CAN_WRITE && hasEntry[0] && keeperOpen && drawn[0] > 0 && drawn[0] - 1 >= sentMark[0] + sentMark[1] && witnessMoves > 0 ->
		submit(drawn[0] - 1, witness) }
	:: atomic { CAN_WRITE && keeperState == IDLE && hasEntry[0] && keeperOpen && witnessMoves < MAX_MOVES &&
	   witnessMark[(1 - witness) * 2] >= sentMark[0] && witnessMark[(1 - witness) * 2 + 1] >= sentMark[1] && sentMark[0] + sentMark[1] > 0 ->
		witnessMoves++; keeperMoving = true;
		submit(drawn[0], 1 - witness) }
	:: atomic { keeperState == WRITING && writeBase[keeperSlot] == revision -> applyWrite(keeperSlot); adoptPage() }
	:: atomic { keeperState == WRITING && writeBase[keeperSlot] != revision -> pendingWrite[keeperSlot] = false; writeBase[keeperSlot] = 0; writeDrawn[keeperSlot] = 0; writeWitness[keeperSlot] = 0; keeperState = UNCERTAIN }
	:: atomic { keeperState == WRITING -> keeperState = UNCERTAIN }
	:: atomic { keeperState == WRITING -> applyWrite(keeperSlot); keeperState = UNCERTAIN }
	/* A write whose answer was lost takes effect late. */
	:: atomic { pendingWrite[0] && !(keeperState == WRITING && keeperSlot == 0) -> applyWrite(0); check() }
	:: atomic { pendingWrite[1] && !(keeperState == WRITING && keeperSlot == 1) -> applyWrite(1); check() }

	/* Marks: raise, deliver to a witness, acknowledge. */
	:: atomic { !keeperLost && keeperOpen && keeperState != WRITING && sentMark[0] + sentMark[1] < keeperDrawn -> sentMark[0]++ }
	:: atomic { !keeperLost && keeperOpen && keeperState != WRITING && sentMark[0] + sentMark[1] < keeperDrawn -> sentMark[1]++ }
	:: atomic { !witnessFrozen[0] && (sentMark[0] > witnessMark[0] || sentMark[1] > witnessMark[1]) -> witnessMark[0] = sentMark[0]; witnessMark[1] = sentMark[1] }
	:: atomic { !witnessFrozen[1] && (sentMark[0] > witnessMark[2] || sentMark[1] > witnessMark[3]) -> witnessMark[2] = sentMark[0]; witnessMark[3] = sentMark[1] }
#ifdef LATE_ACK
	:: atomic { !keeperLost && keeperOpen && (witnessMark[0] > ackedMark[0] || witnessMark[1] > ackedMark[1]) ->
		ackedMark[0] = MAX(ackedMark[0], witnessMark[0]); ackedMark[1] = MAX(ackedMark[1], witnessMark[1]) }
#else
	:: atomic { !keeperLost && keeperOpen && !keeperMoving && (witnessMark[keeperWitness * 2] > ackedMark[0] || witnessMark[keeperWitness * 2 + 1] > ackedMark[1]) ->
		ackedMark[0] = MAX(ackedMark[0], witnessMark[keeperWitness * 2]); ackedMark[1] = MAX(ackedMark[1], witnessMark[keeperWitness * 2 + 1]) }
#endif

	/* Grants, reservations and spending. */
#ifdef GRANT_CLOSED
	:: atomic { granted[0] < ackedMark[0] -> granted[0]++; granteeClosed[0] = false }
	:: atomic { granted[1] < ackedMark[1] -> granted[1]++; granteeClosed[1] = false }
#else
	:: atomic { !granteeClosed[0] && granted[0] < ackedMark[0] -> granted[0]++ }
	:: atomic { !granteeClosed[1] && granted[1] < ackedMark[1] -> granted[1]++ }
#endif
	:: atomic { !granteeClosed[0] && !granteeReserved[0] && granteeSpent[0] < granted[0] -> granteeReserved[0] = 1 }
	:: atomic { !granteeClosed[1] && !granteeReserved[1] && granteeSpent[1] < granted[1] -> granteeReserved[1] = 1 }
	:: atomic { granteeReserved[0] -> granteeReserved[0] = 0; granteeSpent[0]++; totalSpent++; check() }
	:: atomic { granteeReserved[1] -> granteeReserved[1] = 0; granteeSpent[1]++; totalSpent++; check() }
	:: atomic { granteeClosed[0] && granteeReserved[0] -> granteeReserved[0] = 0 }
	:: atomic { granteeClosed[1] && granteeReserved[1] -> granteeReserved[1] = 0 }

	/* Holder 1 draws, lends to grantee 1 and settles. */
	:: atomic { revision < REVS && ALLOCATED < paid -> drawn[1]++; hasEntry[1] = true; revision++; check() }
	:: atomic { hasEntry[1] && lent < drawn[1] -> lent++ }
	:: atomic { lentSpent < lent -> lentSpent++; totalSpent++; check() }
	:: atomic { hasEntry[1] && drawn[1] > 0 ->
		settled = settled + lentSpent; drawn[1] = 0; hasEntry[1] = false; lent = 0; lentSpent = 0; revision++; check() }

	/* A top-up of the budget. */
	:: atomic { revision < REVS && paid < MAX_PAID -> paid++; revision++ }

	/* The closer of holder 0. If the page names another witness by then, it
	 * starts again. An amount whose final spend is not known stays stuck. */
	:: atomic { closerState == CLOSER_READ && hasEntry[0] -> closerWitness = witness; closerState = CLOSER_FREEZE }
	:: atomic { closerState == CLOSER_FREEZE && witness == closerWitness -> witnessFrozen[closerWitness] = true;
		closerMark[0] = witnessMark[closerWitness * 2]; closerMark[1] = witnessMark[closerWitness * 2 + 1]; closerState = CLOSER_ASK }
	:: atomic { (closerState == CLOSER_FREEZE || closerState == CLOSER_ASK) && witness != closerWitness ->
		closerState = CLOSER_READ; closerMark[0] = 0; closerMark[1] = 0; closerWitness = 0 }
	:: atomic { closerState == CLOSER_ASK && !closerAnswered[0] ->
		granteeClosed[0] = true; closerAnswered[0] = true; closerFinal[0] = (granteeReserved[0] == 0); closerAnswer[0] = granteeSpent[0] + granteeReserved[0] }
	:: atomic { closerState == CLOSER_ASK && !closerAnswered[1] ->
		granteeClosed[1] = true; closerAnswered[1] = true; closerFinal[1] = (granteeReserved[1] == 0); closerAnswer[1] = granteeSpent[1] + granteeReserved[1] }
	:: atomic { closerState == CLOSER_ASK && hasEntry[0] && witness == closerWitness ->
		do
		:: grantee < 2 ->
			if
			:: closerAnswered[grantee] && closerFinal[grantee] -> settled = settled + closerAnswer[grantee]
			:: closerAnswered[grantee] && !closerFinal[grantee] -> stuck[grantee] = closerAnswer[grantee]; isStuck[grantee] = true
			:: !closerAnswered[grantee] -> stuck[grantee] = closerMark[grantee]; isStuck[grantee] = true
			fi;
			grantee++
		:: else -> break
		od;
		grantee = 0;
		drawn[0] = 0; hasEntry[0] = false; revision++; closerState = CLOSER_DONE;
		closerWitness = 0; closerMark[0] = 0; closerMark[1] = 0; closerAnswer[0] = 0; closerAnswer[1] = 0;
		closerAnswered[0] = false; closerAnswered[1] = false; closerFinal[0] = false; closerFinal[1] = false;
		check() }
#ifdef RECLAIM_TIME
	:: atomic { closerState == CLOSER_READ && hasEntry[0] ->
		settled = settled + granteeSpent[0] + granteeSpent[1]; drawn[0] = 0; hasEntry[0] = false; revision++; closerState = CLOSER_DONE }
#endif
#ifdef RECLAIM_COPY
	:: atomic { copiedSpent[0] < granteeSpent[0] -> copiedSpent[0] = granteeSpent[0] }
	:: atomic { copiedSpent[1] < granteeSpent[1] -> copiedSpent[1] = granteeSpent[1] }
	:: atomic { closerState == CLOSER_ASK && hasEntry[0] && witness == closerWitness ->
		settled = settled + copiedSpent[0] + copiedSpent[1]; drawn[0] = 0; hasEntry[0] = false; revision++; closerState = CLOSER_DONE }
#endif
	/* A stuck amount is settled when the grantee reports its final spend. */
	:: atomic { isStuck[0] && granteeReserved[0] == 0 ->
		granteeClosed[0] = true; settled = settled + granteeSpent[0]; stuck[0] = 0; isStuck[0] = false; revision++; check() }
	:: atomic { isStuck[1] && granteeReserved[1] == 0 ->
		granteeClosed[1] = true; settled = settled + granteeSpent[1]; stuck[1] = 0; isStuck[1] = false; revision++; check() }
	/* Both holders are closed and nothing is stuck: the settled amount equals what was spent. */
	:: atomic { closerState == CLOSER_DONE && !isStuck[0] && !isStuck[1] && !hasEntry[0] && !hasEntry[1] ->
#ifndef BROKEN
		assert(settled == totalSpent);
#endif
		break }
	od
}
