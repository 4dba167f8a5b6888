package bbledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// sim runs the core of several instances over one page: messages, store calls
// and clocks move only when the test says so.
type sim struct {
	now     time.Time
	page    *bbwire.Page
	rev     bbstore.Revision
	late    []Save // writes without an answer that may still land
	nodes   []*node
	net     []mail
	cut     map[[2]bbunit.DomainID]bool
	offline map[bbunit.DomainID]bool // cut from the service
	state   *bbticket.State
	budgets []bbunit.BudgetID
	spent   map[bbunit.BudgetID]bbunit.Tokens
	crashes int
	writes  int
	loads   int
	fail    func(format string, args ...any)
}

type node struct {
	member  bbmember.Member
	policy  Policy
	view    *bbmember.View
	purse   *Wallet
	witness *Witness
	keeper  *Allocator
	holders uint64
	op      any // the Load or Save that is out
	holds   []simHold
	paused  bool
	dead    bool
	drained bool
}

type simHold struct {
	pot  *Balance
	most bbunit.Tokens
}

type mail struct {
	from Peer
	to   bbunit.InstanceID
	dom  [2]bbunit.DomainID
	body any
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

func newSim(domains, each int, policy Policy, fail func(string, ...any)) *sim {
	s := &sim{
		now: time.Unix(1000, 0), page: &bbwire.Page{}, cut: map[[2]bbunit.DomainID]bool{}, offline: map[bbunit.DomainID]bool{},
		spent: map[bbunit.BudgetID]bbunit.Tokens{}, budgets: samePage(2), fail: fail,
		state: &bbticket.State{},
	}
	for d := range domains {
		for i := range each {
			s.add(bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("%c%d", 'a'+d, i)), Inc: 1, Domain: bbunit.DomainID(fmt.Sprintf("%c", 'a'+d))}, policy)
		}
	}
	s.showAll()
	return s
}

func (s *sim) add(m bbmember.Member, policy Policy) *node {
	n := &node{member: m, policy: policy, purse: NewWallet(m, policy), witness: &Witness{}}
	n.view = &bbmember.View{Self: m, Members: []bbmember.Member{m}}
	n.keeper = NewAllocator(PageOf(s.budgets[0]), m, policy, func() uint64 { n.holders++; return n.holders })
	s.nodes = append(s.nodes, n)
	return n
}

// restart brings a dead instance back in its next life.
func (s *sim) restart(n *node) {
	m := n.member
	m.Inc++
	s.showAll()
	x := s.add(m, n.policy)
	s.show(x, nil)
}

func (s *sim) live() []*node {
	var out []*node
	for _, n := range s.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// show gives a node the list of live instances without the missed one.
func (s *sim) show(n *node, missed *node) {
	v := &bbmember.View{Self: n.member}
	for _, x := range s.live() {
		if x != missed {
			v.Members = append(v.Members, x.member)
		}
	}
	n.view = v
}

func (s *sim) showAll() {
	for _, n := range s.live() {
		s.show(n, nil)
	}
}

// pay puts a budget's total in force.
func (s *sim) pay(b bbunit.BudgetID, paid bbunit.Tokens) {
	s.state = s.state.Apply(bbticket.Ticket{Number: s.state.Number + 1, Budgets: []bbticket.Budget{{ID: b, Paid: paid}}})
}

func (s *sim) paid(b bbunit.BudgetID) bbunit.Tokens { return s.state.Budgets.Get(b).Object.Paid }

// do carries out what a node's core asked for.
func (s *sim) do(n *node, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.post(n, a)
		default:
			if n.op != nil {
				s.fail("two store calls at once on %s", n.member.ID)
			}
			n.op = a
		}
	}
}

func (s *sim) post(n *node, a Send) {
	m := mail{from: PeerOf(n.member), to: a.To, body: a.Body}
	m.dom[0] = n.member.Domain
	s.net = append(s.net, m)
}

func (s *sim) posts(n *node, list []Send) {
	for _, a := range list {
		s.post(n, a)
	}
}

// tick lets a node act on the time.
func (s *sim) tick(n *node) {
	if n.dead || n.paused {
		return
	}
	s.do(n, n.keeper.Step(s.now, Tick{View: n.view, State: s.state}))
	s.posts(n, n.purse.DueMessages(s.now, n.view))
}

// deliver hands over message i and keeps it when twice.
func (s *sim) deliver(i int, twice bool) {
	m := s.net[i]
	if !twice {
		s.net = append(s.net[:i:i], s.net[i+1:]...)
	}
	for _, n := range s.live() {
		if n.member.ID == m.to && !n.paused && (m.from == PeerOf(n.member) || !s.cut[[2]bbunit.DomainID{m.dom[0], n.member.Domain}]) {
			s.receive(n, m)
		}
	}
}

