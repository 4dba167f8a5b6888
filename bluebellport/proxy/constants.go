package bbproxy

import (
	"time"

	"bluebellport.example/shared/bbroute"
)

// Sizes of heads and bodies.
const (
	// maxHead and maxBody are the limits of a request, in bytes, until the plan's
	// limits are known. maxHead also limits the head of a response,
	// together with the informational ones before it, and maxBody what is still
	// read from a connection that is being closed.
	maxHead = 16 << 10
	maxBody = 4 << 20
	// maxInformational is how many informational (1xx) responses may precede a
	// response.
	maxInformational = 32
	// maxResponseBody limits the body of a response, in bytes.
	maxResponseBody = 8 << 20
	// maxDiscarded limits what is read of a response that is not passed on, in
	// bytes.
	maxDiscarded = 16 << 10
	// maxEvent limits one event of a stream, in bytes.
	maxEvent = 1 << 20
	// maxChunkLine limits the line before a chunk, in bytes.
	maxChunkLine = 256
	// maxLinesPerData limits the lines before chunks, as a multiple of the data in
	// them; maxHead bytes more are allowed.
	maxLinesPerData = 8
	// bufferSize is the read buffer of a connection, in bytes.
	bufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the response is
	// read, in bytes. Larger ones are written while it is read.
	maxInlineBody = 48 << 10
)

// Memory for bodies.
const (
	// defaultMemoryMB is assumed of an instance whose memory is not known.
	defaultMemoryMB = 256
	// requestMemoryDivisor and responseMemoryDivisor divide an instance's memory:
	// one such part is for the bodies of requests, another for those of responses.
	// The garbage collector lets the heap grow to about twice of both.
	requestMemoryDivisor  = 16
	responseMemoryDivisor = 24
	// freeBuffer is what each body may have without a budget, in bytes, so that
	// small ones are always read whole. minBuffer is the least size of a buffer,
	// bufferGrowth by how much it grows when it is full.
	freeBuffer   = 16 << 10
	minBuffer    = 4 << 10
	bufferGrowth = 4
)

