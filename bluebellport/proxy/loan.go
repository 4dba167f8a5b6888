package bbproxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// loans lets instances lend each other parts of their shares: near the end of a
// sum, and where one has lost the store that another still reaches.
type loans struct {
	money  *money
	fleet  Fleet
	asking sync.Map // bbunit.AccountID -> bool: accounts whose home is being asked
	mute   sync.Map // bbunit.InstanceID -> time.Time: peers that did not answer

	// These are guarded by the lock of money.
	uncovered map[bbunit.AccountID]time.Time // when a home said that an account does not cover
	asked     map[bbunit.AccountID]time.Time // last round of asking peers
	known     homeMap
}

// homeMap is where accounts have their homes in one view of the fleet, by one
// plan.
type homeMap struct {
	view *bbmember.View
	plan *bbplan.Plan
	at   map[bbunit.AccountID]bbmember.Member
}

func newLoans(m *money, fleet Fleet) *loans {
	l := &loans{money: m, fleet: fleet, uncovered: map[bbunit.AccountID]time.Time{}, asked: map[bbunit.AccountID]time.Time{}}
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loanask{}}, l.lend)
	return l
}

// lend gives a peer what it asks for, as far as it is available here.
func (l *loans) lend(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	q := e.GetLoanask()
	l.money.mu.Lock()
	defer l.money.mu.Unlock()
	line := l.money.book.Account(bbunit.AccountID(q.Account))
	need := bbunit.Tokens(max(q.Tokens, 0))
	var n bbunit.Tokens
	if q.Home {
		n = line.GrantLoan(bbshare.LoanRequest{Need: need, Prefetch: bbunit.Tokens(max(q.Ahead, 0))})
		l.money.poked()
	} else {
		n = line.LendUpTo(need)
	}
	t := &bbwire.LoanTell{
		Account: q.Account, Tokens: int64(n), Free: int64(max(line.Free(), 0)),
		Covered: n >= need || !line.RowLoaded() || line.Covers(need, l.money.book.Holder),
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Loantell{Loantell: t}}
}

// homes tells the book which accounts have their home at another instance that
// can be reached, and returns how many instances draw. In a small fleet each of
// them draws for itself.
func (l *loans) homes() int {
	m := l.money
	v := l.fleet.View()
	holders := int(m.board.Instances.Load())
	large := m.board.Homes()
	horizon := bbshare.DefaultPolicy().Horizon
	if large {
		horizon = bbshare.HomeHorizon
		holders = domains(v)
	}
	m.book.SetHorizon(horizon)
	plan := m.board.Plan.Load()
	if large {
		l.locate(v, plan)
	} else {
		l.known = homeMap{}
	}
	for id := range plan.Accounts {
		home, ok := l.known.at[id]
		here := !ok || home.ID == v.Self.ID || v.Self.Leaving
		m.book.SetHome(id, here, !l.muted(home.ID))
	}
	return holders
}

// locate works the homes out again when the fleet or the plan has changed.
func (l *loans) locate(v *bbmember.View, plan *bbplan.Plan) {
	if l.known.view == v && l.known.plan == plan {
		return
	}
	l.known = homeMap{view: v, plan: plan, at: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts))}
	for id := range plan.Accounts {
		if home, ok := homeOf(v, id); ok {
			l.known.at[id] = home
		}
	}
}

// homeOf returns the home of an account in the own failure domain. Accounts share
// homes in groups, so that one write draws for several.
func homeOf(v *bbmember.View, id bbunit.AccountID) (bbmember.Member, bool) {
	group := xxhash.Sum64String(string(id)) % homeGroups
	return v.Home(moneyPrefix+strconv.FormatUint(group, 10), v.Self.Domain)
}

// domains returns how many failure domains the live fleet has.
func domains(v *bbmember.View) int {
	have := map[bbunit.DomainID]bool{}
	for _, m := range v.Members {
		have[m.Domain] = true
	}
	return max(len(have), 1)
}

