package bbcrash

import (
	"time"

	"bluebellport.example/bluebellport/news"
	"bluebellport.example/shared/bbwire"
)

// learner is the state of an instance that has just started and asks what the
// fleet refuses. It is complete once an instance that is complete has answered,
// or the copy in the store was read.
type learner struct {
	complete   bool
	nextAsk    time.Time
	readCopyAt time.Time // when the copy is read if nobody has answered
}

// learn asks two random instances, until this one is complete.
func (t *Tracker) learn(now time.Time) []outgoing {
	if t.learner.complete || now.Before(t.learner.nextAsk) {
		return nil
	}
	t.learner.nextAsk = now.Add(learnInterval)
	if now.After(t.learner.readCopyAt) {
		t.learner.complete = t.cfg.Store == nil // nobody is left who could know more
		t.learner.nextAsk = now.Add(quietRoundInterval)
	}
	msg := t.comparison(bbwire.Crashes_COMPARE, nil, now)
	return bbnews.ToEach(t.randomPeers(2), msg)
}
