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

	mu   sync.Mutex // writers of pots
	pots atomic.Pointer[map[bbunit.BudgetID]*Balance]

	list   []*Balance // of listed, in order
	listed *map[bbunit.BudgetID]*Balance
	view   *bbmember.View // of byPage
	byPage map[int][]bbmember.Member
	passed time.Time // when all pots were last gone through

	closed   map[bbunit.HolderID]bool
	reported time.Time
	draining bool
}

// Send is a message to another instance, or to the own one.
type Send struct {
	To   bbunit.InstanceID
	Body any // one of the messages of bbwire
}

// NewWallet returns an empty purse.
func NewWallet(self bbmember.Member, policy Policy) *Wallet {
	p := &Wallet{self: PeerOf(self), domain: self.Domain, policy: policy, closed: map[bbunit.HolderID]bool{}}
	p.pots.Store(&map[bbunit.BudgetID]*Balance{})
	return p
}

// Balance returns the pot of a budget; it takes a lock only the first time.
func (p *Wallet) Balance(b bbunit.BudgetID) *Balance {
	if pot, ok := (*p.pots.Load())[b]; ok {
		return pot
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.pots.Load()
	if pot, ok := old[b]; ok {
		return pot
	}
	next := make(map[bbunit.BudgetID]*Balance, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	pot := &Balance{Budget: b}
	next[b] = pot
	p.pots.Store(&next)
	return pot
}

// Balances returns all pots in the order of their budgets. The list must not be
// changed.
func (p *Wallet) Balances() []*Balance {
	m := p.pots.Load()
	if p.listed == m {
		return p.list
	}
	out := make([]*Balance, 0, len(*m))
	for _, pot := range *m {
		out = append(out, pot)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Budget < out[j].Budget })
	p.list, p.listed = out, m
	return out
}

// AddWaiter counts in a request that waits for n tokens of the pot, Done counts it
// out.
func (p *Wallet) AddWaiter(pot *Balance, n bbunit.Tokens) { pot.asking.join(n) }

// RemoveWaiter counts out a request that Wait counted in.
func (p *Wallet) RemoveWaiter(pot *Balance, n bbunit.Tokens) { pot.asking.leave(n) }

// turns lists the keepers that may be asked, the own failure domain's first. It
// is worked out once for each view.
func (p *Wallet) turns(v *bbmember.View, page int) []bbmember.Member {
	if p.view != v {
		p.view, p.byPage = v, map[int][]bbmember.Member{}
	}
	out, ok := p.byPage[page]
	if !ok {
		out = p.rank(v, page)
		p.byPage[page] = out
	}
	return out
}

func (p *Wallet) rank(v *bbmember.View, page int) []bbmember.Member {
	var out []bbmember.Member
	if m, ok := v.Home(PageHomeKey(page), p.domain); ok {
		out = append(out, m)
	}
	if !p.policy.Borrow {
		return out
	}
	for _, d := range domains(v) {
		if m, ok := v.Home(PageHomeKey(page), d); ok && d != p.domain {
			out = append(out, m)
		}
	}
	return out
}

// domains lists the failure domains that have an instance that stays.
func domains(v *bbmember.View) []bbunit.DomainID {
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
func (p *Wallet) DueMessages(now time.Time, v *bbmember.View) []Send {
	b := asks{self: p.self, to: map[bbunit.InstanceID]*bbwire.GrantAsk{}}
	report := now.Sub(p.reported) >= reportEvery || p.draining
	if report {
		p.reported = now
	}
	all := report || now.Sub(p.passed) >= TickInterval
	if all {
		p.passed = now
	}
	for _, pot := range p.Balances() {
		if !all && pot.asking.waiting == 0 && !pot.Low() {
			continue
		}
		pot.flush()
		pot.tick(now, p.policy.GrantHorizon)
		if p.draining {
			pot.surrenderSurplus(pot.Free())
		}
		if report {
			b.report(pot, p.draining)
		}
		if !p.draining {
			p.want(now, v, pot, &b)
		}
	}
	return b.sends()
}

// want adds what the pot needs of the keeper whose turn it is.
func (p *Wallet) want(now time.Time, v *bbmember.View, pot *Balance, b *asks) {
	a := &pot.asking
	short := a.waiting > 0 && pot.Free() < a.least
	if !short && (!pot.Low() || now.Sub(a.recalled) < recallCalm) || now.Sub(a.sent) < askEvery {
		return
	}
	turns := p.turns(v, PageOf(pot.Budget))
	if len(turns) == 0 {
		return
	}
	if !short {
		a.turn = 0
	}
	m, dry := a.next(now, turns)
	if !short && (dry || a.turn > 0) || dry && now.Sub(a.last) < askEvery {
		return
	}
	goal := pot.rate.over(p.policy.GrantHorizon)
	amount := saturate(2*a.waiting) + goal - pot.Free()
	least := bbunit.Tokens(1)
	if short {
		least = a.least - pot.Free()
	}
	a.sent, a.last = now, now
	b.want(m, pot, &bbwire.Want{Amount: int64(max(amount, least)), Least: int64(least), Borrow: m.Domain != p.domain, Urgent: short})
	a.turn++
}

// HandleGrant takes the answer of a keeper of that failure domain. It returns what
// tells a keeper that goes on granting under a closed holder.
func (p *Wallet) HandleGrant(now time.Time, domain bbunit.DomainID, t *bbwire.GrantTell) []Send {
	var out []Send
	for _, s := range t.Slices {
		h := bbunit.HolderID(s.Holder)
		if s.Grantee != p.self.String() {
			continue
		}
		if p.closed[h] {
			out = append(out, Send{To: HolderPeer(h).ID, Body: p.Surrender(h)})
			continue
		}
		pot := p.Balance(bbunit.BudgetID(s.Budget))
		if pot.grant(h, bbunit.Tokens(s.Granted)) {
			pot.asking.reset()
			delete(pot.asking.empty, domain)
		}
	}
	for _, e := range t.Empty {
		pot := p.Balance(bbunit.BudgetID(e))
		if pot.asking.empty == nil {
			pot.asking.empty = map[bbunit.DomainID]answer{}
		}
		x := answer{at: now}
		for _, l := range t.Lefts {
			if l.Budget == e {
				x.lent, x.rest = bbunit.Tokens(l.Lent), bbunit.Tokens(l.Rest)
			}
		}
		pot.asking.empty[domain] = x
		pot.asking.sent = time.Time{}
	}
	for _, r := range t.Recalls {
		out = append(out, p.recall(now, r)...)
	}
	return out
}

// Surrender stops the use of what a holder granted, for good, and accounts for
// it. What open requests still have reserved is neither spent nor returned.
func (p *Wallet) Surrender(h bbunit.HolderID) *bbwire.SurrenderTell {
	p.closed[h] = true
	tell := &bbwire.SurrenderTell{Holder: string(h)}
	for _, pot := range p.Balances() {
		s := pot.find(h)
		if s == nil {
			continue
		}
		s.closed = true
		pot.flush()
		tell.Slices = append(tell.Slices, pot.wire(s, p.self))
	}
	return tell
}

// Drain makes the purse return all that is free from now on.
func (p *Wallet) Drain() { p.draining = true }

// Drained tells whether no slice has anything left.
func (p *Wallet) Drained() bool {
	for _, pot := range p.Balances() {
		for _, s := range pot.slices {
			if s.rest() > 0 {
				return false
			}
		}
	}
	return true
}

// Slices returns all slices of the purse, for operators.
func (p *Wallet) Slices() []*bbwire.Slice {
	var out []*bbwire.Slice
	for _, pot := range p.Balances() {
		for _, s := range pot.slices {
			out = append(out, pot.wire(s, p.self))
		}
	}
	return out
}

// asks gathers one message for each instance that is written to.
type asks struct {
	self Peer
	to   map[bbunit.InstanceID]*bbwire.GrantAsk
}

func (b *asks) need(to bbunit.InstanceID) *bbwire.GrantAsk {
	if b.to[to] == nil {
		b.to[to] = &bbwire.GrantAsk{}
	}
	return b.to[to]
}

// report adds the slices that changed, or all of them, each to the instance
// that holds it.
func (b *asks) report(pot *Balance, all bool) {
	for _, s := range pot.slices {
		if s.changed || all {
			s.changed = false
			m := b.need(HolderPeer(s.holder).ID)
			m.Slices = append(m.Slices, pot.wire(s, b.self))
		}
	}
}

// want adds a want, with all slices of that budget that the keeper holds.
func (b *asks) want(to bbmember.Member, pot *Balance, w *bbwire.Want) {
	m := b.need(to.ID)
	for _, s := range pot.slices {
		if HolderPeer(s.holder) == PeerOf(to) {
			m.Slices = append(m.Slices, pot.wire(s, b.self))
		}
	}
	w.Budget = string(pot.Budget)
	m.Wants = append(m.Wants, w)
}

func (b *asks) sends() []Send {
	out := make([]Send, 0, len(b.to))
	for to, m := range b.to {
		out = append(out, Send{To: to, Body: m})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}
