package bbroute

import "time"

const (
	// workUnit is the work of a mean request.
	workUnit = 1000
	// paceWeight is how much of a new answer time goes into the mean.
	paceWeight = 0.1
	// defaultPace is the answer time assumed before any was seen, in seconds.
	defaultPace = 1.0
	// defaultSlots stands for the slots of a target that tells none.
	defaultSlots = 8
	// slowStartLeast is the part of its share that a new target gets at once.
	slowStartLeast = 0.1
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
