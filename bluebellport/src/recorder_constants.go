package bbport

import "time"

const (
	// retentionLeast is the shortest retention of request ids.
	retentionLeast = time.Minute
	// storeTimeout bounds one call of the key-value service for records.
	storeTimeout = time.Second
	// batchTimeout is how long the home of a partition has to answer a batch of
	// claims, beyond the time for which it may hold them.
	batchTimeout = 500 * time.Millisecond
	// billWait is how long the home has to answer a batch of bills.
	billWait = 5 * time.Second
	// homeRest is how long a home that did not answer is passed over.
	homeRest = 5 * time.Second
	// recordBackoff is the wait before records are sent again after a failure.
	recordBackoff = 250 * time.Millisecond
	// claimWait is how long a claim that is due waits for the rate of writes.
	claimWait = 500 * time.Millisecond
	// rateBurst is how many writes may be made at once, in seconds of the rate.
	rateBurst = 0.5
	// recordTick is how often the recorder looks for what is due.
	recordTick = 10 * time.Millisecond
	// commitTries bounds the rounds of one commit.
	commitTries = 32
	// retryLeast and retryMost bound the random wait before a write that lost
	// its race is made again.
	retryLeast = 2 * time.Millisecond
	retryMost  = 100 * time.Millisecond
	// batchMost is the most records in one message.
	batchMost = 2000
	// deadMost is the most given-up claims that an instance remembers.
	deadMost = 1 << 16
	// tellKept is how long the answer to a batch is still understood.
	tellKept = time.Minute
	// sweepPeriod is how often leaves past the retention are looked for.
	sweepPeriod = time.Minute
	// sweepMost is the most leaves of a partition deleted in one sweep.
	sweepMost = 4
	// askTimeout is how long another instance has to tell of its claim.
	askTimeout = 300 * time.Millisecond
	// shadowPeers is how many peers keep a copy of what is unacknowledged.
	shadowPeers = 2
	// shadowTimeout is how long a peer has to acknowledge a copy.
	shadowTimeout = time.Second
	// shadowSweep is how often peers that are gone are looked for.
	shadowSweep = time.Second
)
