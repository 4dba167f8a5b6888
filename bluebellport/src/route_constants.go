package bbport

import "time"

const (
	// busyBackoff is how long a target that refused for lack of capacity is
	// avoided.
	busyBackoff = 250 * time.Millisecond
	// routeTickInterval is how often admission windows and shares of limits are
	// updated.
	routeTickInterval = 100 * time.Millisecond

	// maxConcurrentLoadPolls is the number of targets polled for their load at a
	// time.
	maxConcurrentLoadPolls = 16
	// maxLoadLag is the maximum age of a report at which the target's own time
	// is trusted.
	maxLoadLag = 3 * time.Second
	// maxLoadResponseBytes is the maximum size of a target's load report.
	maxLoadResponseBytes = 4096
	// loadReportBytes is the estimated size of a report in a message between
	// instances.
	loadReportBytes = 40
	// maxLoadBytesPerSecond limits the load reports that an instance receives.
	maxLoadBytesPerSecond = 3 << 10
	// maxLoadsPerMessage is the maximum number of reports accepted from one
	// message.
	maxLoadsPerMessage = 4096

	// refusedRequestsKey is the key in the key-value service of the copy of the
	// requests that are refused because they crash targets.
	refusedRequestsKey = "/bb/refused"
	// maxLeavingPerMessage is the maximum number of leaving targets sent or
	// accepted in a message.
	maxLeavingPerMessage = 128

	// usageRetention is how long another instance's usage counts.
	usageRetention = 60 * time.Second
	// maxUsagesPerMessage is the maximum number of limits whose usage is sent in
	// a message.
	maxUsagesPerMessage = 16
	// maxUsageRate is the highest rate accepted from another instance, in
	// requests per second.
	maxUsageRate = 1e6
	// minUsageRate is the rate, in requests per second, below which usage is not
	// sent.
	minUsageRate = 0.01
	// maxUsageInFlight is the highest number of requests in flight accepted from
	// another instance.
	maxUsageInFlight = 1 << 20

	// orderKeyPrefix is the key prefix of the latest order for each target in
	// the key-value service.
	orderKeyPrefix = "/bb/fence/"
	// orderCallTimeout is the maximum duration of a call that sends an order,
	// counted from before the order was read.
	orderCallTimeout = 10 * time.Second
	// orderRetryDelay is the delay before an order whose call failed is sent
	// again.
	orderRetryDelay = 500 * time.Millisecond
	// orderResendInterval is how often the home instance checks for orders to
	// send again.
	orderResendInterval = 30 * time.Second
	// maxOrderResponseBytes is the maximum size of a response to an order.
	maxOrderResponseBytes = 64 << 10
)
