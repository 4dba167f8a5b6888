package bbspread

import "time"

// Sizes of what is kept and sent.
const (
	// pieceBytes is how much of a packed form one message carries, so that other
	// messages to the same peer do not wait for long.
	pieceBytes = 16 << 10
	// maxValueBytes is the largest value that is taken from a peer, and so also the
	// largest packed form.
	maxValueBytes = 8 << 20
	// windowBytes is how far back a packed form refers: a value and its base.
	windowBytes = 16 << 20
	// maxSteps and maxStepBytes limit the differences between versions that are kept
	// for peers that have an older one.
	maxSteps     = 16
	maxStepBytes = 2 << 20
	// maxWholes is how many whole versions are kept packed.
	maxWholes = 3
	// maxServed is how many peers get pieces of a larger packed form at a time. The
	// others are served sooner by those than by this instance.
	maxServed = 4
	// newsFanout is how many members of its failure domain an instance tells of a
	// version that it has received, foreignFanout how many others. Where the domain has
	// fewer, more others are told.
	newsFanout    = 4
	foreignFanout = 2
)

// Times of transfers.
const (
	// tickInterval is the time between two rounds of work while a version is
	// awaited, idleTickInterval the same at other times.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// minPieceTimeout is how long a piece is awaited before another peer is asked. It
	// doubles up to maxPieceTimeout for a peer that sends none. One that comes later is
	// used nevertheless.
	minPieceTimeout = 150 * time.Millisecond
	maxPieceTimeout = time.Second
	// slowPiece is how long a piece takes from a peer that is left for a faster one.
	slowPiece = 200 * time.Millisecond
	// holderPause is how long a peer is not asked that did not answer.
	holderPause = time.Second
	// malformedPause is how long a peer is not asked that sent what it should not.
	malformedPause = 250 * time.Millisecond
	// minBusyPause and maxBusyPause limit how long a peer is not asked that has no
	// capacity.
	minBusyPause = 20 * time.Millisecond
	maxBusyPause = 320 * time.Millisecond
	// foreignDelay is how long a peer of another failure domain is not asked while
	// one of the own domain may get the version.
	foreignDelay = 100 * time.Millisecond
	// guessInterval is the time between two questions to peers that have told of no
	// newer version, if none that has can be asked.
	guessInterval = 200 * time.Millisecond
	// stallTimeout is how long nothing arrives before the value is read from the
	// store. Up to half of it is added at random.
	stallTimeout = 1200 * time.Millisecond
	// watchLead is how long peers have had a newer version before this instance gives up
	// waiting for it from the store.
	watchLead = 300 * time.Millisecond
	// servedPeriod is how long after its last question a peer counts as being served.
	servedPeriod = 300 * time.Millisecond
	// keptPeriod is how long after the last question for it an older whole version is
	// kept, so that a transfer that has begun can end.
	keptPeriod = 3 * time.Second
)

// Limits of the link.
const (
	// linkShare is the part of the instance's link that pieces may use.
	linkShare = 0.5
	// burstPieces is how many pieces may be sent at once.
	burstPieces = 4
)
