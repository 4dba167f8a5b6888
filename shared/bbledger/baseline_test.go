package bbledger

import (
	"testing"
	"time"

	"bluebellport.example/shared/bbunit"
)

// BenchmarkBaselines compares the ledger with a central counter and with time leases.
func BenchmarkBaselines(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		compareWithBaselines(b, i)
	}
}

func TestBenchBaselines(t *testing.T) { compareWithBaselines(t, 0) }

// baseline is a scheme that the ledger is compared with.
type baseline struct {
	paid, charged     bbunit.Tokens // charged: what the store counts as used
	spent             bbunit.Tokens
	refused           int
	falselyRefused    int
	refusedWithPlenty int
	leases            map[*simInstance]*lease
	writeBudget       float64 // writes that the store still accepts
	writes            int
}

type lease struct {
	left  bbunit.Tokens
	until time.Time
}

func (c *baseline) refuse(reserved bbunit.Tokens) {
	c.refused++
	if c.paid-c.spent >= reserved {
		c.falselyRefused++
	}
	if c.paid-c.spent >= demandPerSecond {
		c.refusedWithPlenty++
	}
}

// spendCentrally spends with one call of the store for each request.
func (c *baseline) spendCentrally(storeUp bool, reserved, used bbunit.Tokens) {
	c.writes++
	if c.writeBudget--; !storeUp || c.writeBudget < 0 || c.paid-c.charged < reserved {
		c.refuse(reserved)
		return
	}
	c.charged += used
	c.spent += used
}

// spendLeased spends from a lease that the store takes back after its TTL. An
// instance that was paused after checking its lease spends from it all the same.
func (c *baseline) spendLeased(n *simInstance, now time.Time, storeUp, resumed bool, reserved, used bbunit.Tokens) {
	const share, ttl = bbunit.Tokens(400), 2 * time.Second
	l := c.leases[n]
	if l == nil {
		l = &lease{}
		c.leases[n] = l
	}
	if now.After(l.until) && !resumed {
		l.left = 0
	}
	if l.left < reserved && storeUp {
		c.writes++
		c.charged -= l.left
		l.left = min(share, c.paid-c.charged)
		c.charged += l.left
		l.until = now.Add(ttl)
	}
	if l.left < reserved {
		c.refuse(reserved)
		return
	}
	l.left -= used
	c.spent += used
}

// reclaimExpired takes back what is left of expired leases.
func (c *baseline) reclaimExpired(now time.Time) {
	for _, l := range c.leases {
		if now.After(l.until) && l.left > 0 && !l.until.IsZero() {
			c.charged -= l.left
			l.until = time.Time{}
		}
	}
}

func compareWithBaselines(t testing.TB, round int) {
	const perTick = 6
	const serviceWrites = 300 // a second
	policy := Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true}
	s := benchSim(t, 2, 3, 1, policy)
	b := s.budgets[0]
	s.setPaid(b, 40_000)
	l := newLoadGen(s)
	counter := &baseline{paid: 40_000}
	leases := &baseline{paid: 40_000, leases: map[*simInstance]*lease{}}
	paused := s.instances[1]
	resumed := 0
	i := 0
	l.run(70*time.Second, perTick, func(at time.Duration) {
		scheduleFaults(s, paused, at)
		if at == 40*time.Second {
			s.setPaid(b, 48_000)
			counter.paid, leases.paid = 48_000, 48_000
		}
		if at == resumeAt {
			resumed = 40
		}
		counter.writeBudget = min(counter.writeBudget+serviceWrites*TickInterval.Seconds(), serviceWrites)
		leases.reclaimExpired(s.now)
		for range perTick {
			n := s.instances[i%len(s.instances)]
			i++
			if n.paused {
				continue
			}
			up := !s.storeDown[n.member.Domain]
			counter.spendCentrally(up, l.reserved, l.used)
			late := n == paused && resumed > 0
			if late {
				resumed--
			}
			leases.spendLeased(n, s.now, up, late, l.reserved, l.used)
		}
	})
	spent := s.spent[b]
	logRow(t, round, "%-22s %9s %9s %9s %9s %9s %9s %9s", "scheme", "paid", "spent", "overspend", "refused", "falsely", "plenty", "writes")
	row := func(name string, paid, spent bbunit.Tokens, refused, falsely, plenty, writes int) {
		logRow(t, round, "%-22s %9d %9d %9d %9d %9d %9d %9d", name, paid, spent, max(0, spent-paid), refused, falsely, plenty, writes)
	}
	row("shares by CAS", s.paid(b), spent, l.refused, l.falselyRefused, l.refusedWithPlenty, s.writes)
	row("central counter", counter.paid, counter.spent, counter.refused, counter.falselyRefused, counter.refusedWithPlenty, counter.writes)
	row("time leases", leases.paid, leases.spent, leases.refused, leases.falselyRefused, leases.refusedWithPlenty, leases.writes)
	if spent > s.paid(b) {
		t.Error("the ledger overspent")
	}
	if leases.spent <= leases.paid {
		t.Error("time leases did not overspend under a pause")
	}
}

// resumeAt is when the paused instance of scheduleFaults resumes.
const resumeAt = 65 * time.Second

// scheduleFaults injects the faults of the comparison: an outage of the store, a
// partition of one failure domain, and a pause of an instance while the budget ends.
func scheduleFaults(s *sim, paused *simInstance, at time.Duration) {
	switch at {
	case 10 * time.Second:
		s.storeDown["a"], s.storeDown["b"] = true, true
	case 18 * time.Second:
		s.storeDown["a"], s.storeDown["b"] = false, false
	case 25 * time.Second:
		s.storeDown["a"] = true
		s.partitioned[[2]bbunit.DomainID{"a", "b"}], s.partitioned[[2]bbunit.DomainID{"b", "a"}] = true, true
	case 33 * time.Second:
		s.partitioned = map[[2]bbunit.DomainID]bool{}
	case 36 * time.Second:
		s.storeDown["a"] = false
	case 42 * time.Second:
		paused.paused = true
	case resumeAt:
		paused.paused = false
	}
}
