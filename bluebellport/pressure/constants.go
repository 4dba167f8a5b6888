package bbpressure

import "time"

// CheckInterval is the time between two samples.
const CheckInterval = 250 * time.Millisecond

// Thresholds of the resources. A link's rate and limits are 1; the processor's value is the
// lateness of a timer in seconds.
var (
	linkThresholds       = thresholds{enter: 0.55, leave: 0.4, severe: 0.6, goal: 0.45, checks: 1}
	descriptorThresholds = thresholds{enter: 0.75, leave: 0.6, severe: 0.85, goal: 0.6, checks: 2}
	// The garbage collector lets the process grow to about 0.7 of its memory.
	memoryThresholds = thresholds{enter: 0.85, leave: 0.75, severe: 0.92, goal: 0.75, checks: 2}
	// Single late timers also occur in a sound process on a shared machine.
	processorThresholds = thresholds{enter: 0.1, leave: 0.05, severe: 0.25, goal: 0.075, checks: 4}
)

const (
	// hold is the least time for which a resource counts as short.
	hold = 3 * time.Second
	// moveTime is the time in which the excess connections are given back: a link needs
	// some checks to show the effect of those that have gone.
	moveTime = 500 * time.Millisecond
	// fullValue is the value from which it does not show how much more is wanted, and
	// fullExcess the part of the load that is then to go elsewhere.
	fullValue, fullExcess = 0.9, 0.75

	// announceTime is the time between the report that the instance is crowded and the
	// earliest not-ready answer, so that instances that become crowded together know of
	// each other.
	announceTime = 750 * time.Millisecond
	// minNotReady is the least time for which an instance is not ready: the balancer
	// notices it after two checks, one a second.
	minNotReady = 2500 * time.Millisecond
	// An instance may be not ready for notReadyPart of the time, and for notReadyCredit
	// once, which is long enough for the balancer to act. However long a shortage lasts,
	// callers are not sent away for good.
	notReadyPart   = 0.125
	notReadyCredit = 4 * time.Second
	// maxElapsed bounds the time between two samples that counts: a process that has stood
	// still was not asked meanwhile.
	maxElapsed = 2 * CheckInterval
	// notReadyDivisor divides the number of instances of a failure domain: so many may
	// be not ready at once. With half of them out of rotation the balancer would use all.
	notReadyDivisor = 4

	// admittedLink is the part of the link's rate that large bodies and everything else
	// together may use, minBodyLink what large bodies get in any case.
	admittedLink = 0.6
	minBodyLink  = 0.05
	// commonPart is the part of the large bodies' allowance that urgent requests leave
	// to the others.
	commonPart = 0.75

	// minRetryAfter and maxRetryAfter bound the time that refused callers are told. The
	// upper one leaves room for the random part that the proxy adds below its own limit.
	minRetryAfter = time.Second
	maxRetryAfter = 2400 * time.Millisecond
)

// LargeBody is the size from which a body counts as large, in bytes: the body of a prompt,
// not that of a plain call.
const LargeBody = 8 << 10

// SmallWindow is how many bytes a client may send before the instance reads its body, while
// LinkIn is short: enough for a head and a small body.
const SmallWindow = 4 << 10

// FirstFlight is how many bytes a client sends before it has heard of the other end, so that
// a refusal after the head saves only what follows.
const FirstFlight = 14_600
