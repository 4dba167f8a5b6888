package bbledger

import (
	"testing"
	"time"

	"bluebellport.example/shared/bbunit"
)

// exhaustionLoad is a stream of requests that exhausts a budget. Each request reserves
// much more than it uses, so that the last tokens are spread in small amounts.
type exhaustionLoad struct {
	s        *sim
	reserved bbunit.Tokens
	used     bbunit.Tokens
	maxWait  time.Duration
	open     []*exhaustionRequest

	done                int
	refusedExhausted    int           // refused because the budget is exhausted
	timedOut            int           // refused after maxWait
	falselyRefused      int           // refused as exhausted while the budget had enough for the request
	maxUnspentAtRefusal bbunit.Tokens // largest unspent amount at a false refusal
}

type exhaustionRequest struct {
	instance *simInstance
	bal      *Balance
	deadline time.Time
	duration time.Duration
	served   bool
}

func (l *exhaustionLoad) startRequest(n *simInstance, b bbunit.BudgetID, duration time.Duration) {
	r := &exhaustionRequest{instance: n, bal: n.wallet.Balance(b), deadline: l.s.now.Add(l.maxWait), duration: duration}
	if !l.reserve(r) {
		n.wallet.AddWaiter(r.bal, l.reserved)
	}
	l.open = append(l.open, r)
}

func (l *exhaustionLoad) reserve(r *exhaustionRequest) bool {
	if !r.bal.Reserve(l.reserved) {
		return false
	}
	r.instance.reservations = append(r.instance.reservations, simReservation{r.bal, l.reserved})
	r.served, r.deadline = true, l.s.now.Add(r.duration)
	return true
}

// step advances all open requests.
func (l *exhaustionLoad) step() {
	kept := l.open[:0]
	for _, r := range l.open {
		if !l.advanceRequest(r) {
			kept = append(kept, r)
		}
	}
	l.open = kept
}

// advanceRequest serves, ends or refuses a request. It reports whether the request is
// over.
func (l *exhaustionLoad) advanceRequest(r *exhaustionRequest) bool {
	now := l.s.now
	if r.served {
		if now.Before(r.deadline) {
			return false
		}
		l.s.commit(r.instance, 0, l.used)
		l.done++
		return true
	}
	if l.reserve(r) {
		r.instance.wallet.RemoveWaiter(r.bal, l.reserved)
		return false
	}
	switch {
	case r.instance.wallet.Exhausted(now, r.instance.view, r.bal, l.reserved):
		l.refusedExhausted++
		if left := l.s.paid(r.bal.Budget) - l.s.spent[r.bal.Budget]; left >= l.reserved {
			l.falselyRefused++
			l.maxUnspentAtRefusal = max(l.maxUnspentAtRefusal, left)
		}
	case !now.Before(r.deadline):
		l.timedOut++
	default:
		return false
	}
	r.instance.wallet.RemoveWaiter(r.bal, l.reserved)
	return true
}

// runExhaustion sends requests on one budget until well after it is spent.
func runExhaustion(t testing.TB, domains, instancesPerDomain int, policy Policy, duration time.Duration) *exhaustionLoad {
	s := newSim(domains, instancesPerDomain, policy, t.Fatalf)
	b := s.budgets[0]
	s.setPaid(b, 2000)
	l := &exhaustionLoad{s: s, reserved: 150, used: 20, maxWait: 400 * time.Millisecond}
	i := 0
	s.runFor(30*time.Second, func() {
		if i < 320 {
			l.startRequest(s.instances[i%len(s.instances)], b, duration+time.Duration(i%5)*20*time.Millisecond)
			i++
		}
		for range 3 {
			s.runUntilQuiet()
			l.step()
			for _, n := range s.liveInstances() {
				s.sendAll(n, n.wallet.DueMessages(s.now, n.view))
			}
		}
	})
	t.Logf("%d domains of %d, requests of %s: %d done, refused as exhausted %d, of them falsely %d with up to %d unspent, after the wait %d, %d unspent at the end, %d writes",
		domains, instancesPerDomain, duration, l.done, l.refusedExhausted, l.falselyRefused, l.maxUnspentAtRefusal, l.timedOut, s.paid(b)-s.spent[b], s.writes)
	return l
}

func TestExhaustionSpendsFragmentsAndRefusesNoneFalsely(t *testing.T) {
	for _, c := range []struct {
		duration time.Duration
		done     int // after 93 the rest is less than a request reserves
	}{
		{20 * time.Millisecond, 93},
		{200 * time.Millisecond, 93},
		{time.Second, 80}, // the stream ends before the budget is spent
	} {
		for _, shape := range [][2]int{{1, 2}, {1, 4}, {2, 2}, {3, 2}} {
			l := runExhaustion(t, shape[0], shape[1], Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true}, c.duration)
			if l.falselyRefused > 0 || l.done < c.done {
				t.Errorf("%v of %v: %d done, want %d; %d refused falsely", shape, c.duration, l.done, c.done, l.falselyRefused)
			}
		}
	}
}
