package bbcrash

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// observe records a crash that an instance saw just now, of a request sent a
// while before.
func (n *simNode) observe(fingerprint uint64, run TargetRun, flight time.Duration) {
	now := n.sim.Now()
	n.tracker.RecordCrash(Observation{Fingerprint: fingerprint, Run: run, SentAt: now.Add(-flight), BrokenAt: now})
}

// newSingle returns a fleet of one instance.
func newSingle() (*simulation, *simNode) {
	s := newSimulation(1, 0, 1)
	return s, s.nodes[0]
}

func TestTargetThatCrashesAgainCountsAgain(t *testing.T) {
	for name, started := range map[string]int64{"start unknown": 0, "start not yet updated": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, n := newSingle()
			run := TargetRun{ID: "only", StartedAtMillis: started}
			n.observe(guilty, run, time.Millisecond)
			is.True(!n.tracker.IsRefused(guilty))
			s.Run(time.Second)
			n.observe(guilty, run, time.Millisecond)
			is.True(n.tracker.IsRefused(guilty))
		})
	}
}

func TestAnswerClearsEarlierCrashes(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	for range 2 {
		n.observe(7, s.newRun(), time.Millisecond)
		s.Run(time.Second)
	}
	is.True(n.tracker.IsRefused(7))
	n.tracker.RecordAnswer(7, nil, time.Time{}) // it was in flight at another target meanwhile
	is.True(!n.tracker.IsRefused(7))
	is.True(!n.tracker.IsSuspect(7))
}

func TestAnswersAreRememberedWhileOthersAreServed(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	s.Skip(time.Minute)
	n.tracker.RecordAnswer(7, nil, time.Time{})
	for i := range uint64(10_000) {
		n.tracker.RecordAnswer(1000+i, nil, time.Time{})
	}
	crash := func(from, to time.Duration) *bbwire.Crash {
		run := s.newRun()
		return &bbwire.Crash{Id: uint64(newCrashID(run)), Target: string(run.ID), Age: micros(from), Flight: micros(from - to), Counted: true}
	}
	verdict := &bbwire.CrashRecord{Print: 7, Crashes: []*bbwire.Crash{crash(30*time.Second, 29*time.Second), crash(20*time.Second, 19*time.Second)}}
	n.Deliver("other", &bbwire.Envelope{Body: &bbwire.Envelope_Crashes{Crashes: &bbwire.Crashes{Verdicts: []*bbwire.CrashRecord{verdict}}}})
	is.True(!n.tracker.IsRefused(7))
}

func TestRequestThatTurnsBadIsRefused(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	n.tracker.RecordAnswer(guilty, nil, time.Time{})
	for i := range 3 {
		is.True(!n.tracker.IsRefused(guilty)) // crash i
		s.Run(time.Second)
		n.observe(guilty, s.newRun(), time.Duration(i+1)*time.Millisecond)
	}
	s.Run(objectionPeriod + 2*tickInterval)
	is.True(n.tracker.IsRefused(guilty))
}

func TestTargetThatAnswersOnAnOldConnectionHasNotCrashed(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	first, second := s.newRun(), s.newRun()
	opened := s.Now()
	s.Run(time.Second)
	n.observe(7, first, time.Millisecond)
	s.Run(time.Second)
	n.observe(7, second, time.Millisecond)
	is.True(n.tracker.IsRefused(7))
	crashedAt := s.Now()
	s.Run(time.Second)
	n.tracker.RecordTargetAnswer(second, s.Now(), s.Now()) // a new connection proves nothing
	is.True(n.tracker.IsRefused(7))
	n.tracker.RecordTargetAnswer(second, opened, crashedAt) // an answer that was under way proves nothing
	is.True(n.tracker.IsRefused(7))
	n.tracker.RecordTargetAnswer(second, opened, s.Now())
	is.True(!n.tracker.IsRefused(7))
}

func TestOtherCrashesPutAVerdictInDoubt(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	for range 2 {
		n.observe(7, s.newRun(), time.Millisecond)
		s.Run(time.Second)
	}
	is.True(n.tracker.IsRefused(7))
	n.observe(8, s.newRun(), time.Millisecond)
	s.Run(2 * tickInterval)
	is.True(!n.tracker.IsRefused(7))
	n.observe(7, s.newRun(), time.Millisecond)
	is.True(n.tracker.IsRefused(7))
}

