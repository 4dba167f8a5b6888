package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// serve answers wants out of acknowledged marks and drops those that cannot be
// met.
func (k *Allocator) serve() {
	if len(k.wants) == 0 {
		return
	}
	kept := make([]*want, 0, len(k.wants))
	for _, w := range k.wants {
		if !k.serveOne(w) {
			kept = append(kept, w)
		}
	}
	k.wants = kept
}

// serveOne reports whether the want is done with.
func (k *Allocator) serveOne(w *want) bool {
	a := k.account(w.budget)
	s := a.share(w.peer)
	if free := s.acked - s.granted; free >= w.least {
		give := min(free, w.amount)
		s.granted += give
		a.rate.add(give)
		k.grant(w, a)
		return true
	}
	if a.headroom() >= w.least-(s.sent-s.granted) {
		return false // the next mark will do
	}
	if k.empty(a, w) {
		if k.recall(a, w) || k.scrape(a, w) {
			return false
		}
		k.send(w.peer.ID, k.emptyTell(a, &bbwire.GrantTell{}))
		return true
	}
	if k.down() {
		k.send(w.peer.ID, &bbwire.GrantTell{})
		return true
	}
	return false
}

// tell sends a grantee its slice of an account.
func (k *Allocator) tell(p Peer, a *account) {
	k.send(p.ID, &bbwire.GrantTell{Slices: []*bbwire.Slice{a.slice(k.holder, p)}})
}

// empty tells whether the budget has too little left for a want, by a page that
// is fresh. An old page is read again.
func (k *Allocator) empty(a *account, w *want) bool {
	if k.cache == nil || k.limbo || k.busy {
		return false
	}
	if k.atHand(a, w) >= w.least {
		return false
	}
	if k.now.Sub(k.read) > freshFor {
		k.stale = !k.down()
		return false
	}
	return true
}

func entryOrNew(p *bbwire.Page, b bbunit.BudgetID) *bbwire.Entry {
	if e := findEntry(p, b); e != nil {
		return e
	}
	return &bbwire.Entry{Budget: string(b)}
}

// horizon is how long a draw should last.
func (k *Allocator) horizon() time.Duration {
	if k.opened && k.witness == (Peer{}) {
		return k.policy.UnwitnessedHorizon
	}
	return k.policy.DrawHorizon
}

// edit changes a copy of the page to what the keeper needs now and reports
// whether anything is worth a write.
func (k *Allocator) edit(p *bbwire.Page) bool {
	changed := false
	for _, e := range p.Entries {
		changed = advance(e, k.state) || changed
	}
	changed = k.editJobs(p) || changed
	changed = k.editStuck(p) || changed
	changed = k.editMove(p) || changed
	changed = k.editStrand(p) || changed
	if !k.retiring {
		changed = k.editDraws(p, changed) || changed
	}
	return changed
}

// editDraws raises and lowers what the holder has drawn. Accounts that could
// wait are taken along when something is written anyway.
func (k *Allocator) editDraws(p *bbwire.Page, along bool) bool {
	type plan struct {
		a     *account
		delta bbunit.Tokens
	}
	var plans []plan
	for _, a := range k.ordered() {
		e := entryOrNew(p, a.budget)
		if findEntry(p, a.budget) == nil {
			advance(e, k.state)
		}
		delta, urgent := k.delta(a, e)
		if delta != 0 {
			plans = append(plans, plan{a, delta})
			along = along || urgent
		}
	}
	if !along {
		return false
	}
	for _, x := range plans {
		k.editDraw(needEntry(p, x.a.budget), x.a, x.delta)
	}
	return len(plans) > 0
}

// editDraw changes the holder's place on one entry.
func (k *Allocator) editDraw(e *bbwire.Entry, a *account, delta bbunit.Tokens) {
	advance(e, k.state)
	h := findHolder(e, k.holder)
	if h == nil {
		if delta < 0 {
			return
		}
		h = &bbwire.Holder{Holder: string(k.holder), Instance: string(k.self.ID), Domain: string(k.self.Domain), Witness: k.firstWitness().String()}
		e.Holders = append(e.Holders, h)
	}
	if delta < 0 {
		a.calm = time.Time{}
	}
	h.Drawn += int64(delta)
	h.Seq++
	h.Spent = int64(a.spentOn(e, k.holder))
}

// delta is by how much the account's draw should change, and whether that is
// worth a write of its own.
func (k *Allocator) delta(a *account, e *bbwire.Entry) (bbunit.Tokens, bool) {
	var amount, least bbunit.Tokens
	for _, w := range k.wants {
		if w.budget == a.budget {
			s := a.share(w.peer)
			amount = saturate(amount + max(0, w.amount-(s.sent-s.granted)))
			least = saturate(least + max(0, w.least-(s.sent-s.granted)))
		}
	}
	goal := a.rate.over(k.horizon())
	head := a.headroom()
	if head < least || head < goal-goal/8 {
		return k.raiseBy(e, amount+goal-head, least-head), head < least || head < goal/2
	}
	return k.lowerBy(a, head, goal, least)
}

// raiseBy is how much to draw: what is lacking, less when the budget runs out,
// but what is wanted at least while the rest has it.
func (k *Allocator) raiseBy(e *bbwire.Entry, lack, least bbunit.Tokens) bbunit.Tokens {
	rest := Remaining(e)
	fair := rest / bbunit.Tokens(2*k.where().domains)
	return max(0, min(rest, lack, max(fair, least)))
}

// lowerBy gives surplus back after it has stood for a while.
func (k *Allocator) lowerBy(a *account, head, goal, least bbunit.Tokens) (bbunit.Tokens, bool) {
	surplus := head > 2*goal+least && a.open && !k.limbo
	if calm := a.calmFor(k.now, surplus); !surplus || calm < k.horizon() {
		return 0, false
	}
	return -(head - goal - least), goal == 0 || head > surplusTimes*goal
}

// surplusTimes is how many times its goal an account must have for giving back
// to be worth a write of its own.
const surplusTimes = 4

// tickEvery is how often a keeper is told the time.
const tickEvery = 50 * time.Millisecond

// TickInterval is how often the owner of keepers, purse and witness should tell
// them the time.
const TickInterval = tickEvery

// firstWitness picks the witness of a holder that is being opened, or keeps the
// one that it has.
func (k *Allocator) firstWitness() Peer {
	switch {
	case k.move != nil && k.move.ready:
		return k.move.to
	case k.opened:
		return k.witness
	}
	return k.candidate()
}

// candidate is the peer of the failure domain that may be the next witness; the
// zero peer when there is none.
func (k *Allocator) candidate() Peer {
	for _, m := range k.view.Rank(PageHomeKey(k.page), k.self.Domain, candidates) {
		p := PeerOf(m)
		if m.ID == k.self.ID || p == k.witness || k.now.Sub(k.suspect[p]) < suspectFor {
			continue
		}
		return p
	}
	return Peer{}
}

const (
	// candidates is how many instances are looked at for a witness.
	candidates = 6
	// suspectFor is how long a witness that was silent is not chosen again.
	suspectFor = 10 * time.Second
)
