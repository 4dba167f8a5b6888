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
	// ErrPartDiscarded means that the caller has left the answer or that the
	// part it asked for is no longer buffered.
	ErrPartDiscarded = errors.ConstError("part of the answer is gone")
	// ErrCallersLeft means that all callers left before the answer was
	// complete.
	ErrCallersLeft = errors.ConstError("all callers left")
)

// dedupShards is the number of shards, each with its own lock.
const dedupShards = 64

// maxPastOutcomes bounds the requests without a kept answer that a shard
// remembers.
const maxPastOutcomes = 1024

// Deduplicator runs the copies of a request once: the first caller leads and
// runs the request, later ones get the same answer from its start, while it is
// written or from the kept answers. An answer is kept if it is complete, for
// the retention and while its shard has room; the oldest is evicted first.
type Deduplicator struct {
	shards         [dedupShards]dedupShard
	retention      time.Duration
	grace          time.Duration
	maxAnswerBytes int64 // buffer of one answer that is being written
	maxShardBytes  int64 // kept answers of one shard
	now            func() time.Time
}

type dedupShard struct {
	mu           sync.Mutex
	answers      map[dedupKey]*sharedAnswer
	kept         list.List // of *sharedAnswer, oldest first
	bytes        int64
	outcomes     map[dedupKey]pastOutcome
	outcomeOrder []dedupKey // keys of outcomes, oldest first
}

// pastOutcome is how a request ended whose answer is not kept.
type pastOutcome struct {
	outcome bbunit.Outcome
	endedAt time.Time
}

type dedupKey struct {
	account bbunit.AccountID
	id      bbunit.RequestID
}

// NewDeduplicator returns an empty deduplicator.
func NewDeduplicator(o *RecordOptions, now func() time.Time) *Deduplicator {
	return &Deduplicator{
		retention: o.AnswerTTL, grace: o.CallerlessTimeout, maxAnswerBytes: o.MaxAnswerBytes,
		maxShardBytes: max(o.MaxTotalAnswerBytes/dedupShards, o.MaxAnswerBytes), now: now,
	}
}

// RequestHome returns the instance of failure domain d to which all copies of a
// request are forwarded, and false when the domain has none.
func RequestHome(v *bbmember.View, account bbunit.AccountID, id bbunit.RequestID, d bbunit.DomainID) (bbmember.Member, bool) {
	return v.Home("request/"+string(account)+"/"+string(id), d)
}

// Join returns a handle on the answer to a request, and whether the caller
// leads: the leader has to run the request, Write its answer and Finish it.
// Leader and followers Read the answer, and must Leave it. The error is
// ErrRequestIDReused when the request id is in use with another fingerprint. It
// does not block.
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

// Len returns the number of answers that are being written or kept.
func (d *Deduplicator) Len() int {
	n := 0
	for i := range d.shards {
		d.shards[i].mu.Lock()
		n += len(d.shards[i].answers)
		d.shards[i].mu.Unlock()
	}
	return n
}

// evict drops kept answers that are older than the retention or for which the
// shard has no room. shard.mu must be held.
func (d *Deduplicator) evict(shard *dedupShard) {
	for elem := shard.kept.Front(); elem != nil; elem = shard.kept.Front() {
		oldest := elem.Value.(*sharedAnswer)
		if shard.bytes <= d.maxShardBytes && d.now().Sub(oldest.endedAt) < d.retention {
			return
		}
		shard.drop(oldest)
	}
}

// drop removes an answer; its readers can go on reading it. s.mu must be held.
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

// finish keeps a complete answer, unless it was dropped meanwhile. Any other
// answer is dropped, so that the request may run again, and its outcome is
// remembered unless nothing ran.
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

// rememberOutcome stores the outcome of a request whose answer is not kept.
// shard.mu must be held.
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

// PastOutcome returns how a copy of the request ended that ran here and whose
// answer is not kept. It returns false when there is none.
func (d *Deduplicator) PastOutcome(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	key, shard := d.shard(account, id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	past, ok := shard.outcomes[key]
	return past.outcome, ok
}

// KnownOutcome is like PastOutcome but also covers copies whose answer is being
// written (OutcomeUnknown) or kept (OutcomeDone).
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

// ResponseHead is the status and the header of an answer.
type ResponseHead struct {
	Status int
	Fields []HeaderField
}

// HeaderField is a header field of a request or an answer.
type HeaderField struct{ Name, Value string }

// sharedAnswer is an answer that is being written or kept.
type sharedAnswer struct {
	dedup       *Deduplicator
	shard       *dedupShard
	key         dedupKey
	fingerprint uint64
	ctx         context.Context
	cancel      context.CancelCauseFunc

	// The fields below are guarded by the shard's lock.
	keptElem *list.Element
	endedAt  time.Time
	size     int64

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at every change of the fields below
	head       *ResponseHead
	parts      [][]byte
	firstPart  int // number of parts discarded from the start
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

// attach adds a reader. It returns nil when the start of the answer has been
// discarded or its context was canceled before it ended.
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

// notifyAll wakes everyone who waits for a change. s.mu must be held.
func (s *sharedAnswer) notifyAll() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim discards the parts that every reader has read, while the answer exceeds
// maxAnswerBytes. s.mu must be held.
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
