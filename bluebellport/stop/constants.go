package bbstop

import "time"

// Times of a stop.
const (
	// maxIntakePeriod is how long after the order to stop the load balancer may not
	// know of it: two failed checks, one second apart, and the time in which their
	// result takes effect. maxAcceptPeriod is how long new connections are accepted.
	maxIntakePeriod = 2500 * time.Millisecond
	maxAcceptPeriod = 3500 * time.Millisecond
	// maxUncertainPeriod is how long requests are taken that may outlast the stop: 3 s
	// from when the order was given, which may be noticed uncertainMargin later.
	maxUncertainPeriod = 3*time.Second - uncertainMargin
	uncertainMargin    = 500 * time.Millisecond
	// intakeDivisor and closedDivisor divide the time from the order to the end of the
	// stop: at most that part of it is the intake period, and at least that part is
	// left once nothing more is accepted.
	intakeDivisor = 3
	closedDivisor = 3
	// exitPeriod is how long before the kill the stop ends: the last answers are
	// written, shares are returned and the log is flushed. A grace period under
	// exitDivisor times that leaves a smaller part of itself.
	exitPeriod  = 500 * time.Millisecond
	exitDivisor = 8
	// answersDivisor divides the time from the end of the stop to the kill: the last
	// answers to clients may take that part of it. The last logDivisor part is kept
	// for the log.
	answersDivisor = 2
	logDivisor     = 5
	// leastPeriod is how long the last answers and the shares may take each if the
	// process comes to them late, but not more than answersDivisor allows.
	leastPeriod = 40 * time.Millisecond
)

// PulseInterval is the time between two calls of Pulse.Beat. An order to stop counts
// from a beat, so its sum with noticeTime may not take from a grace period of 2 s what
// lies between the end of its stop and its last sixth.
const PulseInterval = 40 * time.Millisecond

// noticeTime is how long a process that runs may take to notice an order to stop.
const noticeTime = 40 * time.Millisecond

// What is known of the length of requests.
const (
	// recentSamples is how many of the newest requests a quantile covers.
	recentSamples = 64
	// peakPeriod is the time that one maximum covers, peakPeriods how many of them
	// are kept: a rare long request is not forgotten as short ones follow.
	peakPeriod  = 30 * time.Second
	peakPeriods = 4
	// usualQuantile is the quantile that counts as the usual time.
	usualQuantile = 0.5
	// answerTime is how long it may take to pass on an answer that has ended.
	answerTime = 100 * time.Millisecond
	// minSamples is the number of requests under which nothing is known, fewSamples
	// that under which a maximum says something only if the lengths are alike: the
	// distance from their median to it is at most alikeSpread of it.
	// fewSamplesMargin is the margin on it then, maxMargin the margin on any other,
	// as parts of the maximum.
	minSamples       = 3
	fewSamples       = 16
	alikeSpread      = 0.125
	fewSamplesMargin = 0.25
	maxMargin        = 0.125
	// openFactor times its age is how long a request is expected to take that has
	// been open for longer than any other took.
	openFactor = 2
)