// Timeouts of connections.
const (
	// defaultHeadTimeout and defaultIdleTimeout apply until the plan's limits are
	// known.
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
	// dialTimeout limits opening a connection to a target.
	dialTimeout = 250 * time.Millisecond
	// maxBodyTime is how long a client may take for a body, however long it would
	// wait for the response.
	maxBodyTime = 30 * time.Second
	// clientWriteTimeout limits one write of at most writePartBytes to a client that
	// does not read.
	clientWriteTimeout = 3 * time.Second
	writePartBytes     = 64 << 10
	// defaultPoolIdle is how long an idle connection is kept if the target does not
	// name its keep-alive timeout.
	defaultPoolIdle = 4 * time.Second
	// poolIdleMargin is how long before the target's keep-alive timeout a
	// connection is given up, so that the target does not close it as a request is
	// sent.
	poolIdleMargin = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the TCP keep-alive of
	// connections to targets. It finds those that have gone silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Times of a request.
const (
	// defaultDeadline applies to requests that name none.
	defaultDeadline = 10 * time.Second
	// responseMargin is how long before the client's deadline the proxy responds,
	// so that the response still arrives in time.
	responseMargin = 20 * time.Millisecond
	// shareTimeout is how long a request waits for a share of its account's tokens.
	shareTimeout = 400 * time.Millisecond
	// maxShareRounds is how many writes of shares a request waits for.
	maxShareRounds = 3
	// maxWriteAttempts is how often a write of shares is attempted when it
	// conflicts.
	maxWriteAttempts = 4
	// swapTimeout limits one write of shares.
	swapTimeout = 700 * time.Millisecond
	// maxRetryAfter is the longest Retry-After.
	maxRetryAfter = 3 * time.Second
	// defaultRetryAfter is the Retry-After if no better time is known.
	defaultRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After where all targets are evacuated. Only
	// operators end that; what they end is used at once.
	evacuatedRetryAfter = time.Second
	// retryAfterSpread is the largest random part of a Retry-After, as a part of it.
	retryAfterSpread = 0.25
)

// Times of the controllers.
const (
	// targetPollInterval is the pause between two polls for changes of targets.
	targetPollInterval = 700 * time.Millisecond
	// planPollWait is how long one poll for a newer plan waits.
	planPollWait = 20 * time.Second
	// planTransferTime is how long a plan is awaited from peers that have begun to send
	// it, before the store is asked again.
	planTransferTime = 3 * time.Second
	// planNewsFanout is how many peers an instance tells at once that there is a newer
	// plan.
	planNewsFanout = 4
	// minStoreBackoff is the pause after a call to the store that failed. It
	// doubles up to maxStoreBackoff.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = time.Second
	// storeErrorWindow is how long after a failed call the store counts as
	// unreachable.
	storeErrorWindow = 2 * time.Second
	// targetPollWait is how long one poll for changes of targets waits.
	targetPollWait = 300 * time.Millisecond
	// minLapseOutage is how long the store has to be away for entries of targets
	// that are alive to lapse: a few of the targets' intervals between writes.
	minLapseOutage = 1500 * time.Millisecond
	// storeRecoveryWindow is how long after an outage entries of targets that are
	// alive may be missing from the list.
	storeRecoveryWindow = 2 * time.Second
	// missingTargetGrace is how long a target is still used whose entry went
	// missing together with many others.
	missingTargetGrace = 1200 * time.Millisecond
	// eraTargetGrace is how long a target is still used that the store has lost by
	// coming back from an older copy. It writes its entry again within about two
	// seconds.
	eraTargetGrace = 2500 * time.Millisecond
	// leftRetention is how long it is remembered that a target left: longer than a
	// copy of the store is old.
	leftRetention = 5 * time.Minute
	// goneHold is how long the entry of a target that was gone is ignored after the
	// store came back from a copy that has it. The store removes entries that their
	// targets no longer write sooner than that.
	goneHold = 10 * time.Second
	// shareCheckInterval is the time between two checks of the shares.
	shareCheckInterval = 250 * time.Millisecond
	// prefetchInterval is the least time between two writes that no request waits
	// for, homePrefetchInterval the same in a fleet whose accounts have homes.
	prefetchInterval     = 200 * time.Millisecond
	homePrefetchInterval = 900 * time.Millisecond
	// maxShareBackoff is the longest pause between writes of shares that fail.
	maxShareBackoff = 1500 * time.Millisecond
	// shareLogInterval is the time between two log lines with the shares held.
	shareLogInterval = 4 * time.Second
)

// Log lines of one planned stop.
const (
	// maxCutLogged is how many of the requests that a stop cuts have a line of their
	// own, idsPerLine how many of the others stand in one line.
	maxCutLogged = 256
	idsPerLine   = 64
	// maxTakenLogged is how many of the requests are logged that are sent during a
	// stop.
	maxTakenLogged = 256
)

// servedLogSample is the sampling ratio of the log: one in servedLogSample
// served requests is logged.
const servedLogSample = 16

// maxLoggedKey is how much of a key that another writer chose is logged, in bytes.
const maxLoggedKey = 60

// histogramSamples and histogramDecay make a histogram cover about the last five
// minutes.
const (
	histogramSamples = 1028
	histogramDecay   = 0.015
)

// metricsPath is where the readiness address serves metrics.
const metricsPath = "/metrics"

// Limits of the attempts of one request.
const (
	// maxUnsentAttempts is how many further targets are tried after one that can't
	// be reached.
	maxUnsentAttempts = 3
	// maxStrayResponses is how many responses to other requests are skipped on a
	// connection before it is given up.
	maxStrayResponses = 4
	// unseenEvents is how many events of a stream that broke off a target may have
	// generated without their arriving. Their tokens count as spent.
	unseenEvents = 2
	// latencyTimeoutFactor times the route's latency objective is how long a
	// request that may be retried waits for the head of a response,
	// gapTimeoutFactor times the event gap objective how long it waits for the
	// next event. Both times are at least minResponseTimeout.
	latencyTimeoutFactor = 2
	gapTimeoutFactor     = 4
	minResponseTimeout   = 250 * time.Millisecond
	// unnamedRefusalPeriod is how long after a refusal without an id that was the
	// request's own the targets of the service are expected to refuse without one,
	// unprovenRefusalPeriod the same after one that may have been another request's.
	unnamedRefusalPeriod  = time.Minute
	unprovenRefusalPeriod = time.Second
	// restTimeout is how long the rest of a response is awaited that began within the body
	// of another one.
	restTimeout = 10 * time.Millisecond
	// discardTimeout limits reading a response that is not passed on.
	discardTimeout = 100 * time.Millisecond
	// closeReadTimeout is how long a connection is read after its last response.
	closeReadTimeout = 500 * time.Millisecond
	// deliveryCheck is the time between two looks whether a client has its last response.
	deliveryCheck = 5 * time.Millisecond
	// lastLookPeriod is how long an idle connection whose time is over is looked at for
	// a request that has come.
	lastLookPeriod = 5 * time.Millisecond
)

// maxQuickPermitTries is for how many targets with a limit permits are asked for
// one attempt that can go to another target.
const maxQuickPermitTries = 3

// This instance's part of what the fleet may use.
const (
	// defaultInstances is the assumed number of instances until they are counted.
	defaultInstances = 8
	// retryBudgetFraction is the fraction of the allowed retries that is used, so
	// that instances that have just started do not exceed them together.
	retryBudgetFraction = 0.6
	// unprovenBackoff is how long a target gets no requests after a refusal that may be
	// another request's.
	unprovenBackoff = 50 * time.Millisecond
	// maxTargetPause is the longest time for which a target is believed that it wants
	// no requests.
	maxTargetPause = 10 * time.Minute
)

// Times of the updates of plan and targets that instances send each other,
// called news on the wire.
const (
	// relayInterval is the time between two rounds of updates.
	relayInterval = 500 * time.Millisecond
	// relayTimeout limits one call to a peer.
	relayTimeout = 400 * time.Millisecond
	// watcherSilence is how long the watcher of a failure domain may be silent
	// before another instance there watches the store.
	watcherSilence = 1000 * time.Millisecond
	// watcherSilenceStep is how much longer each further instance in rank waits,
	// for the first maxWatcherRanks.
	watcherSilenceStep = 300 * time.Millisecond
	maxWatcherRanks    = 3
	// watcherCheckInterval is how often an instance checks whether it has to watch.
	watcherCheckInterval = 100 * time.Millisecond
	// maxToldPerDomain is how many instances of each other failure domain a watcher
	// tells that a target leaves. These tell their domain.
	maxToldPerDomain = 2
	// instanceLeaseTTL is how long an entry in the list of instances lasts without
	// renewal, leaseRenewInterval the time between renewals.
	// It outlasts a cut from the store of some 14 s; peers notice sooner that an
	// instance is dead.
	instanceLeaseTTL   = 20 * time.Second
	leaseRenewInterval = 6 * time.Second
	// eraCheckInterval is how often an instance checks whether the store came back
	// from an older copy, which may lack its entry.
	eraCheckInterval = 250 * time.Millisecond
	// instanceListWait is how long one poll for changes of the list waits.
	instanceListWait = 20 * time.Second
)

// Limits of loans between instances.
const (
	// maxDirectFleet is the largest fleet in which each instance gets its own
	// grants from the store.
	maxDirectFleet = 16
	// homeBatchDelay is how long a home collects loan requests before it writes.
	homeBatchDelay = 15 * time.Millisecond
	// accountHomeGroups is the number of groups of accounts that share a home.
	accountHomeGroups = 8
	// loanTimeout limits one call to a peer.
	loanTimeout = 100 * time.Millisecond
	// handOverInterval is the time between two offers of what a stopping instance has
	// left, handOverTime how long it makes them.
	handOverInterval = 10 * time.Millisecond
	handOverTime     = 250 * time.Millisecond
	// overdueWrite is how old a write of shares without an answer is when a home sends
	// borrowers elsewhere.
	overdueWrite = 100 * time.Millisecond
	// maxLoanPause is the longest time between two rounds that bring nothing.
	maxLoanPause = 800 * time.Millisecond
	// maxLoanPeers is how many peers are asked for one request, maxGatherPeers the same
	// while the store does not answer, maxRecalls how many of these are instances that
	// borrowed here.
	maxLoanPeers   = 4
	maxGatherPeers = 10
	maxRecalls     = 3
	// gatherHorizon is for how long a home that is cut off from the store tries to have
	// tokens, gatherBelow how little it has left when it asks others.
	gatherHorizon = 8 * time.Second
	gatherBelow   = 1500 * time.Millisecond
	// largeReturnDivisor divides what an account has paid: a larger part of a
	// reservation that was not used is given back at once.
	largeReturnDivisor = 64
	// loanInterval is the least time between two rounds of asking for an account.
	loanInterval = 100 * time.Millisecond
	// unresponsivePeriod is how long a peer that did not answer is not asked again.
	unresponsivePeriod = 800 * time.Millisecond
)

// Limits of messages about prompts.
const (
	// largePromptTokens is the least number of uncached tokens for which peers are
	// told of a prompt.
	largePromptTokens = 2500
	// maxPromptTokens is the largest prompt that is accepted from a peer.
	maxPromptTokens = 1 << 20
	// maxPrefillPeers is how many peers are told.
	maxPrefillPeers = 16
)

// Limits of the search for requests that crash their targets.
const (
	// crashThreshold is the number of crashes from which a request is refused.
	crashThreshold = 2
	// maxNamedCrashes is how many crashes the log of a refusal names, the last ones.
	maxNamedCrashes = 16
	// downPeriod is how long before a target accepted no connection an attempt
	// may have ended that was in flight at its crash.
	downPeriod = time.Second
	// brokeOffPeriod is how long after an attempt at which the target broke off
	// the list may tell that the target's run has ended, abandonedPeriod the same
	// for an attempt that the instance gave up.
	brokeOffPeriod  = 6 * time.Second
	abandonedPeriod = 2 * time.Second
	// downRetention is how long it is remembered that a target was down or gone,
	// for the attempts that are in flight there until their deadline.
	downRetention = 30 * time.Second
	// answerLookDelay is how long after an answer that ended with its connection it is
	// looked whether its target still listens: its connections and its listener need
	// not end at the same moment. It is also the time between two looks at a target.
	answerLookDelay = 200 * time.Millisecond
	// alertPeriod is how long after any crash all such answers are looked at.
	alertPeriod = time.Minute
	// maxEndedAttempts is how many attempts without a response are remembered for
	// one target.
	maxEndedAttempts = 128
)

// answerLookPolicy limits the connections that are opened only to look whether a
// target still listens: to a share of the answers that ended with their connection,
// and at least to MinPerSecond.
var answerLookPolicy = bbroute.RetryPolicy{Ratio: 0.1, MinPerSecond: 0.25}

// maxVersionsWait is how long after its start an instance that cannot begin streams
// is not ready for that reason.
const maxVersionsWait = 5 * time.Second

// splitKey is the key in the platform's store of how streams are split among the
// software versions of targets.
const splitKey = "bluebellport/versions"

// streamLogPrefix is the key prefix in the platform's store of the logs of streams
// whose version the split does not tell.
const streamLogPrefix = "bluebellport/begun/"

// maxAttemptIDBytes is the longest id of an attempt that a client may take up.
const maxAttemptIDBytes = 200

// refusedKey is the key in the platform's store of the copy of the requests that
// are refused because they crash targets.
const refusedKey = "bluebellport/refused"
