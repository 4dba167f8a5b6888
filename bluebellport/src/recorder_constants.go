package bbport

import "time"

const (
	// minRetention is the shortest retention of request ids.
	minRetention = time.Minute
	// storeTimeout bounds one call of the key-value service for records.
	storeTimeout = time.Second
	// batchTimeout is how long the home of a partition has to answer a batch of
	// claims, beyond the time for which it may hold them.
	batchTimeout = 500 * time.Millisecond
	// billVerdictTimeout is how long the home has to answer a batch of bills.
	billVerdictTimeout = 5 * time.Second
	// homeBypassTime is how long a home that did not answer is passed over.
	homeBypassTime = 5 * time.Second
	// recordRetryDelay is the wait before records are sent again after a failure.
	recordRetryDelay = 250 * time.Millisecond
	// maxClaimRateWait is how long a claim that is due waits for the rate of writes.
	maxClaimRateWait = 500 * time.Millisecond
	// writeRateBurst is how many writes may be made at once, in seconds of the rate.
	writeRateBurst = 0.5
	// recorderTickInterval is how often the recorder looks for what is due.
	recorderTickInterval = 10 * time.Millisecond
	// maxCommitRounds bounds the rounds of one commit.
	maxCommitRounds = 32
	// minWriteBackoff and retryMost bound the random wait before a write that lost
	// its race is made again.
	minWriteBackoff = 2 * time.Millisecond
	maxWriteBackoff = 100 * time.Millisecond
	// maxBatchRecords is the most records in one message.
	maxBatchRecords = 2000
	// maxAbandoned is the most given-up claims that an instance remembers.
	maxAbandoned = 1 << 16
	// lateVerdictTime is how long the answer to a batch is still understood.
	lateVerdictTime = time.Minute
	// expiryInterval is how often leaves past the retention are looked for.
	expiryInterval = time.Minute
	// maxExpiredPerRun is the most leaves of a partition deleted in one sweep.
	maxExpiredPerRun = 4
	// claimQueryTimeout is how long another instance has to tell of its claim.
	claimQueryTimeout = 300 * time.Millisecond
	// backupPeers is how many peers keep a copy of what is unacknowledged.
	backupPeers = 2
	// backupTimeout is how long a peer has to acknowledge a copy.
	backupTimeout = time.Second
	// orphanCheckInterval is how often peers that are gone are looked for.
	orphanCheckInterval = time.Second
)
