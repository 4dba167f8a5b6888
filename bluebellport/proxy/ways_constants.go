package bbproxy

import "time"

// Times and limits of the ways to targets.
const (
	// connectTimeout limits opening a connection to a target over all ways: a peer that is
	// asked after carryDelay has its dialTimeout as well.
	connectTimeout = 400 * time.Millisecond
	// carryDelay is how long a connection over the own path may take to open before a
	// peer is asked as well.
	carryDelay = 120 * time.Millisecond
	// maxComparing is how many connections peers are asked for at a time while the own
	// path is not known to be lost.
	maxComparing = 4
	// carryMargin is how much longer than its request a connection may last that a peer
	// carries, defaultCarryTime how long one without a request may.
	carryMargin      = time.Second
	defaultCarryTime = 10 * time.Second
	// minPathPatience is the least time for which a target may not answer before the path
	// to it is looked at, while others answer.
	minPathPatience = 500 * time.Millisecond
	// reachInterval is the time between two checks of the paths to targets.
	reachInterval = 100 * time.Millisecond
)
