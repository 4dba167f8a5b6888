package bbproxy

import "time"

// Bounds of heads and bodies.
const (
	// maxHead is the size of a head that is read before the limits in force are
	// known, in bytes.
	maxHead = 16 << 10
	// maxBody is the same of a body, in bytes.
	maxBody = 4 << 20
	// maxAnswer is the size of an answer that is read whole, in bytes.
	maxAnswer = 8 << 20
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
	// headTime and idleTime hold until the limits in force are known.
	headTime = 3 * time.Second
	idleTime = 15 * time.Second
	// dialTime bounds the opening of a connection to a target.
	dialTime = 250 * time.Millisecond
	// writeTime bounds one write to a caller that does not read.
	writeTime = 3 * time.Second
	// poolTime is how long an unused connection to a target is kept when the
	// target names no time.
	poolTime = 4 * time.Second
	// poolSlack is how much sooner than the target says it is given up.
	poolSlack = time.Second
	// keepAliveIdle and keepAliveEvery find connections that have gone silent.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 3
)

// Times of a request.
const (
	// defaultDeadline is for requests that set none.
	defaultDeadline = 10 * time.Second
	// answerSlack is how long before its deadline a request that goes on is
	// answered, so that the answer still finds its caller.
	answerSlack = 20 * time.Millisecond
	// shareWait is how long a request waits for a share of its account's money.
	shareWait = 400 * time.Millisecond
	// shareRounds is how many draws it waits for.
	shareRounds = 3
	// drawTries is how many times a write of shares that met another is tried.
	drawTries = 4
	// swapTime bounds one write of shares.
	swapTime = 700 * time.Millisecond
	// comeBackMost is the latest that a client is told to come back.
	comeBackMost = 3 * time.Second
	// comeBack is when to come back where nothing better is known.
	comeBack = 500 * time.Millisecond
)

// Times of the controllers.
const (
	// targetsEvery is the pause between two looks at the list of targets.
	targetsEvery = 700 * time.Millisecond
	// watchWait is how long one watch of what operators declare waits.
	watchWait = 4 * time.Second
	// storePause is the pause after a call to the store that failed; it doubles
	// up to storePauseMost.
	storePause     = 250 * time.Millisecond
	storePauseMost = time.Second
	// cutTime is how long after a failed call the store counts as out of reach.
	cutTime = 2 * time.Second
	// targetsWait is how long one look at the list of targets waits for changes.
	targetsWait = 300 * time.Millisecond
	// storeBack is how long after trouble with the store the list of targets
	// may lack some that are alive.
	storeBack = 2 * time.Second
	// returnTime is how long a target whose entry lapsed with many others is
	// still used.
	returnTime = 1200 * time.Millisecond
	// moneyTick is the time between two looks at the shares.
	moneyTick = 250 * time.Millisecond
	// aheadEvery is the least time between two writes that no request waits for,
	// homeAheadEvery the same in a fleet whose accounts have homes.
	aheadEvery     = 200 * time.Millisecond
	homeAheadEvery = 900 * time.Millisecond
	// moneyPauseMost is the longest pause between writes while the store is away.
	moneyPauseMost = 1500 * time.Millisecond
	// moneyTold is the time between two log lines that tell the shares held.
	moneyTold = 4 * time.Second
	// closeTime is how long after the last request shares are still given back.
	closeTime = 700 * time.Millisecond
	// lingerTime is how long a leaving instance takes new connections while the
	// balancer learns of it.
	lingerTime = 3500 * time.Millisecond
	// graceSlack is how long before the kill a leaving instance ends by itself.
	graceSlack = 1200 * time.Millisecond
)

// cutTold is how many of the requests that a stop cuts are logged.
const cutTold = 16

// servedSample is how many served requests there are to one that is logged.
const servedSample = 16

// tallySample and tallyDecay make a distribution stand for about the last five
// minutes.
const (
	tallySample = 1028
	tallyDecay  = 0.015
)

// pathMetrics is where the address of readiness serves metrics.
const pathMetrics = "/metrics"

// Bounds of what one request tries.
const (
	// maxUnsent is how many targets that cannot be reached are tried.
	maxUnsent = 3
	// maxForeign is how many answers are read to find the request's own.
	maxForeign = 4
	// unseenEvents is how many events of a stream that broke off may have been
	// made without being seen; their tokens count as spent.
	unseenEvents = 2
	// patienceAims is how many times its aim a request that may be repeated
	// waits for an answer before another target is tried, patienceGaps the same
	// for a pause between events; leastPatience bounds both from below.
	patienceAims  = 2
	patienceGaps  = 4
	leastPatience = 250 * time.Millisecond
	// discardTime bounds the reading of an answer that is not passed on.
	discardTime = 100 * time.Millisecond
	// lastRead is how long a closed connection is read, so that its last answer
	// is not lost.
	lastRead = 500 * time.Millisecond
)

// Shares of what all instances have together.
const (
	// defaultInstances is how many instances are assumed until they are counted.
	defaultInstances = 8
	// retryPart is the part of the allowed repeats that is used, so that
	// instances that have just started do not exceed them.
	retryPart = 0.6
	// busyTime is how long a target that refused a request gets no other.
	busyTime = 50 * time.Millisecond
)

// Times of what instances tell each other.
const (
	// relayEvery is the time between two rounds of news.
	relayEvery = 500 * time.Millisecond
	// relayWait bounds one question to a peer.
	relayWait = 400 * time.Millisecond
	// dutySilence is how long the watcher of a failure domain may be silent
	// before the others of it watch the store themselves.
	dutySilence = 1000 * time.Millisecond
	// dutyStep is how much longer each further one waits, for the first
	// dutyRanks.
	dutyStep  = 300 * time.Millisecond
	dutyRanks = 3
	// dutyEvery is the time between two looks at who watches.
	dutyEvery = 100 * time.Millisecond
	// readTime bounds one reading of a plan that a peer spoke of, fetchTries is
	// how often it is tried.
	readTime   = 500 * time.Millisecond
	fetchTries = 4
	// relayFan is how many peers hear at once of a newer plan.
	relayFan = 8
	// leaseTime is how long an entry in the list of instances stands without
	// being renewed, leaseRenew the time between renewals.
	leaseTime  = 8 * time.Second
	leaseRenew = 2500 * time.Millisecond
	// listEvery is the longest time between two looks at the list of instances.
	listEvery = 20 * time.Second
)

// Bounds of loans between instances.
const (
	// directFleet is the largest fleet in which every instance draws for itself.
	directFleet = 16
	// homeBatch is how long a home waits for more needs before it draws.
	homeBatch = 15 * time.Millisecond
	// homeGroups is into how many groups accounts are put that share a home.
	homeGroups = 8
	// loanWait bounds one question to a peer.
	loanWait = 100 * time.Millisecond
	// loanPeers is how many peers are asked for one request.
	loanPeers = 4
	// loanEvery is the least time between two rounds of asking for an account.
	loanEvery = 100 * time.Millisecond
	// muteTime is how long a peer that did not answer is left alone.
	muteTime = 800 * time.Millisecond
)

// What instances tell each other of prompts.
const (
	// largePrompt is the number of tokens to be read from which peers are told.
	largePrompt = 2500
	// maxPrompt is the largest number of tokens that a peer is believed.
	maxPrompt = 1 << 20
	// prefillPeers is how many peers are told.
	prefillPeers = 16
)

// suspectPeers is how many peers are told of a request that may have crashed its
// target.
const suspectPeers = 16
