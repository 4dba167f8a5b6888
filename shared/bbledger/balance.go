package bbledger

import (
	"math"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Balance is what an instance holds of one budget. Reserve, Commit, Refund, Low,
// Available and Holder are safe for concurrent use and take no lock; everything else
// belongs to the goroutine of the Wallet.
//
// At every moment the unspent tokens of the slices equal free + unattributed +
// what open requests have reserved.
type Balance struct {
	Budget bbunit.BudgetID

	free          atomic.Int64                    // available to Reserve
	unattributed  atomic.Int64                    // spent by finished requests, not yet attributed to slices
	reservedTotal atomic.Int64                    // sum of all reservations, to measure demand
	lowWatermark  atomic.Int64                    // with less than this free, more is requested
	nextHolder    atomic.Pointer[bbunit.HolderID] // see Holder

	slices       []*slice // oldest first
	demand       demandRate
	sampledTotal int64     // reservedTotal at the last sample
	surplusSince time.Time // when free began to exceed demand; zero without surplus
	refill       refill
}

// slice is what one holder granted this instance. All amounts are cumulative.
type slice struct {
	holder      bbunit.HolderID
	granted     bbunit.Tokens
	spent       bbunit.Tokens
	returned    bbunit.Tokens
	surrendered bool // final: no more grants of this holder are accepted
	unreported  bool // changed since the last report to the holder's instance
}

func (s *slice) unspent() bbunit.Tokens { return s.granted - s.spent - s.returned }

// Reserve sets n tokens aside. It reports false when fewer are free or n is
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

// Commit ends a reservation: it spends used of the reserved tokens and frees the
// rest. It must be called once per reservation; used is clamped to 0..reserved.
func (b *Balance) Commit(reserved, used bbunit.Tokens) {
	used = min(max(used, 0), reserved)
	b.unattributed.Add(int64(used))
	b.free.Add(int64(reserved - used))
}

// Refund frees n of the tokens that Commit spent, when the request turned out to
// have been billed elsewhere. n must not exceed what Commit spent. Spending that
// was already attributed to slices is offset against later spending.
func (b *Balance) Refund(n bbunit.Tokens) {
	b.unattributed.Add(-int64(n))
	b.free.Add(int64(n))
}

// Low reports whether the free tokens are below the low watermark, so that more
// should be requested.
func (b *Balance) Low() bool { return b.free.Load() < b.lowWatermark.Load() }

// Available returns how many tokens may be reserved now.
func (b *Balance) Available() bbunit.Tokens { return bbunit.Tokens(b.free.Load()) }

// Holder returns the holder whose slice is charged next, or "" before the first
// grant.
func (b *Balance) Holder() bbunit.HolderID {
	if h := b.nextHolder.Load(); h != nil {
		return *h
	}
	return ""
}

// takeFree takes up to n free tokens and returns how many it took.
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

// attributeSpent charges what finished requests spent to the slices, oldest first.
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
	// A positive remainder, more than the slices cover, can only be a caller's bug; a
	// negative one is a refund. Either is kept for the next call.
	b.unattributed.Add(int64(unattributed))
	b.returnSurrendered()
	b.updateNextHolder()
}

// returnSurrendered returns the free part of what surrendered slices have left.
func (b *Balance) returnSurrendered() {
	for _, s := range b.slices {
		if s.surrendered && s.unspent() > 0 {
			b.returnFrom(s, s.unspent())
		}
	}
}

// returnFrom returns up to n free tokens of the slice to its holder.
func (b *Balance) returnFrom(s *slice, n bbunit.Tokens) {
	n = b.takeFree(min(n, s.unspent()))
	if n > 0 {
		s.returned += n
		s.unreported = true
	}
}

// updateNextHolder sets Holder to the oldest slice with tokens left.
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

// findSlice returns the holder's slice, or nil.
func (b *Balance) findSlice(h bbunit.HolderID) *slice {
	for _, s := range b.slices {
		if s.holder == h {
			return s
		}
	}
	return nil
}

