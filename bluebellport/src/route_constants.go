package bbport

import "time"

const (
	// busyBackoff is how long a target that refused for lack of room is passed over.
	busyBackoff = 250 * time.Millisecond
	// routeTickInterval is how often windows and shares are set anew.
	routeTickInterval = 100 * time.Millisecond

	// maxConcurrentLoadPolls is how many targets are asked for their load at a time.
	maxConcurrentLoadPolls = 16
	// maxLoadLag is the longest lag that a target's report is believed to have.
	maxLoadLag = 3 * time.Second
	// maxLoadResponseBytes is the largest load report, in bytes.
	maxLoadResponseBytes = 4096
	// loadReportBytes is the size of a report in a message.
	loadReportBytes = 40
	// maxLoadBytesPerSecond is the most that an instance is told of loads, in bytes a second.
	maxLoadBytesPerSecond = 3 << 10
	// maxLoadsPerMessage is the most reports taken from one message.
	maxLoadsPerMessage = 4096

	// suspectRetention is how long a request that was in a target's crash is watched.
	suspectRetention = 10 * time.Minute
	// maxPoisonRecords is the most fingerprints remembered.
	maxPoisonRecords = 4096
	// maxNewPoisonsPerMessage is the most new marks told in one message.
	maxNewPoisonsPerMessage = 32
	// maxOldPoisonsPerMessage is how many older marks are told in one message, in turn.
	maxOldPoisonsPerMessage = 4
	// poisonNewFor is how long a mark counts as new.
	poisonNewFor = 30 * time.Second
	// maxTargetsPerPoison is the most targets taken for one mark.
	maxTargetsPerPoison = 64
	// maxLeavingPerMessage is the most leaving targets told or taken in one message.
	maxLeavingPerMessage = 128

	// usageRetention is how long another instance's usage counts.
	usageRetention = 60 * time.Second
	// maxUsagesPerMessage is the most limits told in one message.
	maxUsagesPerMessage = 16
	// maxUsageRate is the largest believable rate, in requests a second.
	maxUsageRate = 1e6
	// minUsageRate is the rate below which usage is not worth telling.
	minUsageRate = 0.01
	// maxUsageInFlight is the largest believable number of requests in flight.
	maxUsageInFlight = 1 << 20

	// orderKeyPrefix is where the key-value service keeps the last order to each
	// target.
	orderKeyPrefix = "/bb/fence/"
	// orderCallTimeout is the longest time of one call with an order, from before the
	// intent was read.
	orderCallTimeout = 10 * time.Second
	// orderRetryDelay is how long an orderer waits after a call that failed.
	orderRetryDelay = 500 * time.Millisecond
	// orderResendInterval is how often last orders are sent again where needed.
	orderResendInterval = 30 * time.Second
	// maxOrderResponseBytes is the largest answer to an order, in bytes.
	maxOrderResponseBytes = 64 << 10
)
