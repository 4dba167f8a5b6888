package bbroute

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestObserveRejectsBadReports(t *testing.T) {
	for _, c := range []struct {
		name   string
		report LoadReport
		want   error
	}{
		{"good", LoadReport{Running: 1, Slots: 8, SampledAt: testNow}, nil},
		{"negative running", LoadReport{Running: -1, SampledAt: testNow}, ErrBadReport},
		{"negative waiting", LoadReport{Waiting: -1, SampledAt: testNow}, ErrBadReport},
		{"negative slots", LoadReport{Slots: -1, SampledAt: testNow}, ErrBadReport},
		{"too large", LoadReport{Running: maxReportValue + 1, SampledAt: testNow}, ErrBadReport},
		{"from the future", LoadReport{SampledAt: testNow.Add(maxReportSkew + 1)}, ErrBadReport},
		{"within the skew", LoadReport{SampledAt: testNow.Add(maxReportSkew)}, nil},
		{"too old", LoadReport{SampledAt: testNow.Add(-maxReportAge - 1)}, ErrStaleReport},
		{"no time", LoadReport{}, ErrStaleReport},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := NewTargetState("t", testNow)
			_, err := target.Observe(c.report, testNow)
			is.True(errors.Is(err, c.want) || err == c.want)
			is.Equal(target.report.Load() != nil, c.want == nil) // a rejected report changes nothing
		})
	}
}

func TestObserveIgnoresOlderReports(t *testing.T) {
	is := is.New(t)
	target := NewTargetState("t", testNow)
	_, err := target.Observe(LoadReport{Running: 2, SampledAt: testNow}, testNow)
	is.NoErr(err)
	_, err = target.Observe(LoadReport{Running: 9, SampledAt: testNow.Add(-time.Second)}, testNow)
	is.True(errors.Is(err, ErrStaleReport))
	is.Equal(target.report.Load().Running, 2)
}

func TestLeavingSources(t *testing.T) {
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	report := func(target *TargetState, sampledAt, now float64, leaving bool) {
		_, _ = target.Observe(LoadReport{SampledAt: at(sampledAt), Leaving: leaving}, at(now))
	}
	for _, c := range []struct {
		name  string
		setup func(target *TargetState)
		want  bool
	}{
		{"report of the target", func(target *TargetState) { report(target, 0, 0, true) }, true},
		{"refusal by the target", func(target *TargetState) { target.MarkLeaving(at(0)) }, true},
		{"gossip of a peer", func(target *TargetState) { target.MarkLeavingByPeer(at(0)) }, true},
		{"report sampled before the mark does not clear it", func(target *TargetState) { target.MarkLeaving(at(1)); report(target, 0.5, 1.5, false) }, true},
		{"report sampled just after the mark does not clear it", func(target *TargetState) { target.MarkLeaving(at(1)); report(target, 2, 2, false) }, true},
		{"report sampled well after the mark clears it", func(target *TargetState) { target.MarkLeaving(at(1)); report(target, 7, 7, false) }, false},
		{"gossip of a peer after the mark was cleared is ignored", func(target *TargetState) {
			target.MarkLeaving(at(1))
			report(target, 7, 7, false)
			target.MarkLeavingByPeer(at(8))
		}, false},
		{"refusal by the target after the mark was cleared", func(target *TargetState) {
			target.MarkLeaving(at(1))
			report(target, 7, 7, false)
			target.MarkLeaving(at(8))
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := NewTargetState("t", testNow)
			c.setup(target)
			is.Equal(target.Leaving(), c.want)
		})
	}
}
