package bbproxy

import "time"

// Speeds of targets.
const (
	// speedInterval is the time between two computations of the speeds. A change of a
	// target shows within it and a few requests.
	speedInterval = 250 * time.Millisecond
	// speedRoundsPerTell is how many intervals pass between two messages to peers.
	speedRoundsPerTell = 4
	// maxSpeedsPerMessage is how many targets a message tells of, maxSpeedPeers how many
	// peers get it.
	maxSpeedsPerMessage = 64
	maxSpeedPeers       = 3
	// maxSpeedAge and maxSpeedSamples bound what a peer tells of one target.
	maxSpeedAge     = time.Minute
	maxSpeedSamples = 1 << 16
	// speedLogFactor is the change of a service's median speed that is logged.
	speedLogFactor = 1.5
)
