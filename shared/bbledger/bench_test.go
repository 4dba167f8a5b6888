package bbledger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

// BenchmarkReserve measures the budget decision of a request: Reserve and Commit.
func BenchmarkReserve(b *testing.B) {
	w := NewWallet(bbmember.Member{ID: "g", Inc: 1, Domain: "e"}, simPolicy)
	w.HandleGrant(time.Unix(1000, 0), "d", grantMessage("k/1/0-1", int64(MaxPaid)))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			bal := w.Balance("b")
			if !bal.Reserve(10) {
				b.Error("nothing free to reserve")
				return
			}
			bal.Commit(10, 0)
		}
	})
}

// loadGen sends a stream of requests to a sim.
type loadGen struct {
	s                 *sim
	maxWait           time.Duration // longest wait for tokens
	duration          time.Duration // of a request
	reserved          bbunit.Tokens
	used              bbunit.Tokens
	open              []loadRequest
	done              int
	refused           int
	falselyRefused    int // refused while enough of the budget was unspent
	refusedWithPlenty int // refused while secondOfDemand or more was unspent
}

type loadRequest struct {
	instance *simInstance
	budget   bbunit.BudgetID
	deadline time.Time
	served   bool
}

// demandPerSecond is how many tokens the requests of TestBenchBaselines reserve per
// second.
const demandPerSecond = 1200

func newLoadGen(s *sim) *loadGen {
	return &loadGen{s: s, maxWait: 400 * time.Millisecond, duration: 200 * time.Millisecond, reserved: 10, used: 8}
}

// startRequest starts a request, unless the instance is down.
func (l *loadGen) startRequest(n *simInstance, b bbunit.BudgetID) {
	if n.dead || n.paused {
		return
	}
	l.open = append(l.open, loadRequest{instance: n, budget: b, deadline: l.s.now.Add(l.maxWait)})
}

// step advances all open requests.
func (l *loadGen) step() {
	kept := l.open[:0]
	for _, r := range l.open {
		if l.advanceRequest(&r) {
			kept = append(kept, r)
		}
	}
	l.open = kept
}

// advanceRequest serves, ends or refuses a request. It reports whether the request is
// still open.
func (l *loadGen) advanceRequest(r *loadRequest) bool {
	switch {
	case r.instance.dead || r.instance.paused:
		return !r.instance.dead
	case r.served && !l.s.now.Before(r.deadline):
		l.s.commit(r.instance, 0, l.used)
		l.done++
		return false
	case r.served:
		return true
	case l.s.reserve(r.instance, r.budget, l.reserved):
		r.served, r.deadline = true, l.s.now.Add(l.duration)
		return true
	case !l.s.now.Before(r.deadline):
		l.refused++
		if l.s.paid(r.budget)-l.s.spent[r.budget] >= l.reserved {
			l.falselyRefused++
		}
		if l.s.paid(r.budget)-l.s.spent[r.budget] >= demandPerSecond {
			l.refusedWithPlenty++
		}
		return false
	}
	return true
}

// run runs the sim for d and starts perTick requests a tick, spread over instances
// and budgets.
func (l *loadGen) run(d time.Duration, perTick int, at func(time.Duration)) {
	start, i := l.s.now, 0
	l.s.runFor(d, func() {
		if at != nil {
			at(l.s.now.Sub(start))
		}
		live := l.s.liveInstances()
		for range perTick {
			l.startRequest(live[i%len(live)], l.s.budgets[(i/len(live))%len(l.s.budgets)])
			i++
		}
		l.step()
		for range 3 {
			l.s.runUntilQuiet()
			l.step()
		}
	})
}

func benchSim(t testing.TB, domains, instancesPerDomain, budgets int, policy Policy) *sim {
	s := newSim(domains, instancesPerDomain, policy, t.Fatalf)
	s.budgets = samePage(budgets)
	for _, b := range s.budgets {
		s.setPaid(b, 1_000_000)
	}
	return s
}

// slope is the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var n, sx, sy, sxx, sxy float64
	for i := range x {
		n, sx, sy, sxx, sxy = n+1, sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// logRow logs a row of a table in the first round of a benchmark.
func logRow(t testing.TB, round int, format string, args ...any) {
	if round == 0 {
		t.Logf(format, args...)
	}
}

// BenchmarkWrites counts store calls by the number of instances, budgets of one page
// and failure domains.
func BenchmarkWrites(b *testing.B) {
	for _, c := range []struct {
		what  string
		sizes []int
		build func(t testing.TB, n int) *sim
	}{
		{"instances", []int{2, 4, 8, 16, 32, 64}, func(t testing.TB, n int) *sim { return benchSim(t, 2, n/2, 1, simPolicy) }},
		{"budgets", []int{1, 4, 16, 64}, func(t testing.TB, n int) *sim { return benchSim(t, 2, 4, n, simPolicy) }},
		{"domains", []int{1, 2, 4, 8}, func(t testing.TB, n int) *sim { return benchSim(t, n, 16/n, 1, simPolicy) }},
	} {
		b.Run(c.what, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				countWrites(b, i, c.what, c.sizes, c.build)
			}
		})
	}
}

