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
	pageNumber       int
	self             bbmember.Member
	peer             Peer
	policy           Policy
	nextHolderNumber func() uint64

	now     time.Time
	actions []any
	view    *bbmember.View
	state   *bbticket.State

	holder         bbunit.HolderID
	onPage         bool // the page is known to name the holder
	maybeOnPage    bool // a write that opens the holder may have landed
	allocations    map[bbunit.BudgetID]*allocation
	allocationList []*allocation // by budget
	wants          []*want

	page           *bbwire.Page
	rev            bbstore.Revision
	lastReadAt     time.Time
	needsRead      bool
	writeUncertain bool // a write at rev may still land
	callInFlight   bool // a Load or Save is out
	pendingPage    *bbwire.Page
	retryAt        time.Time
	backoff        time.Duration

	witness       Peer
	markSeq       uint64
	pendingMark   *pendingMark
	witnessChange *witnessChange
	suspectedAt   map[Peer]time.Time

	closings       map[bbunit.HolderID]*holderClosing
	retiredSlices  map[bbunit.HolderID][]*bbwire.Slice
	finalReports   map[granteeKey][]*bbwire.Slice
	viewCache      viewSummary
	summaryCache   *pageSummary
	stuckAskedAt   time.Time      // when stuck grantees were last asked
	notHomeSince   time.Time      // since when the keeper is not home
	checkedView    *bbmember.View // by which the grantees were last looked at
	granteeMissing bool           // a grantee that has money is gone
	granteeLost    bool           // such a one has been gone for long
	retiring       bool
}

// want is a grantee's open want of one budget.
type want struct {
	grantee    Peer
	budget     bbunit.BudgetID
	amount     bbunit.Tokens
	least      bbunit.Tokens
	queuedAt   time.Time
	urgent     bool      // requests wait for it
	recalledAt time.Time // when others were asked for what they have free
	partial    bool      // lowered to the last that there is
}

// NewAllocator returns a keeper of a page. next numbers holders: it must not give
// a number twice in the life of the instance.
func NewAllocator(page int, self bbmember.Member, policy Policy, nextHolderNumber func() uint64) *Allocator {
	al := &Allocator{
		pageNumber: page, self: self, peer: PeerOf(self), policy: policy, nextHolderNumber: nextHolderNumber,
		view:          &bbmember.View{Self: self, Members: []bbmember.Member{self}},
		state:         &bbticket.State{},
		allocations:   map[bbunit.BudgetID]*allocation{},
		suspectedAt:   map[Peer]time.Time{},
		closings:      map[bbunit.HolderID]*holderClosing{},
		retiredSlices: map[bbunit.HolderID][]*bbwire.Slice{},
		finalReports:  map[granteeKey][]*bbwire.Slice{},
	}
	al.holder = NewHolder(al.peer, page, nextHolderNumber())
	return al
}

// Step takes one event and returns what to do: Load, Save and Send values. At
// most one Load or Save is out at a time.
func (al *Allocator) Step(now time.Time, ev any) []any {
	al.now = now
	switch e := ev.(type) {
	case Tick:
		al.handleTick(e)
	case GrantRequested:
		al.handleRequest(e)
	case Loaded:
		al.handleLoaded(e)
	case Saved:
		al.handleSaved(e)
	case MarkAcked:
		al.handleMarkAck(e)
	case Frozen:
		al.handleFrozen(e)
	case Surrendered:
		al.handleSurrendered(e)
	case Refresh:
		al.needsRead = true
	case Retire:
		al.retiring = true
		al.retireHolder()
	}
	al.serveWants()
	al.sendMarks()
	al.startStoreCall()
	out := al.actions
	al.actions = nil
	return out
}

// Page returns the number of the keeper's page.
func (al *Allocator) Page() int { return al.pageNumber }

// Holder returns the id that the keeper holds under now.
func (al *Allocator) Holder() bbunit.HolderID { return al.holder }

// Closed tells whether a retired keeper has nothing left on the page. Holders of
// other instances that it was closing are left to the next keeper.
func (al *Allocator) Closed() bool {
	for _, c := range al.closings {
		if c.own {
			return false
		}
	}
	return al.retiring && !al.onPage && !al.maybeOnPage && !al.callInFlight && !al.writeUncertain
}

