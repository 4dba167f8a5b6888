package bbjournal

import (
	"time"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// storedValue is the value of one key in fakeStore.
type storedValue struct {
	value []byte
	rev   bbstore.Revision
}

// fakeStore is a key-value store in memory. inFlight holds delayed writes,
// which may still take effect.
type fakeStore struct {
	values   map[string]storedValue
	rev      bbstore.Revision
	inFlight []Write
}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]storedValue{}} }

func (s *fakeStore) cas(w Write) (bbstore.Revision, bool) {
	if s.values[w.Key].rev != w.Prev {
		return 0, false
	}
	s.rev++
	if w.Value == nil {
		delete(s.values, w.Key)
	} else {
		s.values[w.Key] = storedValue{w.Value, s.rev}
	}
	return s.rev, true
}

func (s *fakeStore) list() []bbstore.Entry {
	var out []bbstore.Entry
	for k, c := range s.values {
		out = append(out, bbstore.Entry{Key: k, Value: c.value, Rev: c.rev})
	}
	return out
}

// committer simulates an instance that commits the records of the partition.
type committer struct {
	chain     *ChainCache
	queue     []*queuedRecord
	plan      *Plan
	planned   []*queuedRecord
	stepIndex int
}

type queuedRecord struct {
	rec  *bbwire.Record
	done func(v *bbwire.Verdict)
}

func newCommitter() *committer {
	return &committer{chain: &ChainCache{Partition: 1, Retention: time.Hour, Seed: 5}}
}

// writeOutcome is the simulated outcome of a write.
type writeOutcome int

const (
	outcomeAnswered   writeOutcome = iota
	outcomeAnswerLost              // takes effect, the answer is lost
	outcomeDropped                 // takes no effect, the answer is lost
	outcomeDelayed                 // may take effect later, the answer is lost
)

// advance makes the next call of the committer to the store, only one, so that
// other committers may act between any two calls.
func (c *committer) advance(store *fakeStore, now time.Time, outcome writeOutcome) error {
	if c.plan == nil {
		c.chain.Begin(now)
		c.replan(now)
	}
	p := c.plan
	switch {
	case p.NeedsListing:
		if err := c.chain.Load(store.list()); err != nil {
			return err
		}
		c.replan(now)
	case c.stepIndex < len(p.Reads):
		n := p.Reads[c.stepIndex]
		stored := store.values[c.chain.Key(n)]
		if err := c.chain.OnLeafRead(n, bbstore.Entry{Value: stored.value, Rev: stored.rev}); err != nil {
			return err
		}
		if c.stepIndex++; c.stepIndex == len(p.Reads) {
			c.replan(now)
		}
	case c.stepIndex < len(p.Writes):
		c.write(store, now, p.Writes[c.stepIndex], outcome)
	default:
		c.finish()
	}
	return nil
}

func (c *committer) write(store *fakeStore, now time.Time, w Write, outcome writeOutcome) {
	switch outcome {
	case outcomeDropped:
		c.chain.OnWriteFailed(w, true)
	case outcomeDelayed:
		store.inFlight = append(store.inFlight, w)
		c.chain.OnWriteFailed(w, true)
	default:
		rev, ok := store.cas(w)
		if outcome == outcomeAnswerLost || !ok {
			c.chain.OnWriteFailed(w, outcome == outcomeAnswerLost)
			break
		}
		c.chain.OnWritten(w, rev)
		c.stepIndex++
		return
	}
	c.replan(now)
}

func (c *committer) replan(now time.Time) {
	c.planned = append([]*queuedRecord{}, c.queue...)
	var records []*bbwire.Record
	for _, q := range c.planned {
		records = append(records, q.rec)
	}
	c.plan, c.stepIndex = c.chain.Plan(records, now), 0
}

func (c *committer) finish() {
	c.queue = c.queue[len(c.planned):]
	verdicts, planned := c.plan.Verdicts, c.planned
	c.plan = nil
	for i, q := range planned {
		if verdicts[i].Kind == bbwire.Verdict_RETRY {
			c.queue = append(c.queue, q)
			continue
		}
		q.done(verdicts[i])
	}
}

func (c *committer) idle() bool { return len(c.queue) == 0 && c.plan == nil }
