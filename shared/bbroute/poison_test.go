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

// TestCrashTablesConverge checks that instances that receive the same records
// end with the same table, in whichever order, grouping and number of
// repetitions they receive them.
func TestCrashTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) CrashRecord {
			var ids []bbunit.TargetID
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 15), 1, 4).Draw(t, "targets") {
				ids = append(ids, bbunit.TargetID(fmt.Sprintf("t%02d", i)))
			}
			return CrashRecord{Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "fingerprint"), Targets: ids}
		})
		records := rapid.SliceOfN(generator, 1, 20).Draw(t, "records")
		a, b := &CrashTable{}, &CrashTable{}
		for _, record := range records {
			a, _ = a.With(record.Fingerprint, record.Targets, testNow, testPoisonPolicy)
		}
		for _, record := range rapid.Permutation(append(records, records[0])).Draw(t, "order") {
			b, _ = b.With(record.Fingerprint, record.Targets, testNow, testPoisonPolicy)
		}
		for _, record := range a.Records() { // b already has all records of a
			var changed bool
			if b, changed = b.With(record.Fingerprint, record.Targets, testNow, testPoisonPolicy); changed {
				t.Fatalf("%v changed the table", record)
			}
		}
		if fmt.Sprint(a.Records()) != fmt.Sprint(b.Records()) {
			t.Fatalf("tables differ: %v and %v", a.Records(), b.Records())
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
	is.Equal(table.CrashCount(2), 2) // not a suspect
}

func TestCrashTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := &CrashTable{}
	table, _ = table.With(1, []bbunit.TargetID{"a", "b"}, testNow, testPoisonPolicy)
	for i := range uint64(300) {
		table, _ = table.With(i+2, []bbunit.TargetID{"a"}, testNow.Add(time.Duration(i)), testPoisonPolicy)
	}
	is.Equal(table.Len(), testPoisonPolicy.MaxFingerprints)
	is.Equal(table.CrashCount(1), 2) // suspects are evicted first
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
