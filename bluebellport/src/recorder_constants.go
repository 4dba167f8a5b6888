package bbport

import "time"

const (
	// minRetention is the shortest accepted retention of records.
	minRetention = time.Minute
	// storeTimeout bounds one call of the key-value service for records.
	storeTimeout = time.Second
	// batchTimeout is how long a home may take for a batch of claims, beyond
	// the time for which it may hold them back.
	batchTimeout = 500 * time.Millisecond
	// billVerdictTimeout is how long a home may take for a batch of bills.
	billVerdictTimeout = 5 * time.Second
	// homeBypassTime is how long a home that did not answer is bypassed.
	homeBypassTime = 5 * time.Second
	// recordRetryDelay is the wait before records are tried again after a
	// failure.
	recordRetryDelay = 250 * time.Millisecond
	// maxClaimRateWait bounds how long a claim that is due waits for the write
	// rate.
	maxClaimRateWait = 500 * time.Millisecond
	// writeRateBurst is the burst of the write rates, in seconds of the rate.
	writeRateBurst = 0.5
	// recorderTickInterval is how often the recorder checks its queues.
	recorderTickInterval = 10 * time.Millisecond
	// maxCommitRounds bounds the rounds of planning and writing in one commit.
	maxCommitRounds = 32
	// minWriteBackoff and maxWriteBackoff bound the longest random wait before
	// a write that lost its race is repeated.
	minWriteBackoff = 2 * time.Millisecond
	maxWriteBackoff = 100 * time.Millisecond
	// maxBatchRecords bounds the records in one message.
	maxBatchRecords = 2000
	// maxAbandoned bounds the abandoned attempts that an instance remembers.
	maxAbandoned = 1 << 16
	// lateVerdictTime is how long the verdicts on an expired batch are still
	// understood.
	lateVerdictTime = time.Minute
	// expiryInterval is how often leaves past the retention are deleted.
	expiryInterval = time.Minute
	// maxExpiredPerRun bounds the leaves of a partition deleted in one run.
	maxExpiredPerRun = 4
	// claimQueryTimeout bounds the wait for another instance's answer about its
	// claim.
	claimQueryTimeout = 300 * time.Millisecond
	// backupPeers is how many peers keep a copy of open and unacknowledged
	// records.
	backupPeers = 2
	// backupTimeout is how long a peer has to acknowledge a copy.
	backupTimeout = time.Second
	// orphanCheckInterval is how often the copies are checked for instances
	// that are gone.
	orphanCheckInterval = time.Second
)
