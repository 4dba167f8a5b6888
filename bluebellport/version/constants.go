package bbversion

import (
	"time"

	"bluebellport.example/bluebellport/news"
)

// Times of a split.
const (
	// activationDelay is how long after an instance has learned of an epoch it begins
	// streams by it, so that all others know of it by then.
	activationDelay = time.Second
	// epochRetention is how long after it was superseded an epoch is kept: streams
	// that began by it may still be taken up.
	epochRetention = 20 * time.Second
	// minChangeInterval is the time between two changes of a service's split.
	minChangeInterval = time.Second
	// writerTakeover is how much longer each instance waits than the one before it
	// in rank until it changes the split.
	writerTakeover = 700 * time.Millisecond
	// writerRanks is how many instances are ranked as writers.
	writerRanks = 4
	// refreshInterval is the time between two reads of the split by an instance that
	// watches the store, while a service has several versions.
	refreshInterval = 2 * time.Second
	// storeTimeout bounds a call of the store.
	storeTimeout = 2 * time.Second
	// startWait is the longest that an instance waits at its start for a peer to tell
	// it the split, and between two reads that fail.
	startWait = 500 * time.Millisecond
	// maxChangedShare is by how much the share of a version may differ from that of
	// its targets, maxChangedRatio the same as a part of the share.
	maxChangedShare = 0.05
	maxChangedRatio = 0.25
)

// Times and sizes of records of streams.
const (
	// streamRetention is how long after its end the version of a stream is known
	// where it began, recordRetention how long a home keeps its record.
	streamRetention = 30 * time.Second
	recordRetention = time.Minute
	// recordRefresh is the time between two tellings of a stream that goes on.
	recordRefresh = 10 * time.Second
	// maxStreams is how many streams an instance knows. Records that do not fit are
	// dropped; their streams are not taken up.
	maxStreams = 1 << 16
	// homeCount is how many instances keep the record of a stream.
	homeCount = 3
	// askTimeout is how long homes have to answer.
	askTimeout = 200 * time.Millisecond
	// confirmTimeout is how long the store has to show that a split is the newest,
	// confirmPause how long after a failure it is not asked again.
	confirmTimeout = 400 * time.Millisecond
	confirmPause   = 500 * time.Millisecond
	// memberRetention is how long after it was last seen an instance counts in the
	// question whether all are reached, maxAsked the largest fleet in which each is asked.
	memberRetention = time.Minute
	maxAsked        = 16
)

// Times and sizes of the logs of streams.
const (
	// logInterval is the time between two writes of a failure domain's log,
	// fleetLogInterval the same of the log of a fleet of up to maxOneLog instances.
	logInterval      = 100 * time.Millisecond
	fleetLogInterval = 50 * time.Millisecond
	maxOneLog        = 16
	// logRetention is how long a stream stays in a log.
	logRetention = 15 * time.Second
	// maxLogStreams is how many streams a log holds. The oldest are dropped.
	maxLogStreams = 8192
	// lookupInterval is the time between two reads of the logs.
	lookupInterval = 500 * time.Millisecond
)

// Sizes of a split and of messages.
const (
	maxEpochs            = 32
	maxVersions          = 64
	maxVersionBytes      = 200
	maxSplitBytes        = 1 << 18
	maxStreamsPerMessage = 256
)

// Times and sizes of the news.
const (
	tickInterval = 50 * time.Millisecond
	// floodFanout is how many instances each instance tells of a new split,
	// learnFanout how many are asked by one that has just started.
	floodFanout = 4
	learnFanout = 2
)

// times are the intervals of comparisons.
var times = bbnews.Times{
	Fresh: 100 * time.Millisecond, FreshPeriod: 2 * time.Second,
	Busy: 300 * time.Millisecond, BusyPeriod: 5 * time.Second,
	Quiet: 2 * time.Second,
	Learn: 100 * time.Millisecond, LearnPeriod: 3 * time.Second,
}
