package bbmember

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

// fleetCost holds the gossip traffic and detection times measured on a
// simulated fleet.
type fleetCost struct {
	bytesPerSecond  float64 // gossip sent per instance
	probesPerSecond float64 // per instance
	missingPairs    int     // see sim.missingPairs
	leaveSeconds    int     // until every instance knows that a member is leaving
	crashSeconds    int     // until its failure domain has removed a crashed member
}

func measureFleet(n, domains int) fleetCost {
	const periods = 30
	s := newSim(n, domains, 7)
	s.run(20)
	for _, instance := range s.instances {
		instance.bytesSent = 0
	}
	s.probes = 0
	s.run(periods)
	c := fleetCost{missingPairs: s.missingPairs()}
	for _, instance := range s.instances {
		c.bytesPerSecond += float64(instance.bytesSent) / float64(n) / periods
	}
	c.probesPerSecond = float64(s.probes) / float64(n) / periods
	leaver, crashed := s.instances[0], s.instances[1]
	s.perform(leaver, leaver.Leave(s.now))
	leaver.down = true
	c.leaveSeconds = s.runUntil(60, func(instance *simInstance) bool {
		m, ok := instance.View().Find(leaver.Member.ID)
		return !ok || m.Leaving
	})
	crashed.down = true
	c.crashSeconds = s.runUntil(60, func(instance *simInstance) bool {
		_, ok := instance.View().Find(crashed.Member.ID)
		return !ok || instance.Member.Domain != crashed.Member.Domain
	})
	return c
}

// BenchmarkGossip reports gossip traffic and detection times by fleet size.
func BenchmarkGossip(b *testing.B) {
	for _, z := range []struct{ n, domains int }{{8, 4}, {32, 4}, {128, 8}, {512, 12}} {
		b.Run(fmt.Sprintf("instances=%d", z.n), func(b *testing.B) {
			var c fleetCost
			for b.Loop() {
				c = measureFleet(z.n, z.domains)
			}
			b.ReportMetric(c.bytesPerSecond, "B/s")
			b.ReportMetric(c.probesPerSecond, "probes/s")
			b.ReportMetric(float64(c.leaveSeconds), "s-leaving")
			b.ReportMetric(float64(c.crashSeconds), "s-death")
		})
	}
}

func TestTrafficIsBounded(t *testing.T) {
	for _, z := range []struct{ n, domains int }{{8, 4}, {32, 2}, {64, 1}} {
		is := is.New(t)
		c := measureFleet(z.n, z.domains)
		t.Logf("instances %d, failure domains %d: %+v", z.n, z.domains, c)
		is.Equal(c.missingPairs, 0)
		is.True(c.leaveSeconds >= 0 && c.leaveSeconds <= 5)
		is.True(c.crashSeconds >= 0 && c.crashSeconds <= 15)
		is.True(c.bytesPerSecond < 4000)
	}
}

func newTestFleet() *Fleet {
	self := Member{ID: "self", Inc: 9, Domain: "d1", Address: "10.0.0.1:1"}
	return NewFleet(self, DefaultConfig(time.Second, 5*time.Second), simStart, rand.New(rand.NewPCG(1, 2)))
}

func testReport(id string, inc, heartbeat uint64) Report {
	return Report{
		Member:    Member{ID: bbunit.InstanceID(id), Inc: bbunit.Incarnation(inc), Domain: "d1", Address: "10.0.0.2:1"},
		Heartbeat: heartbeat,
	}
}

func heartbeatAt(d time.Duration) uint64 { return uint64(simStart.Add(d).UnixMilli()) }

func TestMalformedReportsAreDropped(t *testing.T) {
	good := testReport("a", 1, heartbeatAt(0))
	cases := map[string]func(r *Report){
		"no id":                           func(r *Report) { r.ID = "" },
		"long id":                         func(r *Report) { r.ID = bbunit.InstanceID(strings.Repeat("x", 200)) },
		"no failure domain":               func(r *Report) { r.Domain = "" },
		"no incarnation":                  func(r *Report) { r.Inc = 0 },
		"no heartbeat":                    func(r *Report) { r.Heartbeat = 0 },
		"heartbeat too far in the future": func(r *Report) { r.Heartbeat = math.MaxUint64 },
		"address by name":                 func(r *Report) { r.Address = "host:1" },
		"unspecified address":             func(r *Report) { r.Address = "0.0.0.0:1" },
		"no port":                         func(r *Report) { r.Address = "10.0.0.2:0" },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			bad := good
			corrupt(&bad)
			a := f.HandleGossip(simStart, []Report{bad, testReport("b", 1, heartbeatAt(0))})
			is.Equal(a.MalformedReports, 1)
			is.Equal(len(f.View().Members), 2) // self and b: the valid report of the message is used
		})
	}
}

