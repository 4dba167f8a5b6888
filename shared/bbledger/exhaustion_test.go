package bbledger

import (
	"testing"
	"time"

	"bluebellport.example/shared/bbunit"
)

// exhaustionLoad is a stream of requests over the end of a budget: each reserves much
// more than it uses, so that the last money lies in fragments.
type exhaustionLoad struct {
	s        *sim
	reserved bbunit.Tokens
	used     bbunit.Tokens
	maxWait  time.Duration
	open     []*exhaustionRequest

	done                int
	refusedBudget       int           // refused for good
	refusedShare        int           // refused for now
	falselyRefused      int           // refused for good while the budget had enough for the request
	maxUnspentAtRefusal bbunit.Tokens // the most that was unspent at such a refusal
}

type exhaustionRequest struct {
	node     *simNode
	bal      *Balance
	deadline time.Time
	duration time.Duration
	served   bool
}

func (l *exhaustionLoad) startRequest(n *simNode, b bbunit.BudgetID, lasts time.Duration) {
	r := &exhaustionRequest{node: n, bal: n.purse.Balance(b), deadline: l.s.now.Add(l.maxWait), duration: lasts}
	if !l.reserve(r) {
		n.purse.AddWaiter(r.bal, l.reserved)
	}
	l.open = append(l.open, r)
}

func (l *exhaustionLoad) reserve(r *exhaustionRequest) bool {
	if !r.bal.Reserve(l.reserved) {
		return false
	}
	r.node.reservations = append(r.node.reservations, simReservation{r.bal, l.reserved})
	r.served, r.deadline = true, l.s.now.Add(r.duration)
	return true
}

// step lets requests end, be served or be refused.
func (l *exhaustionLoad) step() {
	kept := l.open[:0]
	for _, r := range l.open {
		if !l.advanceRequest(r) {
			kept = append(kept, r)
		}
	}
	l.open = kept
}

func (l *exhaustionLoad) advanceRequest(r *exhaustionRequest) bool {
	now := l.s.now
	if r.served {
		if now.Before(r.deadline) {
			return false
		}
		l.s.commit(r.node, 0, l.used)
		l.done++
		return true
	}
	if l.reserve(r) {
		r.node.purse.RemoveWaiter(r.bal, l.reserved)
		return false
	}
	switch {
	case r.node.purse.Exhausted(now, r.node.view, r.bal, l.reserved):
		l.refusedBudget++
		if left := l.s.paid(r.bal.Budget) - l.s.spent[r.bal.Budget]; left >= l.reserved {
			l.falselyRefused++
			l.maxUnspentAtRefusal = max(l.maxUnspentAtRefusal, left)
		}
	case !now.Before(r.deadline):
		l.refusedShare++
	default:
		return false
	}
	r.node.purse.RemoveWaiter(r.bal, l.reserved)
	return true
}

// runExhaustion offers requests of one budget until it is long spent.
func runExhaustion(t testing.TB, domains, instancesPerDomain int, policy Policy, duration time.Duration) *exhaustionLoad {
	s := newSim(domains, instancesPerDomain, policy, t.Fatalf)
	b := s.budgets[0]
	s.setPaid(b, 2000)
	l := &exhaustionLoad{s: s, reserved: 150, used: 20, maxWait: 400 * time.Millisecond}
	i := 0
	s.runFor(30*time.Second, func() {
		if i < 320 {
			l.startRequest(s.nodes[i%len(s.nodes)], b, duration+time.Duration(i%5)*20*time.Millisecond)
			i++
		}
		for range 3 {
			s.runUntilQuiet()
			l.step()
			for _, n := range s.liveNodes() {
				s.sendAll(n, n.purse.DueMessages(s.now, n.view))
			}
		}
	})
	t.Logf("%d domains of %d, requests of %s: %d done, refused for good %d, of them falsely %d with up to %d unspent, for now %d, %d unspent at the end, %d writes",
		domains, instancesPerDomain, duration, l.done, l.refusedBudget, l.falselyRefused, l.maxUnspentAtRefusal, l.refusedShare, s.paid(b)-s.spent[b], s.writes)
	return l
}

func TestExhaustionSpendsFragmentsAndRefusesNoneFalsely(t *testing.T) {
	for _, c := range []struct {
		lasts time.Duration
		done  int // 93 leave less than a request needs
	}{
		{20 * time.Millisecond, 93},
		{200 * time.Millisecond, 93},
		{time.Second, 80}, // the stream ends before the budget
	} {
		for _, shape := range [][2]int{{1, 2}, {1, 4}, {2, 2}, {3, 2}} {
			l := runExhaustion(t, shape[0], shape[1], Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true}, c.lasts)
			if l.falselyRefused > 0 || l.done < c.done {
				t.Errorf("%v of %v: %d done, want %d; %d refused falsely", shape, c.lasts, l.done, c.done, l.falselyRefused)
			}
		}
	}
}
