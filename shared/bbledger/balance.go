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

	free          atomic.Int64 // may be reserved
	unattributed  atomic.Int64 // spent by ended requests, not yet put on slices
	reservedTotal atomic.Int64 // all ever reserved, for the rate of demand
	lowWatermark  atomic.Int64 // below this much free, more is asked for
	nextHolder    atomic.Pointer[bbunit.HolderID]

	slices       []*slice // oldest first
	demand       demandRate
	sampledTotal int64
	surplusSince time.Time // since when there is surplus
	refill       refill
}

// slice is what one holder granted.
type slice struct {
	holder      bbunit.HolderID
	granted     bbunit.Tokens
	spent       bbunit.Tokens
	returned    bbunit.Tokens
	surrendered bool // surrendered: nothing more is taken from this holder
	unreported  bool // not yet reported
}

func (s *slice) unspent() bbunit.Tokens { return s.granted - s.spent - s.returned }

// Reserve sets n tokens aside. False when the pot has too little, or n is
// negative. It does not block.
func (b *Balance) Reserve(n bbunit.Tokens) bool {
	if n < 0 {
		return false
	}
	b.reservedTotal.Add(int64(n))
	for {
		free := b.free.Load()
		if free < int64(n) {
			b.reservedTotal.Add(-int64(n))
			return false
		}
		if b.free.CompareAndSwap(free, free-int64(n)) {
			return true
		}
	}
}

// Commit spends used of the most tokens that Reserve set aside and returns the
// rest. It must be called once a reservation; used is held within 0 and most.
func (b *Balance) Commit(reserved, used bbunit.Tokens) {
	used = min(max(used, 0), reserved)
	b.unattributed.Add(int64(used))
	b.free.Add(int64(reserved - used))
}

// Refund takes back n tokens of what End spent, when the request turned out to
// have been billed elsewhere. It must not be more than End spent. Where the
// spending was put on slices already, it is set off against what comes next.
func (b *Balance) Refund(n bbunit.Tokens) {
	b.unattributed.Add(-int64(n))
	b.free.Add(int64(n))
}

// Low tells whether more should be asked for.
func (b *Balance) Low() bool { return b.free.Load() < b.lowWatermark.Load() }

// Free is what may be reserved now.
func (b *Balance) Free() bbunit.Tokens { return bbunit.Tokens(b.free.Load()) }

// Holder names the holder that funds the next request; "" for none.
func (b *Balance) Holder() bbunit.HolderID {
	if h := b.nextHolder.Load(); h != nil {
		return *h
	}
	return ""
}

// takeFree takes up to n of what is free.
func (b *Balance) takeFree(n bbunit.Tokens) bbunit.Tokens {
	for {
		free := b.free.Load()
		taken := min(free, int64(n))
		if taken <= 0 {
			return 0
		}
		if b.free.CompareAndSwap(free, free-taken) {
			return bbunit.Tokens(taken)
		}
	}
}

// attributeSpent puts what ended requests used on the slices, oldest first.
func (b *Balance) attributeSpent() {
	unattributed := bbunit.Tokens(b.unattributed.Swap(0))
	for _, s := range b.slices {
		n := min(unattributed, s.unspent())
		if n <= 0 {
			continue
		}
		s.spent += n
		s.unreported = true
		unattributed -= n
	}
	// What no slice covers can only come from a fault of the caller; it is kept
	// so that it still counts.
	b.unattributed.Add(int64(unattributed))
	b.returnClosed()
	b.updateNextHolder()
}

// returnClosed returns what closed slices still have, as far as it is free.
func (b *Balance) returnClosed() {
	for _, s := range b.slices {
		if s.surrendered && s.unspent() > 0 {
			b.returnFrom(s, s.unspent())
		}
	}
}

// returnFrom returns up to n of the slice to its holder.
func (b *Balance) returnFrom(s *slice, n bbunit.Tokens) {
	n = b.takeFree(min(n, s.unspent()))
	if n > 0 {
		s.returned += n
		s.unreported = true
	}
}

// updateNextHolder sets the holder that funds the next request.
func (b *Balance) updateNextHolder() {
	for _, s := range b.slices {
		if s.unspent() > 0 && !s.surrendered {
			if b.Holder() != s.holder {
				h := s.holder
				b.nextHolder.Store(&h)
			}
			return
		}
	}
}

