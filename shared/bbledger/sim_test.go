package bbledger

import (
	"fmt"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sim runs the wallets, allocators and witnesses of several instances on one page.
// Messages, store calls and the clock advance only when the test says so.
type sim struct {
	now         time.Time
	page        *bbwire.Page
	rev         bbstore.Revision
	lateWrites  []Save // unanswered writes that may still take effect
	instances   []*simInstance
	network     []simMessage
	partitioned map[[2]bbunit.DomainID]bool
	storeDown   map[bbunit.DomainID]bool // failure domains that cannot reach the store
	state       *bbticket.State
	budgets     []bbunit.BudgetID
	spent       map[bbunit.BudgetID]bbunit.Tokens
	crashes     int
	writes      int
	loads       int
	fail        func(format string, args ...any)
}

type simInstance struct {
	member           bbmember.Member
	policy           Policy
	view             *bbmember.View
	wallet           *Wallet
	witness          *Witness
	allocator        *Allocator
	lastHolderNumber uint64
	storeCall        any // the unanswered Load or Save
	reservations     []simReservation
	paused           bool
	dead             bool
	drained          bool
}

type simReservation struct {
	bal      *Balance
	reserved bbunit.Tokens
}

type simMessage struct {
	from    Peer
	to      bbunit.InstanceID
	domains [2]bbunit.DomainID
	body    any
}

var simPolicy = Policy{DrawHorizon: 4 * time.Second, UnwitnessedHorizon: time.Second, GrantHorizon: time.Second, Borrow: true}

// samePage returns n budgets that are on one page.
func samePage(n int) []bbunit.BudgetID {
	out := []bbunit.BudgetID{"b0"}
	for i := 1; len(out) < n; i++ {
		if b := bbunit.BudgetID(fmt.Sprintf("b%d", i)); PageOf(b) == PageOf(out[0]) {
			out = append(out, b)
		}
	}
	return out
}

func newSim(domains, instancesPerDomain int, policy Policy, fail func(string, ...any)) *sim {
	s := &sim{
		now: time.Unix(1000, 0), page: &bbwire.Page{}, partitioned: map[[2]bbunit.DomainID]bool{}, storeDown: map[bbunit.DomainID]bool{},
		spent: map[bbunit.BudgetID]bbunit.Tokens{}, budgets: samePage(2), fail: fail,
		state: &bbticket.State{},
	}
	for d := range domains {
		for i := range instancesPerDomain {
			s.add(bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("%c%d", 'a'+d, i)), Inc: 1, Domain: bbunit.DomainID(fmt.Sprintf("%c", 'a'+d))}, policy)
		}
	}
	s.refreshViews()
	return s
}

func (s *sim) add(m bbmember.Member, policy Policy) *simInstance {
	n := &simInstance{member: m, policy: policy, wallet: NewWallet(m, policy), witness: &Witness{}}
	n.view = &bbmember.View{Self: m, Members: []bbmember.Member{m}}
	n.allocator = NewAllocator(PageOf(s.budgets[0]), m, policy, func() uint64 { n.lastHolderNumber++; return n.lastHolderNumber })
	s.instances = append(s.instances, n)
	return n
}

// restart brings a dead instance back with the next incarnation.
func (s *sim) restart(n *simInstance) {
	m := n.member
	m.Inc++
	s.refreshViews()
	x := s.add(m, n.policy)
	s.setView(x, nil)
}

func (s *sim) liveInstances() []*simInstance {
	var out []*simInstance
	for _, n := range s.instances {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// setView gives an instance the list of live instances without the missed one.
func (s *sim) setView(n *simInstance, missed *simInstance) {
	v := &bbmember.View{Self: n.member}
	for _, x := range s.liveInstances() {
		if x != missed {
			v.Members = append(v.Members, x.member)
		}
	}
	n.view = v
}

func (s *sim) refreshViews() {
	for _, n := range s.liveInstances() {
		s.setView(n, nil)
	}
}

// setPaid applies a ticket with the budget's paid amount.
func (s *sim) setPaid(b bbunit.BudgetID, paid bbunit.Tokens) {
	s.state = s.state.Apply(bbticket.Ticket{Number: s.state.Number + 1, Budgets: []bbticket.Budget{{ID: b, Paid: paid}}})
}

func (s *sim) paid(b bbunit.BudgetID) bbunit.Tokens { return s.state.Budgets.Get(b).Object.Paid }

// perform carries out the actions of an instance's allocator.
func (s *sim) perform(n *simInstance, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		default:
			if n.storeCall != nil {
				s.fail("two store calls at once on %s", n.member.ID)
			}
			n.storeCall = a
		}
	}
}