// BenchmarkStuckAtKill logs how much is stuck after an instance was killed.
func BenchmarkStuckAtKill(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		stuckAtKill(b, i)
	}
}

func TestBenchStuckAtKill(t *testing.T) { stuckAtKill(t, 0) }

// countWrites logs the store calls for each size, and the slope.
func countWrites(t testing.TB, round int, what string, sizes []int, build func(testing.TB, int) *sim) {
	const perTick, measured = 20, 20 * time.Second
	var x, y []float64
	logRow(t, round, "%-10s %10s %10s %10s %22s", what, "requests", "writes", "reads", "writes/1000 requests")
	for _, n := range sizes {
		s := build(t, n)
		l := newLoadGen(s)
		l.run(5*time.Second, perTick, nil)
		done, writes, loads := l.done, s.writes, s.loads
		l.run(measured, perTick, nil)
		writesPer1000 := float64(s.writes-writes) / float64(l.done-done) * 1000
		logRow(t, round, "%-10d %10d %10d %10d %22.2f", n, l.done-done, s.writes-writes, s.loads-loads, writesPer1000)
		x, y = append(x, float64(n)), append(y, writesPer1000)
		if l.refused > 0 {
			t.Errorf("%d refused with %d %s", l.refused, n, what)
		}
	}
	logRow(t, round, "slope: %.4f writes for 1,000 requests for each of %s", slope(x, y), what)
}

func stuckAtKill(t testing.TB, round int) {
	for _, p := range []struct {
		name   string
		policy Policy
	}{
		{"fjarrgrav", Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true}},
		{"hraunberg", Policy{DrawHorizon: 2 * time.Second, UnwitnessedHorizon: 500 * time.Millisecond, GrantHorizon: 500 * time.Millisecond}},
	} {
		logRow(t, round, "%-10s %-8s %14s %14s %12s %12s", p.name, "killed", "drawn at kill", "limit", "stuck after", "closed after")
		for i := range 3 {
			s := benchSim(t, 2, 3, 1, p.policy)
			l := newLoadGen(s)
			l.run(20*time.Second, 6, nil)
			b, n := s.budgets[0], s.instances[i]
			before := StatusOf(entryOrEmpty(s.page, b))
			var unspent bbunit.Tokens
			for _, h := range before.Holders {
				if HolderPeer(h.Holder) == PeerOf(n.member) {
					unspent = h.Drawn - h.Spent
				}
			}
			rate := 6 * float64(l.reserved) / TickInterval.Seconds() / 2 // of the failure domain
			s.crash(n)
			s.refreshViews()
			closedAfter, killedAt := time.Duration(-1), s.now
			for range 200 {
				l.run(TickInterval, 6, func(time.Duration) {
					for _, x := range s.liveInstances() {
						s.perform(x, x.allocator.Step(s.now, Refresh{}))
					}
				})
				if closedAfter < 0 && !namesHolder(s.page, NewHolderID(PeerOf(n.member), PageOf(b), 1)) {
					closedAfter = s.now.Sub(killedAt)
				}
			}
			s.heal()
			s.runFor(10*time.Second, nil)
			stuck := StatusOf(entryOrEmpty(s.page, b)).Stuck
			limit := bbunit.Tokens(math.Ceil(rate * p.policy.DrawHorizon.Seconds()))
			logRow(t, round, "%-10s %-8s %14d %14d %12d %12s", "", n.member.ID, unspent, limit, stuck, closedAfter)
			if stuck > limit {
				t.Errorf("%d stuck, want at most a horizon's demand, %d", stuck, limit)
			}
		}
	}
}

// BenchmarkDueMessages measures one call between two ticks for an instance with 2,000
// budgets, one of them short, in a fleet of 1,500.
func BenchmarkDueMessages(b *testing.B) {
	v := &bbmember.View{}
	for i := range 1500 {
		v.Members = append(v.Members, bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("i%d", i)), Inc: 1, Domain: bbunit.DomainID(fmt.Sprintf("d%d", i%35))})
	}
	w := NewWallet(v.Members[0], simPolicy)
	for i := range 2000 {
		w.Balance(bbunit.BudgetID(fmt.Sprintf("b%d", i)))
	}
	now := time.Unix(1000, 0)
	w.DueMessages(now, v)
	bal := w.Balance("b7")
	w.AddWaiter(bal, 10)
	for b.Loop() {
		bal.refill.askedAt = time.Time{}
		if len(w.DueMessages(now, v)) != 1 {
			b.Fatal("no request sent")
		}
	}
}
