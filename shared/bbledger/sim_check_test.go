package bbledger

import (
	"bluebellport.example/shared/bbunit"
)

// checkBudgets fails if a budget is overspent, or if less is charged on the page than
// was or may be spent.
func (s *sim) checkBudgets() {
	for _, b := range s.budgets {
		committed := s.spent[b]
		for _, n := range s.liveInstances() {
			for _, r := range n.reservations {
				if r.bal.Budget == b {
					committed += r.reserved
				}
			}
		}
		if committed > s.paid(b) {
			s.fail("budget %s: %d spent and reserved of %d paid; page %v", b, committed, s.paid(b), s.page)
		}
		e := entryOrEmpty(s.page, b)
		if Charged(e) > s.paid(b) {
			s.fail("budget %s: %d charged of %d paid", b, Charged(e), s.paid(b))
		}
		if committed > Charged(e) {
			s.fail("budget %s: %d spent and reserved, the page charges %d: %v", b, committed, Charged(e), e)
		}
	}
}

// runUntilQuiet delivers all messages in order and lets all store calls succeed.
func (s *sim) runUntilQuiet() {
	for range 100 {
		busy := false
		for len(s.network) > 0 {
			s.deliver(0, false)
			busy = true
		}
		for _, n := range s.liveInstances() {
			if n.storeCall != nil {
				s.finishStoreCall(n, outcomeOK)
				busy = true
			}
		}
		s.checkBudgets()
		if !busy {
			return
		}
	}
}

// heal ends all faults and gives all instances a full view.
func (s *sim) heal() {
	s.partitioned = map[[2]bbunit.DomainID]bool{}
	s.storeDown = map[bbunit.DomainID]bool{}
	for len(s.lateWrites) > 0 {
		s.applyLateSave(0)
	}
	for _, n := range s.instances {
		n.paused = false
	}
	s.refreshViews()
	for _, n := range s.liveInstances() {
		s.perform(n, n.allocator.Step(s.now, Refresh{}))
	}
}

// drainAll begins the planned stop of all instances.
func (s *sim) drainAll() {
	for _, n := range s.liveInstances() {
		for len(n.reservations) > 0 {
			s.commit(n, 0, n.reservations[0].reserved/2)
		}
		s.drain(n)
	}
}

// drain begins the planned stop of an instance. The instance stays in the view, so
// that the page has a home when all are stopped.
func (s *sim) drain(n *simInstance) {
	n.drained = true
	n.wallet.Drain()
	s.perform(n, n.allocator.Step(s.now, Retire{}))
}

// checkSettled fails unless all tokens are settled, returned, or stuck with an
// instance that crashed.
func (s *sim) checkSettled() {
	livePeers := map[string]bool{}
	for _, n := range s.liveInstances() {
		livePeers[PeerOf(n.member).String()] = true
	}
	for _, b := range s.budgets {
		e := entryOrEmpty(s.page, b)
		for _, x := range e.Stuck {
			if livePeers[x.Grantee] && x.Amount > 0 {
				s.fail("budget %s: still stuck with a live instance: %v", b, x)
			}
		}
		for _, h := range e.Holders {
			if livePeers[HolderPeer(bbunit.HolderID(h.Holder)).String()] || livePeers[h.Witness] {
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