// askHomes borrows what is due, each account by itself. The homes are known.
func (l *loans) askHomes(asks []bbshare.LoanRequest) {
	for _, a := range asks {
		home, ok := l.known.at[a.Account]
		if _, busy := l.asking.LoadOrStore(a.Account, true); !ok || busy {
			continue
		}
		go func() {
			defer l.asking.Delete(a.Account)
			l.askHome(home.ID, a)
		}()
	}
}

func (l *loans) askHome(home bbunit.InstanceID, a bbshare.LoanRequest) {
	q := &bbwire.LoanAsk{Account: string(a.Account), Tokens: int64(a.Need), Ahead: int64(a.Prefetch), Home: true}
	t := l.call(home, q)
	if t == nil || t.Tokens < 0 || t.Tokens > q.Tokens+q.Ahead {
		return
	}
	l.money.mu.Lock()
	line := l.money.book.Account(a.Account)
	line.AddLoan(bbunit.Tokens(t.Tokens))
	line.SetHomeFree(bbunit.Tokens(t.Free))
	if t.Covered {
		delete(l.uncovered, a.Account)
	} else {
		l.uncovered[a.Account] = l.money.now()
	}
	l.money.mu.Unlock()
	l.money.wake()
}

// broke tells that the account's home last said that it does not cover what was
// asked for. The lock of money is held.
func (l *loans) broke(id bbunit.AccountID) bool { return !l.uncovered[id].IsZero() }

// brokeJustNow tells the same of the last moment.
func (l *loans) brokeJustNow(id bbunit.AccountID) bool {
	return l.broke(id) && l.money.now().Sub(l.uncovered[id]) < shareWait
}

// muted tells that a peer did not answer of late.
func (l *loans) muted(peer bbunit.InstanceID) bool {
	v, ok := l.mute.Load(peer)
	return ok && l.money.now().Sub(v.(time.Time)) < muteTime
}

// borrow asks peers until n are available here, and tells whether they are. An
// answer is taken once, so that a message that comes twice brings no money.
func (l *loans) borrow(a *bbplan.Account, n bbunit.Tokens) bool {
	m := l.money
	m.mu.Lock()
	line := m.book.Account(a.ID)
	peers := line.Lenders(m.book.Holder)
	if now := m.now(); now.Sub(l.asked[a.ID]) < loanEvery {
		peers = nil
	} else {
		l.asked[a.ID] = now
	}
	m.mu.Unlock()
	for _, p := range peers[:min(len(peers), loanPeers)] {
		short := n - line.Balance.Available()
		if short <= 0 {
			break
		}
		got := l.ask(p, a.ID, short)
		if got <= 0 {
			continue
		}
		m.mu.Lock()
		line.AddLoan(got)
		m.mu.Unlock()
	}
	return line.Balance.Available() >= n
}

// ask asks one peer, unless it did not answer of late.
func (l *loans) ask(peer bbunit.InstanceID, account bbunit.AccountID, n bbunit.Tokens) bbunit.Tokens {
	if l.muted(peer) {
		return 0
	}
	t := l.call(peer, &bbwire.LoanAsk{Account: string(account), Tokens: int64(n)})
	if t == nil || t.Tokens < 0 || t.Tokens > int64(n) {
		return 0
	}
	return bbunit.Tokens(t.Tokens)
}

// call sends a question and returns its answer, nil when none came in time.
func (l *loans) call(peer bbunit.InstanceID, q *bbwire.LoanAsk) *bbwire.LoanTell {
	ctx, cancel := context.WithTimeout(context.Background(), loanWait)
	defer cancel()
	e, err := l.fleet.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Loanask{Loanask: q}})
	if err != nil {
		l.mute.Store(peer, l.money.now())
		return nil
	}
	t := e.GetLoantell()
	if t == nil || t.Account != q.Account {
		return nil
	}
	return t
}
