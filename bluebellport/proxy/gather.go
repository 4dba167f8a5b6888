package bbproxy

import (
	"slices"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// While the store does not answer, nothing can be drawn. What the instances have at hand
// then moves between them by demand: a home gathers from the homes of the other failure
// domains and from instances that borrowed more from it than they need.

// gather borrows from other holders of an account in the background, for the instances
// that borrow here. Without waiting, no request waits for it yet. The caller holds
// shares.mu.
func (l *peerLoans) gather(share *bbshare.AccountShare, need bbunit.Tokens, waiting bool) {
	account := l.shares.board.Plan.Load().Accounts[share.ID]
	if account == nil || share.UsesRemoteHome() {
		return
	}
	if _, pending := l.pendingGathers.LoadOrStore(share.ID, true); pending {
		return
	}
	go func() {
		defer l.pendingGathers.Delete(share.ID)
		l.borrowFromPeers(account, need, waiting)
		l.shares.notifyWaiters()
	}()
}

// register makes the loans by demand count in a registry.
func (l *peerLoans) register(registry metrics.Registry) {
	l.gathers = metrics.GetOrRegisterCounter("door.money.gathers", registry)
	l.gathered = metrics.GetOrRegisterCounter("door.money.gathered", registry)
}

// recordGather counts a round of borrowing by demand. The first in shareLogInterval that
// brought tokens of an account is logged.
func (l *peerLoans) recordGather(id bbunit.AccountID, lenders int, got bbunit.Tokens) {
	l.gathers.Inc(1)
	l.gathered.Inc(int64(got))
	if got <= 0 {
		return
	}
	l.shares.mu.Lock()
	share, now := l.shares.allocator.Account(id), l.shares.now()
	fields := logrus.Fields{
		"event": "money-gathered", "account": id, "tokens": got, "asked": lenders, "here": share.Balance.Available(), "rate": int64(share.Demand().Rate),
		"free": share.Remaining(), "outage": l.shares.outage().Milliseconds(),
	}
	log := now.Sub(l.gatherLoggedAt[id]) >= shareLogInterval
	if log {
		l.gatherLoggedAt[id] = now
	}
	l.shares.mu.Unlock()
	if log {
		l.shares.log.WithFields(fields).Info("tokens borrowed by demand, as none can be drawn")
	}
}

// gatherForDemand borrows of the accounts whose home this instance is and of which it runs
// out while it can draw nothing. The homes must be known. The caller holds shares.mu.
func (l *peerLoans) gatherForDemand() {
	if l.homes.view == nil || !l.shares.isCutOff() {
		return
	}
	for id := range l.homes.byAccount {
		share := l.shares.allocator.Account(id)
		if demand := share.Demand(); !share.UsesRemoteHome() && share.IsLow(gatherBelow.Seconds()) {
			l.gather(share, demand.Held+bbunit.Tokens(max(demand.Rate, 1)), false)
		}
	}
}

// lendsByDemand reports whether tokens of an account move between homes by demand, for
// want of n: the store does not answer, or all is granted. The caller holds shares.mu.
func (l *peerLoans) lendsByDemand(share *bbshare.AccountShare, n bbunit.Tokens) bool {
	if l.homes.view == nil || share.UsesRemoteHome() || share.Demand().Rate <= 0 {
		return false
	}
	return l.shares.isCutOff() || share.RowLoaded() && share.Remaining()+share.Balance.Available() < n
}

// lenders returns the instances that may lend of an account: those that the row names, at
// most maxLoanPeers, and if tokens move by demand also the homes of the other failure
// domains and borrowers of this one. The caller holds shares.mu.
func (l *peerLoans) lenders(share *bbshare.AccountShare, byDemand bool) []bbshare.Lender {
	lenders := slices.DeleteFunc(share.Lenders(l.shares.allocator.Holder), func(x bbshare.Lender) bool { return l.unresponsive(x.Address) })
	lenders = lenders[:min(len(lenders), maxLoanPeers)]
	if !byDemand {
		return lenders
	}
	add := func(id bbunit.InstanceID) {
		known := slices.ContainsFunc(lenders, func(x bbshare.Lender) bool { return x.Address == id })
		if !known && id != l.homes.view.Self.ID && len(lenders) < maxGatherPeers {
			lenders = append(lenders, bbshare.Lender{Address: id})
		}
	}
	for _, m := range l.homes.others(share.ID) {
		add(m.ID)
	}
	for _, id := range share.RichestBorrowers(maxRecalls) {
		add(id)
	}
	return lenders
}
