package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

var testPoisonRule = &PoisonPolicy{CrashThreshold: 2, SuspectTTL: time.Minute, MaxFingerprints: 100}

// TestPoisonsConverge holds that instances which hear the same marks, in any
// order, any number of times and with any grouping, refuse the same requests.
func TestPoisonsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mark := rapid.Custom(func(t *rapid.T) CrashRecord {
			var ids []bbunit.TargetID
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 15), 1, 4).Draw(t, "targets") {
				ids = append(ids, bbunit.TargetID(fmt.Sprintf("t%02d", i)))
			}
			return CrashRecord{Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "print"), Targets: ids}
		})
		marks := rapid.SliceOfN(mark, 1, 20).Draw(t, "marks")
		a, b := &CrashTable{}, &CrashTable{}
		for _, m := range marks {
			a, _ = a.With(m.Fingerprint, m.Targets, testNow, testPoisonRule)
		}
		for _, m := range rapid.Permutation(append(marks, marks[0])).Draw(t, "order") {
			b, _ = b.With(m.Fingerprint, m.Targets, testNow, testPoisonRule)
		}
		for _, m := range a.Records() { // what a tells b on top changes nothing
			var news bool
			if b, news = b.With(m.Fingerprint, m.Targets, testNow, testPoisonRule); news {
				t.Fatalf("%v was news", m)
			}
		}
		if fmt.Sprint(a.Records()) != fmt.Sprint(b.Records()) {
			t.Fatalf("%v and %v", a.Records(), b.Records())
		}
	})
}

func TestPoisonCountsDistinctTargets(t *testing.T) {
	is := is.New(t)
	p := &CrashTable{}
	p, news := p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	is.True(news)
	p, news = p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	is.True(!news)
	is.Equal(p.CrashCount(1), 1)
	p, _ = p.With(1, []bbunit.TargetID{"b"}, testNow, testPoisonRule)
	is.Equal(p.CrashCount(1), 2)
	is.Equal(p.CrashCount(2), 0)
}

func TestPoisonsExpireOnlySuspects(t *testing.T) {
	is := is.New(t)
	p := &CrashTable{}
	p, _ = p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	p, _ = p.With(2, []bbunit.TargetID{"a", "b"}, testNow, testPoisonRule)
	p = p.Expire(testNow.Add(time.Hour), testPoisonRule)
	is.Equal(p.CrashCount(1), 0)
	is.Equal(p.CrashCount(2), 2) // refused for good
}

func TestPoisonsAreBounded(t *testing.T) {
	is := is.New(t)
	p := &CrashTable{}
	p, _ = p.With(1, []bbunit.TargetID{"a", "b"}, testNow, testPoisonRule)
	for i := range uint64(300) {
		p, _ = p.With(i+2, []bbunit.TargetID{"a"}, testNow.Add(time.Duration(i)), testPoisonRule)
	}
	is.Equal(p.Len(), testPoisonRule.MaxFingerprints)
	is.Equal(p.CrashCount(1), 2) // suspects make room first
	is.Equal(p.CrashCount(301), 1)
	is.Equal(p.CrashCount(2), 0)
}

func TestProven(t *testing.T) {
	is := is.New(t)
	p := &KnownGood{}
	is.True(!p.Contains(0))
	is.True(!p.Contains(5))
	p.Add(5)
	is.True(p.Contains(5))
}
