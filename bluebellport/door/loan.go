package bbdoor

import (
	"context"
	"time"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// loans lets instances lend each other parts of their shares: near the end of a
// sum, and where one has lost the store that another still reaches.
type loans struct {
	money *money
	fleet Fleet
}

func newLoans(m *money, fleet Fleet) *loans {
	l := &loans{money: m, fleet: fleet}
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loanask{}}, l.lend)
	return l
}

// lend gives a peer what it asks for, as far as it is available here.
func (l *loans) lend(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	q := e.GetLoanask()
	l.money.mu.Lock()
	defer l.money.mu.Unlock()
	n := l.money.book.Line(bbunit.AccountID(q.Account)).Lend(bbunit.Tokens(max(q.Tokens, 0)))
	return &bbwire.Envelope{Body: &bbwire.Envelope_Loantell{Loantell: &bbwire.LoanTell{Account: q.Account, Tokens: int64(n)}}}
}

// borrow asks peers until n are available here, and tells whether they are. An
// answer is taken once, so that a message that comes twice brings no money.
func (l *loans) borrow(a *bbplan.Account, n bbunit.Tokens) bool {
	m := l.money
	m.mu.Lock()
	line := m.book.Line(a.ID)
	peers := line.Lenders(m.book.Holder)
	if now := m.now(); now.Sub(m.asked[a.ID]) < loanEvery {
		peers = nil
	} else {
		m.asked[a.ID] = now
	}
	m.mu.Unlock()
	for _, p := range peers[:min(len(peers), loanPeers)] {
		short := n - line.Purse.Available()
		if short <= 0 {
			break
		}
		got := l.ask(p, a.ID, short)
		if got <= 0 {
			continue
		}
		m.mu.Lock()
		line.Borrow(got)
		m.mu.Unlock()
	}
	return line.Purse.Available() >= n
}

// ask asks one peer, unless it did not answer of late.
func (l *loans) ask(peer bbunit.InstanceID, account bbunit.AccountID, n bbunit.Tokens) bbunit.Tokens {
	if v, ok := l.money.mute.Load(peer); ok && l.money.now().Sub(v.(time.Time)) < muteTime {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), loanWait)
	defer cancel()
	q := &bbwire.LoanAsk{Account: string(account), Tokens: int64(n)}
	e, err := l.fleet.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Loanask{Loanask: q}})
	if err != nil {
		l.money.mute.Store(peer, l.money.now())
		return 0
	}
	if t := e.GetLoantell(); t != nil && t.Account == string(account) && t.Tokens > 0 && t.Tokens <= int64(n) {
		return bbunit.Tokens(t.Tokens)
	}
	return 0
}
