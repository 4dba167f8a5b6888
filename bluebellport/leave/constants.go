package bbleave

import (
	"time"

	"bluebellport.example/bluebellport/news"
)

// Sizes of what an instance remembers, and of messages.
const (
	// maxEntries is how many runs of targets are known to leave. The one heard of
	// longest ago is forgotten for a new one.
	maxEntries = 4096
	// entryTTL is how long after its last word a run is remembered that the list of
	// targets does not have, or whose start is unknown.
	entryTTL = 2 * time.Minute
	// maxTargetBytes is the longest id of a target in a message.
	maxTargetBytes = 200
	// maxMessageAge is the largest age that is accepted from another instance.
	maxMessageAge = 24 * time.Hour
	// refreshAge is by how much later another instance must have heard the word for
	// it to count again here: less may be the time of messages on their way.
	refreshAge = 10 * time.Second
	// maxEntriesPerMessage is how many entries one message carries.
	maxEntriesPerMessage = 64
)

// Times and sizes of the news.
const (
	// tickInterval is the time between two rounds of work, idleTickInterval the
	// same while no run is known to leave.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// floodFanout is how many instances each instance tells of a run that leaves,
	// learnFanout how many are asked by one that has just started.
	floodFanout = 4
	learnFanout = 2
	// freshPeriod is how long after it became known here an entry goes along with
	// each comparison, without being asked for.
	freshPeriod = 2 * time.Second
)

// times are the intervals of comparisons.
var times = bbnews.Times{
	Fresh: 100 * time.Millisecond, FreshPeriod: freshPeriod,
	Busy: 300 * time.Millisecond, BusyPeriod: 15 * time.Second,
	Quiet: 2 * time.Second,
	Learn: 100 * time.Millisecond, LearnPeriod: 3 * time.Second,
}
