package bbroute

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestObserveDropsBadReports(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Report
		err  error
	}{
		{"good", Report{Running: 1, Slots: 8, At: testNow}, nil},
		{"negative running", Report{Running: -1, At: testNow}, ErrReport},
		{"negative waiting", Report{Waiting: -1, At: testNow}, ErrReport},
		{"negative slots", Report{Slots: -1, At: testNow}, ErrReport},
		{"absurd", Report{Running: reportMost + 1, At: testNow}, ErrReport},
		{"from the future", Report{At: testNow.Add(reportSkew + 1)}, ErrReport},
		{"within the skew", Report{At: testNow.Add(reportSkew)}, nil},
		{"too old", Report{At: testNow.Add(-reportKeep - 1)}, ErrOldReport},
		{"no time", Report{}, ErrOldReport},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewTarget("t", testNow)
			_, err := k.Observe(c.r, testNow)
			is.True(errors.Is(err, c.err) || err == c.err)
			is.Equal(k.report.Load() != nil, c.err == nil) // a bad one changes nothing
		})
	}
}

func TestObserveNeverGoesBack(t *testing.T) {
	is := is.New(t)
	k := NewTarget("t", testNow)
	_, err := k.Observe(Report{Running: 2, At: testNow}, testNow)
	is.NoErr(err)
	_, err = k.Observe(Report{Running: 9, At: testNow.Add(-time.Second)}, testNow)
	is.True(errors.Is(err, ErrOldReport))
	is.Equal(k.report.Load().Running, 2)
}

func TestLeavingWords(t *testing.T) {
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	report := func(k *Target, asked, now float64, leaving bool) {
		_, _ = k.Observe(Report{At: at(asked), Leaving: leaving}, at(now))
	}
	for _, c := range []struct {
		name string
		do   func(k *Target)
		want bool
	}{
		{"its report", func(k *Target) { report(k, 0, 0, true) }, true},
		{"its refusal", func(k *Target) { k.Leave(at(0)) }, true},
		{"a peer's word", func(k *Target) { k.LeaveHeard(at(0)) }, true},
		{"a report made before the word came", func(k *Target) { k.Leave(at(1)); report(k, 0.5, 1.5, false) }, true},
		{"a report made just after it", func(k *Target) { k.Leave(at(1)); report(k, 2, 2, false) }, true},
		{"a report made well after it", func(k *Target) { k.Leave(at(1)); report(k, 7, 7, false) }, false},
		{"a peer's old word after that", func(k *Target) {
			k.Leave(at(1))
			report(k, 7, 7, false)
			k.LeaveHeard(at(8))
		}, false},
		{"its refusal after that", func(k *Target) {
			k.Leave(at(1))
			report(k, 7, 7, false)
			k.Leave(at(8))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewTarget("t", testNow)
			c.do(k)
			is.Equal(k.Leaving(), c.want)
		})
	}
}
