package bbproxy

import (
	"context"
	"time"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// offerToHomes tells the homes what this instance does not need of their accounts. Each
// home collects it by asking for a loan, which is counted once even if messages are
// lost or repeated. The homes must be known. The caller holds shares.mu.
func (l *peerLoans) offerToHomes(offers []bbshare.LoanRequest) {
	for _, offer := range offers {
		home, ok := l.home(offer.Account)
		if _, pending := l.pendingOffers.LoadOrStore(offer.Account, true); !ok || pending {
			continue
		}
		go func() {
			defer l.pendingOffers.Delete(offer.Account)
			reply := l.call(home.ID, &bbwire.LoanAsk{Account: string(offer.Account), Ahead: -int64(offer.Prefetch), Home: true})
			if reply.GetFree() == notReady {
				l.unansweredAt.Store(home.ID, l.shares.now())
			}
		}()
	}
}

// collect borrows what a peer has offered of an account whose home this instance is.
func (l *peerLoans) collect(peer bbunit.InstanceID, id bbunit.AccountID, offered bbunit.Tokens) {
	l.shares.mu.Lock()
	share := l.shares.allocator.Account(id)
	isHome := !share.UsesRemoteHome() && !l.shares.board.Leaving.Load()
	l.shares.mu.Unlock()
	if !isHome {
		return
	}
	if l.borrowFrom(share, peer, &bbwire.LoanAsk{Account: string(id), Tokens: int64(offered)}) > 0 {
		l.shares.notifyWaiters()
	}
}

// handOver offers all that is unspent to the homes until they have it, for at most
// handOverTime, and not beyond end.
func (c *shareController) handOver(end time.Time) {
	if !c.board.UsesHomes() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(handOverTime, time.Until(end)))
	defer cancel()
	for {
		c.mu.Lock()
		if c.board.Plan.Load() == nil {
			c.mu.Unlock()
			return
		}
		c.loans.updateHomes()
		_ = c.allocator.LoanRequests(bbshare.DefaultHomePolicy())
		offers := c.allocator.Offers()
		c.loans.offerToHomes(offers)
		c.mu.Unlock()
		asking := false
		c.loans.pendingAsks.Range(func(any, any) bool { asking = true; return false })
		if len(offers) == 0 && !asking || !bbclock.Wait(ctx, handOverInterval) {
			return
		}
	}
}
