package bbport

import "time"

const (
	// busyHold is how long a target that refused for lack of room is passed over.
	busyHold = 250 * time.Millisecond
	// routeTick is how often windows and shares are set anew.
	routeTick = 100 * time.Millisecond

	// loadAtOnce is how many targets are asked for their load at a time.
	loadAtOnce = 16
	// loadLagMost is the longest lag that a target's report is believed to have.
	loadLagMost = 3 * time.Second
	// loadBodyMost is the largest load report, in bytes.
	loadBodyMost = 4096
	// loadBytes is the size of a report in a message.
	loadBytes = 40
	// loadRate is the most that an instance is told of loads, in bytes a second.
	loadRate = 3 << 10
	// loadsMost is the most reports taken from one message.
	loadsMost = 4096

	// suspectKeep is how long a request that was in a target's crash is watched.
	suspectKeep = 10 * time.Minute
	// poisonsMost is the most fingerprints remembered.
	poisonsMost = 4096
	// poisonsTold is the most new marks told in one message.
	poisonsTold = 32
	// poisonsAgain is how many older marks are told in one message, in turn.
	poisonsAgain = 4
	// poisonNews is how long a mark counts as new.
	poisonNews = 30 * time.Second
	// poisonNames is the most targets taken for one mark.
	poisonNames = 64
	// leavingTold is the most leaving targets told or taken in one message.
	leavingTold = 128

	// usageKeep is how long another instance's usage counts.
	usageKeep = 60 * time.Second
	// usageMost is the most limits told in one message.
	usageMost = 16
	// usageRateMost is the largest believable rate, in requests a second.
	usageRateMost = 1e6
	// usageRateLeast is the rate below which usage is not worth telling.
	usageRateLeast = 0.01
	// usageOpenMost is the largest believable number of requests in flight.
	usageOpenMost = 1 << 20

	// fencePrefix is where the key-value service keeps the last order to each
	// target.
	fencePrefix = "/bb/fence/"
	// orderCall is the longest time of one call with an order, from before the
	// intent was read.
	orderCall = 10 * time.Second
	// orderPause is how long an orderer waits after a call that failed.
	orderPause = 500 * time.Millisecond
	// reissueEvery is how often last orders are sent again where needed.
	reissueEvery = 30 * time.Second
	// orderAnswerMost is the largest answer to an order, in bytes.
	orderAnswerMost = 64 << 10
)