func (s *sim) receive(n *node, m mail) {
	switch b := m.body.(type) {
	case *bbwire.GrantAsk:
		s.do(n, n.keeper.Step(s.now, GrantRequested{From: m.from, Msg: b}))
	case *bbwire.GrantTell:
		s.posts(n, n.purse.HandleGrant(s.now, m.dom[0], b))
	case *bbwire.Mark:
		s.post(n, Send{To: m.from.ID, Body: n.witness.Mark(b)})
	case *bbwire.MarkAck:
		s.do(n, n.keeper.Step(s.now, MarkAcked{From: m.from, Msg: b}))
	case *bbwire.Freeze:
		s.post(n, Send{To: m.from.ID, Body: n.witness.Freeze(b)})
	case *bbwire.FreezeTell:
		s.do(n, n.keeper.Step(s.now, Frozen{From: m.from, Msg: b}))
	case *bbwire.Surrender:
		s.post(n, Send{To: m.from.ID, Body: n.purse.Surrender(bbunit.HolderID(b.Holder))})
	case *bbwire.SurrenderTell:
		s.do(n, n.keeper.Step(s.now, Surrendered{From: m.from, Msg: b}))
	}
}

// fate is how a store call ends.
type fate int

const (
	fateWell    fate = iota
	fateDown         // nothing happens
	fateLost         // it takes effect, the answer is lost
	fateDropped      // it does not take effect, the answer is lost
	fateLate         // it may take effect later, the answer is lost
)

func (s *sim) finish(n *node, f fate) {
	op := n.op
	n.op = nil
	if s.offline[n.member.Domain] {
		f = fateDown
	}
	var ev any
	switch a := op.(type) {
	case Load:
		s.loads++
		ev = Loaded{Page: clonePage(s.page), Rev: s.rev}
		if f != fateWell {
			ev = Loaded{Err: bbstore.ErrDown}
		}
	case Save:
		ev = s.finishSave(a, f)
	default:
		return
	}
	if !n.dead {
		s.do(n, n.keeper.Step(s.now, ev))
	}
}

func (s *sim) finishSave(a Save, f fate) Saved {
	s.writes++
	switch f {
	case fateDown:
		return Saved{Err: bbstore.ErrDown}
	case fateDropped:
		return Saved{Err: bbstore.ErrUnknown}
	case fateLate:
		s.late = append(s.late, a)
		return Saved{Err: bbstore.ErrUnknown}
	}
	ok := s.land(a)
	switch {
	case f == fateLost:
		return Saved{Err: bbstore.ErrUnknown}
	case !ok:
		return Saved{Err: bbstore.ErrConflict}
	}
	return Saved{Rev: s.rev}
}

// land applies a write if the page is at its base.
func (s *sim) land(a Save) bool {
	if a.Prev != s.rev {
		return false
	}
	s.page, s.rev = clonePage(a.Page), s.rev+1
	return true
}

func (s *sim) landLate(i int) {
	a := s.late[i]
	s.late = append(s.late[:i:i], s.late[i+1:]...)
	s.land(a)
}

func (s *sim) reserve(n *node, b bbunit.BudgetID, most bbunit.Tokens) bool {
	if n.dead || n.paused || n.drained {
		return false
	}
	pot := n.purse.Balance(b)
	if pot.Reserve(most) {
		n.holds = append(n.holds, simHold{pot, most})
		return true
	}
	n.purse.AddWaiter(pot, most)
	s.posts(n, n.purse.DueMessages(s.now, n.view))
	n.purse.RemoveWaiter(pot, most)
	pot.asking.sent = s.now
	return false
}

func (s *sim) end(n *node, i int, used bbunit.Tokens) {
	h := n.holds[i]
	n.holds = append(n.holds[:i:i], n.holds[i+1:]...)
	h.pot.Commit(h.most, used)
	s.spent[h.pot.Budget] += min(used, h.most)
}

// crash stops a node for good; what its open requests had reserved may have been
// spent, and counts as if it were.
func (s *sim) crash(n *node) {
	for len(n.holds) > 0 {
		s.end(n, 0, n.holds[0].most)
	}
	n.dead = true
	s.crashes++
}

