package bbproxy

import "time"

// Bounds of heads and bodies.
const (
	// maxHead is the size of a head that is read before the limits in force are
	// known, in bytes.
	maxHead = 16 << 10
	// maxBody is the same of a body, in bytes.
	maxBody = 4 << 20
	// maxResponseBody is the size of an answer that is read whole, in bytes.
	maxResponseBody = 8 << 20
	// maxEvent is the size of one event of a stream, in bytes.
	maxEvent = 1 << 20
	// maxChunkLine is the length of the line before a chunk, in bytes.
	maxChunkLine = 256
	// bufferSize is the buffer of a connection, in bytes.
	bufferSize = 4 << 10
	// inlineBody is the size up to which a body is sent before the answer is
	// read, in bytes; a larger one is sent beside it.
	inlineBody = 48 << 10
)

// Times of connections.
const (
	// defaultHeadTimeout and idleTime hold until the limits in force are known.
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 250 * time.Millisecond
	// clientWriteTimeout bounds one write to a caller that does not read.
	clientWriteTimeout = 3 * time.Second
	// defaultPoolIdle is how long an unused connection to a target is kept when the
	// target names no time.
	defaultPoolIdle = 4 * time.Second
	// poolIdleMargin is how much sooner than the target says it is given up.
	poolIdleMargin = time.Second
	// keepAliveIdle and keepAliveEvery find connections that have gone silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Times of a request.
const (
	// defaultDeadline is for requests that set none.
	defaultDeadline = 10 * time.Second
	// responseMargin is how long before its deadline a request that goes on is
	// answered, so that the answer still finds its caller.
	responseMargin = 20 * time.Millisecond
	// shareTimeout is how long a request waits for a share of its account's money.
	shareTimeout = 400 * time.Millisecond
	// maxShareRounds is how many draws it waits for.
	maxShareRounds = 3
	// maxDrawTries is how many times a write of shares that met another is tried.
	maxDrawTries = 4
	// swapTimeout bounds one write of shares.
	swapTimeout = 700 * time.Millisecond
	// maxRetryAfter is the latest that a client is told to come back.
	maxRetryAfter = 3 * time.Second
	// defaultRetryAfter is when to come back where nothing better is known.
	defaultRetryAfter = 500 * time.Millisecond
)

// Times of the controllers.
const (
	// targetPollInterval is the pause between two looks at the list of targets.
	targetPollInterval = 700 * time.Millisecond
	// planPollWait is how long one watch of what operators declare waits.
	planPollWait = 4 * time.Second
	// minStoreBackoff is the pause after a call to the store that failed; it doubles
	// up to storePauseMost.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = time.Second
	// storeErrorWindow is how long after a failed call the store counts as out of reach.
	storeErrorWindow = 2 * time.Second
	// targetPollWait is how long one look at the list of targets waits for changes.
	targetPollWait = 300 * time.Millisecond
	// storeRecoveryWindow is how long after trouble with the store the list of targets
	// may lack some that are alive.
	storeRecoveryWindow = 2 * time.Second
	// missingTargetGrace is how long a target whose entry lapsed with many others is
	// still used.
	missingTargetGrace = 1200 * time.Millisecond
	// shareCheckInterval is the time between two looks at the shares.
	shareCheckInterval = 250 * time.Millisecond
	// prefetchInterval is the least time between two writes that no request waits for,
	// homeAheadEvery the same in a fleet whose accounts have homes.
	prefetchInterval     = 200 * time.Millisecond
	homePrefetchInterval = 900 * time.Millisecond
	// maxShareBackoff is the longest pause between writes while the store is away.
	maxShareBackoff = 1500 * time.Millisecond
	// shareLogInterval is the time between two log lines that tell the shares held.
	shareLogInterval = 4 * time.Second
	// shareReturnTimeout is how long after the last request shares are still given back.
	shareReturnTimeout = 700 * time.Millisecond
	// lingerPeriod is how long a leaving instance takes new connections while the
	// balancer learns of it.
	lingerPeriod = 3500 * time.Millisecond
	// graceMargin is how long before the kill a leaving instance ends by itself.
	graceMargin = 1200 * time.Millisecond
)

// maxCutLogged is how many of the requests that a stop cuts are logged.
const maxCutLogged = 16

// servedLogSample is how many served requests there are to one that is logged.
const servedLogSample = 16

// tallySample and tallyDecay make a distribution stand for about the last five
// minutes.
const (
	histogramSamples = 1028
	histogramDecay   = 0.015
)

// metricsPath is where the address of readiness serves metrics.
const metricsPath = "/metrics"

// Bounds of what one request tries.
const (
	// maxUnsentAttempts is how many targets that cannot be reached are tried.
	maxUnsentAttempts = 3
	// maxForeignResponses is how many answers are read to find the request's own.
	maxForeignResponses = 4
	// unseenEvents is how many events of a stream that broke off may have been
	// made without being seen; their tokens count as spent.
	unseenEvents = 2
	// latencyTimeoutFactor is how many times its aim a request that may be repeated
	// waits for an answer before another target is tried, patienceGaps the same
	// for a pause between events; leastPatience bounds both from below.
	latencyTimeoutFactor = 2
	gapTimeoutFactor     = 4
	minResponseTimeout   = 250 * time.Millisecond
	// discardTimeout bounds the reading of an answer that is not passed on.
	discardTimeout = 100 * time.Millisecond
	// closeReadTimeout is how long a closed connection is read, so that its last answer
	// is not lost.
	closeReadTimeout = 500 * time.Millisecond
)

// Shares of what all instances have together.
const (
	// defaultInstances is how many instances are assumed until they are counted.
	defaultInstances = 8
	// retryBudgetPart is the part of the allowed repeats that is used, so that
	// instances that have just started do not exceed them.
	retryBudgetPart = 0.6
	// busyPeriod is how long a target that refused a request gets no other.
	busyPeriod = 50 * time.Millisecond
)

// Times of what instances tell each other.
const (
	// relayInterval is the time between two rounds of news.
	relayInterval = 500 * time.Millisecond
	// relayTimeout bounds one question to a peer.
	relayTimeout = 400 * time.Millisecond
	// watcherSilence is how long the watcher of a failure domain may be silent
	// before the others of it watch the store themselves.
	watcherSilence = 1000 * time.Millisecond
	// watcherSilenceStep is how much longer each further one waits, for the first
	// dutyRanks.
	watcherSilenceStep = 300 * time.Millisecond
	maxWatcherRanks    = 3
	// watcherCheckInterval is the time between two looks at who watches.
	watcherCheckInterval = 100 * time.Millisecond
	// planReadTimeout bounds one reading of a plan that a peer spoke of, fetchTries is
	// how often it is tried.
	planReadTimeout = 500 * time.Millisecond
	maxPlanFetches  = 4
	// announcePeers is how many peers hear at once of a newer plan.
	announcePeers = 8
	// instanceLeaseTTL is how long an entry in the list of instances stands without
	// being renewed, leaseRenew the time between renewals.
	instanceLeaseTTL   = 8 * time.Second
	leaseRenewInterval = 2500 * time.Millisecond
	// instanceListWait is the longest time between two looks at the list of instances.
	instanceListWait = 20 * time.Second
)

// Bounds of loans between instances.
const (
	// maxDirectFleet is the largest fleet in which every instance draws for itself.
	maxDirectFleet = 16
	// homeBatchDelay is how long a home waits for more needs before it draws.
	homeBatchDelay = 15 * time.Millisecond
	// accountHomeGroups is into how many groups accounts are put that share a home.
	accountHomeGroups = 8
	// loanTimeout bounds one question to a peer.
	loanTimeout = 100 * time.Millisecond
	// maxLoanPeers is how many peers are asked for one request.
	maxLoanPeers = 4
	// loanInterval is the least time between two rounds of asking for an account.
	loanInterval = 100 * time.Millisecond
	// unresponsivePeriod is how long a peer that did not answer is left alone.
	unresponsivePeriod = 800 * time.Millisecond
)

// What instances tell each other of prompts.
const (
	// largePromptTokens is the number of tokens to be read from which peers are told.
	largePromptTokens = 2500
	// maxPromptTokens is the largest number of tokens that a peer is believed.
	maxPromptTokens = 1 << 20
	// maxPrefillPeers is how many peers are told.
	maxPrefillPeers = 16
)

// maxSuspectPeers is how many peers are told of a request that may have crashed its
// target.
const maxSuspectPeers = 16
