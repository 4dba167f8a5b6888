package bbledger

import (
	"math"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Balance is an instance's money of one budget. Reserve and End may be called by
// any goroutine at once and take no lock; all else belongs to the Purse.
//
// At every moment the rest of the slices equals free + used + what open
// requests have reserved.
type Balance struct {
	Budget bbunit.BudgetID

	free  atomic.Int64 // may be reserved
	used  atomic.Int64 // spent by ended requests, not yet put on slices
	taken atomic.Int64 // all ever reserved, for the rate of demand
	low   atomic.Int64 // below this much free, more is asked for
	head  atomic.Pointer[bbunit.HolderID]

	slices  []*slice // oldest first
	rate    rate
	counted int64
	calm    time.Time // since when there is surplus
	asking  asking
}

// slice is what one holder granted.
type slice struct {
	holder   bbunit.HolderID
	granted  bbunit.Tokens
	spent    bbunit.Tokens
	returned bbunit.Tokens
	closed   bool // surrendered: nothing more is taken from this holder
	changed  bool // not yet reported
}

func (s *slice) rest() bbunit.Tokens { return s.granted - s.spent - s.returned }

// Reserve sets n tokens aside. False when the pot has too little, or n is
// negative. It does not block.
func (p *Balance) Reserve(n bbunit.Tokens) bool {
	if n < 0 {
		return false
	}
	p.taken.Add(int64(n))
	for {
		free := p.free.Load()
		if free < int64(n) {
			p.taken.Add(-int64(n))
			return false
		}
		if p.free.CompareAndSwap(free, free-int64(n)) {
			return true
		}
	}
}

// Commit spends used of the most tokens that Reserve set aside and returns the
// rest. It must be called once a reservation; used is held within 0 and most.
func (p *Balance) Commit(most, used bbunit.Tokens) {
	used = min(max(used, 0), most)
	p.used.Add(int64(used))
	p.free.Add(int64(most - used))
}

// Refund takes back n tokens of what End spent, when the request turned out to
// have been billed elsewhere. It must not be more than End spent. Where the
// spending was put on slices already, it is set off against what comes next.
func (p *Balance) Refund(n bbunit.Tokens) {
	p.used.Add(-int64(n))
	p.free.Add(int64(n))
}

// Low tells whether more should be asked for.
func (p *Balance) Low() bool { return p.free.Load() < p.low.Load() }

// Free is what may be reserved now.
func (p *Balance) Free() bbunit.Tokens { return bbunit.Tokens(p.free.Load()) }

// Holder names the holder that funds the next request; "" for none.
func (p *Balance) Holder() bbunit.HolderID {
	if h := p.head.Load(); h != nil {
		return *h
	}
	return ""
}

// grab takes up to n of what is free.
func (p *Balance) grab(n bbunit.Tokens) bbunit.Tokens {
	for {
		free := p.free.Load()
		t := min(free, int64(n))
		if t <= 0 {
			return 0
		}
		if p.free.CompareAndSwap(free, free-t) {
			return bbunit.Tokens(t)
		}
	}
}

// flush puts what ended requests used on the slices, oldest first.
func (p *Balance) flush() {
	u := bbunit.Tokens(p.used.Swap(0))
	for _, s := range p.slices {
		n := min(u, s.rest())
		if n <= 0 {
			continue
		}
		s.spent += n
		s.changed = true
		u -= n
	}
	// What no slice covers can only come from a fault of the caller; it is kept
	// so that it still counts.
	p.used.Add(int64(u))
	p.sweep()
	p.point()
}

// sweep returns what closed slices still have, as far as it is free.
func (p *Balance) sweep() {
	for _, s := range p.slices {
		if s.closed && s.rest() > 0 {
			p.giveback(s, s.rest())
		}
	}
}

// giveback returns up to n of the slice to its holder.
func (p *Balance) giveback(s *slice, n bbunit.Tokens) {
	n = p.grab(min(n, s.rest()))
	if n > 0 {
		s.returned += n
		s.changed = true
	}
}

// point sets the holder that funds the next request.
func (p *Balance) point() {
	for _, s := range p.slices {
		if s.rest() > 0 && !s.closed {
			if p.Holder() != s.holder {
				h := s.holder
				p.head.Store(&h)
			}
			return
		}
	}
}

// find returns the slice of the holder, or nil.
func (p *Balance) find(h bbunit.HolderID) *slice {
	for _, s := range p.slices {
		if s.holder == h {
			return s
		}
	}
	return nil
}

// grant raises the slice of the holder to granted. It reports whether more
// became free.
func (p *Balance) grant(h bbunit.HolderID, granted bbunit.Tokens) bool {
	s := p.find(h)
	if s == nil {
		s = &slice{holder: h}
		p.slices = append(p.slices, s)
	}
	more := granted - s.granted
	if s.closed || more <= 0 {
		return false
	}
	s.granted = granted
	p.free.Add(int64(more))
	p.point()
	return true
}

// tick measures demand and sets the mark below which more is asked for.
func (p *Balance) tick(now time.Time, horizon time.Duration) {
	t := p.taken.Load()
	p.rate.add(bbunit.Tokens(max(0, t-p.counted)))
	p.counted = t
	p.rate.tick(now, horizon)
	goal := p.rate.over(horizon)
	p.low.Store(int64(goal / 2))
	if p.Free() <= 2*goal {
		p.calm = time.Time{}
		return
	}
	if p.calm.IsZero() {
		p.calm = now
	}
	if now.Sub(p.calm) >= 2*horizon {
		p.surrenderSurplus(p.Free() - goal)
		p.calm = time.Time{}
	}
}

// surrenderSurplus returns up to n, newest slices first.
func (p *Balance) surrenderSurplus(n bbunit.Tokens) {
	for i := len(p.slices) - 1; i >= 0 && n > 0; i-- {
		s := p.slices[i]
		was := s.returned
		p.giveback(s, n)
		n -= s.returned - was
	}
}

// wire returns the slice as a message.
func (p *Balance) wire(s *slice, self Peer) *bbwire.Slice {
	return &bbwire.Slice{
		Budget: string(p.Budget), Holder: string(s.holder), Grantee: self.String(),
		Granted: int64(s.granted), Spent: int64(s.spent), Returned: int64(s.returned),
	}
}

// asking is what requests that wait for money need of a pot.
type asking struct {
	waiting  bbunit.Tokens // sum over the waiting requests
	least    bbunit.Tokens // the smallest of them
	sent     time.Time     // when a keeper was last asked
	last     time.Time     // the same, but never reset
	turn     int           // which keeper is asked: 0 is the own failure domain's
	empty    map[bbunit.DomainID]answer
	recalled time.Time // when a keeper last asked for what is free
}

// next is the keeper to be asked: the first from the turn on that has not said
// lately that it can grant nothing. When all have, dry is true.
func (a *asking) next(now time.Time, turns []bbmember.Member) (m bbmember.Member, dry bool) {
	for i := range turns {
		m = turns[(a.turn+i)%len(turns)]
		if t, ok := a.empty[m.Domain]; !ok || now.Sub(t.at) > emptyFor {
			a.turn += i
			return m, false
		}
	}
	return turns[a.turn%len(turns)], true
}

func (a *asking) reset() { a.turn, a.sent = 0, time.Time{} }

// join and leave count a waiting request in and out.
func (a *asking) join(n bbunit.Tokens) {
	a.waiting += n
	if a.least == 0 || n < a.least {
		a.least = n
	}
}

func (a *asking) leave(n bbunit.Tokens) {
	a.waiting -= n
	if a.waiting <= 0 {
		a.waiting, a.least = 0, 0
		a.reset()
	}
}

// saturate guards sums of waiting amounts.
func saturate(n bbunit.Tokens) bbunit.Tokens {
	return min(n, bbunit.Tokens(math.MaxInt64/4))
}
