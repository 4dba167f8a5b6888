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
	shares        *shareController
	peers         PeerNetwork
	pendingAsks   sync.Map // bbunit.AccountID -> bool: accounts whose home is being called
	pendingOffers sync.Map // bbunit.AccountID -> bool: accounts whose home is being offered tokens
	unansweredAt  sync.Map // bbunit.InstanceID -> time.Time: last call that a peer did not answer

	overdueAt sync.Map // bbunit.InstanceID -> time.Time: last word of a home that its write is overdue

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
	// next has the instances that replace the homes while these do not answer or are
	// not ready.
	next map[bbunit.AccountID]bbmember.Member
}

func newPeerLoans(shares *shareController, peers PeerNetwork) *peerLoans {
	l := &peerLoans{shares: shares, peers: peers, uncovered: map[bbunit.AccountID]uncoveredLoan{}, lastAskedAt: map[bbunit.AccountID]time.Time{}, words: map[bbunit.AccountID]homeWord{}}
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
	if !ask.Home {
		return loanTell(share, share.LendUpTo(need), 0)
	}
	if state := l.homeState(share, need); state != 0 {
		return loanTell(share, 0, state)
	}
	if ask.Ahead < 0 {
		go l.collect(from, share.ID, bbunit.Tokens(-ask.Ahead))
		return loanTell(share, 0, 0)
	}
	n := share.GrantLoan(bbshare.LoanRequest{Need: need, Prefetch: bbunit.Tokens(max(ask.Ahead, 0))}, l.shares.allocator.Holder)
	l.shares.wake()
	tell := loanTell(share, n, 0)
	if n < need {
		tell.GetLoantell().Covered = l.mayCover(share, need, n)
	}
	return tell
}

// homeState returns 0 if this instance can serve as the home of an account now, or
// notReady or writeOverdue. The caller holds shares.mu.
func (l *peerLoans) homeState(share *bbshare.AccountShare, need bbunit.Tokens) int64 {
	shares := l.shares
	lacks := share.Balance.Available() < need
	switch {
	case shares.board.Plan.Load() == nil || !shares.rowsRead:
		return notReady
	case shares.board.Leaving.Load() && share.UsesRemoteHome() && (lacks || need == 0):
		return notReady
	case lacks && shares.writing && shares.now().Sub(shares.lastWriteAt) > overdueWrite:
		return writeOverdue
	}
	return 0
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
	if account := l.shares.board.Plan.Load().Accounts[share.ID]; account != nil && share.Remaining() < need-n {
		go l.borrowFromPeers(account, need-n)
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

// loanTell returns the reply of an instance that has lent n tokens of an account. State is
// 0 or the value of LoanTell.Free that says why it can't serve.
func loanTell(share *bbshare.AccountShare, n bbunit.Tokens, state int64) *bbwire.Envelope {
	tell := &bbwire.LoanTell{Account: string(share.ID), Tokens: int64(n), Free: int64(max(share.Remaining(), 0)), Covered: true}
	if state != 0 {
		tell.Free = state
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
		home, ok := l.home(id)
		local := !ok || home.ID == view.Self.ID
		shares.allocator.SetHome(id, local, !l.unresponsive(home.ID))
	}
	return holders
}

// computeHomes computes the homes again if the fleet or the plan has changed.
func (l *peerLoans) computeHomes(view *bbmember.View, plan *bbplan.Plan) {
	if l.homes.view == view && l.homes.plan == plan {
		return
	}
	l.homes = homeMap{view: view, plan: plan, byAccount: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts)), next: make(map[bbunit.AccountID]bbmember.Member, len(plan.Accounts))}
	ranks := map[uint64][]bbmember.Member{}
	for id := range plan.Accounts {
		group := homeGroup(id)
		if _, ok := ranks[group]; !ok {
			ranks[group] = view.Rank(sharesPrefix+strconv.FormatUint(group, 10), view.Self.Domain, 2)
		}
		if rank := ranks[group]; len(rank) > 0 {
			l.homes.byAccount[id], l.homes.next[id] = rank[0], rank[len(rank)-1]
		}
	}
}

// home returns the home of an account, or the instance that replaces it while it does
// not answer or is not ready. The caller holds shares.mu.
func (l *peerLoans) home(id bbunit.AccountID) (bbmember.Member, bool) {
	home, ok := l.homes.byAccount[id]
	if ok && home.ID != l.homes.view.Self.ID && (l.unresponsive(home.ID) || l.isRecent(&l.overdueAt, home.ID)) {
		return l.homes.next[id], true
	}
	return home, ok
}

// homeGroup returns the group of an account. Accounts are hashed into accountHomeGroups
// groups that share a home, so that one write serves several of them.
func homeGroup(id bbunit.AccountID) uint64 {
	return xxhash.Sum64String(string(id)) % accountHomeGroups
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
	msg := &bbwire.LoanAsk{Account: string(request.Account), Tokens: int64(request.Need), Ahead: int64(request.Prefetch), Home: true}
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
	home, ok := l.home(id)
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
	return l.isRecent(&l.unansweredAt, peer)
}

// isRecent reports whether a peer's time in times is less than unresponsivePeriod ago.
func (l *peerLoans) isRecent(times *sync.Map, peer bbunit.InstanceID) bool {
	at, ok := times.Load(peer)
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
