package bbproxy

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// peerLoans lends parts of this instance's shares to peers and borrows from
// theirs. Loans help when an account is nearly used up, and when one instance
// has lost the store while another still reaches it.
type peerLoans struct {
	shares        *shareController
	peers         PeerNetwork
	pendingAsks   sync.Map // bbunit.AccountID -> bool: accounts whose home is being called
	pendingOffers sync.Map // bbunit.AccountID -> bool: accounts whose home is being offered tokens
	// pendingGathers are the accounts of which this instance borrows as their home.
	pendingGathers sync.Map // bbunit.AccountID -> bool
	// gathers counts the rounds of borrowing by demand, gathered the tokens that they brought.
	gathers, gathered metrics.Counter
	unansweredAt      sync.Map // bbunit.InstanceID -> time.Time: last call that a peer did not answer

	rounds    sync.Map // bbunit.AccountID -> loanRound: the last round of asking peers
	overdueAt sync.Map // bbunit.InstanceID -> time.Time: last word of a home that its write is overdue

	// The rest is guarded by shares.mu.
	uncovered   map[bbunit.AccountID]uncoveredLoan
	lastAskedAt map[bbunit.AccountID]time.Time // last round of asking peers
	pauses      map[bbunit.AccountID]time.Duration
	// gatherLoggedAt is when a round of borrowing by demand was last logged.
	gatherLoggedAt map[bbunit.AccountID]time.Time
	words          map[bbunit.AccountID]homeWord // the last outcome of asking a home
	homes          homeMap
}

// homeWord is the outcome of asking an account's home for a loan.
type homeWord struct {
	home              bbunit.InstanceID
	at                time.Time
	answered, covered bool
	asked, lent, free bbunit.Tokens
}

// uncoveredLoan is the word of a home that an account's balance does not cover so
// many tokens.
type uncoveredLoan struct {
	at     time.Time
	tokens bbunit.Tokens
}

// loanRound is a round of asking peers for tokens of an account.
type loanRound struct {
	at                  time.Time
	lenders, unanswered int
	asked, lent         bbunit.Tokens
}

func newPeerLoans(shares *shareController, peers PeerNetwork) *peerLoans {
	l := &peerLoans{shares: shares, peers: peers, uncovered: map[bbunit.AccountID]uncoveredLoan{}, lastAskedAt: map[bbunit.AccountID]time.Time{}, pauses: map[bbunit.AccountID]time.Duration{}, gatherLoggedAt: map[bbunit.AccountID]time.Time{}, gathers: metrics.NilCounter{}, gathered: metrics.NilCounter{}, words: map[bbunit.AccountID]homeWord{}}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loanask{}}, l.handleLoanAsk)
	return l
}

// handleLoanAsk lends a peer what it asks for, as far as it is available here.
func (l *peerLoans) handleLoanAsk(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	ask := e.GetLoanask()
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	share := l.shares.allocator.Account(bbunit.AccountID(ask.Account))
	need := bbunit.Tokens(max(ask.Tokens, 0))
	asker := askerOf(ask)
	if !ask.Home {
		if asker.Rate > 0 {
			return l.tell(share, share.LendForDemand(need, bbunit.Tokens(max(ask.Ahead, 0)), asker), 0)
		}
		return l.tell(share, share.LendUpTo(need), 0)
	}
	if ask.Ahead >= 0 && !share.UsesRemoteHome() {
		share.RecordBorrower(from, asker)
	}
	if state := l.homeState(share, need); state != 0 {
		if state == writeOverdue {
			l.gather(share, need, true)
		}
		return l.tell(share, 0, state)
	}
	if ask.Ahead < 0 {
		go l.collect(from, share.ID, bbunit.Tokens(-ask.Ahead))
		return l.tell(share, 0, 0)
	}
	n := share.GrantLoan(bbshare.LoanRequest{Need: need, Prefetch: bbunit.Tokens(max(ask.Ahead, 0)), Asker: asker}, l.shares.allocator.Holder)
	if !share.UsesRemoteHome() {
		share.RecordBorrower(from, bbshare.Demand{Rate: asker.Rate, Held: asker.Held + n})
	}
	l.shares.wake()
	tell := l.tell(share, n, 0)
	if n < need {
		tell.GetLoantell().Covered = l.mayCover(share, need, n)
	}
	return tell
}

