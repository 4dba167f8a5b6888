package bbroute

import "time"

const (
	// meanRequestWork is the work of a mean request.
	meanRequestWork = 1000
	// completionEWMAWeight is how much of a new answer time goes into a mean.
	completionEWMAWeight = 0.02
	// reportDecayFactor is the part of an answer's time in which a load report loses most
	// of its weight.
	reportDecayFactor = 0.25
	// responseTimeEWMAWeight is the same for the time that a request takes in all.
	responseTimeEWMAWeight = 0.1
	// deadlineMargin is the part of its expected time that a request which waits
	// must have left before its deadline.
	deadlineMargin = 1.5
	// roundRobinMargin is by how much of a request the second target drawn must be
	// the less loaded one to be taken.
	roundRobinMargin = 0.5
	// responseTimeTolerance is how far a target's pace may be from the service's and still
	// count as the same.
	responseTimeTolerance = 1.25
	// otherLoadEWMAWeight is how much of a new report goes into a target's usual load.
	otherLoadEWMAWeight = 0.1
	// maxNanos is the longest duration reckoned with, which may be added to
	// a time without overflow.
	maxNanos = 1 << 60
	// defaultResponseSeconds is the answer time assumed before any was seen, in seconds.
	defaultResponseSeconds = 1.0
	// defaultSlots stands for the slots of a target that tells none.
	defaultSlots = 8
	// slowStartMinShare is the part of its share that a new target gets at once.
	slowStartMinShare = 0.1
	// remoteSlotShare is the part of the slots of a target in another failure domain
	// that one instance may use beside its own domain.
	remoteSlotShare = 0.125
	// affinityLoadFactor is how far above the mean load a target may be and still
	// get a request for its cached prefix.
	affinityLoadFactor = 1.25
	// affinityMessages is how many leading messages make the affinity key.
	affinityMessages = 2

	// leavingSettleTime is how long after the word that a target is leaving its own
	// report may take that back.
	leavingSettleTime = 5 * time.Second
	// peerLeavingIgnoreTime is how long another instance's word is passed over after that.
	peerLeavingIgnoreTime = 30 * time.Second
	// leavingGossipTime is how long the word is passed on to other instances.
	leavingGossipTime = 15 * time.Second
)

const (
	// maxReportValue is the largest number that a report may hold.
	maxReportValue = 1 << 20
	// maxReportSkew is how far ahead of this instance's clock a report may be.
	maxReportSkew = 2 * time.Second
	// maxReportAge is how long a report is of use.
	maxReportAge = 5 * time.Second

	// queueHeadroom is the part of its slots that a target may have waiting.
	queueHeadroom = 0.6
	// minAllowance is what an instance may have at a usable target at least.
	minAllowance = 0.5
	// unlimited stands for a window without bound.
	unlimited = 1 << 40

	// minUsageShare is the part of a limit that counts as used by each instance.
	minUsageShare = 0.05
	// usageEWMAWeight is how much of the last tick goes into the mean usage.
	usageEWMAWeight = 0.3
	// inFlightRetryAfter is when to come back after the limit of requests in flight.
	inFlightRetryAfter = time.Second
)

const (
	// unitsPerRetry is one retry in the unit of a retry budget.
	unitsPerRetry = 1000
	// maxSavedRetries is the most retries that a service can save.
	maxSavedRetries = 100
	// minRetryRate is the lowest floor, in retries a second.
	minRetryRate = 0.001
	// minRateBurst is how many retries of the floor may come at once.
	minRateBurst = 10

	// maxTargetsPerFingerprint is the most targets kept for one fingerprint.
	maxTargetsPerFingerprint = 8
	// knownGoodSize is how many fingerprints of whole requests are remembered.
	knownGoodSize = 4096
)
