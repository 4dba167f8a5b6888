package bbroute

import "time"

const (
	// workUnit is the work of a mean request.
	workUnit = 1000
	// paceWeight is how much of a new answer time goes into a mean.
	paceWeight = 0.02
	// newsLife is the part of an answer's time in which a load report loses most
	// of its weight.
	newsLife = 0.25
	// gatePaceWeight is the same for the time that a request takes in all.
	gatePaceWeight = 0.1
	// serviceMargin is the part of its expected time that a request which waits
	// must have left before its deadline.
	serviceMargin = 1.5
	// choiceMargin is by how much of a request the second target drawn must be
	// the less loaded one to be taken.
	choiceMargin = 0.5
	// paceBand is how far a target's pace may be from the service's and still
	// count as the same.
	paceBand = 1.25
	// usualWeight is how much of a new report goes into a target's usual load.
	usualWeight = 0.1
	// longestNanos is the longest duration reckoned with, which may be added to
	// a time without overflow.
	longestNanos = 1 << 60
	// defaultPace is the answer time assumed before any was seen, in seconds.
	defaultPace = 1.0
	// defaultSlots stands for the slots of a target that tells none.
	defaultSlots = 8
	// slowStartLeast is the part of its share that a new target gets at once.
	slowStartLeast = 0.1
	// farPart is the part of the slots of a target in another failure domain
	// that one instance may use beside its own domain.
	farPart = 0.125
	// affinityBound is how far above the mean load a target may be and still
	// get a request for its cached prefix.
	affinityBound = 1.25
	// affinityDepth is how many leading messages make the affinity key.
	affinityDepth = 2

	// leaveSettle is how long after the word that a target is leaving its own
	// report may take that back.
	leaveSettle = 5 * time.Second
	// leaveDeaf is how long another instance's word is passed over after that.
	leaveDeaf = 30 * time.Second
	// leaveTell is how long the word is passed on to other instances.
	leaveTell = 15 * time.Second
)

const (
	// reportMost is the largest number that a report may hold.
	reportMost = 1 << 20
	// reportSkew is how far ahead of this instance's clock a report may be.
	reportSkew = 2 * time.Second
	// reportKeep is how long a report is of use.
	reportKeep = 5 * time.Second

	// headroom is the part of its slots that a target may have waiting.
	headroom = 0.6
	// leastAllowance is what an instance may have at a usable target at least.
	leastAllowance = 0.5
	// unlimited stands for a window without bound.
	unlimited = 1 << 40

	// shareFloor is the part of a limit that counts as used by each instance.
	shareFloor = 0.05
	// usageWeight is how much of the last tick goes into the mean usage.
	usageWeight = 0.3
	// openRetry is when to come back after the limit of requests in flight.
	openRetry = time.Second
)

const (
	// retryUnit is one retry in the unit of a retry budget.
	retryUnit = 1000
	// retrySaveMost is the most retries that a service can save.
	retrySaveMost = 100
	// retryFloorLeast is the lowest floor, in retries a second.
	retryFloorLeast = 0.001
	// retryFloorBurst is how many retries of the floor may come at once.
	retryFloorBurst = 10

	// poisonTargets is the most targets kept for one fingerprint.
	poisonTargets = 8
	// provenSize is how many fingerprints of whole requests are remembered.
	provenSize = 4096
)