// askerOf returns the state that an instance tells of itself as it asks for a loan. What is
// no demand counts as none.
func askerOf(ask *bbwire.LoanAsk) bbshare.Demand {
	if !(ask.Rate > 0) || math.IsInf(ask.Rate, 0) || ask.Held < 0 {
		return bbshare.Demand{}
	}
	return bbshare.Demand{Rate: ask.Rate, Held: bbunit.Tokens(ask.Held)}
}

// homeState returns 0 if this instance can serve as the home of an account now, or
// notReady or writeOverdue. The caller holds shares.mu.
func (l *peerLoans) homeState(share *bbshare.AccountShare, need bbunit.Tokens) int64 {
	shares := l.shares
	available := share.Balance.Available()
	lacks := available < need
	switch {
	case shares.board.Plan.Load() == nil || !shares.rowsRead:
		return notReady
	case shares.board.Leaving.Load() && share.UsesRemoteHome() && (lacks || need == 0):
		return notReady
	case lacks && (available <= 0 || share.UsesRemoteHome()) && shares.writeIsOverdue():
		return writeOverdue
	}
	return 0 // it lends what it has, which serves some of the requests that wait
}

// mayCover reports whether the account may have need, of which n has been lent. If the
// row is too old to tell, it is read again; if only homes of other failure domains have
// the rest, they are asked. The caller holds shares.mu.
func (l *peerLoans) mayCover(share *bbshare.AccountShare, need, n bbunit.Tokens) bool {
	if !share.RowLoaded() || share.UsesRemoteHome() {
		return true
	}
	if !share.Covers(need, l.shares.allocator.Holder) {
		if l.shares.isFresh(share.ID) {
			return false
		}
		share.AwaitRow(need)
		return true
	}
	if share.Remaining() < need-n || l.shares.isCutOff() {
		l.gather(share, need-n, true)
	}
	return true
}

// Values of LoanTell.Free by which an instance says that it can't serve as a home now.
const (
	// notReady means that it has not yet read its plan and the rows, or stops.
	notReady = -1
	// writeOverdue means that its write of the rows is not answered.
	writeOverdue = -2
)

// tell returns the reply of an instance that has lent n tokens of an account. State is
// 0 or the value of LoanTell.Free that says why it can't serve.
func (l *peerLoans) tell(share *bbshare.AccountShare, n bbunit.Tokens, state int64) *bbwire.Envelope {
	tell := &bbwire.LoanTell{
		Account: string(share.ID), Tokens: int64(n), Free: int64(max(share.Remaining(), 0)), Covered: true, Held: int64(max(share.Balance.Available(), 0)),
		Holder: string(l.shares.allocator.Holder),
	}
	if state != 0 {
		tell.Free = state
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Loantell{Loantell: tell}}
}

// borrowFromHomes borrows what the allocator asks for, each account in a
// goroutine of its own. The accounts' homes must be known. The caller holds
// shares.mu.
func (l *peerLoans) borrowFromHomes(requests []bbshare.LoanRequest) {
	for _, request := range requests {
		home, ok := l.home(request.Account)
		if _, pending := l.pendingAsks.LoadOrStore(request.Account, true); !ok || pending {
			continue
		}
		go func() {
			defer l.pendingAsks.Delete(request.Account)
			l.borrowFromHome(home.ID, request)
		}()
	}
}

