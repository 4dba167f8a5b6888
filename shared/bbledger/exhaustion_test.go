package bbledger

import (
	"testing"
	"time"

	"bluebellport.example/shared/bbunit"
)

// ending is a stream of requests over the end of a budget: each reserves much
// more than it uses, so that the last money lies in fragments.
type ending struct {
	s    *sim
	most bbunit.Tokens
	used bbunit.Tokens
	wait time.Duration
	open []*endingReq

	done    int
	budget  int           // refused for good
	share   int           // refused for now
	falsely int           // refused for good while the budget had enough for the request
	unspent bbunit.Tokens // the most that was unspent at such a refusal
}

type endingReq struct {
	n      *node
	pot    *Balance
	until  time.Time
	lasts  time.Duration
	served bool
}

func (l *ending) offer(n *node, b bbunit.BudgetID, lasts time.Duration) {
	r := &endingReq{n: n, pot: n.purse.Balance(b), until: l.s.now.Add(l.wait), lasts: lasts}
	if !l.reserve(r) {
		n.purse.AddWaiter(r.pot, l.most)
	}
	l.open = append(l.open, r)
}

func (l *ending) reserve(r *endingReq) bool {
	if !r.pot.Reserve(l.most) {
		return false
	}
	r.n.holds = append(r.n.holds, simHold{r.pot, l.most})
	r.served, r.until = true, l.s.now.Add(r.lasts)
	return true
}

// step lets requests end, be served or be refused.
func (l *ending) step() {
	kept := l.open[:0]
	for _, r := range l.open {
		if !l.over(r) {
			kept = append(kept, r)
		}
	}
	l.open = kept
}

func (l *ending) over(r *endingReq) bool {
	now := l.s.now
	if r.served {
		if now.Before(r.until) {
			return false
		}
		l.s.end(r.n, 0, l.used)
		l.done++
		return true
	}
	if l.reserve(r) {
		r.n.purse.RemoveWaiter(r.pot, l.most)
		return false
	}
	switch {
	case r.n.purse.Exhausted(now, r.n.view, r.pot, l.most):
		l.budget++
		if left := l.s.paid(r.pot.Budget) - l.s.spent[r.pot.Budget]; left >= l.most {
			l.falsely++
			l.unspent = max(l.unspent, left)
		}
	case !now.Before(r.until):
		l.share++
	default:
		return false
	}
	r.n.purse.RemoveWaiter(r.pot, l.most)
	return true
}

// runEnding offers requests of one budget until it is long spent.
func runEnding(t testing.TB, domains, each int, policy Policy, lasts time.Duration) *ending {
	s := newSim(domains, each, policy, t.Fatalf)
	b := s.budgets[0]
	s.pay(b, 2000)
	l := &ending{s: s, most: 150, used: 20, wait: 400 * time.Millisecond}
	i := 0
	s.settle(30*time.Second, func() {
		if i < 320 {
			l.offer(s.nodes[i%len(s.nodes)], b, lasts+time.Duration(i%5)*20*time.Millisecond)
			i++
		}
		for range 3 {
			s.calm()
			l.step()
			for _, n := range s.live() {
				s.posts(n, n.purse.DueMessages(s.now, n.view))
			}
		}
	})
	t.Logf("%d domains of %d, requests of %s: %d done, refused for good %d, of them falsely %d with up to %d unspent, for now %d, %d unspent at the end, %d writes",
		domains, each, lasts, l.done, l.budget, l.falsely, l.unspent, l.share, s.paid(b)-s.spent[b], s.writes)
	return l
}

func TestEndingSpendsFragmentsAndRefusesNoneFalsely(t *testing.T) {
	for _, c := range []struct {
		lasts time.Duration
		done  int // 93 leave less than a request needs
	}{
		{20 * time.Millisecond, 93},
		{200 * time.Millisecond, 93},
		{time.Second, 80}, // the stream ends before the budget
	} {
		for _, shape := range [][2]int{{1, 2}, {1, 4}, {2, 2}, {3, 2}} {
			l := runEnding(t, shape[0], shape[1], Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true}, c.lasts)
			if l.falsely > 0 || l.done < c.done {
				t.Errorf("%v of %v: %d done, want %d; %d refused falsely", shape, c.lasts, l.done, c.done, l.falsely)
			}
		}
	}
}
