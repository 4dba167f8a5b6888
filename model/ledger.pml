/* Budgets: draw, grant, spend, move of the witness, close, borrow, settle.
 *
 * One page with one budget. Holder 0 is watched: a keeper with two grantees and
 * two possible witnesses. Holder 1 belongs to another failure domain and lends
 * to grantee 1. A closer closes holder 0 at any time, also while it lives.
 *
 * Pause, crash and partition are steps that are taken late or never: each step
 * may be put off for ever. A message in flight is a variable that may be read
 * at any later time, or not at all, or twice. A write without an answer stays in
 * a slot and may take effect as long as the page is at the revision on which it
 * was based.
 *
 * Broken variants, each of which must be refuted:
 *   RECLAIM_TIME   the closer takes silence for death and takes all back
 *   RECLAIM_COPY   the closer trusts a copy of what the grantees had spent
 *   LATE_ACK       a holder that moves still takes its old witness's word
 *   LIMBO_MOST     a draw without an answer is used as if it had landed
 *   GRANT_CLOSED   a grantee that surrendered takes later grants
 */

#ifndef PAID
#define PAID 2
#endif
#ifndef TOPUP
#define TOPUP 1
#endif
#ifndef REVS
#define REVS 5              /* writes of the page, beside closing and settling */
#endif
#ifndef MOVES
#define MOVES 1
#endif
#define MOST (PAID + TOPUP)

/* the page */
byte rev, paid = PAID, settled;
byte drawn[2];
bool has[2];
byte wit;                 /* the witness that the page names for holder 0 */
byte stuck[2];
bool isstuck[2];

/* writes of holder 0 that may still take effect */
bool won[2];
byte wbase[2], wdrawn[2], wwit[2];

/* the keeper that holds 0 */
#define IDLE 0
#define OUT 1
#define LIMBO 2
byte kst, kslot, krev, kdrawn, kwit, kbase;
bool kopen, klost, kmoving, kfresh;
byte ksent[2], kacked[2];
byte moves;

/* Witnesses: their marks, at witness * 2 + grantee. An acknowledgement in flight
 * is a mark that the keeper has not read; a mark in flight is one that the
 * witness has not taken. */
byte mark[4];
bool frozen[2];

/* grantees */
byte gg[2], gspent[2];
bit gres[2];              /* reserved by an open request */
bool gclosed[2];

/* holder 1 and what it lent to grantee 1 */
byte lent, lspent;

/* the closer */
#define CREAD 0
#define CFREEZE 1
#define CASK 2
#define CDONE 3
byte cst, cw, cmark[2], canswer[2];
#ifdef RECLAIM_COPY
byte copy[2];
#endif
bool cgot[2], cfinal[2];

byte total;               /* all that was ever spent */

#define TAKEN (settled + stuck[0] + stuck[1] + drawn[0] + drawn[1])
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The broken variants are judged by the spend alone. */
inline check() {
	assert(total <= paid);
#ifndef BROKEN
	assert(TAKEN <= paid);
	assert(total <= TAKEN)
#endif
}

/* submit puts a write of holder 0 in flight */
inline submit(d, w) {
	kslot = won[0];
	won[kslot] = true; wbase[kslot] = krev; wdrawn[kslot] = d; wwit[kslot] = w;
#ifdef LIMBO_MOST
	kdrawn = MAX(kdrawn, d);
#else
	kdrawn = MIN(kdrawn, d);
#endif
	kbase = (kst == LIMBO -> kbase : krev);
	kst = OUT; kfresh = false
}

/* land lets the write of a slot take effect, if the page has not moved on */
inline land(s) {
	if
	:: wbase[s] == rev ->
		drawn[0] = wdrawn[s]; wit = wwit[s]; has[0] = true; rev++
	:: else
	fi;
	won[s] = false; wbase[s] = 0; wdrawn[s] = 0; wwit[s] = 0
}

/* adopt takes over the page once no write of the keeper can land */
inline adopt() {
	krev = rev; kst = IDLE; kfresh = true; kbase = 0;
	if
	:: has[0] -> kopen = true; kdrawn = drawn[0]; kwit = wit
	:: !has[0] && kopen -> klost = true; kdrawn = 0; kwit = 0; krev = 0; ksent[0] = 0; ksent[1] = 0; kslot = 0
	:: else -> kdrawn = 0
	fi;
	kmoving = false
}

