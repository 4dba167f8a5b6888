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
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.evict(s)
	if r := s.answers[k]; r != nil {
		if r.fingerprint != fingerprint {
			return nil, false, ErrRequestIDReused
		}
		if a := r.attach(); a != nil {
			return a, false, nil
		}
		s.drop(r)
	}
	r := newSharedAnswer(d, s, k, fingerprint)
	if s.answers == nil {
		s.answers = map[dedupKey]*sharedAnswer{}
	}
	s.answers[k] = r
	return r.attach(), true, nil
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
func (d *Deduplicator) evict(s *dedupShard) {
	for e := s.kept.Front(); e != nil; e = s.kept.Front() {
		r := e.Value.(*sharedAnswer)
		if s.bytes <= d.maxShardBytes && d.now().Sub(r.endedAt) < d.retention {
			return
		}
		s.drop(r)
	}
}

// drop forgets an answer; who reads it goes on. The shard is locked.
func (s *dedupShard) drop(r *sharedAnswer) {
	if s.answers[r.key] == r {
		delete(s.answers, r.key)
	}
	if r.keptElem != nil {
		s.kept.Remove(r.keptElem)
		r.keptElem = nil
		s.bytes -= r.size
	}
}

// finish keeps the answer, or forgets it when it is not whole, so that the request
// may run again.
func (d *Deduplicator) finish(s *dedupShard, r *sharedAnswer, whole bool, size int64, o bbunit.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !whole || s.answers[r.key] != r {
		s.drop(r)
		if o != bbunit.OutcomeNotRun {
			d.rememberOutcome(s, r.key, o)
		}
		return
	}
	r.endedAt, r.size = d.now(), size
	r.keptElem = s.kept.PushBack(r)
	s.bytes += size
	d.evict(s)
}

// rememberOutcome notes a request that ran and whose answer is not kept. The shard is
// locked.
func (d *Deduplicator) rememberOutcome(s *dedupShard, k dedupKey, o bbunit.Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[dedupKey]pastOutcome{}
	}
	if _, ok := s.outcomes[k]; !ok {
		s.outcomeOrder = append(s.outcomeOrder, k)
	}
	s.outcomes[k] = pastOutcome{outcome: o, endedAt: d.now()}
	for len(s.outcomeOrder) > maxPastOutcomes || len(s.outcomeOrder) > 0 && d.now().Sub(s.outcomes[s.outcomeOrder[0]].endedAt) > d.retention {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// PastOutcome tells whether a copy of the request ran here and ended without an answer
// that is kept, and how.
func (d *Deduplicator) PastOutcome(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.outcomes[k]
	return p.outcome, ok
}

// KnownOutcome is Ran, and tells also of a copy that runs now, whose outcome is unknown,
// or whose answer is kept.
func (d *Deduplicator) KnownOutcome(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	if o, ok := d.PastOutcome(account, id); ok {
		return o, true
	}
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r := s.answers[k]; {
	case r == nil:
		return 0, false
	case r.keptElem != nil:
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

func newSharedAnswer(d *Deduplicator, s *dedupShard, k dedupKey, fingerprint uint64) *sharedAnswer {
	r := &sharedAnswer{
		dedup: d, shard: s, key: k, fingerprint: fingerprint,
		changed: make(chan struct{}), readers: map[*Answer]struct{}{},
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// attach attaches a reader, or returns nil when the answer's start is gone.
func (r *sharedAnswer) attach() *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstPart > 0 || r.ctx.Err() != nil && !r.done {
		return nil
	}
	a := &Answer{shared: r}
	r.readers[a] = struct{}{}
	if r.graceTimer != nil {
		r.graceTimer.Stop()
		r.graceTimer = nil
	}
	return a
}

// notifyAll tells all waiters that something changed. The run is locked.
func (r *sharedAnswer) notifyAll() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// trim drops the parts that every reader has, once the answer is too long to be
// kept. The run is locked.
func (r *sharedAnswer) trim() {
	if r.bytes <= r.dedup.maxAnswerBytes {
		return
	}
	least := r.firstPart + len(r.parts)
	for a := range r.readers {
		least = min(least, a.pos)
	}
	for r.firstPart < least && r.bytes > r.dedup.maxAnswerBytes {
		r.bytes -= int64(len(r.parts[0]))
		r.parts[0] = nil
		r.parts = r.parts[1:]
		r.firstPart++
	}
}