// addGrant raises the amount granted by the holder. It reports false when the
// amount is not new or the slice is surrendered.
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

// sampleDemand updates the demand rate and the low watermark. It returns a surplus
// to the holders once it has lasted for two horizons.
func (b *Balance) sampleDemand(now time.Time, horizon time.Duration) {
	total := b.reservedTotal.Load()
	b.demand.add(bbunit.Tokens(max(0, total-b.sampledTotal)))
	b.sampledTotal = total
	b.demand.update(now, horizon)
	goal := b.demand.expected(horizon)
	b.lowWatermark.Store(int64(goal / 2))
	if b.Available() <= 2*goal {
		b.surplusSince = time.Time{}
		return
	}
	if b.surplusSince.IsZero() {
		b.surplusSince = now
	}
	if now.Sub(b.surplusSince) >= 2*horizon {
		b.returnFree(b.Available() - goal)
		b.surplusSince = time.Time{}
	}
}

// returnFree returns up to n free tokens to their holders, newest slices first.
func (b *Balance) returnFree(n bbunit.Tokens) {
	for i := len(b.slices) - 1; i >= 0 && n > 0; i-- {
		s := b.slices[i]
		before := s.returned
		b.returnFrom(s, n)
		n -= s.returned - before
	}
}

// sliceMessage returns the slice as a message from self.
func (b *Balance) sliceMessage(s *slice, self Peer) *bbwire.Slice {
	return &bbwire.Slice{
		Budget: string(b.Budget), Holder: string(s.holder), Grantee: self.String(),
		Granted: int64(s.granted), Spent: int64(s.spent), Returned: int64(s.returned),
	}
}

// refill tracks what waiting requests need of a balance and which allocator is
// asked for it.
type refill struct {
	waitingTotal bbunit.Tokens                  // sum over the waiting requests
	smallestWait bbunit.Tokens                  // the smallest waiting request so far; 0 when none waits
	askedAt      time.Time                      // when an allocator was last asked; zero to ask the next at once
	lastAskedAt  time.Time                      // when an allocator was last asked; never reset
	nextIndex    int                            // the next allocator to ask; 0 is that of the own failure domain
	emptyReplies map[bbunit.DomainID]emptyReply // last reply of each failure domain that had nothing to grant
	recalledAt   time.Time                      // when an allocator last recalled free tokens
}

// nextAllocator returns the allocator to ask: the first, from nextIndex on, without
// a recent reply that it has nothing to grant. allEmpty is true when there is none.
func (r *refill) nextAllocator(now time.Time, allocators []bbmember.Member) (m bbmember.Member, allEmpty bool) {
	for i := range allocators {
		m = allocators[(r.nextIndex+i)%len(allocators)]
		if reply, ok := r.emptyReplies[m.Domain]; !ok || now.Sub(reply.receivedAt) > emptyReplyTTL {
			r.nextIndex += i
			return m, false
		}
	}
	return allocators[r.nextIndex%len(allocators)], true
}

// reset makes the next request go at once to the own failure domain's allocator.
func (r *refill) reset() { r.nextIndex, r.askedAt = 0, time.Time{} }

// addWaiter records a request that waits for n tokens.
func (r *refill) addWaiter(n bbunit.Tokens) {
	r.waitingTotal += n
	if r.smallestWait == 0 || n < r.smallestWait {
		r.smallestWait = n
	}
}

// removeWaiter removes a request that addWaiter recorded.
func (r *refill) removeWaiter(n bbunit.Tokens) {
	r.waitingTotal -= n
	if r.waitingTotal <= 0 {
		r.waitingTotal, r.smallestWait = 0, 0
		r.reset()
	}
}

// saturate bounds a sum of waiting amounts, so that it cannot overflow when added
// to another.
func saturate(n bbunit.Tokens) bbunit.Tokens {
	return min(n, bbunit.Tokens(math.MaxInt64/4))
}