// findSlice returns the slice of the holder, or nil.
func (b *Balance) findSlice(h bbunit.HolderID) *slice {
	for _, s := range b.slices {
		if s.holder == h {
			return s
		}
	}
	return nil
}

// addGrant raises the slice of the holder to granted. It reports whether more
// became free.
func (b *Balance) addGrant(h bbunit.HolderID, granted bbunit.Tokens) bool {
	s := b.findSlice(h)
	if s == nil {
		s = &slice{holder: h}
		b.slices = append(b.slices, s)
	}
	more := granted - s.granted
	if s.surrendered || more <= 0 {
		return false
	}
	s.granted = granted
	b.free.Add(int64(more))
	b.updateNextHolder()
	return true
}

// sampleDemand measures demand and sets the mark below which more is asked for.
func (b *Balance) sampleDemand(now time.Time, horizon time.Duration) {
	total := b.reservedTotal.Load()
	b.demand.add(bbunit.Tokens(max(0, total-b.sampledTotal)))
	b.sampledTotal = total
	b.demand.update(now, horizon)
	goal := b.demand.expected(horizon)
	b.lowWatermark.Store(int64(goal / 2))
	if b.Free() <= 2*goal {
		b.surplusSince = time.Time{}
		return
	}
	if b.surplusSince.IsZero() {
		b.surplusSince = now
	}
	if now.Sub(b.surplusSince) >= 2*horizon {
		b.returnFree(b.Free() - goal)
		b.surplusSince = time.Time{}
	}
}

// returnFree returns up to n, newest slices first.
func (b *Balance) returnFree(n bbunit.Tokens) {
	for i := len(b.slices) - 1; i >= 0 && n > 0; i-- {
		s := b.slices[i]
		before := s.returned
		b.returnFrom(s, n)
		n -= s.returned - before
	}
}

// sliceMessage returns the slice as a message.
func (b *Balance) sliceMessage(s *slice, self Peer) *bbwire.Slice {
	return &bbwire.Slice{
		Budget: string(b.Budget), Holder: string(s.holder), Grantee: self.String(),
		Granted: int64(s.granted), Spent: int64(s.spent), Returned: int64(s.returned),
	}
}

// refill is what requests that wait for money need of a pot.
type refill struct {
	waitingTotal bbunit.Tokens // sum over the waiting requests
	smallestWait bbunit.Tokens // the smallest of them
	askedAt      time.Time     // when a keeper was last asked
	lastAskedAt  time.Time     // the same, but never reset
	nextIndex    int           // which keeper is asked: 0 is the own failure domain's
	emptyReplies map[bbunit.DomainID]emptyReply
	recalledAt   time.Time // when a keeper last asked for what is free
}

// nextAllocator is the keeper to be asked: the first from the turn on that has not said
// lately that it can grant nothing. When all have, dry is true.
func (r *refill) nextAllocator(now time.Time, allocators []bbmember.Member) (m bbmember.Member, allEmpty bool) {
	for i := range allocators {
		m = allocators[(r.nextIndex+i)%len(allocators)]
		if t, ok := r.emptyReplies[m.Domain]; !ok || now.Sub(t.receivedAt) > emptyReplyTTL {
			r.nextIndex += i
			return m, false
		}
	}
	return allocators[r.nextIndex%len(allocators)], true
}

func (r *refill) reset() { r.nextIndex, r.askedAt = 0, time.Time{} }

// addWaiter and leave count a waiting request in and out.
func (r *refill) addWaiter(n bbunit.Tokens) {
	r.waitingTotal += n
	if r.smallestWait == 0 || n < r.smallestWait {
		r.smallestWait = n
	}
}

func (r *refill) removeWaiter(n bbunit.Tokens) {
	r.waitingTotal -= n
	if r.waitingTotal <= 0 {
		r.waitingTotal, r.smallestWait = 0, 0
		r.reset()
	}
}

// saturate guards sums of waiting amounts.
func saturate(n bbunit.Tokens) bbunit.Tokens {
	return min(n, bbunit.Tokens(math.MaxInt64/4))
}
