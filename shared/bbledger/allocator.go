package bbledger

import (
	"cmp"
	"slices"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Events of a Keeper.
type (
	// GrantRequested is a grantee's report and wants.
	GrantRequested struct {
		From Peer
		Msg  *bbwire.GrantAsk
	}
	// Loaded ends a Load.
	Loaded struct {
		Page *bbwire.Page
		Rev  bbstore.Revision
		Err  error
	}
	// Saved ends a Save.
	Saved struct {
		Rev bbstore.Revision
		Err error
	}
	// MarkAcked is a witness's answer to a mark.
	MarkAcked struct {
		From Peer
		Msg  *bbwire.MarkAck
	}
	// Frozen is a witness's promise to take no more marks.
	Frozen struct {
		From Peer
		Msg  *bbwire.FreezeTell
	}
	// Surrendered is a grantee's account of a closed holder.
	Surrendered struct {
		From Peer
		Msg  *bbwire.SurrenderTell
	}
	// Tick tells the time and what is in force.
	Tick struct {
		View  *bbmember.View
		State *bbticket.State
	}
	// Refresh makes the keeper read its page again.
	Refresh struct{}
	// Retire makes the keeper close its holder and draw no more.
	Retire struct{}
)

// Actions of a Keeper beside Send.
type (
	// Load reads the page; answer with Loaded.
	Load struct{}
	// Save writes the page if it is at Prev; answer with Saved.
	Save struct {
		Page *bbwire.Page
		Prev bbstore.Revision
	}
)

// Allocator draws from one page for its failure domain and grants slices to
// instances. Several keepers of a page, also of one failure domain, are safe
// together: each hands out only what the page says that it has drawn.
type Allocator struct {
	page   int
	self   bbmember.Member
	peer   Peer
	policy Policy
	next   func() uint64

	now   time.Time
	out   []any
	view  *bbmember.View
	state *bbticket.State

	holder   bbunit.HolderID
	opened   bool // the page is known to name the holder
	maybe    bool // a write that opens the holder may have landed
	accounts map[bbunit.BudgetID]*account
	order    []*account // by budget
	wants    []*want

	cache *bbwire.Page
	rev   bbstore.Revision
	read  time.Time
	stale bool
	limbo bool // a write at rev may still land
	busy  bool // a Load or Save is out
	save  *bbwire.Page
	retry time.Time
	pause time.Duration

	witness Peer
	seq     uint64
	mark    *pendingMark
	move    *move
	suspect map[Peer]time.Time

	jobs     map[bbunit.HolderID]*job
	retired  map[bbunit.HolderID][]*bbwire.Slice
	finals   map[finalKey][]*bbwire.Slice
	place    place
	scan     *scan
	asked    time.Time      // when stuck grantees were last asked
	away     time.Time      // since when the keeper is not home
	watched  *bbmember.View // by which the grantees were last looked at
	missing  bool           // a grantee that has money is gone
	strands  bool           // such a one has been gone for long
	retiring bool
}

// want is a grantee's open want of one budget.
type want struct {
	peer     Peer
	budget   bbunit.BudgetID
	amount   bbunit.Tokens
	least    bbunit.Tokens
	at       time.Time
	urgent   bool      // requests wait for it
	recalled time.Time // when others were asked for what they have free
	scraped  bool      // lowered to the last that there is
}

// NewAllocator returns a keeper of a page. next numbers holders: it must not give
// a number twice in the life of the instance.
func NewAllocator(page int, self bbmember.Member, policy Policy, next func() uint64) *Allocator {
	k := &Allocator{
		page: page, self: self, peer: PeerOf(self), policy: policy, next: next,
		view:     &bbmember.View{Self: self, Members: []bbmember.Member{self}},
		state:    &bbticket.State{},
		accounts: map[bbunit.BudgetID]*account{},
		suspect:  map[Peer]time.Time{},
		jobs:     map[bbunit.HolderID]*job{},
		retired:  map[bbunit.HolderID][]*bbwire.Slice{},
		finals:   map[finalKey][]*bbwire.Slice{},
	}
	k.holder = NewHolder(k.peer, page, next())
	return k
}

// Step takes one event and returns what to do: Load, Save and Send values. At
// most one Load or Save is out at a time.
func (k *Allocator) Step(now time.Time, ev any) []any {
	k.now = now
	switch e := ev.(type) {
	case Tick:
		k.tick(e)
	case GrantRequested:
		k.ask(e)
	case Loaded:
		k.loaded(e)
	case Saved:
		k.saved(e)
	case MarkAcked:
		k.acked(e)
	case Frozen:
		k.frozen(e)
	case Surrendered:
		k.surrendered(e)
	case Refresh:
		k.stale = true
	case Retire:
		k.retiring = true
		k.retire()
	}
	k.serve()
	k.raise()
	k.store()
	out := k.out
	k.out = nil
	return out
}

// Page returns the number of the keeper's page.
func (k *Allocator) Page() int { return k.page }

// Holder returns the id that the keeper holds under now.
func (k *Allocator) Holder() bbunit.HolderID { return k.holder }

// Closed tells whether a retired keeper has nothing left on the page. Holders of
// other instances that it was closing are left to the next keeper.
func (k *Allocator) Closed() bool {
	for _, j := range k.jobs {
		if j.own {
			return false
		}
	}
	return k.retiring && !k.opened && !k.maybe && !k.busy && !k.limbo
}

// Idle tells whether a tick would change nothing.
func (k *Allocator) Idle() bool {
	return !k.opened && !k.maybe && !k.busy && !k.limbo && !k.stale && len(k.jobs) == 0 && len(k.wants) == 0 && !k.hasStuck() && !k.hasDead()
}

func (k *Allocator) send(to bbunit.InstanceID, body any) {
	k.out = append(k.out, Send{To: to, Body: body})
}

func (k *Allocator) tick(t Tick) {
	if t.View != nil {
		k.view = t.View
	}
	if t.State != nil {
		k.state = t.State
	}
	for _, a := range k.ordered() {
		a.rate.tick(k.now, k.horizon())
	}
	k.expire()
	k.watchHome()
	k.watchWitness()
	k.watchGrantees()
	k.watchHolders()
	k.watchStuck()
}

// watchHome retires a keeper that has not been home for a while, once the
// service can be reached.
func (k *Allocator) watchHome() {
	if k.where().home {
		k.away = time.Time{}
		return
	}
	if k.away.IsZero() {
		k.away = k.now
	}
	if k.opened && k.pause == 0 && k.now.Sub(k.away) >= retireAfter {
		k.retire()
	}
}

// ask merges a grantee's report and queues its wants.
func (k *Allocator) ask(e GrantRequested) {
	seen := map[bbunit.BudgetID]bbunit.Tokens{}
	for _, s := range e.Msg.Slices {
		if s.Grantee != e.From.String() {
			continue
		}
		if s.Holder != string(k.holder) {
			k.reportClosing(s)
			continue
		}
		b := bbunit.BudgetID(s.Budget)
		seen[b] = bbunit.Tokens(s.Granted)
		if a := k.accounts[b]; a != nil {
			a.report(e.From, s)
		}
	}
	if k.retiring {
		return
	}
	for _, w := range e.Msg.Wants {
		b := bbunit.BudgetID(w.Budget)
		if w.Least < 1 || w.Amount < w.Least || PageOf(b) != k.page {
			continue
		}
		a := k.account(b)
		if a.share(e.From).stranded {
			k.retire() // a new holder may grant to it again
		}
		if a.share(e.From).granted > seen[b] {
			k.tell(e.From, a) // the last answer was lost
			continue
		}
		k.missing = k.missing || !k.where().alive[e.From]
		k.queue(&want{peer: e.From, budget: b, amount: bbunit.Tokens(w.Amount), least: bbunit.Tokens(w.Least), at: k.now, urgent: w.Urgent})
	}
}

// queue replaces the grantee's older want of the budget.
func (k *Allocator) queue(w *want) {
	for i, x := range k.wants {
		if x.peer == w.peer && x.budget == w.budget {
			w.at, w.recalled = x.at, x.recalled
			k.wants[i] = w
			return
		}
	}
	k.wants = append(k.wants, w)
}

// expire drops wants that could not be met in time.
func (k *Allocator) expire() {
	kept := k.wants[:0]
	for _, w := range k.wants {
		if k.now.Sub(w.at) < askFor {
			kept = append(kept, w)
		}
	}
	k.wants = kept
}

func (k *Allocator) account(b bbunit.BudgetID) *account {
	a := k.accounts[b]
	if a == nil {
		a = &account{budget: b, shares: map[Peer]*share{}}
		k.accounts[b] = a
		at, _ := slices.BinarySearchFunc(k.order, b, func(x *account, b bbunit.BudgetID) int { return cmp.Compare(x.budget, b) })
		k.order = slices.Insert(k.order, at, a)
	}
	return a
}

// ordered returns the accounts in the order of their budgets.
func (k *Allocator) ordered() []*account { return k.order }