// Idle tells whether a tick would change nothing.
func (al *Allocator) Idle() bool {
	return !al.onPage && !al.maybeOnPage && !al.callInFlight && !al.writeUncertain && !al.needsRead && len(al.closings) == 0 && len(al.wants) == 0 && !al.hasStuck() && !al.hasDeadHolder()
}

func (al *Allocator) send(to bbunit.InstanceID, body any) {
	al.actions = append(al.actions, Send{To: to, Body: body})
}

func (al *Allocator) handleTick(t Tick) {
	if t.View != nil {
		al.view = t.View
	}
	if t.State != nil {
		al.state = t.State
	}
	for _, a := range al.sortedAllocations() {
		a.demand.update(al.now, al.drawHorizon())
	}
	al.expireWants()
	al.checkHome()
	al.checkWitness()
	al.checkGrantees()
	al.closeDeadHolders()
	al.requestStuckReports()
}

// checkHome retires a keeper that has not been home for a while, once the
// service can be reached.
func (al *Allocator) checkHome() {
	if al.viewSummary().isHome {
		al.notHomeSince = time.Time{}
		return
	}
	if al.notHomeSince.IsZero() {
		al.notHomeSince = al.now
	}
	if al.onPage && al.backoff == 0 && al.now.Sub(al.notHomeSince) >= retireDelay {
		al.retireHolder()
	}
}

// handleRequest merges a grantee's report and queues its wants.
func (al *Allocator) handleRequest(e GrantRequested) {
	knownGranted := map[bbunit.BudgetID]bbunit.Tokens{}
	for _, s := range e.Msg.Slices {
		if s.Grantee != e.From.String() {
			continue
		}
		if s.Holder != string(al.holder) {
			al.reportToClosing(s)
			continue
		}
		b := bbunit.BudgetID(s.Budget)
		knownGranted[b] = bbunit.Tokens(s.Granted)
		if a := al.allocations[b]; a != nil {
			a.mergeReport(e.From, s)
		}
	}
	if al.retiring {
		return
	}
	for _, w := range e.Msg.Wants {
		b := bbunit.BudgetID(w.Budget)
		if w.Least < 1 || w.Amount < w.Least || PageOf(b) != al.pageNumber {
			continue
		}
		a := al.allocation(b)
		if a.grant(e.From).stuck {
			al.retireHolder() // a new holder may grant to it again
		}
		if a.grant(e.From).granted > knownGranted[b] {
			al.sendSlice(e.From, a) // the last answer was lost
			continue
		}
		al.granteeMissing = al.granteeMissing || !al.viewSummary().alivePeers[e.From]
		al.queueWant(&want{grantee: e.From, budget: b, amount: bbunit.Tokens(w.Amount), least: bbunit.Tokens(w.Least), queuedAt: al.now, urgent: w.Urgent})
	}
}

// queueWant replaces the grantee's older want of the budget.
func (al *Allocator) queueWant(w *want) {
	for i, x := range al.wants {
		if x.grantee == w.grantee && x.budget == w.budget {
			w.queuedAt, w.recalledAt = x.queuedAt, x.recalledAt
			al.wants[i] = w
			return
		}
	}
	al.wants = append(al.wants, w)
}

// expireWants drops wants that could not be met in time.
func (al *Allocator) expireWants() {
	kept := al.wants[:0]
	for _, w := range al.wants {
		if al.now.Sub(w.queuedAt) < wantTimeout {
			kept = append(kept, w)
		}
	}
	al.wants = kept
}

func (al *Allocator) allocation(b bbunit.BudgetID) *allocation {
	a := al.allocations[b]
	if a == nil {
		a = &allocation{budget: b, grants: map[Peer]*grant{}}
		al.allocations[b] = a
		at, _ := slices.BinarySearchFunc(al.allocationList, b, func(x *allocation, b bbunit.BudgetID) int { return cmp.Compare(x.budget, b) })
		al.allocationList = slices.Insert(al.allocationList, at, a)
	}
	return a
}

// sortedAllocations returns the accounts in the order of their budgets.
func (al *Allocator) sortedAllocations() []*allocation { return al.allocationList }
