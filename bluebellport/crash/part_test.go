package bbcrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbwire"
)

// observePart records a crash, just now, of a new target under a request with parts
// that was sent a moment before.
func (n *simNode) observePart(parts ...Part) {
	now := n.sim.Now()
	n.tracker.RecordCrash(Observation{Parts: parts, Fingerprint: n.sim.Rand.Uint64() | 1, Run: n.sim.newRun(), SentAt: now.Add(-50 * time.Millisecond), BrokenAt: now})
}

// newPartSingle returns an instance that has run for a while and had answers, and a
// part under which as many targets have crashed as refuse it.
func newPartSingle() (*simulation, *simNode, Part) {
	s, n := newSingle()
	part := NewPart("guilty")
	n.tracker.RecordAnswer(1, []Part{NewPart("other")}, s.Now().Add(-100*time.Millisecond))
	s.Run(maxLearnPeriod)
	for range quickPartThreshold {
		s.Run(200 * time.Millisecond)
		n.observePart(part)
	}
	return s, n, part
}

func isRefusedPart(n *simNode, p Part) bool {
	_, ok := n.tracker.RefusedPart([]Part{NewPart("other"), p})
	return ok
}

func TestPartIsProposedBeforeItIsRefused(t *testing.T) {
	is := is.New(t)
	s, n, part := newPartSingle()
	is.True(n.tracker.HasProposedPart([]Part{part}))
	is.True(!isRefusedPart(n, part))
	s.Run(partObjectionPeriod + 2*tickInterval)
	is.True(isRefusedPart(n, part))
	is.Equal(len(n.tracker.Crashes(part.Fingerprint)), quickPartThreshold)
	s.Skip(partTTL)
	s.Run(2 * time.Second)
	is.True(!isRefusedPart(n, part))
	is.Equal(n.tracker.partDigest, uint64(0))
}

func TestOnlyAnAnswerSentAfterTheCrashesClearsAPart(t *testing.T) {
	is := is.New(t)
	s, n, part := newPartSingle()
	s.Run(partObjectionPeriod + 2*tickInterval)
	is.True(isRefusedPart(n, part))
	n.tracker.RecordAnswer(2, []Part{part}, s.Now())
	s.Run(2 * tickInterval)
	is.True(!isRefusedPart(n, part))
	is.True(!n.tracker.HasProposedPart([]Part{part}))
}

func TestAnswerElsewhereObjectsToAVerdictOnAPart(t *testing.T) {
	is := is.New(t)
	s := newSimulation(8, 0.3, 1)
	s.Run(maxLearnPeriod)
	part := NewPart("popular")
	for range quickPartThreshold {
		s.Run(200 * time.Millisecond)
		s.nodes[1].observePart(part)
	}
	s.nodes[7].tracker.RecordAnswer(1, []Part{part}, s.Now())
	for range 40 {
		s.Run(100 * time.Millisecond)
		for _, n := range s.nodes {
			is.True(!isRefusedPart(n, part))
		}
	}
}

func TestInstancesOfTheEarlierVersionSeeNoParts(t *testing.T) {
	is := is.New(t)
	_, n, part := newPartSingle()
	msg := &bbwire.Crashes{}
	setVerdicts(msg, []Record{n.tracker.records[part.Fingerprint].Record}, n.sim.Now())
	is.Equal(len(msg.Verdicts), 0)
	is.Equal(len(msg.PartVerdicts), 1)
	is.Equal(n.tracker.digest, uint64(0))
}

// TestPartMessagesAreBounded checks what instances send while a part crashes targets,
// and after the crash of all targets.
func TestPartMessagesAreBounded(t *testing.T) {
	for _, instances := range []int{84, 300} {
		for _, storm := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d instances, storm %t", instances, storm), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l := newPartLoad(instances, 94, 0.3, 1)
				l.every(200, l.sendSound)
				l.Run(5 * time.Second)
				if storm {
					l.addGuilty("guilty", 2, 10)
				} else {
					l.crashShare(1, 0)
				}
				for _, d := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
					l.Messages, l.Bytes = 0, 0
					l.Run(d)
					perInstance := d.Seconds() * float64(instances)
					messages, bytes := float64(l.Messages)/perInstance, float64(l.Bytes)/perInstance
					t.Logf("next %s: %.1f messages and %.0f bytes a second for each instance", d, messages, bytes)
					is.True(messages < 200)
					is.True(bytes < 500e3)
				}
			})
		}
	}
}

// BenchmarkRefusedPart measures the check of a request with four parts.
func BenchmarkRefusedPart(b *testing.B) {
	parts := []Part{NewPart("first"), NewPart("account"), NewPart("second"), NewPart("session")}
	for _, refused := range []bool{false, true} {
		b.Run(fmt.Sprintf("a part refused %t", refused), func(b *testing.B) {
			s, n, part := newPartSingle()
			if s.Run(2 * time.Second); !refused {
				n.tracker.RecordAnswer(2, []Part{part}, s.Now())
				s.Run(time.Second)
			}
			b.ReportAllocs()
			for b.Loop() {
				n.tracker.RefusedPart(parts)
			}
		})
	}
}

// BenchmarkPartAnswer measures the record of an answer to a request with four parts,
// of which one is new each time.
func BenchmarkPartAnswer(b *testing.B) {
	s, n := newSingle()
	parts := []Part{NewPart("first"), NewPart("account"), NewPart("second"), NewPart("session")}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		parts[3].Fingerprint = i + 1
		n.tracker.RecordAnswer(i+1, parts, s.Now())
	}
}
