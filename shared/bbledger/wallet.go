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

// Wallet is all that one instance holds of the budgets. Balance is safe for
// concurrent use; the other methods belong to one goroutine.
type Wallet struct {
	self   Peer
	domain bbunit.DomainID
	policy Policy

	mu       sync.Mutex                                   // serializes writers of balances
	balances atomic.Pointer[map[bbunit.BudgetID]*Balance] // copied on write

	sorted       []*Balance // by budget, from sortedFrom
	sortedFrom   *map[bbunit.BudgetID]*Balance
	rankedView   *bbmember.View // the view of rankedByPage
	rankedByPage map[int][]bbmember.Member
	fullPassAt   time.Time // when DueMessages last visited all balances

	surrenderedHolders map[bbunit.HolderID]bool // whose grants are refused
	reportedAt         time.Time
	draining           bool
}

// Send asks for a message to be sent to an instance, which may be this one.
type Send struct {
	To   bbunit.InstanceID
	Body any // one of the messages of bbwire
}

// NewWallet returns an empty wallet.
func NewWallet(self bbmember.Member, policy Policy) *Wallet {
	w := &Wallet{self: PeerOf(self), domain: self.Domain, policy: policy, surrenderedHolders: map[bbunit.HolderID]bool{}}
	w.balances.Store(&map[bbunit.BudgetID]*Balance{})
	return w
}

// Balance returns the balance of a budget. It takes a lock only when it creates it.
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

// Balances returns all balances in the order of their budgets. The caller must not
// modify the list.
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

// AddWaiter records a request that waits for n tokens of the balance. RemoveWaiter
// must follow when the request stops waiting.
func (w *Wallet) AddWaiter(bal *Balance, n bbunit.Tokens) { bal.refill.addWaiter(n) }

// RemoveWaiter removes a request that AddWaiter recorded.
func (w *Wallet) RemoveWaiter(bal *Balance, n bbunit.Tokens) { bal.refill.removeWaiter(n) }

// allocators lists the instances whose allocators of the page may be asked, that of
// the own failure domain first. The result is cached for the view.
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

// rankAllocators computes what allocators returns.
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

// domainsOf lists the failure domains with an instance that is not leaving.
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

// DueMessages returns the messages to send now: wants of balances that run short
// and, every reportInterval, reports of what was spent. Calls within a TickInterval
// visit only balances that run short.
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
			bal.returnFree(bal.Available())
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

// requestRefill adds a want for the next allocator when the balance runs short.
func (w *Wallet) requestRefill(now time.Time, v *bbmember.View, bal *Balance, batch *requestBatch) {
	r := &bal.refill
	short := r.waitingTotal > 0 && bal.Available() < r.smallestWait
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
	amount := saturate(2*r.waitingTotal) + goal - bal.Available()
	least := bbunit.Tokens(1)
	if short {
		least = r.smallestWait - bal.Available()
	}
	r.askedAt, r.lastAskedAt = now, now
	batch.addWant(m, bal, &bbwire.Want{Amount: int64(max(amount, least)), Least: int64(least), Borrow: m.Domain != w.domain, Urgent: short})
	r.nextIndex++
}

// HandleGrant handles the answer of an allocator of that failure domain. It returns
// messages to send: answers to recalls, and a repeated surrender to an allocator
// that still grants under a surrendered holder.
func (w *Wallet) HandleGrant(now time.Time, domain bbunit.DomainID, t *bbwire.GrantTell) []Send {
	var out []Send
	for _, s := range t.Slices {
		h := bbunit.HolderID(s.Holder)
		if s.Grantee != w.self.String() {
			continue
		}
		if w.surrenderedHolders[h] {
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

// Surrender gives up the slices of a holder for good and reports on them. Tokens
// that open requests have reserved are neither spent nor returned yet.
func (w *Wallet) Surrender(h bbunit.HolderID) *bbwire.SurrenderTell {
	w.surrenderedHolders[h] = true
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

// Drain makes the wallet return all free tokens from now on and request none.
func (w *Wallet) Drain() { w.draining = true }

// Drained reports whether no slice has tokens left.
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

// Slices returns all slices of the wallet, for operators.
func (w *Wallet) Slices() []*bbwire.Slice {
	var out []*bbwire.Slice
	for _, bal := range w.Balances() {
		for _, s := range bal.slices {
			out = append(out, bal.sliceMessage(s, w.self))
		}
	}
	return out
}

// requestBatch collects reports and wants into one message per instance.
type requestBatch struct {
	self       Peer
	byInstance map[bbunit.InstanceID]*bbwire.GrantAsk
}

// request returns the message to an instance, adding an empty one if there is none.
func (r *requestBatch) request(to bbunit.InstanceID) *bbwire.GrantAsk {
	if r.byInstance[to] == nil {
		r.byInstance[to] = &bbwire.GrantAsk{}
	}
	return r.byInstance[to]
}

// addReport adds the changed slices of a balance, or all of them, each to the
// message for the instance that granted it.
func (r *requestBatch) addReport(bal *Balance, all bool) {
	for _, s := range bal.slices {
		if s.unreported || all {
			s.unreported = false
			m := r.request(HolderPeer(s.holder).ID)
			m.Slices = append(m.Slices, bal.sliceMessage(s, r.self))
		}
	}
}

// addWant adds a want together with all slices of the budget that the allocator
// granted.
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

// messages returns the batch in the order of the instances.
func (r *requestBatch) messages() []Send {
	out := make([]Send, 0, len(r.byInstance))
	for id, m := range r.byInstance {
		out = append(out, Send{To: id, Body: m})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}