func TestIncarnationsOfOneInstance(t *testing.T) {
	const earlier, later = 1, 2
	cases := map[string]struct {
		run  func(f *Fleet)
		want bbunit.Incarnation
	}{
		"a later incarnation replaces the earlier": {func(f *Fleet) {
			f.HandleGossip(simStart, []Report{testReport("a", earlier, heartbeatAt(0))})
			f.HandleGossip(simStart, []Report{testReport("a", later, heartbeatAt(time.Minute))})
		}, later},
		"an earlier incarnation that resumes is ignored": {func(f *Fleet) {
			f.HandleGossip(simStart, []Report{testReport("a", later, heartbeatAt(time.Minute))})
			f.HandleGossip(simStart, []Report{testReport("a", earlier, heartbeatAt(30*time.Second))})
			f.HandleHello(simStart, testReport("a", earlier, 0).Member)
		}, later},
		"a later incarnation whose clock is behind is accepted once the earlier is forgotten": {func(f *Fleet) {
			f.HandleGossip(simStart, []Report{testReport("a", earlier, heartbeatAt(time.Minute))})
			f.UpdateList(simStart, []ListEntry{{ID: "a", Domain: "d1", Address: "10.0.0.2:1"}})
			for i := range 70 {
				f.Tick(simStart.Add(time.Duration(i) * time.Second))
			}
			f.HandleGossip(simStart, []Report{testReport("a", later, heartbeatAt(0))})
		}, later},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			c.run(f)
			m, ok := f.View().Find("a")
			is.True(ok)
			is.Equal(m.Inc, c.want)
		})
	}
	t.Run("a Hello of an earlier incarnation does not keep the later one in the view", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		f.HandleGossip(simStart, []Report{testReport("a", later, heartbeatAt(0))})
		at := simStart
		for range 10 {
			at = at.Add(time.Second)
			f.Tick(at)
		}
		f.RecordFailure(at, "a")
		f.HandleHello(at, testReport("a", earlier, 0).Member)
		_, ok := f.View().Find("a")
		is.True(!ok)
	})
	t.Run("an instance detects that it was superseded", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		is.True(f.HandleGossip(simStart, []Report{testReport("self", 10, heartbeatAt(time.Minute))}).Superseded)
		is.True(!f.HandleGossip(simStart, []Report{testReport("self", 8, heartbeatAt(-time.Minute))}).Superseded)
		is.Equal(f.View().Self.Inc, bbunit.Incarnation(9))
	})
}

func TestLeavingReportOverridesList(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	live := []ListEntry{{ID: "a", Domain: "d1", Address: "10.0.0.2:1"}}
	f.UpdateList(simStart, live)
	f.HandleGossip(simStart, []Report{testReport("a", 1, heartbeatAt(0))})
	r := testReport("a", 1, heartbeatAt(0)+1)
	r.Leaving = true
	f.HandleGossip(simStart, []Report{r})
	f.UpdateList(simStart, live) // the list still says live
	_, ok := f.View().Home("k", "d1")
	is.True(ok)
	m, _ := f.View().Find("a")
	is.True(m.Leaving)
	r.Leaving, r.Heartbeat = false, r.Heartbeat+1
	f.HandleGossip(simStart, []Report{r})
	m, _ = f.View().Find("a")
	is.True(m.Leaving) // an incarnation that is leaving stays so

	f.HandleGossip(simStart, []Report{testReport("a", 2, heartbeatAt(time.Minute))})
	f.UpdateList(simStart, []ListEntry{{ID: "a", Domain: "d1", Address: "10.0.0.2:1", Leaving: true, Since: simStart.UnixMilli()}})
	m, _ = f.View().Find("a")
	is.True(!m.Leaving) // the entry is older than this incarnation
}

func TestClockJumpsKeepTheView(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour, 10 * time.Second} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			f.HandleGossip(simStart, []Report{testReport("a", 1, heartbeatAt(0))})
			f.Tick(simStart.Add(time.Second))
			f.RecordFailure(simStart.Add(jump), "a")
			f.Tick(simStart.Add(jump))
			f.Tick(simStart.Add(jump + time.Second))
			_, ok := f.View().Find("a")
			is.True(ok)
			for i := range 12 {
				f.Tick(simStart.Add(jump + time.Duration(i)*time.Second))
			}
			_, ok = f.View().Find("a")
			is.True(!ok) // silence after the jump is still detected
		})
	}
}

