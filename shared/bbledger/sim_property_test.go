package bbledger

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

// step performs one random step.
func (s *sim) step(t *rapid.T) {
	n := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "node")]
	b := s.budgets[rapid.IntRange(0, len(s.budgets)-1).Draw(t, "budget")]
	switch rapid.IntRange(0, 39).Draw(t, "what") {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		s.reserve(n, b, bbunit.Tokens(rapid.IntRange(0, 25).Draw(t, "amount")))
	case 8, 9, 10, 11:
		if len(n.reservations) > 0 && !n.paused && !n.dead {
			s.commit(n, rapid.IntRange(0, len(n.reservations)-1).Draw(t, "reservation"), bbunit.Tokens(rapid.IntRange(0, 30).Draw(t, "used")))
		}
	case 12, 13, 14, 15, 16, 17, 18, 19:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		for _, x := range s.liveInstances() {
			s.tick(x)
		}
	case 20, 21, 22, 23, 24:
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			if len(s.network) > 0 {
				s.deliver(rapid.IntRange(0, len(s.network)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "duplicate") == 0)
			}
		}
	case 25:
		if len(s.network) > 0 {
			i := rapid.IntRange(0, len(s.network)-1).Draw(t, "dropped")
			s.network = append(s.network[:i:i], s.network[i+1:]...)
		}
	case 26, 27, 28, 29, 30:
		for _, x := range s.instances {
			if x.storeCall != nil {
				s.finishStoreCall(x, rapid.SampledFrom([]outcome{outcomeOK, outcomeOK, outcomeOK, outcomeUnavailable, outcomeReplyLost, outcomeWriteLost, outcomeWriteDelayed}).Draw(t, "outcome"))
			}
		}
	case 31:
		if len(s.lateWrites) > 0 {
			s.applyLateSave(rapid.IntRange(0, len(s.lateWrites)-1).Draw(t, "late"))
		}
	case 32:
		n.paused = !n.paused
	case 33:
		s.injectFault(t, n)
	case 34:
		for _, x := range s.liveInstances() {
			s.setView(x, nil)
		}
	case 35:
		s.setView(n, s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "missed")])
	case 36:
		if s.paid(b) < 1000 {
			s.setPaid(b, s.paid(b)+bbunit.Tokens(rapid.IntRange(1, 100).Draw(t, "topup")))
		}
	case 37, 38:
		s.runUntilQuiet()
	case 39:
		s.runFor(3*time.Second, nil)
	}
	s.checkBudgets()
}

// injectFault changes one fault: it crashes, restarts or drains an instance, toggles
// the connection of a failure domain, or lowers a budget.
func (s *sim) injectFault(t *rapid.T, n *simInstance) {
	domains := []bbunit.DomainID{"a", "b"}
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		if !n.dead && s.crashes < 3 {
			s.crash(n)
		}
	case 1:
		if n.dead && !s.isLive(n.member.ID) {
			s.restart(n)
		}
	case 2:
		d := rapid.SampledFrom(domains).Draw(t, "domain")
		s.storeDown[d] = !s.storeDown[d]
	case 5: // between the instances of one failure domain
		d := rapid.SampledFrom(domains).Draw(t, "split")
		s.partitioned[[2]bbunit.DomainID{d, d}] = !s.partitioned[[2]bbunit.DomainID{d, d}]
	case 6:
		if !n.dead && !n.paused {
			s.drain(n)
		}
	case 7, 8:
		s.lowerBudget(t, s.budgets[rapid.IntRange(0, 1).Draw(t, "lowered")])
	case 3, 4:
		cut := !s.partitioned[[2]bbunit.DomainID{"a", "b"}]
		s.partitioned[[2]bbunit.DomainID{"a", "b"}], s.partitioned[[2]bbunit.DomainID{"b", "a"}] = cut, cut
	}
}

// lowerBudget lowers a budget as an operator does: it caps the budget, then the ticket
// is accepted or the cap removed.
func (s *sim) lowerBudget(t *rapid.T, b bbunit.BudgetID) {
	ctx := context.Background()
	paid := bbunit.Tokens(rapid.IntRange(0, int(s.paid(b))).Draw(t, "paid"))
	number := s.state.Number + 1
	if Cap(ctx, simPageStore{s: s}, b, paid, number, "n") != nil {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "between") {
		s.now = s.now.Add(TickInterval)
		for _, n := range s.liveInstances() {
			s.tick(n)
		}
		s.runUntilQuiet()
	}
	if rapid.Bool().Draw(t, "accepted") {
		s.setPaid(b, paid)
		return
	}
	if err := Uncap(ctx, simPageStore{s: s}, b, number, "n"); err != nil {
		t.Fatal(err)
	}
}

func (s *sim) isLive(id bbunit.InstanceID) bool {
	for _, n := range s.liveInstances() {
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
		s := newSim(2, rapid.IntRange(1, 3).Draw(t, "instances per domain"), policy, t.Fatalf)
		for _, b := range s.budgets {
			s.setPaid(b, 200)
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			s.step(t)
		}
		s.heal()
		s.runFor(20*time.Second, nil)
		s.drainAll()
		s.runFor(20*time.Second, nil)
		s.checkSettled()
	})
}
