package bbe2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbunit"
)

const (
	faultRate         = 40 // requests per second
	faultDelay        = 2 * time.Second
	loadDuration      = 8 * time.Second
	shortLoadDuration = 5 * time.Second
	stuckRecheckDelay = 10 * time.Second
)

// faultCase is one fault that is injected while requests run.
type faultCase struct {
	name string
	// short cases run also without -faults.
	short bool
	// loadDuration is how long requests are sent; 0 means the constant
	// loadDuration, or shortLoadDuration without -faults.
	loadDuration time.Duration
	// sendTwice sends every request to two instances at the same time.
	sendTwice bool
	// recheckStuck reads the stuck tokens again after stuckRecheckDelay.
	recheckStuck bool
	// adjustFleet changes the options of the fleet before it starts.
	adjustFleet func(*fleetOptions)
	// inject causes the fault and, where it can be, ends it again.
	inject func(*faultRun)
	// checkRunning checks what this fault could break, while the instances run.
	checkRunning func(*faultRun)
	// checkStopped checks what is in the store after all instances stopped.
	checkStopped func(*faultRun)
}

// faultRun is the state of a running fault case.
type faultRun struct {
	*fleet
	t       *testing.T
	results []bbstand.LoadResult
	audit   *audit
	summary auditSummary
}

var faultCases = []faultCase{
	{name: "none", short: true, inject: func(*faultRun) {}, checkRunning: checkAllDone, checkStopped: checkNothingStuck},
	{name: "kill -9 of an instance", short: true, recheckStuck: true, inject: killInstance},
	{name: "kill -9 of two instances", recheckStuck: true, inject: killTwoInstances},
	{name: "instance frozen past its leases", loadDuration: 14 * time.Second, inject: freezeInstance},
	{name: "store down 10 s", loadDuration: 14 * time.Second, inject: storeDown},
	{name: "store slow (300 ms)", inject: storeSlow},
	{name: "store answers lost (1 in 3)", short: true, inject: storeLosesAnswers},
	{name: "store connections silent", inject: storeSilent},
	{name: "cut between failure domains", loadDuration: 14 * time.Second, inject: partitionDomains},
	{name: "failure domain cut from all else", loadDuration: 14 * time.Second, inject: partitionDomainFromAll},
	{name: "top-up during a cut", loadDuration: 14 * time.Second, inject: topUpDuringPartition},
	{name: "operators race", inject: operatorsRace, checkRunning: checkTicketInForce},
	{name: "callers send twice at once", sendTwice: true, inject: func(*faultRun) {}},
	{name: "callers send twice, one instance killed", recheckStuck: true, sendTwice: true, inject: killInstance},
	{name: "target leaves", inject: targetLeaves},
	{name: "ticket takes a target out", inject: ticketMarksTargetLeaving},
	{name: "planned stop of an instance", short: true, inject: plannedStop, checkRunning: checkNoBrokenConnections, checkStopped: checkNothingStuck},
	{name: "target connections silent", inject: targetSilent},
	{name: "plain service loses answers", inject: plainServiceLosesAnswers},
	{name: "kill -9 of an engine", inject: killEngine},
	{name: "poison request", adjustFleet: func(o *fleetOptions) { o.enginesPerDomain = 3 }, inject: poisonRequest, checkRunning: checkEnginesLive},
	{name: "kill, lost answers and a cut at once", loadDuration: 14 * time.Second, recheckStuck: true, inject: severalFaults},
}

// TestFaults prints a table with a row for each fault. It fails if a column that
// auditSummary.violations checks is not zero. The other columns, such as false
// refusals, are only measured.
func TestFaults(t *testing.T) {
	table := summaryHeader + "\n"
	for _, row := range faultCases {
		if !row.short && !*allFaults {
			continue
		}
		t.Run(row.name, func(t *testing.T) {
			r := runFaultCase(t, row)
			line := r.summary.tableRow(row.name)
			table += line + "\n"
			t.Log("\n" + summaryHeader + "\n" + line)
			if bad := r.summary.violations(); bad != "" {
				t.Errorf("must be zero: %s", bad)
			}
		})
	}
	fmt.Print(table)
}

