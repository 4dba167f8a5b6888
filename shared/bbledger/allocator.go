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

// Events of an Allocator.
type (
	// GrantRequested is a grantee's report on its slices and its wants.
	GrantRequested struct {
		From Peer
		Msg  *bbwire.GrantAsk
	}
	// Loaded is the result of a Load.
	Loaded struct {
		Page *bbwire.Page
		Rev  bbstore.Revision
		Err  error
	}
	// Saved is the result of a Save.
	Saved struct {
		Rev bbstore.Revision
		Err error
	}
	// MarkAcked is a witness's answer to a Mark.
	MarkAcked struct {
		From Peer
		Msg  *bbwire.MarkAck
	}
	// Frozen is a witness's answer to a Freeze: its final marks of a holder.
	Frozen struct {
		From Peer
		Msg  *bbwire.FreezeTell
	}
	// Surrendered is a grantee's answer to a Surrender: its final report on the
	// slices of a holder.
	Surrendered struct {
		From Peer
		Msg  *bbwire.SurrenderTell
	}
	// Tick advances the time and carries the current view of the fleet and the
	// state after the change tickets in force; nil leaves either as it was.
	Tick struct {
		View  *bbmember.View
		State *bbticket.State
	}
	// Refresh makes the allocator read its page again.
	Refresh struct{}
	// Retire makes the allocator close its holder and draw no more.
	Retire struct{}
)

// Actions of an Allocator besides Send.
type (
	// Load asks for the page to be read; answered by Loaded.
	Load struct{}
	// Save asks for the page to be written if its revision is Prev; answered
	// by Saved.
	Save struct {
		Page *bbwire.Page
		Prev bbstore.Revision
	}
)

// Allocator draws tokens from the budgets of one page and grants slices of them to
// instances. Normally one instance of each failure domain, the home of the page,
// runs one. Several allocators of a page are safe together, also in one failure
// domain: each grants only what the page records as drawn by its holder id.
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

	holder         bbunit.HolderID // the current holder id, under which it draws
	onPage         bool            // the page is known to list the holder
	maybeOnPage    bool            // a write of unknown outcome may have added the holder
	allocations    map[bbunit.BudgetID]*allocation
	allocationList []*allocation // sorted by budget
	wants          []*want

	page           *bbwire.Page // as last read or written; nil before that
	rev            bbstore.Revision
	lastReadAt     time.Time
	needsRead      bool         // the page must be read before anything else
	writeUncertain bool         // a write on top of rev of unknown outcome may still take effect
	callInFlight   bool         // a Load or Save is unanswered
	pendingPage    *bbwire.Page // of the unanswered Save
	retryAt        time.Time
	backoff        time.Duration

	witness       Peer // zero without one
	markSeq       uint64
	pendingMark   *pendingMark
	witnessChange *witnessChange
	suspectedAt   map[Peer]time.Time // when a witness last failed to answer

	closings       map[bbunit.HolderID]*holderClosing  // holders being closed
	retiredSlices  map[bbunit.HolderID][]*bbwire.Slice // grants of former holder ids
	finalReports   map[granteeKey][]*bbwire.Slice      // reports that may settle stuck amounts
	viewCache      viewSummary
	summaryCache   *pageSummary
	stuckAskedAt   time.Time      // when stuck grantees were last asked for reports
	notHomeSince   time.Time      // when the instance stopped being the page's home; zero while it is
	checkedView    *bbmember.View // the view of the last checkGrantees
	granteeMissing bool           // a grantee with unspent tokens is missing
	granteeLost    bool           // such a grantee has been missing for stuckDelay
	retiring       bool           // Retire was received
}

// want is a grantee's unanswered request for tokens of one budget.
type want struct {
	grantee    Peer
	budget     bbunit.BudgetID
	amount     bbunit.Tokens // preferred grant
	least      bbunit.Tokens // the smallest useful grant
	queuedAt   time.Time
	urgent     bool      // client requests wait for it
	recalledAt time.Time // when other grantees were asked to return free tokens
	partial    bool      // least was lowered to all that is available
}

// NewAllocator returns an allocator for a page. nextHolderNumber numbers holder
// ids: it must not return a number twice within an incarnation of the instance.
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
	al.holder = NewHolderID(al.peer, page, nextHolderNumber())
	return al
}

// Step handles one event and returns the actions to carry out: Load, Save and Send
// values. At most one Load or Save is unanswered at a time.
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

// Page returns the page number.
func (al *Allocator) Page() int { return al.pageNumber }

// Holder returns the current holder id.
func (al *Allocator) Holder() bbunit.HolderID { return al.holder }

// Closed reports whether a retired allocator has no holder left on the page. It
// does not wait for holders of other instances that it was closing: the next
// allocator of the page closes them.
func (al *Allocator) Closed() bool {
	for _, c := range al.closings {
		if c.own {
			return false
		}
	}
	return al.retiring && !al.onPage && !al.maybeOnPage && !al.callInFlight && !al.writeUncertain
}

// Idle reports whether a Tick would change nothing.
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
			al.retireHolder() // a new holder id may grant to it again
		}
		if a.grant(e.From).granted > knownGranted[b] {
			al.sendSlice(e.From, a) // the last answer was lost: repeat it, do not grant twice
			continue
		}
		al.granteeMissing = al.granteeMissing || !al.viewSummary().alivePeers[e.From]
		al.queueWant(&want{grantee: e.From, budget: b, amount: bbunit.Tokens(w.Amount), least: bbunit.Tokens(w.Least), queuedAt: al.now, urgent: w.Urgent})
	}
}

// queueWant adds a want or replaces the grantee's older one of the budget.
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

// expireWants drops wants older than wantTimeout.
func (al *Allocator) expireWants() {
	kept := al.wants[:0]
	for _, w := range al.wants {
		if al.now.Sub(w.queuedAt) < wantTimeout {
			kept = append(kept, w)
		}
	}
	al.wants = kept
}

// allocation returns the budget's allocation, adding an empty one if there is none.
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

// sortedAllocations returns the allocations in the order of their budgets.
func (al *Allocator) sortedAllocations() []*allocation { return al.allocationList }
