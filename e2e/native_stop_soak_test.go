package bbe2e

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeeds     = flag.Int("stop-soak-seeds", 1, "seeds of TestNativeFleetKeepsItsPromisesThroughStopsInSeries")
	soakFirstSeed = flag.Uint64("stop-soak-seed", 1, "first of these seeds")
	soakStopping  = flag.Int("stop-soak-instances", 6, "instances that stop; half as many and one more do not")
)

// soakResult is what a soak found.
type soakResult struct {
	outcomes, excused stopCounts
	refusals          map[string]int // by status and reason, by instances that do not stop while others do
	faults            []string
}

// addFault keeps the description of a fault.
func (r *soakResult) addFault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// judge compares what callers were told with what targets did, and looks at how
// the processes ended.
func (s *stopSoak) judge() *soakResult {
	r := &soakResult{outcomes: stopCounts{}, excused: stopCounts{}, refusals: map[string]int{}}
	targets := make([]*workTarget, 0, s.joined)
	for _, all := range s.targets {
		targets = append(targets, all...)
	}
	for target := range s.left {
		targets = append(targets, target)
	}
	for _, record := range s.records {
		s.judgeRequest(r, record, targets)
	}
	for _, life := range s.lives {
		if life.hasExited() {
			judgeEnd(r, life)
		}
	}
	return r
}

// judgeRequest judges one request.
func (s *stopSoak) judgeRequest(r *soakResult, record *soakRecord, targets []*workTarget) {
	var runs []workRun
	for _, target := range targets {
		for _, run := range target.runsOf(record.attemptID) {
			runs = append(runs, run)
			word := s.left[target]
			if late := run.beganAt.Sub(word); !word.IsZero() && late > soakDrainTimeout && record.life.frozenAt.IsZero() && record.life.way != wayStoreAway {
				r.addFault("%s got a request %s after the word that it leaves: %s", target.id, late, record.describe(runs))
			}
		}
	}
	if stoppedAt := record.life.stoppedAt; !stoppedAt.IsZero() && record.isExcused(runs, stoppedAt, soakGrace) {
		r.excused["run and cut, too long for the stop"]++
		return
	}
	outcome := record.outcome(runs)
	if frozenAt := record.life.frozenAt; !frozenAt.IsZero() && record.endedAt.After(frozenAt) {
		r.excused[outcome]++
		return
	}
	if outcome == outcomeRefused && record.sentAt.After(s.begunAt) && (record.life.stoppedAt.IsZero() || record.sentAt.Before(record.life.stoppedAt)) {
		r.refusals[fmt.Sprint(record.status, " ", record.path, " ", record.detail)]++
	}
	if r.outcomes[outcome]++; outcome.isFault() {
		r.addFault("%s, %s, sent %d ms after its SIGTERM: %s", record.life.name, record.life.way, record.sentAt.Sub(record.life.stoppedAt).Milliseconds(), record.describe(runs)+record.life.linesOf(record.attemptID))
	}
}

// judgeEnd judges the end of a process: in time and with 0, or by the signal if it
// came before the process was ready.
func judgeEnd(r *soakResult, life *instanceLife) {
	status, _ := life.cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case life.killed && life.frozenAt.IsZero():
		r.addFault("%s, %s: killed at the end of the grace period\n%s", life.name, life.way, life.logTail())
	case life.killed, life.way == "" && status.Signaled() && status.Signal() == syscall.SIGTERM:
	case status.ExitStatus() != 0 || life.stoppedAt.IsZero():
		r.addFault("%s, %s: ended with %d\n%s", life.name, life.way, status.ExitStatus(), life.logTail())
	}
}

// TestNativeFleetKeepsItsPromisesThroughStopsInSeries guards against requests that
// are lost as instances stop one after the other, some twice or frozen, without the
// store or before they are ready, while the plan changes and targets leave.
func TestNativeFleetKeepsItsPromisesThroughStopsInSeries(t *testing.T) {
	for seed := *soakFirstSeed; seed < *soakFirstSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			begin := time.Now()
			s := newStopSoak(t, seed, *soakStopping)
			s.run()
			r := s.judge()
			t.Logf("seed %d, %d of %d instances stop, %.1f s: %v, excused %v, refused by others %v, %d faults",
				seed, s.stopping, len(s.all), time.Since(begin).Seconds(), r.outcomes, r.excused, r.refusals, len(r.faults))
			for _, fault := range r.faults {
				t.Error(fault)
			}
		})
	}
}