// check fails unless no budget is overspent, and what the page counts covers
// what was or may be spent.
func (s *sim) check() {
	for _, b := range s.budgets {
		open := s.spent[b]
		for _, n := range s.live() {
			for _, h := range n.holds {
				if h.pot.Budget == b {
					open += h.most
				}
			}
		}
		if open > s.paid(b) {
			s.fail("budget %s: %d spent and reserved of %d paid; page %v", b, open, s.paid(b), s.page)
		}
		e := entryOrNew(s.page, b)
		if Charged(e) > s.paid(b) {
			s.fail("budget %s: %d taken of %d paid", b, Charged(e), s.paid(b))
		}
		if open > Charged(e) {
			s.fail("budget %s: %d spent and reserved, the page counts %d: %v", b, open, Charged(e), e)
		}
	}
}

// settle runs without faults for d, in steps of the tick.
func (s *sim) settle(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(TickInterval)
		for _, n := range s.live() {
			s.tick(n)
		}
		if each != nil {
			each()
		}
		s.calm()
	}
}

// calm delivers every message and ends every store call, well and in order.
func (s *sim) calm() {
	for range 100 {
		busy := false
		for len(s.net) > 0 {
			s.deliver(0, false)
			busy = true
		}
		for _, n := range s.live() {
			if n.op != nil {
				s.finish(n, fateWell)
				busy = true
			}
		}
		s.check()
		if !busy {
			return
		}
	}
}

// heal ends every fault and lets all instances see each other.
func (s *sim) heal() {
	s.cut = map[[2]bbunit.DomainID]bool{}
	s.offline = map[bbunit.DomainID]bool{}
	for len(s.late) > 0 {
		s.landLate(0)
	}
	for _, n := range s.nodes {
		n.paused = false
	}
	s.showAll()
	for _, n := range s.live() {
		s.do(n, n.keeper.Step(s.now, Refresh{}))
	}
}

// drainAll stops every instance cleanly.
func (s *sim) drainAll() {
	for _, n := range s.live() {
		for len(n.holds) > 0 {
			s.end(n, 0, n.holds[0].most/2)
		}
		s.drain(n)
	}
}

// drain begins the planned stop of an instance. It stays in the list, so that
// the pages have a home when all are stopped.
func (s *sim) drain(n *node) {
	n.drained = true
	n.purse.Drain()
	s.do(n, n.keeper.Step(s.now, Retire{}))
}

// conserved fails unless all money is settled, back, or listed as stuck with an
// instance that died.
func (s *sim) conserved() {
	alive := map[string]bool{}
	for _, n := range s.live() {
		alive[PeerOf(n.member).String()] = true
	}
	for _, b := range s.budgets {
		e := entryOrNew(s.page, b)
		for _, x := range e.Stuck {
			if alive[x.Grantee] && x.Amount > 0 {
				s.fail("budget %s: still stuck with a live instance: %v", b, x)
			}
		}
		for _, h := range e.Holders {
			if alive[HolderPeer(bbunit.HolderID(h.Holder)).String()] || alive[h.Witness] {
				s.fail("budget %s: not closed: %v", b, h)
			}
		}
		if bbunit.Tokens(e.Settled) > s.spent[b] {
			s.fail("budget %s: %d settled, %d spent", b, e.Settled, s.spent[b])
		}
		if s.crashes == 0 && (bbunit.Tokens(e.Settled) != s.spent[b] || len(e.Stuck)+len(e.Holders) > 0) {
			s.fail("budget %s: nothing crashed, %d spent, page has %v", b, s.spent[b], e)
		}
	}
}

// step takes one random step.
func (s *sim) step(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	b := s.budgets[rapid.IntRange(0, len(s.budgets)-1).Draw(t, "budget")]
	switch rapid.IntRange(0, 39).Draw(t, "what") {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		s.reserve(n, b, bbunit.Tokens(rapid.IntRange(0, 25).Draw(t, "most")))
	case 8, 9, 10, 11:
		if len(n.holds) > 0 && !n.paused && !n.dead {
			s.end(n, rapid.IntRange(0, len(n.holds)-1).Draw(t, "hold"), bbunit.Tokens(rapid.IntRange(0, 30).Draw(t, "used")))
		}
	case 12, 13, 14, 15, 16, 17, 18, 19:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		for _, x := range s.live() {
			s.tick(x)
		}
	case 20, 21, 22, 23, 24:
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			if len(s.net) > 0 {
				s.deliver(rapid.IntRange(0, len(s.net)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "twice") == 0)
			}
		}
	case 25:
		if len(s.net) > 0 {
			i := rapid.IntRange(0, len(s.net)-1).Draw(t, "dropped")
			s.net = append(s.net[:i:i], s.net[i+1:]...)
		}
	case 26, 27, 28, 29, 30:
		for _, x := range s.nodes {
			if x.op != nil {
				s.finish(x, rapid.SampledFrom([]fate{fateWell, fateWell, fateWell, fateDown, fateLost, fateDropped, fateLate}).Draw(t, "fate"))
			}
		}
	case 31:
		if len(s.late) > 0 {
			s.landLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
		}
	case 32:
		n.paused = !n.paused
	case 33:
		s.fault(t, n)
	case 34:
		for _, x := range s.live() {
			s.show(x, nil)
		}
	case 35:
		s.show(n, s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "missed")])
	case 36:
		if s.paid(b) < 1000 {
			s.pay(b, s.paid(b)+bbunit.Tokens(rapid.IntRange(1, 100).Draw(t, "topup")))
		}
	case 37, 38:
		s.calm()
	case 39:
		s.settle(3*time.Second, nil)
	}
	s.check()
}

