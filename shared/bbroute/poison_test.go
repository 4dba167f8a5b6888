package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

var testPoisonRule = &PoisonRule{Crashes: 2, Suspect: time.Minute, Most: 100}

// TestPoisonsConverge holds that instances which hear the same marks, in any
// order, any number of times and with any grouping, refuse the same requests.
func TestPoisonsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mark := rapid.Custom(func(t *rapid.T) Mark {
			var ids []bbunit.TargetID
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 15), 1, 4).Draw(t, "targets") {
				ids = append(ids, bbunit.TargetID(fmt.Sprintf("t%02d", i)))
			}
			return Mark{Print: rapid.Uint64Range(1, 4).Draw(t, "print"), Targets: ids}
		})
		marks := rapid.SliceOfN(mark, 1, 20).Draw(t, "marks")
		a, b := &Poisons{}, &Poisons{}
		for _, m := range marks {
			a, _ = a.With(m.Print, m.Targets, testNow, testPoisonRule)
		}
		for _, m := range rapid.Permutation(append(marks, marks[0])).Draw(t, "order") {
			b, _ = b.With(m.Print, m.Targets, testNow, testPoisonRule)
		}
		for _, m := range a.Marks() { // what a tells b on top changes nothing
			var news bool
			if b, news = b.With(m.Print, m.Targets, testNow, testPoisonRule); news {
				t.Fatalf("%v was news", m)
			}
		}
		if fmt.Sprint(a.Marks()) != fmt.Sprint(b.Marks()) {
			t.Fatalf("%v and %v", a.Marks(), b.Marks())
		}
	})
}

func TestPoisonCountsDistinctTargets(t *testing.T) {
	is := is.New(t)
	p := &Poisons{}
	p, news := p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	is.True(news)
	p, news = p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	is.True(!news)
	is.Equal(p.Crashes(1), 1)
	p, _ = p.With(1, []bbunit.TargetID{"b"}, testNow, testPoisonRule)
	is.Equal(p.Crashes(1), 2)
	is.Equal(p.Crashes(2), 0)
}

func TestPoisonsExpireOnlySuspects(t *testing.T) {
	is := is.New(t)
	p := &Poisons{}
	p, _ = p.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonRule)
	p, _ = p.With(2, []bbunit.TargetID{"a", "b"}, testNow, testPoisonRule)
	p = p.Expire(testNow.Add(time.Hour), testPoisonRule)
	is.Equal(p.Crashes(1), 0)
	is.Equal(p.Crashes(2), 2) // refused for good
}

func TestPoisonsAreBounded(t *testing.T) {
	is := is.New(t)
	p := &Poisons{}
	p, _ = p.With(1, []bbunit.TargetID{"a", "b"}, testNow, testPoisonRule)
	for i := range uint64(300) {
		p, _ = p.With(i+2, []bbunit.TargetID{"a"}, testNow.Add(time.Duration(i)), testPoisonRule)
	}
	is.Equal(p.Len(), testPoisonRule.Most)
	is.Equal(p.Crashes(1), 2) // suspects make room first
	is.Equal(p.Crashes(301), 1)
	is.Equal(p.Crashes(2), 0)
}

func TestProven(t *testing.T) {
	is := is.New(t)
	p := &Proven{}
	is.True(!p.Has(0))
	is.True(!p.Has(5))
	p.Add(5)
	is.True(p.Has(5))
}
