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
	// ErrBehind means that a reader left the answer or that its part is gone.
	ErrBehind = errors.ConstError("part of the answer is gone")
	// ErrLeft means that all callers left before the answer was whole.
	ErrLeft = errors.ConstError("all callers left")
)

// dupShards is into how many parts the running and kept answers are cut.
const dupShards = 64

// dupPast is how many requests without a kept answer a shard remembers.
const dupPast = 1024

// Dups joins the copies of a request: the first one leads and runs, later ones
// get the same answer from its start, while it runs or from what is kept.
// An answer is kept when it is whole, for a time and while its shard has room,
// the oldest going first.
type Dups struct {
	shards [dupShards]dupShard
	keep   time.Duration
	grace  time.Duration
	most   int64 // bytes of one running answer
	total  int64 // bytes of kept answers in a shard
	now    func() time.Time
}

type dupShard struct {
	mu    sync.Mutex
	runs  map[dupKey]*run
	kept  list.List // of *run, oldest first
	bytes int64
	past  map[dupKey]past
	order []dupKey // of past, oldest first
}

// past is a request that ran and whose answer is not kept.
type past struct {
	outcome bbunit.Outcome
	at      time.Time
}

type dupKey struct {
	account bbunit.AccountID
	id      bbunit.RequestID
}

// NewDups returns an empty set of answers.
func NewDups(o *RecordOptions, now func() time.Time) *Dups {
	return &Dups{
		keep: o.AnswerKeep, grace: o.AnswerGrace, most: o.AnswerMost,
		total: max(o.AnswerTotal/dupShards, o.AnswerMost), now: now,
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
func (d *Dups) Join(account bbunit.AccountID, id bbunit.RequestID, fingerprint uint64) (*Answer, bool, error) {
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.expire(s)
	if r := s.runs[k]; r != nil {
		if r.print != fingerprint {
			return nil, false, ErrReused
		}
		if a := r.join(); a != nil {
			return a, false, nil
		}
		s.drop(r)
	}
	r := newRun(d, s, k, fingerprint)
	if s.runs == nil {
		s.runs = map[dupKey]*run{}
	}
	s.runs[k] = r
	return r.join(), true, nil
}

// Len returns how many answers run or are kept.
func (d *Dups) Len() int {
	n := 0
	for i := range d.shards {
		d.shards[i].mu.Lock()
		n += len(d.shards[i].runs)
		d.shards[i].mu.Unlock()
	}
	return n
}

// expire drops kept answers that are old or for which the shard has no room.
// The shard is locked.
func (d *Dups) expire(s *dupShard) {
	for e := s.kept.Front(); e != nil; e = s.kept.Front() {
		r := e.Value.(*run)
		if s.bytes <= d.total && d.now().Sub(r.ended) < d.keep {
			return
		}
		s.drop(r)
	}
}

// drop forgets an answer; who reads it goes on. The shard is locked.
func (s *dupShard) drop(r *run) {
	if s.runs[r.key] == r {
		delete(s.runs, r.key)
	}
	if r.kept != nil {
		s.kept.Remove(r.kept)
		r.kept = nil
		s.bytes -= r.size
	}
}

// end keeps the answer, or forgets it when it is not whole, so that the request
// may run again.
func (d *Dups) end(s *dupShard, r *run, whole bool, size int64, o bbunit.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !whole || s.runs[r.key] != r {
		s.drop(r)
		if o != bbunit.OutcomeNotRun {
			d.remember(s, r.key, o)
		}
		return
	}
	r.ended, r.size = d.now(), size
	r.kept = s.kept.PushBack(r)
	s.bytes += size
	d.expire(s)
}

// remember notes a request that ran and whose answer is not kept. The shard is
// locked.
func (d *Dups) remember(s *dupShard, k dupKey, o bbunit.Outcome) {
	if s.past == nil {
		s.past = map[dupKey]past{}
	}
	if _, ok := s.past[k]; !ok {
		s.order = append(s.order, k)
	}
	s.past[k] = past{outcome: o, at: d.now()}
	for len(s.order) > dupPast || len(s.order) > 0 && d.now().Sub(s.past[s.order[0]].at) > d.keep {
		delete(s.past, s.order[0])
		s.order = s.order[1:]
	}
}

// Ran tells whether a copy of the request ran here and ended without an answer
// that is kept, and how.
func (d *Dups) Ran(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.past[k]
	return p.outcome, ok
}

// Seen is Ran, and tells also of a copy that runs now, whose outcome is unknown,
// or whose answer is kept.
func (d *Dups) Seen(account bbunit.AccountID, id bbunit.RequestID) (bbunit.Outcome, bool) {
	if o, ok := d.Ran(account, id); ok {
		return o, true
	}
	k, s := d.shard(account, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r := s.runs[k]; {
	case r == nil:
		return 0, false
	case r.kept != nil:
		return bbunit.OutcomeDone, true
	}
	return bbunit.OutcomeUnknown, true
}

func (d *Dups) shard(account bbunit.AccountID, id bbunit.RequestID) (dupKey, *dupShard) {
	return dupKey{account, id}, &d.shards[xxhash.Sum64String(string(account)+"\x00"+string(id))%dupShards]
}

// Head begins an answer.
type Head struct {
	Status int
	Fields []Field
}

// Field is one header field.
type Field struct{ Name, Value string }

// run is one running or kept answer.
type run struct {
	dups   *Dups
	shard  *dupShard
	key    dupKey
	print  uint64
	ctx    context.Context
	cancel context.CancelCauseFunc

	// guarded by the shard's lock
	kept  *list.Element
	ended time.Time
	size  int64

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	head    *Head
	parts   [][]byte
	base    int // index of parts[0]
	bytes   int64
	done    bool
	outcome bbunit.Outcome
	readers map[*Answer]struct{}
	idle    *time.Timer
}

func newRun(d *Dups, s *dupShard, k dupKey, fingerprint uint64) *run {
	r := &run{
		dups: d, shard: s, key: k, print: fingerprint,
		changed: make(chan struct{}), readers: map[*Answer]struct{}{},
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// join attaches a reader, or returns nil when the answer's start is gone.
func (r *run) join() *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.base > 0 || r.ctx.Err() != nil && !r.done {
		return nil
	}
	a := &Answer{run: r}
	r.readers[a] = struct{}{}
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
	return a
}

// wakeUp tells all waiters that something changed. The run is locked.
func (r *run) wakeUp() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// trim drops the parts that every reader has, once the answer is too long to be
// kept. The run is locked.
func (r *run) trim() {
	if r.bytes <= r.dups.most {
		return
	}
	least := r.base + len(r.parts)
	for a := range r.readers {
		least = min(least, a.pos)
	}
	for r.base < least && r.bytes > r.dups.most {
		r.bytes -= int64(len(r.parts[0]))
		r.parts[0] = nil
		r.parts = r.parts[1:]
		r.base++
	}
}