// borrowFromHome asks an account's home for a loan and records the reply.
func (l *peerLoans) borrowFromHome(home bbunit.InstanceID, request bbshare.LoanRequest) {
	msg := &bbwire.LoanAsk{
		Account: string(request.Account), Tokens: int64(request.Need), Ahead: int64(request.Prefetch), Home: true,
		Rate: request.Asker.Rate, Held: int64(request.Asker.Held),
	}
	reply := l.call(home, msg)
	l.shares.mu.Lock()
	l.words[request.Account] = homeWord{
		home: home, at: l.shares.now(), asked: request.Need, answered: reply != nil, covered: reply.GetCovered(),
		lent: bbunit.Tokens(reply.GetTokens()), free: bbunit.Tokens(reply.GetFree()),
	}
	l.shares.mu.Unlock()
	switch reply.GetFree() {
	case notReady:
		l.unansweredAt.Store(home, l.shares.now())
		l.shares.wake()
	case writeOverdue:
		l.overdueAt.Store(home, l.shares.now())
		l.shares.wake()
	}
	if reply == nil || reply.Tokens < 0 || reply.Tokens > msg.Tokens+msg.Ahead || reply.Free < 0 {
		return
	}
	l.shares.mu.Lock()
	share := l.shares.allocator.Account(request.Account)
	share.AddLoan(bbunit.Tokens(reply.Tokens))
	if reply.Tokens < msg.Tokens+msg.Ahead {
		share.LimitPrefetch()
	}
	share.SetHomeRemaining(bbunit.Tokens(reply.Free))
	if reply.Covered {
		delete(l.uncovered, request.Account)
	} else {
		l.uncovered[request.Account] = uncoveredLoan{l.shares.now(), share.Balance.Available() + request.Need - bbunit.Tokens(reply.Tokens)}
	}
	l.shares.mu.Unlock()
	l.shares.notifyWaiters()
}

// uncoveredByHome reports whether the account's home last said that the
// account's balance does not cover n tokens. The caller holds shares.mu.
func (l *peerLoans) uncoveredByHome(id bbunit.AccountID, n bbunit.Tokens) bool {
	word, ok := l.uncovered[id]
	return ok && n >= word.tokens
}

// uncoveredRecently reports whether the home said so within shareTimeout.
func (l *peerLoans) uncoveredRecently(id bbunit.AccountID, n bbunit.Tokens) bool {
	return l.uncoveredByHome(id, n) && l.shares.now().Sub(l.uncovered[id].at) < shareTimeout
}

// logFields returns where the account's tokens are borrowed and what the home last
// said, as far as it was asked. The caller holds shares.mu.
func (l *peerLoans) logFields(id bbunit.AccountID) logrus.Fields {
	fields := logrus.Fields{}
	if v, ok := l.rounds.Load(id); ok {
		round := v.(loanRound)
		fields["loan"] = logrus.Fields{
			"age": l.shares.now().Sub(round.at).Milliseconds(), "lenders": round.lenders, "unanswered": round.unanswered, "asked": round.asked, "lent": round.lent,
		}
	}
	home, ok := l.home(id)
	if !ok {
		return fields
	}
	fields["home"], fields["responsive"] = home.ID, !l.unresponsive(home.ID)
	_, fields["asking"] = l.pendingAsks.Load(id)
	if word, ok := l.words[id]; ok {
		fields["word"] = logrus.Fields{
			"home": word.home, "age": l.shares.now().Sub(word.at).Milliseconds(), "answered": word.answered, "covered": word.covered,
			"asked": word.asked, "lent": word.lent, "free": word.free,
		}
	}
	return fields
}

// unresponsive reports whether a peer left a call unanswered within
// unresponsivePeriod.
func (l *peerLoans) unresponsive(peer bbunit.InstanceID) bool {
	return l.isRecent(&l.unansweredAt, peer)
}

// isRecent reports whether a peer's time in times is less than unresponsivePeriod ago.
func (l *peerLoans) isRecent(times *sync.Map, peer bbunit.InstanceID) bool {
	at, ok := times.Load(peer)
	return ok && l.shares.now().Sub(at.(time.Time)) < unresponsivePeriod
}

