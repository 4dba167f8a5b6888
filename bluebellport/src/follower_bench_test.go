package bbport

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

const (
	benchDomains = 4
	benchTickets = 40
	benchIdle    = 5 * time.Second
)

// BenchmarkTicketInForce measures, for several numbers of instances, the time
// from the acceptance of a ticket until the last instance has applied it, and
// the traffic and CPU time of an idle instance.
func BenchmarkTicketInForce(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			l, store := newFakeList(b), bbstore.NewMem()
			acceptTicket(b, store, 1)
			instances := benchFleet(b, n, l, store)
			idle, cpu := idleCost(instances)
			var took []time.Duration
			for b.Loop() {
				took = took[:0]
				for i := range benchTickets {
					next := int(instances[0].number()) + 1
					acceptTicket(b, store, next)
					took = append(took, within(b, 13*time.Second, "in force", haveTicket(bbunit.TicketNumber(next), instances...)))
					time.Sleep(time.Duration(i%5) * 10 * time.Millisecond)
				}
			}
			slices.Sort(took)
			ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
			b.ReportMetric(ms(took[len(took)/2]), "p50-ms")
			b.ReportMetric(ms(took[len(took)*95/100]), "p95-ms")
			b.ReportMetric(ms(took[len(took)-1]), "max-ms")
			b.ReportMetric(idle, "B/s-idle")
			b.ReportMetric(100*cpu, "%core-idle")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// benchFleet starts instances with the default gossip settings and waits until
// they see each other.
func benchFleet(b *testing.B, n int, l *fakeList, store bbstore.Store) []*testInstance {
	instances := make([]*testInstance, n)
	for i := range instances {
		id, domain := fmt.Sprintf("i%02d", i), fmt.Sprintf("d%d", i%benchDomains)
		deps := testDeps(id, domain, l.srv.Listener.Addr().String(), store)
		deps.Opts.Peer.GossipPeriod, deps.Opts.Peer.SuspicionTimeout = time.Second, 5*time.Second
		instances[i] = startInstanceWith(b, deps)
		l.add(id, domain, instances[i].address())
	}
	within(b, 30*time.Second, "every instance sees all others", func() bool {
		for _, inst := range instances {
			if len(inst.view().Members) != n || inst.number() != 1 {
				return false
			}
		}
		return true
	})
	return instances
}

// idleCost returns the mean traffic of an instance, in bytes per second, and
// the fraction of a CPU core that it uses.
func idleCost(instances []*testInstance) (bytes, cpu float64) {
	total := func() (sum int64) {
		for _, inst := range instances {
			sum += inst.peers.bytesIn.Count() + inst.peers.bytesOut.Count()
		}
		return sum
	}
	bytesBefore, cpuBefore := total(), processCPUTime()
	time.Sleep(benchIdle)
	per := benchIdle.Seconds() * float64(len(instances))
	return float64(total()-bytesBefore) / per, (processCPUTime() - cpuBefore).Seconds() / per
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