func (s *sim) send(n *simInstance, a Send) {
	m := simMessage{from: PeerOf(n.member), to: a.To, body: a.Body}
	m.domains[0] = n.member.Domain
	s.network = append(s.network, m)
}

func (s *sim) sendAll(n *simInstance, list []Send) {
	for _, a := range list {
		s.send(n, a)
	}
}

// tick advances an instance to the current time.
func (s *sim) tick(n *simInstance) {
	if n.dead || n.paused {
		return
	}
	s.perform(n, n.allocator.Step(s.now, Tick{View: n.view, State: s.state}))
	s.sendAll(n, n.wallet.DueMessages(s.now, n.view))
}

// deliver delivers message i. A duplicate stays in the network to be delivered again.
func (s *sim) deliver(i int, duplicate bool) {
	m := s.network[i]
	if !duplicate {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
	}
	for _, n := range s.liveInstances() {
		if n.member.ID == m.to && !n.paused && (m.from == PeerOf(n.member) || !s.partitioned[[2]bbunit.DomainID{m.domains[0], n.member.Domain}]) {
			s.receive(n, m)
		}
	}
}

func (s *sim) receive(n *simInstance, m simMessage) {
	switch b := m.body.(type) {
	case *bbwire.GrantAsk:
		s.perform(n, n.allocator.Step(s.now, GrantRequested{From: m.from, Msg: b}))
	case *bbwire.GrantTell:
		s.sendAll(n, n.wallet.HandleGrant(s.now, m.domains[0], b))
	case *bbwire.Mark:
		s.send(n, Send{To: m.from.ID, Body: n.witness.Mark(b)})
	case *bbwire.MarkAck:
		s.perform(n, n.allocator.Step(s.now, MarkAcked{From: m.from, Msg: b}))
	case *bbwire.Freeze:
		s.send(n, Send{To: m.from.ID, Body: n.witness.Freeze(b)})
	case *bbwire.FreezeTell:
		s.perform(n, n.allocator.Step(s.now, Frozen{From: m.from, Msg: b}))
	case *bbwire.Surrender:
		s.send(n, Send{To: m.from.ID, Body: n.wallet.Surrender(bbunit.HolderID(b.Holder))})
	case *bbwire.SurrenderTell:
		s.perform(n, n.allocator.Step(s.now, Surrendered{From: m.from, Msg: b}))
	}
}

func (s *sim) reserve(n *simInstance, b bbunit.BudgetID, amount bbunit.Tokens) bool {
	if n.dead || n.paused || n.drained {
		return false
	}
	bal := n.wallet.Balance(b)
	if bal.Reserve(amount) {
		n.reservations = append(n.reservations, simReservation{bal, amount})
		return true
	}
	n.wallet.AddWaiter(bal, amount)
	s.sendAll(n, n.wallet.DueMessages(s.now, n.view))
	n.wallet.RemoveWaiter(bal, amount)
	bal.refill.askedAt = s.now
	return false
}

func (s *sim) commit(n *simInstance, i int, used bbunit.Tokens) {
	r := n.reservations[i]
	n.reservations = append(n.reservations[:i:i], n.reservations[i+1:]...)
	r.bal.Commit(r.reserved, used)
	s.spent[r.bal.Budget] += min(used, r.reserved)
}

// crash stops an instance for good. Reservations of its open requests count as spent,
// since a target may have run them.
func (s *sim) crash(n *simInstance) {
	for len(n.reservations) > 0 {
		s.commit(n, 0, n.reservations[0].reserved)
	}
	n.dead = true
	s.crashes++
}

// runFor runs without new faults for d, in steps of TickInterval. each is called in
// every step.
func (s *sim) runFor(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(TickInterval)
		for _, n := range s.liveInstances() {
			s.tick(n)
		}
		if each != nil {
			each()
		}
		s.runUntilQuiet()
	}
}
