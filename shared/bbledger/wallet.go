package bbledger

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Wallet is all the money of one instance. Pot may be called by any goroutine;
// the other methods belong to one goroutine.
type Wallet struct {
	self   Peer
	domain bbunit.DomainID
	policy Policy

	mu       sync.Mutex // writers of pots
	balances atomic.Pointer[map[bbunit.BudgetID]*Balance]

	sorted       []*Balance // of listed, in order
	sortedFrom   *map[bbunit.BudgetID]*Balance
	rankedView   *bbmember.View // of byPage
	rankedByPage map[int][]bbmember.Member
	fullPassAt   time.Time // when all pots were last gone through

	closedHolders map[bbunit.HolderID]bool
	reportedAt    time.Time
	draining      bool
}

// Send is a message to another instance, or to the own one.
type Send struct {
	To   bbunit.InstanceID
	Body any // one of the messages of bbwire
}

// NewWallet returns an empty purse.
func NewWallet(self bbmember.Member, policy Policy) *Wallet {
	w := &Wallet{self: PeerOf(self), domain: self.Domain, policy: policy, closedHolders: map[bbunit.HolderID]bool{}}
	w.balances.Store(&map[bbunit.BudgetID]*Balance{})
	return w
}

// Balance returns the pot of a budget; it takes a lock only the first time.
func (w *Wallet) Balance(b bbunit.BudgetID) *Balance {
	if bal, ok := (*w.balances.Load())[b]; ok {
		return bal
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old := *w.balances.Load()
	if bal, ok := old[b]; ok {
		return bal
	}
	next := make(map[bbunit.BudgetID]*Balance, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	bal := &Balance{Budget: b}
	next[b] = bal
	w.balances.Store(&next)
	return bal
}

// Balances returns all pots in the order of their budgets. The list must not be
// changed.
func (w *Wallet) Balances() []*Balance {
	m := w.balances.Load()
	if w.sortedFrom == m {
		return w.sorted
	}
	out := make([]*Balance, 0, len(*m))
	for _, bal := range *m {
		out = append(out, bal)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	w.sorted, w.sortedFrom = out, m
	return out
}

// AddWaiter counts in a request that waits for n tokens of the pot, Done counts it
// out.
func (w *Wallet) AddWaiter(bal *Balance, n bbunit.Tokens) { bal.refill.addWaiter(n) }

// RemoveWaiter counts out a request that Wait counted in.
func (w *Wallet) RemoveWaiter(bal *Balance, n bbunit.Tokens) { bal.refill.removeWaiter(n) }

// allocators lists the keepers that may be asked, the own failure domain's first. It
// is worked out once for each view.
func (w *Wallet) allocators(v *bbmember.View, page int) []bbmember.Member {
	if w.rankedView != v {
		w.rankedView, w.rankedByPage = v, map[int][]bbmember.Member{}
	}
	out, ok := w.rankedByPage[page]
	if !ok {
		out = w.rankAllocators(v, page)
		w.rankedByPage[page] = out
	}
	return out
}

func (w *Wallet) rankAllocators(v *bbmember.View, page int) []bbmember.Member {
	var out []bbmember.Member
	if m, ok := v.Home(PageHomeKey(page), w.domain); ok {
		out = append(out, m)
	}
	if !w.policy.Borrow {
		return out
	}
	for _, d := range domainsOf(v) {
		if m, ok := v.Home(PageHomeKey(page), d); ok && d != w.domain {
			out = append(out, m)
		}
	}
	return out
}

// domainsOf lists the failure domains that have an instance that stays.
func domainsOf(v *bbmember.View) []bbunit.DomainID {
	seen := map[bbunit.DomainID]bool{}
	var out []bbunit.DomainID
	for _, m := range v.Members {
		if !m.Leaving && !seen[m.Domain] {
			seen[m.Domain] = true
			out = append(out, m.Domain)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// DueMessages returns what to send now: wants of pots that run short, and every so
// often what was spent. Between ticks it looks only at pots that run short.
func (w *Wallet) DueMessages(now time.Time, v *bbmember.View) []Send {
	batch := requestBatch{self: w.self, byInstance: map[bbunit.InstanceID]*bbwire.GrantAsk{}}
	report := now.Sub(w.reportedAt) >= reportInterval || w.draining
	if report {
		w.reportedAt = now
	}
	full := report || now.Sub(w.fullPassAt) >= TickInterval
	if full {
		w.fullPassAt = now
	}
	for _, bal := range w.Balances() {
		if !full && bal.refill.waitingTotal == 0 && !bal.Low() {
			continue
		}
		bal.attributeSpent()
		bal.sampleDemand(now, w.policy.GrantHorizon)
		if w.draining {
			bal.returnFree(bal.Free())
		}
		if report {
			batch.addReport(bal, w.draining)
		}
		if !w.draining {
			w.requestRefill(now, v, bal, &batch)
		}
	}
	return batch.messages()
}

// requestRefill adds what the pot needs of the keeper whose turn it is.
func (w *Wallet) requestRefill(now time.Time, v *bbmember.View, bal *Balance, batch *requestBatch) {
	r := &bal.refill
	short := r.waitingTotal > 0 && bal.Free() < r.smallestWait
	if !short && (!bal.Low() || now.Sub(r.recalledAt) < refillPauseAfterRecall) || now.Sub(r.askedAt) < requestInterval {
		return
	}
	allocators := w.allocators(v, PageOf(bal.Budget))
	if len(allocators) == 0 {
		return
	}
	if !short {
		r.nextIndex = 0
	}
	m, allEmpty := r.nextAllocator(now, allocators)
	if !short && (allEmpty || r.nextIndex > 0) || allEmpty && now.Sub(r.lastAskedAt) < requestInterval {
		return
	}
	goal := bal.demand.expected(w.policy.GrantHorizon)
	amount := saturate(2*r.waitingTotal) + goal - bal.Free()
	least := bbunit.Tokens(1)
	if short {
		least = r.smallestWait - bal.Free()
	}
	r.askedAt, r.lastAskedAt = now, now
	batch.addWant(m, bal, &bbwire.Want{Amount: int64(max(amount, least)), Least: int64(least), Borrow: m.Domain != w.domain, Urgent: short})
	r.nextIndex++
}

// HandleGrant takes the answer of a keeper of that failure domain. It returns what
// tells a keeper that goes on granting under a closed holder.
func (w *Wallet) HandleGrant(now time.Time, domain bbunit.DomainID, t *bbwire.GrantTell) []Send {
	var out []Send
	for _, s := range t.Slices {
		h := bbunit.HolderID(s.Holder)
		if s.Grantee != w.self.String() {
			continue
		}
		if w.closedHolders[h] {
			out = append(out, Send{To: HolderPeer(h).ID, Body: w.Surrender(h)})
			continue
		}
		bal := w.Balance(bbunit.BudgetID(s.Budget))
		if bal.addGrant(h, bbunit.Tokens(s.Granted)) {
			bal.refill.reset()
			delete(bal.refill.emptyReplies, domain)
		}
	}
	for _, e := range t.Empty {
		bal := w.Balance(bbunit.BudgetID(e))
		if bal.refill.emptyReplies == nil {
			bal.refill.emptyReplies = map[bbunit.DomainID]emptyReply{}
		}
		reply := emptyReply{receivedAt: now}
		for _, l := range t.Lefts {
			if l.Budget == e {
				reply.unspent, reply.remaining = bbunit.Tokens(l.Lent), bbunit.Tokens(l.Rest)
			}
		}
		bal.refill.emptyReplies[domain] = reply
		bal.refill.askedAt = time.Time{}
	}
	for _, r := range t.Recalls {
		out = append(out, w.handleRecall(now, r)...)
	}
	return out
}

// Surrender stops the use of what a holder granted, for good, and accounts for
// it. What open requests still have reserved is neither spent nor returned.
func (w *Wallet) Surrender(h bbunit.HolderID) *bbwire.SurrenderTell {
	w.closedHolders[h] = true
	tell := &bbwire.SurrenderTell{Holder: string(h)}
	for _, bal := range w.Balances() {
		s := bal.findSlice(h)
		if s == nil {
			continue
		}
		s.surrendered = true
		bal.attributeSpent()
		tell.Slices = append(tell.Slices, bal.sliceMessage(s, w.self))
	}
	return tell
}

// Drain makes the purse return all that is free from now on.
func (w *Wallet) Drain() { w.draining = true }

// Drained tells whether no slice has anything left.
func (w *Wallet) Drained() bool {
	for _, bal := range w.Balances() {
		for _, s := range bal.slices {
			if s.unspent() > 0 {
				return false
			}
		}
	}
	return true
}

// Slices returns all slices of the purse, for operators.
func (w *Wallet) Slices() []*bbwire.Slice {
	var out []*bbwire.Slice
	for _, bal := range w.Balances() {
		for _, s := range bal.slices {
			out = append(out, bal.sliceMessage(s, w.self))
		}
	}
	return out
}

// requestBatch gathers one message for each instance that is written to.
type requestBatch struct {
	self       Peer
	byInstance map[bbunit.InstanceID]*bbwire.GrantAsk
}

func (r *requestBatch) request(to bbunit.InstanceID) *bbwire.GrantAsk {
	if r.byInstance[to] == nil {
		r.byInstance[to] = &bbwire.GrantAsk{}
	}
	return r.byInstance[to]
}

// addReport adds the slices that changed, or all of them, each to the instance
// that holds it.
func (r *requestBatch) addReport(bal *Balance, all bool) {
	for _, s := range bal.slices {
		if s.unreported || all {
			s.unreported = false
			m := r.request(HolderPeer(s.holder).ID)
			m.Slices = append(m.Slices, bal.sliceMessage(s, r.self))
		}
	}
}

// addWant adds a want, with all slices of that budget that the keeper holds.
func (r *requestBatch) addWant(allocator bbmember.Member, bal *Balance, want *bbwire.Want) {
	m := r.request(allocator.ID)
	for _, s := range bal.slices {
		if HolderPeer(s.holder) == PeerOf(allocator) {
			m.Slices = append(m.Slices, bal.sliceMessage(s, r.self))
		}
	}
	want.Budget = string(bal.Budget)
	m.Wants = append(m.Wants, want)
}

func (r *requestBatch) messages() []Send {
	out := make([]Send, 0, len(r.byInstance))
	for id, m := range r.byInstance {
		out = append(out, Send{To: id, Body: m})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}
