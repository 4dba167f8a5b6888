package bbport

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

const (
	// ErrPartDiscarded means that a reader left the answer or that its part is gone.
	ErrPartDiscarded = errors.ConstError("part of the answer is gone")
	// ErrCallersLeft means that all callers left before the answer was whole.
	ErrCallersLeft = errors.ConstError("all callers left")
)

// dedupShards is into how many parts the running and kept answers are cut.
const dedupShards = 64

// maxPastOutcomes is how many requests without a kept answer a shard remembers.
const maxPastOutcomes = 1024

// Deduplicator joins the copies of a request: the first one leads and runs, later ones
// get the same answer from its start, while it runs or from what is kept.
// An answer is kept when it is whole, for a time and while its shard has room,
// the oldest going first.
type Deduplicator struct {
	shards         [dedupShards]dedupShard
	retention      time.Duration
	grace          time.Duration
	maxAnswerBytes int64 // bytes of one running answer
	maxShardBytes  int64 // bytes of kept answers in a shard
	now            func() time.Time
}

type dedupShard struct {
	mu           sync.Mutex
	answers      map[dedupKey]*sharedAnswer
	kept         list.List // of *run, oldest first
	bytes        int64
	outcomes     map[dedupKey]pastOutcome
	outcomeOrder []dedupKey // of past, oldest first
}

// pastOutcome is a request that ran and whose answer is not kept.
type pastOutcome struct {
	outcome bbunit.Outcome
	endedAt time.Time
}

type dedupKey struct {
	account bbunit.AccountID
	id      bbunit.RequestID
}

// NewDeduplicator returns an empty set of answers.
func NewDeduplicator(o *RecordOptions, now func() time.Time) *Deduplicator {
	return &Deduplicator{
		retention: o.AnswerTTL, grace: o.CallerlessTimeout, maxAnswerBytes: o.MaxAnswerBytes,
		maxShardBytes: max(o.MaxTotalAnswerBytes/dedupShards, o.MaxAnswerBytes), now: now,
	}
}

// RequestHome returns the instance of failure domain d at which the copies of a
// request meet, and false when the domain has none.
func RequestHome(v *bbmember.View, account bbunit.AccountID, id bbunit.RequestID, d bbunit.DomainID) (bbmember.Member, bool) {
	return v.Home("request/"+string(account)+"/"+string(id), d)
}

// Join returns the answer to a request and whether the caller leads, that is,
// has to run the request, Write its answer and Finish it. Both leader and
// followers Read the answer and Leave it. ErrReused when the request id stands
// for another fingerprint. It does not block.
func (d *Deduplicator) Join(account bbunit.AccountID, id bbunit.RequestID, fingerprint uint64) (*Answer, bool, error) {
	key, shard := d.shard(account, id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	d.evict(shard)
	if shared := shard.answers[key]; shared != nil {
		if shared.fingerprint != fingerprint {
			return nil, false, ErrRequestIDReused
		}
		if answer := shared.attach(); answer != nil {
			return answer, false, nil
		}
		shard.drop(shared)
	}
	shared := newSharedAnswer(d, shard, key, fingerprint)
	if shard.answers == nil {
		shard.answers = map[dedupKey]*sharedAnswer{}
	}
	shard.answers[key] = shared
	return shared.attach(), true, nil
}

// Len returns how many answers run or are kept.
func (d *Deduplicator) Len() int {
	n := 0
	for i := range d.shards {
		d.shards[i].mu.Lock()
		n += len(d.shards[i].answers)
		d.shards[i].mu.Unlock()
	}
	return n
}

// evict drops kept answers that are old or for which the shard has no room.
// The shard is locked.
func (d *Deduplicator) evict(shard *dedupShard) {
	for elem := shard.kept.Front(); elem != nil; elem = shard.kept.Front() {
		oldest := elem.Value.(*sharedAnswer)
		if shard.bytes <= d.maxShardBytes && d.now().Sub(oldest.endedAt) < d.retention {
			return
		}
		shard.drop(oldest)
	}
}

// drop forgets an answer; who reads it goes on. The shard is locked.
func (s *dedupShard) drop(shared *sharedAnswer) {
	if s.answers[shared.key] == shared {
		delete(s.answers, shared.key)
	}
	if shared.keptElem != nil {
		s.kept.Remove(shared.keptElem)
		shared.keptElem = nil
		s.bytes -= shared.size
	}
}

// finish keeps the answer, or forgets it when it is not whole, so that the request
// may run again.
func (d *Deduplicator) finish(shard *dedupShard, shared *sharedAnswer, complete bool, size int64, outcome bbunit.Outcome) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if !complete || shard.answers[shared.key] != shared {
		shard.drop(shared)
		if outcome != bbunit.OutcomeNotRun {
			d.rememberOutcome(shard, shared.key, outcome)
		}
		return
	}
	shared.endedAt, shared.size = d.now(), size
	shared.keptElem = shard.kept.PushBack(shared)
	shard.bytes += size
	d.evict(shard)
}

