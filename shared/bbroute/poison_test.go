package bbroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
)

var testPoisonPolicy = &PoisonPolicy{CrashThreshold: 2, SuspectTTL: time.Minute, MaxFingerprints: 100}

// TestCrashTablesConverge holds that instances which hear the same marks, in any
// order, any number of times and with any grouping, refuse the same requests.
func TestCrashTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) CrashRecord {
			var ids []bbunit.TargetID
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 15), 1, 4).Draw(t, "targets") {
				ids = append(ids, bbunit.TargetID(fmt.Sprintf("t%02d", i)))
			}
			return CrashRecord{Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "print"), Targets: ids}
		})
		records := rapid.SliceOfN(record, 1, 20).Draw(t, "marks")
		a, b := &CrashTable{}, &CrashTable{}
		for _, m := range records {
			a, _ = a.With(m.Fingerprint, m.Targets, testNow, testPoisonPolicy)
		}
		for _, m := range rapid.Permutation(append(records, records[0])).Draw(t, "order") {
			b, _ = b.With(m.Fingerprint, m.Targets, testNow, testPoisonPolicy)
		}
		for _, m := range a.Records() { // what a tells b on top changes nothing
			var changed bool
			if b, changed = b.With(m.Fingerprint, m.Targets, testNow, testPoisonPolicy); changed {
				t.Fatalf("%v was news", m)
			}
		}
		if fmt.Sprint(a.Records()) != fmt.Sprint(b.Records()) {
			t.Fatalf("%v and %v", a.Records(), b.Records())
		}
	})
}

func TestCrashCountIsOfDistinctTargets(t *testing.T) {
	is := is.New(t)
	table := &CrashTable{}
	table, changed := table.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonPolicy)
	is.True(changed)
	table, changed = table.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonPolicy)
	is.True(!changed)
	is.Equal(table.CrashCount(1), 1)
	table, _ = table.With(1, []bbunit.TargetID{"b"}, testNow, testPoisonPolicy)
	is.Equal(table.CrashCount(1), 2)
	is.Equal(table.CrashCount(2), 0)
}

func TestExpireRemovesOnlySuspects(t *testing.T) {
	is := is.New(t)
	table := &CrashTable{}
	table, _ = table.With(1, []bbunit.TargetID{"a"}, testNow, testPoisonPolicy)
	table, _ = table.With(2, []bbunit.TargetID{"a", "b"}, testNow, testPoisonPolicy)
	table = table.Expire(testNow.Add(time.Hour), testPoisonPolicy)
	is.Equal(table.CrashCount(1), 0)
	is.Equal(table.CrashCount(2), 2) // refused for good
}

func TestCrashTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := &CrashTable{}
	table, _ = table.With(1, []bbunit.TargetID{"a", "b"}, testNow, testPoisonPolicy)
	for i := range uint64(300) {
		table, _ = table.With(i+2, []bbunit.TargetID{"a"}, testNow.Add(time.Duration(i)), testPoisonPolicy)
	}
	is.Equal(table.Len(), testPoisonPolicy.MaxFingerprints)
	is.Equal(table.CrashCount(1), 2) // suspects make room first
	is.Equal(table.CrashCount(301), 1)
	is.Equal(table.CrashCount(2), 0)
}

func TestKnownGood(t *testing.T) {
	is := is.New(t)
	k := &KnownGood{}
	is.True(!k.Contains(0))
	is.True(!k.Contains(5))
	k.Add(5)
	is.True(k.Contains(5))
}