func TestRecordsExpireAndAreBounded(t *testing.T) {
	is := is.New(t)
	s, n := newSingle()
	for range 2 {
		n.observe(guilty, s.newRun(), time.Millisecond)
		s.Run(time.Second)
	}
	s.Run(backgroundPeriod + time.Second)
	run := s.newRun()
	for i := range uint64(maxRecords + 100) {
		n.observe(1000+i, run, time.Millisecond)
	}
	s.Run(2 * time.Second)
	is.True(len(n.tracker.records) <= maxRecords)
	is.True(n.tracker.IsRefused(guilty)) // others go first
	s.Skip(suspectTTL)
	s.Run(2 * time.Second)
	is.Equal(len(n.tracker.records), 1)
	is.True(n.tracker.IsRefused(guilty))
	s.Skip(refusedTTL)
	s.Run(2 * time.Second)
	is.Equal(len(n.tracker.records), 0)
	is.Equal(n.tracker.digest, uint64(0))
}

func TestMalformedMessagesAreCountedAndChangeNothing(t *testing.T) {
	is := is.New(t)
	_, n := newSingle()
	n.Deliver("other", &bbwire.Envelope{Body: &bbwire.Envelope_Crashes{Crashes: &bbwire.Crashes{
		Verdicts: []*bbwire.CrashRecord{{Print: 1}, nil},
		Reports:  []*bbwire.CrashRecord{{Crashes: []*bbwire.Crash{{Id: 1, Target: "t"}}}},
		Acks:     []*bbwire.CrashAck{nil, {Print: 9}},
	}}})
	is.Equal(n.tracker.dropped.Count(), int64(3))
	is.Equal(len(n.tracker.records), 0)
}

func TestRankingIsTheSameEverywhereAndBalanced(t *testing.T) {
	is := is.New(t)
	s := newSimulation(50, 0, 1)
	a, b := &ranking{}, &ranking{}
	a.update(s.nodes[0].View())
	b.update(s.nodes[1].View())
	first := map[bbunit.InstanceID]int{}
	for fingerprint := range uint64(5000) {
		top := a.top(fingerprint, maxHomes)
		is.Equal(top, b.top(fingerprint, maxHomes))
		is.Equal(top[:homeCount], a.top(fingerprint, homeCount))
		first[top[0]]++
	}
	is.Equal(len(first), 50)
	for _, n := range first {
		is.True(n < 200) // of 100 in the mean
	}
}

// TestMessagesAreBounded checks that what an instance sends does not grow with
// the fleet: when nothing is refused it sends nothing, while a request is refused
// at most a comparison and its answer in each round.
func TestMessagesAreBounded(t *testing.T) {
	for _, instances := range []int{84, 300} {
		is := is.New(t)
		s := newSimulation(instances, 0, 1)
		s.Run(20 * time.Second) // all have asked what the fleet refuses
		count := func(d time.Duration) (messages, bytes float64) {
			s.Messages, s.Bytes = 0, 0
			s.Run(d)
			return float64(s.Messages) / float64(instances) / d.Seconds(), float64(s.Bytes) / float64(instances) / d.Seconds()
		}
		messages, bytes := count(10 * time.Second)
		is.Equal(messages, 0.0)
		is.Equal(bytes, 0.0)
		for range 2 {
			s.nodes[0].observe(guilty, s.newRun(), time.Millisecond)
			s.Run(time.Second)
		}
		messages, bytes = count(10 * time.Second)
		t.Logf("%d instances, just refused: %.1f messages and %.0f bytes a second for each instance", instances, messages, bytes)
		is.True(messages <= 2*float64(time.Second/busyRoundInterval))
		s.Run(busyRoundPeriod)
		messages, bytes = count(10 * time.Second)
		t.Logf("%d instances, later: %.1f messages and %.0f bytes a second for each instance", instances, messages, bytes)
		is.True(messages <= 2*float64(time.Second)/float64(quietRoundInterval))
	}
}

// homesOf returns the instances that collect the crashes of a fingerprint.
func (s *simulation) homesOf(fingerprint uint64) []*simNode {
	r := &ranking{}
	r.update(s.nodes[0].View())
	var homes []*simNode
	for _, id := range r.top(fingerprint, homeCount) {
		for _, n := range s.nodes {
			if n.Member.ID == id {
				homes = append(homes, n)
			}
		}
	}
	return homes
}

func TestEvidenceReachesHomesThatRestart(t *testing.T) {
	is := is.New(t)
	s := newSimulation(30, 0.3, 1)
	s.Run(3 * time.Second)
	homes := s.homesOf(guilty)
	reporter := s.nodes[0]
	for i := 1; homes[0] == reporter || homes[1] == reporter || homes[2] == reporter; i++ {
		reporter = s.nodes[i]
	}
	reporter.observe(guilty, s.newRun(), time.Millisecond)
	s.Run(2 * time.Second)
	for _, home := range homes {
		is.Equal(home.tracker.record(guilty).valid(), 1)
		s.Kill(home.Node)
		s.Start(home.Node)
	}
	s.Run(4 * time.Second)
	for _, home := range homes {
		is.Equal(home.tracker.record(guilty).valid(), 1)
	}
}
