package bbroute

import "time"

const (
	// meanRequestWork is the work of a mean request; work is counted in
	// thousandths of it.
	meanRequestWork = 1000
	// completionEWMAWeight is the weight of a new answer in a target's mean
	// response time and in the service's mean output length.
	completionEWMAWeight = 0.02
	// reportDecayFactor is the time constant of the exponential decay of a load
	// report's weight, as a fraction of the mean response time.
	reportDecayFactor = 0.25
	// responseTimeEWMAWeight is the weight of a new answer in the service's
	// mean response time.
	responseTimeEWMAWeight = 0.1
	// deadlineMargin times the expected duration of a queued request must
	// remain before its deadline.
	deadlineMargin = 1.5
	// roundRobinMargin is how many requests more than the random candidate the
	// round-robin candidate may have and still be picked.
	roundRobinMargin = 0.5
	// responseTimeTolerance is the factor within which a target's mean response
	// time counts as equal to the service's.
	responseTimeTolerance = 1.25
	// otherLoadEWMAWeight is the weight of a new report in the mean load that
	// other instances put on a target.
	otherLoadEWMAWeight = 0.1
	// maxNanos limits computed durations, so that adding a duration to a time
	// does not overflow.
	maxNanos = 1 << 60
	// defaultResponseSeconds is the mean response time assumed before the first
	// answer.
	defaultResponseSeconds = 1.0
	// defaultSlots is assumed for a target that does not report its slots.
	defaultSlots = 8
	// slowStartMinShare is the fraction of its full share that a new target
	// gets at once.
	slowStartMinShare = 0.1
	// remoteSlotShare is the fraction of the slots of a target in another
	// failure domain that one instance may use while its own domain has usable
	// targets.
	remoteSlotShare = 0.125
	// affinityLoadFactor is the multiple of the mean load above which a target
	// gets no requests by prefix affinity.
	affinityLoadFactor = 1.25
	// affinityMessages is the number of leading messages that form the affinity
	// key.
	affinityMessages = 2

	// leavingSettleTime is how long after a target was marked as leaving its
	// own report must be sampled to clear the mark.
	leavingSettleTime = 5 * time.Second
	// peerLeavingIgnoreTime is how long after such a report peers' gossip that
	// the target is leaving is ignored.
	peerLeavingIgnoreTime = 30 * time.Second
	// leavingGossipTime is how long a leaving target is gossiped to peers.
	leavingGossipTime = 15 * time.Second
)

const (
	// maxReportValue is the largest count accepted in a load report.
	maxReportValue = 1 << 20
	// maxReportSkew is how far a report's time may be ahead of this instance's
	// clock.
	maxReportSkew = 2 * time.Second
	// maxReportAge is the age above which a report is ignored.
	maxReportAge = 5 * time.Second

	// queueHeadroom is the permitted queue length of a target, as a fraction of
	// its slots.
	queueHeadroom = 0.6
	// minAllowance is the minimum number of requests that a usable target adds
	// to the admission window of each instance.
	minAllowance = 0.5
	// unlimited is the admission window without a bound.
	unlimited = 1 << 40

	// usageFloorFraction is the fraction of a limit that is added to each
	// instance's usage before the limit is divided, so that an idle instance
	// can start.
	usageFloorFraction = 0.05
	// usageEWMAWeight is the weight of the last interval in the mean demand.
	usageEWMAWeight = 0.3
	// inFlightRetryAfter is the Retry-After of a request refused by an
	// in-flight limit.
	inFlightRetryAfter = time.Second
)

const (
	// unitsPerRetry is the resolution of a RetryBudget: it counts in
	// thousandths of a retry.
	unitsPerRetry = 1000
	// maxSavedRetries is the most retries that a RetryBudget can save up.
	maxSavedRetries = 100
	// minRetryRate is the smallest effective RetryPolicy.MinPerSecond; lower
	// values allow no retries.
	minRetryRate = 0.001
	// minRateBurst is how many of the retries granted by
	// RetryPolicy.MinPerSecond may come at once.
	minRateBurst = 10
)