// borrowFromPeers asks peers for what a request of n tokens lacks, and reports
// whether that helped. A loan is counted when its call returns, so that a
// duplicated message adds no tokens. Without waiting, no request waits for it yet.
func (l *peerLoans) borrowFromPeers(account *bbplan.Account, n bbunit.Tokens, waiting bool) bool {
	shares := l.shares
	shares.mu.Lock()
	share := shares.allocator.Account(account.ID)
	now := shares.now()
	if now.Sub(l.lastAskedAt[account.ID]) < max(loanInterval, l.pauses[account.ID]) {
		shares.mu.Unlock()
		return share.Balance.Available() >= n
	}
	l.lastAskedAt[account.ID] = now
	byDemand := l.lendsByDemand(share, n)
	lenders := l.lenders(share, byDemand)
	missing := max(n-share.Balance.Available(), 0)
	if !byDemand {
		missing = shares.allocator.ToBorrow(share, lenders, n, shares.outage() == 0 && shares.isFresh(account.ID))
	}
	self := share.Demand()
	shares.mu.Unlock()
	if missing <= 0 {
		return share.Balance.Available() >= n
	}
	got := bbunit.Tokens(0)
	round := loanRound{at: now, lenders: len(lenders), asked: missing}
	for _, lender := range lenders {
		if missing <= 0 {
			break
		}
		ask := &bbwire.LoanAsk{Account: string(account.ID), Tokens: int64(missing)}
		if byDemand {
			ask.Rate, ask.Held = self.Rate, int64(max(share.Balance.Available(), 0))
			ask.Ahead = int64(self.Rate * gatherHorizon.Seconds())
			if !waiting {
				ask.Tokens = 0
			}
		}
		lent := l.borrowFrom(share, lender.Address, ask)
		missing -= lent
		got += lent
		if l.unresponsive(lender.Address) {
			round.unanswered++
		}
	}
	round.lent = got
	l.rounds.Store(account.ID, round)
	if byDemand {
		l.setPause(account.ID, got > 0)
		l.recordGather(account.ID, len(lenders), got)
	}
	return missing <= 0
}

// setPause sets how long the peers are not asked again of an account: longer after each
// round that brought nothing, since an account that is used up has nothing anywhere.
func (l *peerLoans) setPause(id bbunit.AccountID, helped bool) {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	if helped {
		delete(l.pauses, id)
		return
	}
	l.pauses[id] = min(max(2*l.pauses[id], loanInterval), maxLoanPause)
}

// borrowFrom asks one peer for a loan, unless it is unresponsive. It adds what the peer
// lent to a share, and returns it.
func (l *peerLoans) borrowFrom(share *bbshare.AccountShare, peer bbunit.InstanceID, ask *bbwire.LoanAsk) bbunit.Tokens {
	if l.unresponsive(peer) {
		return 0
	}
	reply := l.call(peer, ask)
	if reply == nil || reply.Tokens < 0 || reply.Tokens > ask.Tokens+max(ask.Ahead, 0) {
		return 0
	}
	lent := bbunit.Tokens(reply.Tokens)
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	share.AddLoan(lent)
	share.RecordLender(peer, bbunit.HolderID(reply.Holder), bbunit.Tokens(reply.Held))
	return lent
}

// call asks a peer for a loan and returns the reply, nil if none came within
// loanTimeout.
func (l *peerLoans) call(peer bbunit.InstanceID, msg *bbwire.LoanAsk) *bbwire.LoanTell {
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	envelope, err := l.peers.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Loanask{Loanask: msg}})
	if err != nil {
		l.unansweredAt.Store(peer, l.shares.now())
		return nil
	}
	reply := envelope.GetLoantell()
	if reply == nil || reply.Account != msg.Account {
		return nil
	}
	return reply
}