// rememberOutcome notes a request that ran and whose answer is not kept. The shard is
// locked.
func (d *Deduplicator) rememberOutcome(shard *dedupShard, key dedupKey, outcome bbunit.Outcome) {
	if shard.outcomes == nil {
		shard.outcomes = map[dedupKey]pastOutcome{}
	}
	if _, ok := shard.outcomes[key]; !ok {
		shard.outcomeOrder = append(shard.outcomeOrder, key)
	}
	shard.outcomes[key] = pastOutcome{outcome: outcome, endedAt: d.now()}
	for len(shard.outcomeOrder) > maxPastOutcomes || len(shard.outcomeOrder) > 0 && d.now().Sub(shard.outcomes[shard.outcomeOrder[0]].endedAt) > d.retention {
		delete(shard.outcomes, shard.outcomeOrder[0])
		shard.outcomeOrder = shard.outcomeOrder[1:]
	}
}

// PastOutcome tells whether a copy of the request ran here and ended without an answer
// that is kept, and how.
func (d *Deduplicator) PastOutcome(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	key, shard := d.shard(account, id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	past, ok := shard.outcomes[key]
	return past.outcome, ok
}

// KnownOutcome is Ran, and tells also of a copy that runs now, whose outcome is unknown,
// or whose answer is kept.
func (d *Deduplicator) KnownOutcome(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	if outcome, ok := d.PastOutcome(account, id); ok {
		return outcome, true
	}
	key, shard := d.shard(account, id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	switch shared := shard.answers[key]; {
	case shared == nil:
		return 0, false
	case shared.keptElem != nil:
		return bbunit.OutcomeDone, true
	}
	return bbunit.OutcomeUnknown, true
}

func (d *Deduplicator) shard(account bbunit.AccountID, id bbunit.RequestID) (dedupKey, *dedupShard) {
	return dedupKey{account, id}, &d.shards[xxhash.Sum64String(string(account)+"\x00"+string(id))%dedupShards]
}

// ResponseHead begins an answer.
type ResponseHead struct {
	Status int
	Fields []HeaderField
}

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// sharedAnswer is one running or kept answer.
type sharedAnswer struct {
	dedup       *Deduplicator
	shard       *dedupShard
	key         dedupKey
	fingerprint uint64
	ctx         context.Context
	cancel      context.CancelCauseFunc

	// guarded by the shard's lock
	keptElem *list.Element
	endedAt  time.Time
	size     int64

	mu         sync.Mutex
	changed    chan struct{} // closed at the next change
	head       *ResponseHead
	parts      [][]byte
	firstPart  int // index of parts[0]
	bytes      int64
	done       bool
	outcome    bbunit.Outcome
	readers    map[*Answer]struct{}
	graceTimer *time.Timer
}

func newSharedAnswer(dedup *Deduplicator, shard *dedupShard, key dedupKey, fingerprint uint64) *sharedAnswer {
	shared := &sharedAnswer{
		dedup: dedup, shard: shard, key: key, fingerprint: fingerprint,
		changed: make(chan struct{}), readers: map[*Answer]struct{}{},
	}
	shared.ctx, shared.cancel = context.WithCancelCause(context.Background())
	return shared
}

// attach attaches a reader, or returns nil when the answer's start is gone.
func (s *sharedAnswer) attach() *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstPart > 0 || s.ctx.Err() != nil && !s.done {
		return nil
	}
	answer := &Answer{shared: s}
	s.readers[answer] = struct{}{}
	if s.graceTimer != nil {
		s.graceTimer.Stop()
		s.graceTimer = nil
	}
	return answer
}

// notifyAll tells all waiters that something changed. The run is locked.
func (s *sharedAnswer) notifyAll() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops the parts that every reader has, once the answer is too long to be
// kept. The run is locked.
func (s *sharedAnswer) trim() {
	if s.bytes <= s.dedup.maxAnswerBytes {
		return
	}
	slowest := s.firstPart + len(s.parts)
	for reader := range s.readers {
		slowest = min(slowest, reader.pos)
	}
	for s.firstPart < slowest && s.bytes > s.dedup.maxAnswerBytes {
		s.bytes -= int64(len(s.parts[0]))
		s.parts[0] = nil
		s.parts = s.parts[1:]
		s.firstPart++
	}
}
