package bbproxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// peerLoans lends parts of this instance's shares to peers and borrows from
// theirs. Loans help when an account is nearly used up, and when one instance
// has lost the store while another still reaches it.
type peerLoans struct {
	shares       *shareController
	peers        PeerNetwork
	pendingAsks  sync.Map // bbunit.AccountID -> bool: accounts whose home is being called
	unansweredAt sync.Map // bbunit.InstanceID -> time.Time: last call that a peer did not answer

	// The rest is guarded by shares.mu.
	uncovered   map[bbunit.AccountID]uncoveredLoan
	lastAskedAt map[bbunit.AccountID]time.Time // last round of asking peers
	words       map[bbunit.AccountID]homeWord  // the last outcome of asking a home
	homes       homeMap
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

// homeMap holds the accounts' homes, computed from one view of the fleet and
// one plan. The home of an account is the instance of the failure domain that
// gets grants from the store for the others.
type homeMap struct {
	view      *bbmember.View
	plan      *bbplan.Plan
	byAccount map[bbunit.AccountID]bbmember.Member
}

func newPeerLoans(shares *shareController, peers PeerNetwork) *peerLoans {
	l := &peerLoans{shares: shares, peers: peers, uncovered: map[bbunit.AccountID]uncoveredLoan{}, lastAskedAt: map[bbunit.AccountID]time.Time{}, words: map[bbunit.AccountID]homeWord{}}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loanask{}}, l.handleLoanAsk)
	return l
}

// handleLoanAsk lends a peer what it asks for, as far as it is available here.
func (l *peerLoans) handleLoanAsk(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	ask := e.GetLoanask()
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	share := l.shares.allocator.Account(bbunit.AccountID(ask.Account))
	need := bbunit.Tokens(max(ask.Tokens, 0))
	var n bbunit.Tokens
	if ask.Home {
		n = share.GrantLoan(bbshare.LoanRequest{Need: need, Prefetch: bbunit.Tokens(max(ask.Ahead, 0))}, l.shares.allocator.Holder)
		l.shares.wake()
	} else {
		n = share.LendUpTo(need)
	}
	tell := &bbwire.LoanTell{
		Account: ask.Account, Tokens: int64(n), Free: int64(max(share.Remaining(), 0)),
		Covered: n >= need || !share.RowLoaded() || share.Covers(need, l.shares.allocator.Holder),
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Loantell{Loantell: tell}}
}

// updateHomes tells the allocator which accounts have a reachable home at
// another instance, and returns how many instances get grants from the store.
// In a small fleet every instance does. The caller holds shares.mu.
func (l *peerLoans) updateHomes() int {
	shares := l.shares
	view := l.peers.View()
	holders := int(shares.board.Instances.Load())
	usesHomes := shares.board.UsesHomes()
	if usesHomes {
		holders = countDomains(view)
	}
	shares.allocator.SetUsesHomes(usesHomes)
	plan := shares.board.Plan.Load()
	if usesHomes {
		l.computeHomes(view, plan)
	} else {
		l.homes = homeMap{}
	}
	for id := range plan.Accounts {
		home, ok := l.homes.byAccount[id]
		local := !ok || home.ID == view.Self.ID || view.Self.Leaving
		shares.allocator.SetHome(id, local, !l.unresponsive(home.ID))
	}
	return holders
}

// computeHomes computes the homes again if the fleet or the plan has changed.
func (l *peerLoans) computeHomes(view *bbmember.View, plan *bbplan.Plan) {
	if l.homes.view == view && l.homes.plan == plan {
		return
	}
	l.homes = homeMap{view: view, plan: plan, byAccount: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts))}
	for id := range plan.Accounts {
		if home, ok := homeOf(view, id); ok {
			l.homes.byAccount[id] = home
		}
	}
}