/* The keeper may not write while both slots hold writes without an answer. */
#define CANWRITE (rev < REVS && kst != OUT && kfresh && !klost && krev == rev && !(won[0] && won[1]))

active proctype ledger() {
	byte g;
	do
	/* the keeper: read, draw, give back, move, answers */
	:: atomic { kst != OUT && !klost && (!kfresh || krev != rev) ->
		if
		:: kst == LIMBO && rev == kbase -> krev = rev; kfresh = true
		:: else -> adopt()
		fi }
	:: atomic { CANWRITE && (has[0] || (!kopen && kst == IDLE && cst != CDONE)) && TAKEN < paid ->
		submit(drawn[0] + 1, wit * has[0]) }
	:: atomic { CANWRITE && has[0] && kopen && drawn[0] > 0 && drawn[0] - 1 >= ksent[0] + ksent[1] && moves > 0 ->
		submit(drawn[0] - 1, wit) }
	:: atomic { CANWRITE && kst == IDLE && has[0] && kopen && moves < MOVES &&
	   mark[(1 - wit) * 2] >= ksent[0] && mark[(1 - wit) * 2 + 1] >= ksent[1] && ksent[0] + ksent[1] > 0 ->
		moves++; kmoving = true;
		submit(drawn[0], 1 - wit) }
	:: atomic { kst == OUT && wbase[kslot] == rev -> land(kslot); adopt() }
	:: atomic { kst == OUT && wbase[kslot] != rev -> won[kslot] = false; wbase[kslot] = 0; wdrawn[kslot] = 0; wwit[kslot] = 0; kst = LIMBO }
	:: atomic { kst == OUT -> kst = LIMBO }
	:: atomic { kst == OUT -> land(kslot); kst = LIMBO }
	/* a write without an answer lands late */
	:: atomic { won[0] && !(kst == OUT && kslot == 0) -> land(0); check() }
	:: atomic { won[1] && !(kst == OUT && kslot == 1) -> land(1); check() }

	/* marks: raise, deliver, acknowledge */
	:: atomic { !klost && kopen && kst != OUT && ksent[0] + ksent[1] < kdrawn -> ksent[0]++ }
	:: atomic { !klost && kopen && kst != OUT && ksent[0] + ksent[1] < kdrawn -> ksent[1]++ }
	:: atomic { !frozen[0] && (ksent[0] > mark[0] || ksent[1] > mark[1]) -> mark[0] = ksent[0]; mark[1] = ksent[1] }
	:: atomic { !frozen[1] && (ksent[0] > mark[2] || ksent[1] > mark[3]) -> mark[2] = ksent[0]; mark[3] = ksent[1] }
#ifdef LATE_ACK
	:: atomic { !klost && kopen && (mark[0] > kacked[0] || mark[1] > kacked[1]) ->
		kacked[0] = MAX(kacked[0], mark[0]); kacked[1] = MAX(kacked[1], mark[1]) }
#else
	:: atomic { !klost && kopen && !kmoving && (mark[kwit * 2] > kacked[0] || mark[kwit * 2 + 1] > kacked[1]) ->
		kacked[0] = MAX(kacked[0], mark[kwit * 2]); kacked[1] = MAX(kacked[1], mark[kwit * 2 + 1]) }
#endif

	/* grants, reservations and spending */
#ifdef GRANT_CLOSED
	:: atomic { gg[0] < kacked[0] -> gg[0]++; gclosed[0] = false }
	:: atomic { gg[1] < kacked[1] -> gg[1]++; gclosed[1] = false }
#else
	:: atomic { !gclosed[0] && gg[0] < kacked[0] -> gg[0]++ }
	:: atomic { !gclosed[1] && gg[1] < kacked[1] -> gg[1]++ }
#endif
	:: atomic { !gclosed[0] && !gres[0] && gspent[0] < gg[0] -> gres[0] = 1 }
	:: atomic { !gclosed[1] && !gres[1] && gspent[1] < gg[1] -> gres[1] = 1 }
	:: atomic { gres[0] -> gres[0] = 0; gspent[0]++; total++; check() }
	:: atomic { gres[1] -> gres[1] = 0; gspent[1]++; total++; check() }
	:: atomic { gclosed[0] && gres[0] -> gres[0] = 0 }
	:: atomic { gclosed[1] && gres[1] -> gres[1] = 0 }

	/* holder 1 draws, lends to grantee 1 and settles */
	:: atomic { rev < REVS && TAKEN < paid -> drawn[1]++; has[1] = true; rev++; check() }
	:: atomic { has[1] && lent < drawn[1] -> lent++ }
	:: atomic { lspent < lent -> lspent++; total++; check() }
	:: atomic { has[1] && drawn[1] > 0 ->
		settled = settled + lspent; drawn[1] = 0; has[1] = false; lent = 0; lspent = 0; rev++; check() }

	/* a top-up */
	:: atomic { rev < REVS && paid < MOST -> paid++; rev++ }

	/* the closer of holder 0 */
	:: atomic { cst == CREAD && has[0] -> cw = wit; cst = CFREEZE }
	:: atomic { cst == CFREEZE && wit == cw -> frozen[cw] = true;
		cmark[0] = mark[cw * 2]; cmark[1] = mark[cw * 2 + 1]; cst = CASK }
	:: atomic { (cst == CFREEZE || cst == CASK) && wit != cw ->
		cst = CREAD; cmark[0] = 0; cmark[1] = 0; cw = 0 }
	:: atomic { cst == CASK && !cgot[0] ->
		gclosed[0] = true; cgot[0] = true; cfinal[0] = (gres[0] == 0); canswer[0] = gspent[0] + gres[0] }
	:: atomic { cst == CASK && !cgot[1] ->
		gclosed[1] = true; cgot[1] = true; cfinal[1] = (gres[1] == 0); canswer[1] = gspent[1] + gres[1] }
	:: atomic { cst == CASK && has[0] && wit == cw ->
		do
		:: g < 2 ->
			if
			:: cgot[g] && cfinal[g] -> settled = settled + canswer[g]
			:: cgot[g] && !cfinal[g] -> stuck[g] = canswer[g]; isstuck[g] = true
			:: !cgot[g] -> stuck[g] = cmark[g]; isstuck[g] = true
			fi;
			g++
		:: else -> break
		od;
		g = 0;
		drawn[0] = 0; has[0] = false; rev++; cst = CDONE;
		cw = 0; cmark[0] = 0; cmark[1] = 0; canswer[0] = 0; canswer[1] = 0;
		cgot[0] = false; cgot[1] = false; cfinal[0] = false; cfinal[1] = false;
		check() }
#ifdef RECLAIM_TIME
	:: atomic { cst == CREAD && has[0] ->
		settled = settled + gspent[0] + gspent[1]; drawn[0] = 0; has[0] = false; rev++; cst = CDONE }
#endif
#ifdef RECLAIM_COPY
	:: atomic { copy[0] < gspent[0] -> copy[0] = gspent[0] }
	:: atomic { copy[1] < gspent[1] -> copy[1] = gspent[1] }
	:: atomic { cst == CASK && has[0] && wit == cw ->
		settled = settled + copy[0] + copy[1]; drawn[0] = 0; has[0] = false; rev++; cst = CDONE }
#endif
	/* stuck amounts come back on the grantee's final account */
	:: atomic { isstuck[0] && gres[0] == 0 ->
		gclosed[0] = true; settled = settled + gspent[0]; stuck[0] = 0; isstuck[0] = false; rev++; check() }
	:: atomic { isstuck[1] && gres[1] == 0 ->
		gclosed[1] = true; settled = settled + gspent[1]; stuck[1] = 0; isstuck[1] = false; rev++; check() }
	/* all closed: what is settled is exactly what was spent */
	:: atomic { cst == CDONE && !isstuck[0] && !isstuck[1] && !has[0] && !has[1] ->
#ifndef BROKEN
		assert(settled == total);
#endif
		break }
	od
}
