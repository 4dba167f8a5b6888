package bbcrash

import "time"

// Sizes of what an instance remembers.
const (
	// maxRecords is how many fingerprints have a record.
	maxRecords = 4096
	// maxCrashes is how many crashes a record holds, the newest ones.
	maxCrashes = 16
	// answersSize is the number of entries in an answerSet: an hour of 18 different
	// requests a second, so that answers are remembered about as long as crashes.
	answersSize = 1 << 16
	// maxPartCrashes is how many crashes the record of a part holds, the newest
	// ones: they explain the crashes of other parts.
	maxPartCrashes = 64
	// maxAnsweredParts is how many parts of an answered request are remembered.
	maxAnsweredParts = 32
	// maxEvidenceParts is how many parts of one request's prompt are suspects of a
	// crash.
	maxEvidenceParts = 32
	// maxLoggedParts is how many parts of a request the log names.
	maxLoggedParts = 8
	// maxLoggedCrashes is how many crashes the log of a verdict on a part names.
	maxLoggedCrashes = 12
	// maxPartBytes is the longest id of a part in logs and messages.
	maxPartBytes = 40
)

// Times that decide what counts.
const (
	// suspectTTL is how long the record of a request that is not refused is kept
	// after its last crash, refusedTTL the same for a refused request.
	suspectTTL = time.Hour
	refusedTTL = 24 * time.Hour
	// excusePeriod is how long a request that was answered is excused at the same
	// instance.
	excusePeriod = 20 * time.Second
	// objectionPeriod is how long a request that was answered before its last crash
	// is not refused yet, so that others can tell that they have answered it since.
	objectionPeriod = 1500 * time.Millisecond
	// clockTolerance is how far the times of crashes that are told by different
	// instances may be off against each other.
	clockTolerance = 10 * time.Millisecond
	// partTTL is how long the record of a part is kept after its last crash.
	partTTL = 10 * time.Minute
	// partThreshold is how many targets have to crash under a part to refuse it, if
	// the time from the first crash to the last is that of an answer, from
	// minLongSpan to maxLongSpan. In less time quickPartThreshold targets have to
	// crash, or partThreshold of them while another part is known to cause crashes;
	// then minPartSequence crashes have to follow each other, or the last to be
	// minPartSpan after the first. As many targets crash together, one session may
	// lose several of them.
	partThreshold      = 5
	minLongSpan        = 3 * time.Second
	maxLongSpan        = 10 * time.Second
	quickPartThreshold = 8
	minPartSequence    = 3
	minPartSpan        = time.Second
	// partObjectionPeriod is how long an instance that learns that a part is to be
	// refused waits for the objection of others that have answers.
	partObjectionPeriod = 800 * time.Millisecond
	// minLearnPeriod and maxLearnPeriod are the bounds of the time for which an
	// instance that has just started does not yet decide on parts.
	minLearnPeriod = 2500 * time.Millisecond
	maxLearnPeriod = 8 * time.Second
	// lateFirstAnswer is how long after the start of an instance its first answer
	// means that targets have only begun to answer, from when that time counts.
	lateFirstAnswer = 1500 * time.Millisecond
	// ripeMargin is added to the time in which an answer would have come.
	ripeMargin = 500 * time.Millisecond
	// answerTimeStep is the step of the times of answers that are told,
	// maxAnswerTime the longest.
	answerTimeStep = 500 * time.Millisecond
	maxAnswerTime  = 20 * time.Second
	// minAnswerInterval is the least time between the sending of two answered
	// requests with a part that are told apart.
	minAnswerInterval = 20 * time.Millisecond
	// backgroundPeriod is how close in time crashes of other targets count as
	// background.
	backgroundPeriod = 10 * time.Second
)

// Times and sizes of the messages.
const (
	// tickInterval is the time between two rounds of work, for which changes are
	// collected into one message.
	tickInterval = 50 * time.Millisecond
	// homeCount is how many instances collect the crashes of a fingerprint, and
	// maxHomes how many are tried while some of them do not answer.
	homeCount = 3
	maxHomes  = 9
	// minReportInterval is the time until an unconfirmed report is repeated. It
	// doubles up to maxReportInterval.
	minReportInterval = 200 * time.Millisecond
	maxReportInterval = 2 * time.Second
	// homeCheckInterval is the time between two checks whether the homes of a
	// reported fingerprint are still the same.
	homeCheckInterval = time.Second
	// floodFanout is how many instances each instance tells of a change of a
	// refused request.
	floodFanout = 4
	// busyRoundInterval is the time between two comparisons with another instance
	// for busyRoundPeriod after a change, quietRoundInterval at other times.
	busyRoundInterval  = 500 * time.Millisecond
	busyRoundPeriod    = 15 * time.Second
	quietRoundInterval = 2 * time.Second
	// learnInterval is the time between two questions of an instance that has
	// just started.
	learnInterval = 300 * time.Millisecond
	// maxRecordsPerMessage is how many records one message carries.
	maxRecordsPerMessage = 64
	// maxPartsPerMessage is how many verdicts on parts one message carries.
	maxPartsPerMessage = 8
	// minPartReportInterval is the least time between two reports of a part with
	// more than partThreshold crashes.
	minPartReportInterval = 150 * time.Millisecond
	// freshPeriod is how long after its last crash a verdict is sent along with
	// each comparison, without being asked for.
	freshPeriod = 4 * time.Second
	// immediateFloods is how many changes of one verdict are flooded at once;
	// then the time from one flood to the next doubles from minFloodInterval to
	// maxFloodInterval, until the verdict has been unchanged that long.
	immediateFloods  = 2
	minFloodInterval = 250 * time.Millisecond
	maxFloodInterval = 4 * time.Second
	// immediatePartFloods is the same for a part, with minFloodInterval between two.
	immediatePartFloods = 14
	// maxTargetBytes is the longest id of a target or instance in a message.
	maxTargetBytes = 200
	// maxMessageAge is the largest age that is accepted from another instance.
	maxMessageAge = 2 * refusedTTL
)

// Times of the copy in the key-value service.
const (
	// copyCheckInterval is the time between two checks whether the copy has to be
	// read or written, minWriteInterval the least time between two writes.
	copyCheckInterval = 100 * time.Millisecond
	minWriteInterval  = 500 * time.Millisecond
	// minReadDelay is how long an instance that has just started waits for an
	// answer of its peers before it reads the copy. Up to readDelaySpread more
	// is added at random.
	minReadDelay    = 200 * time.Millisecond
	readDelaySpread = 2 * time.Second
	// copyTimeout limits the calls of one check.
	copyTimeout = 2 * time.Second
	// maxCopyBackoff is the longest pause after a failed call.
	maxCopyBackoff = 5 * time.Second
	// maxStoredRecords is how many records the copy holds, the newest ones.
	maxStoredRecords = 64
	// maxStoredParts is the same for parts, of which the copy holds the newest
	// maxStoredPartCrashes crashes.
	maxStoredParts       = 8
	maxStoredPartCrashes = 12
)
