package bbcrash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

var testStart = time.Unix(1e9, 0)

// testCrash returns a crash of a target of its own, seen by instance i, of a
// request in flight from one time to another, in seconds.
func testCrash(i int, from, to float64) Crash {
	seconds := func(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }
	run := TargetRun{ID: bbunit.TargetID(fmt.Sprintf("t%d-%g", i, to)), StartedAtMillis: 1}
	return Crash{ID: newCrashID(run), Run: run, Instance: bbunit.InstanceID(fmt.Sprint("i", i)), SentAt: seconds(from), BrokenAt: seconds(to)}
}

// TestCrashRecordsConverge checks that instances that receive the same reports
// end with the same records, in whichever order, grouping and number of
// repetitions they receive them.
func TestCrashRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) Crash {
			c := testCrash(rapid.IntRange(0, 3).Draw(t, "instance"), 0, float64(rapid.IntRange(1, 4).Draw(t, "target")))
			c.Excused, c.Disproved = rapid.Bool().Draw(t, "excused"), rapid.Bool().Draw(t, "disproved")
			c.Counted, c.Doubted = rapid.Bool().Draw(t, "counted"), rapid.Bool().Draw(t, "doubted")
			return c
		})
		crashes := rapid.SliceOfN(generator, 1, 20).Draw(t, "crashes")
		var a, b Record
		for _, c := range crashes {
			a = a.with(c)
		}
		shuffled := rapid.Permutation(append(crashes, crashes[0])).Draw(t, "order")
		n := rapid.IntRange(0, len(shuffled)).Draw(t, "group")
		b = b.with(shuffled[:n]...).with(shuffled[n:]...)
		if fmt.Sprint(a) != fmt.Sprint(b) || a.digest() != b.digest() {
			t.Fatalf("records differ: %v and %v", a, b)
		}
		if again := b.with(a.Crashes...); again.digest() != b.digest() {
			t.Fatalf("a record merged again changed: %v and %v", b, again)
		}
	})
}

func TestRecordKeepsTheNewestCrashes(t *testing.T) {
	is := is.New(t)
	var r Record
	for i := range 2 * maxCrashes {
		r = r.with(testCrash(i, 0, float64(i+1)))
	}
	is.Equal(len(r.Crashes), maxCrashes)
	is.Equal(r.lastCrashAt(), testStart.Add(2*maxCrashes*time.Second))
	for _, c := range r.Crashes {
		is.True(c.BrokenAt.After(testStart.Add(maxCrashes * time.Second)))
	}
}

// TestVerdict lists which crashes suffice to refuse a request.
func TestVerdict(t *testing.T) {
	excused := func(c Crash) Crash { c.Excused = true; return c }
	disproved := func(c Crash) Crash { c.Disproved = true; return c }
	for _, row := range []struct {
		name       string
		crashes    []Crash
		background int
		refused    bool
	}{
		{"one crash", []Crash{testCrash(1, 0, 1)}, 0, false},
		{"two in sequence", []Crash{testCrash(1, 0, 1), testCrash(2, 1.1, 2)}, 0, true},
		{"two in sequence within milliseconds, one instance", []Crash{testCrash(1, 0, 0.002), testCrash(1, 0.003, 0.005)}, 0, true},
		{"the same crash, seen twice", []Crash{testCrash(1, 0, 1), testCrash(1, 0, 1)}, 0, false},
		{"two at the same time", []Crash{testCrash(1, 0, 1), testCrash(2, 0, 1.3)}, 0, false},
		{"two at the same time, sent just before", []Crash{testCrash(1, 0.995, 1), testCrash(2, 0.995, 1)}, 0, false},
		{"three at the same time, no other target", []Crash{testCrash(1, 0, 1), testCrash(2, 0, 1), testCrash(3, 0, 1)}, 0, true},
		{"three at the same time among others", []Crash{testCrash(1, 0, 1), testCrash(2, 0, 1), testCrash(3, 0, 1)}, 5, false},
		{"two in sequence among others", []Crash{testCrash(1, 0, 1), testCrash(2, 1.1, 2)}, 1, false},
		{"three in sequence among others", []Crash{testCrash(1, 0, 1), testCrash(2, 1.1, 2), testCrash(3, 2.1, 3)}, 9, true},
		{"two in sequence, answered before", []Crash{excused(testCrash(1, 0, 1)), excused(testCrash(2, 1.1, 2))}, 0, false},
		{"three in sequence, answered before", []Crash{excused(testCrash(1, 0, 1)), excused(testCrash(2, 1.1, 2)), excused(testCrash(3, 2.1, 3))}, 0, true},
		{"two in sequence, one disproved", []Crash{disproved(testCrash(1, 0, 1)), testCrash(2, 1.1, 2)}, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := Record{Fingerprint: 1}.with(row.crashes...)
			is.Equal(r.shouldRefuse(2, row.background), row.refused)
			if row.refused {
				is.True(r.count(2).isRefused(2))
				is.True(r.count(2).verdict().isRefused(2)) // what other instances get suffices
				is.True(!r.count(2).disprove(isValid).isRefused(2))
			}
		})
	}
}