// fault crashes or restarts an instance, or cuts or joins failure domains.
func (s *sim) fault(t *rapid.T, n *node) {
	doms := []bbunit.DomainID{"a", "b"}
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		if !n.dead && s.crashes < 3 {
			s.crash(n)
		}
	case 1:
		if n.dead && !s.lives(n.member.ID) {
			s.restart(n)
		}
	case 2:
		d := rapid.SampledFrom(doms).Draw(t, "domain")
		s.offline[d] = !s.offline[d]
	case 5: // instances of one failure domain do not reach each other
		d := rapid.SampledFrom(doms).Draw(t, "split")
		s.cut[[2]bbunit.DomainID{d, d}] = !s.cut[[2]bbunit.DomainID{d, d}]
	case 6:
		if !n.dead && !n.paused {
			s.drain(n)
		}
	case 7, 8:
		s.lower(t, s.budgets[rapid.IntRange(0, 1).Draw(t, "lowered")])
	case 3, 4:
		is := !s.cut[[2]bbunit.DomainID{"a", "b"}]
		s.cut[[2]bbunit.DomainID{"a", "b"}], s.cut[[2]bbunit.DomainID{"b", "a"}] = is, is
	}
}

// lower is a ticket that lowers a budget: capped first, then accepted or not.
func (s *sim) lower(t *rapid.T, b bbunit.BudgetID) {
	ctx := context.Background()
	paid := bbunit.Tokens(rapid.IntRange(0, int(s.paid(b))).Draw(t, "paid"))
	number := s.state.Number + 1
	if Cap(ctx, simStore{s: s}, b, paid, number, "n") != nil {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "between") {
		s.now = s.now.Add(TickInterval)
		for _, n := range s.live() {
			s.tick(n)
		}
		s.calm()
	}
	if rapid.Bool().Draw(t, "accepted") {
		s.pay(b, paid)
		return
	}
	if err := Uncap(ctx, simStore{s: s}, b, number, "n"); err != nil {
		t.Fatal(err)
	}
}

// simStore is the page of a sim as operators' calls see it.
type simStore struct {
	bbstore.Store
	s *sim
}

func (x simStore) Get(_ context.Context, key string) (bbstore.Entry, error) {
	value, err := EncodePage(x.s.page)
	return bbstore.Entry{Key: key, Value: value, Rev: x.s.rev}, err
}

func (x simStore) CAS(_ context.Context, _ string, value []byte, prev bbstore.Revision, _ bbstore.LeaseID) (bbstore.Revision, error) {
	p, err := DecodePage(value)
	if err != nil {
		return 0, err
	}
	if !x.s.land(Save{Page: p, Prev: prev}) {
		return 0, bbstore.ErrConflict
	}
	return x.s.rev, nil
}

func (s *sim) lives(id bbunit.InstanceID) bool {
	for _, n := range s.live() {
		if n.member.ID == id {
			return true
		}
	}
	return false
}

func TestPropertySpendNeverExceedsPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := simPolicy
		policy.Borrow = rapid.Bool().Draw(t, "borrow")
		policy.DrawHorizon = rapid.SampledFrom([]time.Duration{simPolicy.DrawHorizon, simPolicy.GrantHorizon}).Draw(t, "horizon")
		s := newSim(2, rapid.IntRange(1, 3).Draw(t, "each"), policy, t.Fatalf)
		for _, b := range s.budgets {
			s.pay(b, 200)
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			s.step(t)
		}
		s.heal()
		s.settle(20*time.Second, nil)
		s.drainAll()
		s.settle(20*time.Second, nil)
		s.conserved()
	})
}