func TestSuspicionNeedsAFailedConnection(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	f.HandleGossip(simStart, []Report{testReport("a", 1, heartbeatAt(0))})
	probed := false
	at := simStart
	for range 10 {
		at = at.Add(time.Second)
		a := f.Tick(at)
		probed = probed || len(a.Probe) > 0
	}
	is.True(probed)
	_, ok := f.View().Find("a")
	is.True(ok) // silent, but no connection has failed yet
	f.RecordFailure(at, "a")
	_, ok = f.View().Find("a")
	is.True(!ok)
	f.HandleHello(at, testReport("a", 1, 0).Member)
	_, ok = f.View().Find("a")
	is.True(ok)
}

func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	s := newSim(48, 4, 3)
	s.run(10)
	inFirstDomain := func(instance *simInstance) bool { return instance.Member.Domain == s.instances[0].Member.Domain }
	s.partitioned = func(a, b *simInstance) bool { return inFirstDomain(a) != inFirstDomain(b) }
	split := s.runUntil(120, func(instance *simInstance) bool {
		for _, m := range instance.View().Members {
			if inFirstDomain(s.byID[m.ID]) != inFirstDomain(instance) {
				return false
			}
		}
		return true
	})
	s.run(120)
	s.partitioned = func(_, _ *simInstance) bool { return false }
	healed := s.runUntil(60, func(instance *simInstance) bool { return len(instance.View().Members) == len(s.instances) })
	t.Logf("partition detected by all after %d s, healed after %d s", split, healed)
	is.True(split >= 0)
	is.True(healed >= 0 && healed <= 30)
}

// TestViewInvariants checks the view after random sequences of events.
func TestViewInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet()
		at := simStart
		leaving := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(-5000, 20000).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("m%d", rapid.IntRange(0, 3).Draw(t, "id"))
			inc, heartbeat := rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(0, 9).Draw(t, "beat")
			r := testReport(id, inc, heartbeatAt(time.Duration(inc)*time.Minute)+heartbeat)
			r.Leaving = heartbeat >= 5 // each incarnation begins to leave at its fifth heartbeat
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.HandleGossip(at, []Report{r})
			case 1:
				f.UpdateList(at, []ListEntry{{ID: r.ID, Domain: r.Domain, Address: r.Address}})
			case 2:
				hello := r.Member
				hello.Leaving = false // a Hello does not carry it
				f.HandleHello(at, hello)
			case 3:
				f.RecordFailure(at, r.ID)
			case 4:
				f.RecordContact(at, []Member{r.Member})
			default:
				f.Tick(at)
			}
			checkView(t, f, leaving)
		}
	})
}

// checkView fails unless the view is sorted, contains this instance once, and
// no incarnation that was leaving is live again.
func checkView(t *rapid.T, f *Fleet, leavingIncarnations map[string]bool) {
	v := f.View()
	self := 0
	for i, m := range v.Members {
		if i > 0 && v.Members[i-1].ID >= m.ID {
			t.Fatalf("view is not sorted: %v", v.Members)
		}
		if m.ID == "self" {
			self++
		}
		incarnation := fmt.Sprint(m.ID, m.Inc)
		if m.Inc != 0 && leavingIncarnations[incarnation] && !m.Leaving {
			t.Fatalf("%s was leaving and is live again", incarnation)
		}
		leavingIncarnations[incarnation] = leavingIncarnations[incarnation] || m.Leaving
	}
	if self != 1 {
		t.Fatalf("this instance is in its view %d times, want once", self)
	}
}

// A member that sent a Hello but whose heartbeat is unknown is not reported:
// receivers would drop the report as malformed.
func TestMembersWithoutHeartbeatAreNotReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	member := func(id bbunit.InstanceID) Member {
		return Member{ID: id, Inc: 7, Domain: "d", Address: "10.0.0.1:80"}
	}
	f := NewFleet(member("a"), DefaultConfig(time.Second, 5*time.Second), now, rand.New(rand.NewPCG(1, 1)))
	f.HandleHello(now, member("b"))
	f.HandleHello(now, member("c"))
	for _, m := range f.Tick(now.Add(time.Second)).Send {
		for _, r := range m.Reports {
			is.True(r.Heartbeat > 0)
		}
	}
}