func TestDoubtNeedsOneMoreCrash(t *testing.T) {
	is := is.New(t)
	r := Record{Fingerprint: 1}.with(testCrash(1, 0, 1), testCrash(2, 1.1, 2)).count(2)
	is.True(r.isRefused(2))
	r = r.doubt()
	is.True(!r.isRefused(2))
	is.True(!r.with(testCrash(3, 0.5, 1.5)).count(2).isRefused(2))
	is.True(r.with(testCrash(3, 2.1, 3)).count(2).isRefused(2))
}

func TestMessageKeepsRecord(t *testing.T) {
	is := is.New(t)
	now := testStart.Add(time.Minute)
	c := testCrash(1, 0, 1)
	c.Excused, c.Counted = true, true
	r := Record{Fingerprint: 7}.with(c, testCrash(2, 1.5, 3))
	decoded, err := decodeRecord(encodeRecord(r, now), now.Add(time.Hour))
	is.NoErr(err)
	is.Equal(decoded.digest(), r.digest())
	for i := range r.Crashes {
		is.Equal(decoded.Crashes[i].BrokenAt, r.Crashes[i].BrokenAt.Add(time.Hour)) // each instance has a clock of its own
		is.Equal(decoded.Crashes[i].SentAt, r.Crashes[i].SentAt.Add(time.Hour))
		is.Equal(decoded.Crashes[i].Run, r.Crashes[i].Run)
		is.Equal(decoded.Crashes[i].Instance, r.Crashes[i].Instance)
	}
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	good := func() *bbwire.CrashRecord {
		return encodeRecord(Record{Fingerprint: 7}.with(testCrash(1, 0, 1)), testStart.Add(time.Second))
	}
	for name, spoil := range map[string]func(m *bbwire.CrashRecord){
		"no fingerprint":   func(m *bbwire.CrashRecord) { m.Print = 0 },
		"no crash":         func(m *bbwire.CrashRecord) { m.Crashes = nil },
		"too many crashes": func(m *bbwire.CrashRecord) { m.Crashes = make([]*bbwire.Crash, maxCrashes+1) },
		"empty crash":      func(m *bbwire.CrashRecord) { m.Crashes = append(m.Crashes, nil) },
		"no target":        func(m *bbwire.CrashRecord) { m.Crashes[0].Target = "" },
		"long target":      func(m *bbwire.CrashRecord) { m.Crashes[0].Target = string(make([]byte, maxTargetBytes+1)) },
		"too old":          func(m *bbwire.CrashRecord) { m.Crashes[0].Age = 1 << 62 },
		"too long":         func(m *bbwire.CrashRecord) { m.Crashes[0].Flight = 1 << 62 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := good()
			_, err := decodeRecord(m, testStart)
			is.NoErr(err)
			spoil(m)
			_, err = decodeRecord(m, testStart)
			is.Equal(err, errMalformed)
		})
	}
}
