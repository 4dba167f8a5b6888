/* Claims: a request that may not be repeated runs at most once, and "not run" is
 * told only when it did not run and will not.
 *
 * The caller sends the same request to two instances, or to one instance again.
 * Each creates the claim by compare-and-swap before the first byte leaves. The
 * answer of that write may be lost, whether or not it took effect, and a write
 * without an answer may take effect later. The target's answer may be lost.
 *
 * Broken variants, each of which must be refuted:
 *   RETRY_SILENCE  a claimed request is sent again after silence
 *   LOST_IS_NO     a claim whose answer was lost counts as not written, and the
 *                  caller is told "not run" while the write may take effect
 *   SEND_FIRST     the request is sent while its claim is not known to stand
 */

#define N 2
#define NONE 255

#define NEW 0
#define ASKED 1      /* the claim is written, its answer is awaited */
#define LOST 2       /* the answer was lost */
#define OWNER 3      /* the claim stands and is ours */
#define SENT 4
#define TOLD 5

byte claim = NONE;   /* who owns the claim */
bool pending[N];     /* a write that may still take effect */
byte st[N];
byte ran;            /* how often the target ran the request */
byte out[N];         /* requests on their way to the target */
bool answered[N];    /* an answer is on its way back */
bool notrun[N];      /* the caller was told "not run" by this instance */
bool sent[N];        /* a byte of the request has left this instance */

inline check() {
	assert(ran <= 1);
	assert(!(notrun[0] && (sent[0] || claim == 0 && st[0] != TOLD)));
	assert(!(notrun[1] && (sent[1] || claim == 1 && st[1] != TOLD)))
}

active [N] proctype instance() {
	byte i = _pid;
	do
	/* the claim */
	:: atomic { st[i] == NEW -> pending[i] = true; st[i] = ASKED }
	:: atomic { st[i] == ASKED && pending[i] && claim == NONE ->
		pending[i] = false; claim = i; st[i] = OWNER }
	:: atomic { st[i] == ASKED && pending[i] && claim == NONE ->
		pending[i] = false; claim = i; st[i] = LOST }
	:: atomic { st[i] == ASKED -> st[i] = LOST }
	:: atomic { st[i] == ASKED && pending[i] && claim != NONE ->
		pending[i] = false; st[i] = TOLD }
	/* a write without an answer takes effect late, or comes to nothing */
	:: atomic { st[i] != ASKED && pending[i] ->
		pending[i] = false;
		if
		:: claim == NONE -> claim = i
		:: else
		fi }
	/* read back: ours, another's, or not known yet */
	:: atomic { st[i] == LOST && claim == i -> st[i] = OWNER }
	:: atomic { st[i] == LOST && claim != i && claim != NONE -> st[i] = TOLD }
	/* nothing known in time: refused, and never sent under this claim */
	:: atomic { st[i] == LOST -> st[i] = TOLD; notrun[i] = true; check() }
#ifdef LOST_IS_NO
	:: atomic { st[i] == TOLD && notrun[i] && claim == i -> sent[i] = true; out[i]++; check() }
#endif
#ifdef SEND_FIRST
	:: atomic { st[i] == LOST -> sent[i] = true; out[i]++; st[i] = SENT }
#endif
	/* the request */
	:: atomic { st[i] == OWNER -> sent[i] = true; out[i]++; st[i] = SENT; check() }
	:: atomic { out[i] > 0 -> out[i]--; ran++; answered[i] = true; check() }
	:: atomic { out[i] > 0 -> out[i]-- }
	:: atomic { st[i] == SENT && answered[i] -> st[i] = TOLD }
	/* silence: told as unknown, never sent again */
	:: atomic { st[i] == SENT -> st[i] = TOLD }
#ifdef RETRY_SILENCE
	:: atomic { st[i] == SENT && !answered[i] -> out[i]++; st[i] = TOLD }
#endif
	:: atomic { st[i] == TOLD && !pending[i] && out[i] == 0 -> break }
	od
}