// runFaultCase starts a fleet, injects the fault while requests run, and audits
// the results.
func runFaultCase(t *testing.T, row faultCase) *faultRun {
	o := defaultFleetOptions()
	if row.adjustFleet != nil {
		row.adjustFleet(&o)
	}
	r := &faultRun{fleet: startFleet(t, o), t: t}
	if row.loadDuration == 0 {
		row.loadDuration = loadDuration
		if !*allFaults {
			row.loadDuration = shortLoadDuration
		}
	}
	var wg sync.WaitGroup
	loads := []bbstand.LoadOptions{r.loadOptions(faultRate, row.loadDuration)}
	if row.sendTwice {
		o := loads[0]
		o.Instances = append(slices.Clone(o.Instances[1:]), o.Instances[0])
		loads = append(loads, o)
	}
	results := make([][]bbstand.LoadResult, len(loads))
	for n, o := range loads {
		wg.Go(func() { results[n] = generateLoad(o) })
	}
	time.Sleep(faultDelay)
	row.inject(r)
	wg.Wait()
	r.results = slices.Concat(results...)
	r.audit = newAudit(r.fleet, r.results)
	r.summary = r.audit.summarize()
	r.summary.settled, r.summary.stuck = r.audit.readBudgets(r.fleet)
	if row.recheckStuck {
		time.Sleep(stuckRecheckDelay)
		_, r.summary.stuckLater = r.audit.readBudgets(r.fleet)
	}
	r.logRefusals()
	for _, s := range r.audit.findings {
		t.Log(s)
	}
	if row.checkRunning != nil {
		row.checkRunning(r)
	}
	r.stopInstances()
	if row.checkStopped != nil {
		row.checkStopped(r)
	}
	r.stop()
	return r
}

// generateLoad sends the requests and returns their results.
func generateLoad(o bbstand.LoadOptions) []bbstand.LoadResult {
	var mu sync.Mutex
	var out []bbstand.LoadResult
	bbstand.GenerateLoad(context.Background(), o, func(r bbstand.LoadResult) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, r)
	})
	return out
}

// logRefusals logs the number of refusals by status, outcome, title and kind of
// request, the latencies of the answers and the number of retried requests.
func (r *faultRun) logRefusals() {
	report := bbstand.NewLoadReport()
	for _, result := range r.results {
		result.Title = fmt.Sprintf("%s (%s)", result.Title, result.Kind)
		report.Add(result)
	}
	for _, result := range report.Refusals {
		r.t.Logf("refused %d times: %d %s, %s", result.Count, result.Status, result.Outcome, result.Title)
	}
	r.t.Logf("answers: p50 %.0f ms, p99 %.0f ms; retried: %d", report.Latency.P50, report.Latency.P99, report.Retried)
}

// checkAllDone fails on any refusal except for an exhausted budget (status
// 402).
func checkAllDone(r *faultRun) {
	for _, result := range r.results {
		if result.Outcome != "done" && result.Status != 402 {
			r.t.Errorf("%s: status %d, %s, %s", result.ID, result.Status, result.Outcome, result.Title)
		}
	}
}

// checkNothingStuck fails when instances that were stopped gracefully left
// stuck tokens, or settled another amount than was billed.
func checkNothingStuck(r *faultRun) {
	settled, stuck := r.audit.readBudgets(r.fleet)
	if stuck != 0 || settled != r.summary.billed {
		r.t.Errorf("after a planned stop %d tokens are settled and %d stuck; %d were billed", settled, stuck, r.summary.billed)
	}
}

// instanceStatus is the part of an instance's status that the tests read.
type instanceStatus struct {
	Number bbunit.TicketNumber `json:"number"`
}

// checkTicketInForce fails unless all instances have the newest ticket in
// force.
func checkTicketInForce(r *faultRun) {
	for _, inst := range r.instances {
		var s instanceStatus
		getJSON(r.t, inst.admin, "/status", &s)
		if s.Number != r.ticketNumber {
			r.t.Errorf("%s has ticket %d in force, not %d", inst.id, s.Number, r.ticketNumber)
		}
	}
}

// checkNoNewRequests fails when the target gets requests later than three
// seconds from now.
func (r *faultRun) checkNoNewRequests(target *target) {
	time.Sleep(3 * time.Second)
	var before, after bbstand.TargetCounts
	getJSON(r.t, target.address, "/admin/counts", &before)
	time.Sleep(loadDuration - faultDelay - 3*time.Second)
	getJSON(r.t, target.address, "/admin/counts", &after)
	if n := after.Refused + after.Accepted - before.Refused - before.Accepted; n != 0 {
		r.t.Errorf("%d requests were sent to a target that had been leaving for 3 s", n)
	}
}

// checkNoBrokenConnections fails on any attempt whose connection broke, even if
// a retry succeeded.
func checkNoBrokenConnections(r *faultRun) {
	for _, result := range r.results {
		if result.BrokenAttempts > 0 || result.Truncated {
			r.t.Errorf("%s: %d connections broke before the answer was complete", result.ID, result.BrokenAttempts)
		}
	}
}

// liveEngines returns the number of engines that have not crashed.
func (r *faultRun) liveEngines() int {
	live := 0
	for _, target := range r.targets {
		if target.service == engineService && !target.hasExited() {
			live++
		}
	}
	return live
}

// checkEnginesLive fails when the poison request crashed more than three
// engines.
func checkEnginesLive(r *faultRun) {
	if live := r.liveEngines(); live < 3 {
		r.t.Errorf("only %d of 6 engines survived the poison request, fewer than 3", live)
	}
}