// homeOf returns the home of an account in this instance's failure domain.
// Accounts are hashed into accountHomeGroups groups that share a home, so that
// one write serves several of them.
func homeOf(view *bbmember.View, id bbunit.AccountID) (bbmember.Member, bool) {
	group := xxhash.Sum64String(string(id)) % accountHomeGroups
	return view.Home(sharesPrefix+strconv.FormatUint(group, 10), view.Self.Domain)
}

// countDomains returns the number of failure domains with live instances, at
// least 1.
func countDomains(view *bbmember.View) int {
	seen := map[bbunit.DomainID]bool{}
	for _, m := range view.Members {
		seen[m.Domain] = true
	}
	return max(len(seen), 1)
}

// borrowFromHomes borrows what the allocator asks for, each account in a
// goroutine of its own. The accounts' homes must be known. The caller holds
// shares.mu.
func (l *peerLoans) borrowFromHomes(requests []bbshare.LoanRequest) {
	for _, request := range requests {
		home, ok := l.homes.byAccount[request.Account]
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
	msg := &bbwire.LoanAsk{Account: string(request.Account), Tokens: int64(request.Need), Ahead: int64(request.Prefetch), Home: true}
	reply := l.call(home, msg)
	l.shares.mu.Lock()
	l.words[request.Account] = homeWord{
		home: home, at: l.shares.now(), asked: request.Need, answered: reply != nil, covered: reply.GetCovered(),
		lent: bbunit.Tokens(reply.GetTokens()), free: bbunit.Tokens(reply.GetFree()),
	}
	l.shares.mu.Unlock()
	if reply == nil || reply.Tokens < 0 || reply.Tokens > msg.Tokens+msg.Ahead {
		return
	}
	l.shares.mu.Lock()
	share := l.shares.allocator.Account(request.Account)
	share.AddLoan(bbunit.Tokens(reply.Tokens))
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
	home, ok := l.homes.byAccount[id]
	if !ok {
		return logrus.Fields{}
	}
	fields := logrus.Fields{"home": home.ID, "responsive": !l.unresponsive(home.ID)}
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
	at, ok := l.unansweredAt.Load(peer)
	return ok && l.shares.now().Sub(at.(time.Time)) < unresponsivePeriod
}

// borrowFromPeers asks peers for what a request of n tokens lacks, and reports
// whether that helped. A loan is counted when its call returns, so that a
// duplicated message adds no tokens.
func (l *peerLoans) borrowFromPeers(account *bbplan.Account, n bbunit.Tokens) bool {
	shares := l.shares
	shares.mu.Lock()
	share := shares.allocator.Account(account.ID)
	now := shares.now()
	if now.Sub(l.lastAskedAt[account.ID]) < loanInterval {
		shares.mu.Unlock()
		return share.Balance.Available() >= n
	}
	l.lastAskedAt[account.ID] = now
	lenders := share.Lenders(shares.allocator.Holder)
	lenders = lenders[:min(len(lenders), maxLoanPeers)]
	missing := shares.allocator.ToBorrow(share, lenders, n, shares.outage() == 0 && shares.isFresh(account.ID))
	shares.mu.Unlock()
	if missing <= 0 {
		return share.Balance.Available() >= n
	}
	for _, lender := range lenders {
		if missing <= 0 {
			break
		}
		if lent := l.borrowFrom(lender.Address, account.ID, missing); lent > 0 {
			missing -= lent
			shares.mu.Lock()
			share.AddLoan(lent)
			shares.mu.Unlock()
		}
	}
	return missing <= 0
}

// borrowFrom asks one peer for a loan, unless it is unresponsive, and returns
// what it lent.
func (l *peerLoans) borrowFrom(peer bbunit.InstanceID, account bbunit.AccountID, n bbunit.Tokens) bbunit.Tokens {
	if l.unresponsive(peer) {
		return 0
	}
	reply := l.call(peer, &bbwire.LoanAsk{Account: string(account), Tokens: int64(n)})
	if reply == nil || reply.Tokens < 0 || reply.Tokens > int64(n) {
		return 0
	}
	return bbunit.Tokens(reply.Tokens)
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
