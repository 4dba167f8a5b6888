/* Claims: a non-idempotent request runs at most once, and the caller is told
 * "not run" only when the request did not run and will not run.
 *
 * The caller sends the same request to two instances, or to one instance again.
 * Each instance creates the claim by compare-and-swap before it sends the first
 * byte of the request to the target. The answer to the claim write may be lost,
 * whether or not the write took effect, and a write whose answer was lost may
 * take effect later. The target's answer may be lost.
 *
 * Broken variants, each of which the checker must refute:
 *   RETRY_SILENCE  a claimed request is sent again when no answer comes
 *   LOST_IS_NO     a claim whose answer was lost counts as not written, and the
 *                  caller is told "not run" while the write may take effect
 *   SEND_FIRST     the request is sent before its claim is confirmed
 */

#define INSTANCES 2
#define NONE 255

#define NEW 0
#define WRITING 1     /* the claim was sent to the store; waiting for the answer */
#define UNCERTAIN 2   /* the answer to the claim write was lost */
#define OWNER 3       /* the claim is confirmed as this instance's */
#define SENT 4
#define DONE 5

byte claimOwner = NONE;          /* instance that owns the claim in the store */
bool pendingWrite[INSTANCES];    /* a claim write that may still take effect */
byte state[INSTANCES];
byte runs;                       /* how often the target ran the request */
byte inFlight[INSTANCES];        /* copies of the request on their way to the target */
bool answerInFlight[INSTANCES];  /* the target's answer is on its way back */
bool toldNotRun[INSTANCES];      /* this instance told the caller "not run" */
bool bytesSent[INSTANCES];       /* this instance has sent a byte of the request */

/* The target ran the request at most once. An instance that told the caller "not
 * run" has sent no byte of the request and no longer acts on its claim. */
inline check() {
	assert(runs <= 1);
	assert(!(toldNotRun[0] && (bytesSent[0] || claimOwner == 0 && state[0] != DONE)));
	assert(!(toldNotRun[1] && (bytesSent[1] || claimOwner == 1 && state[1] != DONE)))
}

active [INSTANCES] proctype instance() {
	byte i = _pid;
	do
	/* Write the claim: it takes effect, its answer is lost, or another instance
	 * owns the claim already. */
	:: atomic { state[i] == NEW -> pendingWrite[i] = true; state[i] = WRITING }
	:: atomic { state[i] == WRITING && pendingWrite[i] && claimOwner == NONE ->
		pendingWrite[i] = false; claimOwner = i; state[i] = OWNER }
	:: atomic { state[i] == WRITING && pendingWrite[i] && claimOwner == NONE ->
		pendingWrite[i] = false; claimOwner = i; state[i] = UNCERTAIN }
	:: atomic { state[i] == WRITING -> state[i] = UNCERTAIN }
	:: atomic { state[i] == WRITING && pendingWrite[i] && claimOwner != NONE ->
		pendingWrite[i] = false; state[i] = DONE }
	/* A write whose answer was lost takes effect late or never. */
	:: atomic { state[i] != WRITING && pendingWrite[i] ->
		pendingWrite[i] = false;
		if
		:: claimOwner == NONE -> claimOwner = i
		:: else
		fi }
	/* Read the claim back: it is this instance's, another's, or not there yet. */
	:: atomic { state[i] == UNCERTAIN && claimOwner == i -> state[i] = OWNER }
	:: atomic { state[i] == UNCERTAIN && claimOwner != i && claimOwner != NONE -> state[i] = DONE }
	/* The outcome of the claim write is not known in time: refuse the request,
	 * and never send it under this claim. */
	:: atomic { state[i] == UNCERTAIN -> state[i] = DONE; toldNotRun[i] = true; check() }
#ifdef LOST_IS_NO
	:: atomic { state[i] == DONE && toldNotRun[i] && claimOwner == i -> bytesSent[i] = true; inFlight[i]++; check() }
#endif
#ifdef SEND_FIRST
	:: atomic { state[i] == UNCERTAIN -> bytesSent[i] = true; inFlight[i]++; state[i] = SENT }
#endif
	/* Send the request. It runs or is lost; its answer comes back. */
	:: atomic { state[i] == OWNER -> bytesSent[i] = true; inFlight[i]++; state[i] = SENT; check() }
	:: atomic { inFlight[i] > 0 -> inFlight[i]--; runs++; answerInFlight[i] = true; check() }
	:: atomic { inFlight[i] > 0 -> inFlight[i]-- }
	:: atomic { state[i] == SENT && answerInFlight[i] -> state[i] = DONE }
	/* No answer: tell the caller "unknown" and never send again. */
	:: atomic { state[i] == SENT -> state[i] = DONE }
#ifdef RETRY_SILENCE
	:: atomic { state[i] == SENT && !answerInFlight[i] -> inFlight[i]++; state[i] = DONE }
#endif
	:: atomic { state[i] == DONE && !pendingWrite[i] && inFlight[i] == 0 -> break }
	od
}
