// Package bbpath decides, from how the calls of this process to one service end, whether
// the path to the service is broken and which of the calls that wait long are lost.
//
// A call that waits for news cannot tell a service without news from a broken path before
// its own time is over. Other calls of the same process can: one that gets no answer shows
// that what was on its way then may be lost.
package bbpath

import (
	"sync"
	"sync/atomic"
	"time"
)

// Times of looks and calls.
const (
	// minSilence is the least time for which a call without an answer has to have waited
	// to tell anything of the path.
	minSilence = 300 * time.Millisecond
	// lookInterval is the time between two looks at a broken path by the first lookRanks
	// instances of a failure domain, seldomLookInterval the same for the others.
	lookInterval       = 300 * time.Millisecond
	seldomLookInterval = 1500 * time.Millisecond
	lookRanks          = 2
)

// LookInterval returns the time from one look at a broken path to the next, which does not
// wait for an answer to the first. Rank is the instance's among those of its failure domain
// that look, from 0.
func LookInterval(rank int) time.Duration {
	if rank < lookRanks {
		return lookInterval
	}
	return seldomLookInterval
}

// Path keeps how the calls of this process to a service have ended. The zero value knows
// of none. It is safe for concurrent use and never blocks for long.
type Path struct {
	mu sync.Mutex
	// answered is when the newest call began that was answered, unanswered the same of
	// those that got no answer.
	answered, unanswered time.Time
	waits                map[*Wait]struct{}
	lost                 atomic.Int64
	onBreak              func() // may be nil
}

// OnBreak makes fn be called, without locks held, whenever the path turns out to be broken
// after it worked. It is set before the first call.
func (p *Path) OnBreak(fn func()) { p.onBreak = fn }

// Wait is a call that waits long for news.
type Wait struct {
	end func()
	// provenAt is when the newest answered call had begun as the wait began.
	provenAt time.Time
	// isArriving reports whether the answer has begun to arrive.
	isArriving func() bool
}

// BeginWait records that a call that waits long begins. If it may be lost, end is called,
// once and without locks held, unless its answer is arriving. The caller ends the wait with
// EndWait.
func (p *Path) BeginWait(end func(), isArriving func() bool) *Wait {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &Wait{end: end, isArriving: isArriving, provenAt: p.answered}
	if p.waits == nil {
		p.waits = map[*Wait]struct{}{}
	}
	p.waits[w] = struct{}{}
	return w
}

// EndWait records that the call of a wait has ended.
func (p *Path) EndWait(w *Wait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waits, w)
}

// Answered records that a call that began at a time was answered.
func (p *Path) Answered(began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if began.After(p.answered) {
		p.answered = began
	}
}

// Unanswered records that a call got no answer from when it began until it was given up.
func (p *Path) Unanswered(began, ended time.Time) {
	if ended.Sub(began) < minSilence {
		return
	}
	lost, breaks := p.recordUnanswered(began)
	if breaks && p.onBreak != nil {
		p.onBreak()
	}
	for _, w := range lost {
		w.end()
	}
}

// recordUnanswered records a call without an answer. It removes and returns the waits that
// may be lost with it, and reports whether the path is broken and was not before. A wait
// that began after a call was answered that is newer than the lost one is not lost.
func (p *Path) recordUnanswered(began time.Time) (lost []*Wait, breaks bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	worked := !p.unanswered.After(p.answered)
	if began.After(p.unanswered) {
		p.unanswered = began
	}
	for w := range p.waits {
		if began.After(w.provenAt) && !w.isArriving() {
			delete(p.waits, w)
			lost = append(lost, w)
		}
	}
	p.lost.Add(int64(len(lost)))
	return lost, worked && p.unanswered.After(p.answered)
}

// IsBroken reports whether a call got no answer that began after all that were answered.
func (p *Path) IsBroken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered.After(p.answered)
}

// LostWaits returns how many waits were ended as lost.
func (p *Path) LostWaits() int64 { return p.lost.Load() }
