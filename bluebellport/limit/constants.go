package bblimit

import (
	"time"

	"bluebellport.example/bluebellport/news"
)

// Sizes of what an instance remembers.
const (
	// maxEntries is how many targets have an entry.
	maxEntries = 4096
	// entryTTL is how long an entry is kept after the answer that it is from,
	// endedTTL the same for a limit that has ended.
	entryTTL = time.Hour
	endedTTL = time.Minute
	// maxStock is how many permits an instance holds for one target.
	maxStock = 64
	// maxRounds is how many questions for permits for one target are under way.
	maxRounds = 64
	// maxAccounts is how many accounts a home counts for one target.
	maxAccounts = 1024
)

// Limits of what an instance takes from a target and from its peers.
const (
	// maxLimit is the largest limit that is kept, in requests a second.
	maxLimit = 1e9
	// minRate is the rate of permits while a target names less, in requests a
	// second: a target to which nothing is sent can't say that its limit has ended.
	minRate = 0.25
	// clockTolerance is how far the times of answers that are told by different
	// instances may be off against each other.
	clockTolerance = 100 * time.Millisecond
	// maxTargetBytes is the longest id of a target in a message.
	maxTargetBytes = 200
	// maxMessageAge is the largest age that is accepted from another instance.
	maxMessageAge = 2 * entryTTL
	// maxCount is how many permits one message asks for.
	maxCount = 32
	// maxPatience is the longest delay of a permit. What a home has granted ahead
	// is unknown to the one that replaces it, so it is short.
	maxPatience = 1500 * time.Millisecond
)

// Sizes and times of the homes' decisions.
const (
	// homeCount is how many instances grant the permits of a target; most of them
	// have to grant each.
	homeCount = 3
	// homeCandidates is how many instances in rank are tried while some are silent.
	homeCandidates = 9
	// homeWarmup is how long after its start an instance grants no permits: it does
	// not know yet which other homes there are.
	homeWarmup = 2 * time.Second
	// minBurst is how many permits may come at once, burstPeriod the same as a part
	// of the limit, confirmBurst how many more a home confirms.
	minBurst     = 2
	burstPeriod  = 200 * time.Millisecond
	confirmBurst = 1
	// maxDenials is how many denied questions a second a home wants for one target.
	// Beyond, the pauses that it demands grow, up to maxPause.
	maxDenials = 40
	minPause   = 10 * time.Millisecond
	maxPause   = 5 * time.Second
	// fairPeriod is the time over which the permits of accounts are compared,
	// heavyDivisor divides the patience of one that got more than its part.
	fairPeriod   = 5 * time.Second
	heavyDivisor = 4
	// answerTTL is how long a home remembers its reply to a question that may be
	// repeated.
	answerTTL = 2 * time.Second
	// maxWait is the longest time until a caller is asked to come back.
	maxWait = 10 * time.Second
)

// Times of the instances that ask for permits.
const (
	// minResend is the time until an unanswered question is repeated. It doubles up
	// to maxResend.
	minResend = 12 * time.Millisecond
	maxResend = 100 * time.Millisecond
	// failoverInterval is the time until the next home is asked as well.
	failoverInterval = 40 * time.Millisecond
	// askTimeout is how long permits are asked for.
	askTimeout = 600 * time.Millisecond
	// quickTimeout is how long a request waits for a permit that it can do without.
	quickTimeout = 50 * time.Millisecond
	// unansweredPause is how long an instance does without permits after no home
	// has answered in time.
	unansweredPause = 200 * time.Millisecond
	// declinedPause is how long an instance that declined is passed over, and how
	// long one does without permits after all that it took for homes have.
	declinedPause = 300 * time.Millisecond
	// permitTTL is how long a permit can be used.
	permitTTL = 500 * time.Millisecond
	// silentTries and silentPeriod tell when a home is passed over that does not
	// answer, silentTTL for how long.
	silentTries  = 6
	silentPeriod = 400 * time.Millisecond
	silentTTL    = 3 * time.Second
	// fallenFactor is the part of its former value below which a limit makes
	// permits worthless that were granted before, and is news to the whole fleet.
	fallenFactor = 0.8
)

// Times and sizes of the news.
const (
	// tickInterval is the time between two rounds of work, idleTickInterval the
	// same while no target is known to have or have had a limit.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// floodFanout is how many instances each instance tells of a change,
	// learnFanout how many are asked by one that has just started.
	floodFanout = 4
	learnFanout = 2
	// minFloodInterval is the least time between two floods of one entry.
	minFloodInterval = 100 * time.Millisecond
	// maxEntriesPerMessage is how many entries one message carries.
	maxEntriesPerMessage = 64
)

// newsTimes are the intervals of comparisons.
var newsTimes = bbnews.Times{
	Fresh: 300 * time.Millisecond,
	Busy:  300 * time.Millisecond, BusyPeriod: 15 * time.Second,
	Quiet: 2 * time.Second,
	Learn: 100 * time.Millisecond, LearnPeriod: 3 * time.Second,
}
