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
		r    LoadReport
		err  error
	}{
		{"good", LoadReport{Running: 1, Slots: 8, SampledAt: testNow}, nil},
		{"negative running", LoadReport{Running: -1, SampledAt: testNow}, ErrBadReport},
		{"negative waiting", LoadReport{Waiting: -1, SampledAt: testNow}, ErrBadReport},
		{"negative slots", LoadReport{Slots: -1, SampledAt: testNow}, ErrBadReport},
		{"absurd", LoadReport{Running: reportMost + 1, SampledAt: testNow}, ErrBadReport},
		{"from the future", LoadReport{SampledAt: testNow.Add(reportSkew + 1)}, ErrBadReport},
		{"within the skew", LoadReport{SampledAt: testNow.Add(reportSkew)}, nil},
		{"too old", LoadReport{SampledAt: testNow.Add(-reportKeep - 1)}, ErrStaleReport},
		{"no time", LoadReport{}, ErrStaleReport},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewTargetState("t", testNow)
			_, err := k.Observe(c.r, testNow)
			is.True(errors.Is(err, c.err) || err == c.err)
			is.Equal(k.report.Load() != nil, c.err == nil) // a bad one changes nothing
		})
	}
}

func TestObserveNeverGoesBack(t *testing.T) {
	is := is.New(t)
	k := NewTargetState("t", testNow)
	_, err := k.Observe(LoadReport{Running: 2, SampledAt: testNow}, testNow)
	is.NoErr(err)
	_, err = k.Observe(LoadReport{Running: 9, SampledAt: testNow.Add(-time.Second)}, testNow)
	is.True(errors.Is(err, ErrStaleReport))
	is.Equal(k.report.Load().Running, 2)
}

func TestLeavingWords(t *testing.T) {
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	report := func(k *TargetState, asked, now float64, leaving bool) {
		_, _ = k.Observe(LoadReport{SampledAt: at(asked), Leaving: leaving}, at(now))
	}
	for _, c := range []struct {
		name string
		do   func(k *TargetState)
		want bool
	}{
		{"its report", func(k *TargetState) { report(k, 0, 0, true) }, true},
		{"its refusal", func(k *TargetState) { k.MarkLeaving(at(0)) }, true},
		{"a peer's word", func(k *TargetState) { k.MarkLeavingByPeer(at(0)) }, true},
		{"a report made before the word came", func(k *TargetState) { k.MarkLeaving(at(1)); report(k, 0.5, 1.5, false) }, true},
		{"a report made just after it", func(k *TargetState) { k.MarkLeaving(at(1)); report(k, 2, 2, false) }, true},
		{"a report made well after it", func(k *TargetState) { k.MarkLeaving(at(1)); report(k, 7, 7, false) }, false},
		{"a peer's old word after that", func(k *TargetState) {
			k.MarkLeaving(at(1))
			report(k, 7, 7, false)
			k.MarkLeavingByPeer(at(8))
		}, false},
		{"its refusal after that", func(k *TargetState) {
			k.MarkLeaving(at(1))
			report(k, 7, 7, false)
			k.MarkLeaving(at(8))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewTargetState("t", testNow)
			c.do(k)
			is.Equal(k.Leaving(), c.want)
		})
	}
}
