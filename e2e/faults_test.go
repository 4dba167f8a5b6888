package bbe2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbunit"
)

const (
	faultRate  = 40 // requests a second
	faultAfter = 2 * time.Second
	loadTime   = 8 * time.Second
	shortTime  = 5 * time.Second
	stuckWait  = 10 * time.Second
)

// faultRow is one fault, brought about while requests run.
type faultRow struct {
	name string
	// short rows run also without -faults.
	short bool
	// time is how long requests are sent; 0 is loadTime.
	time time.Duration
	// twice sends every request at once to two instances.
	twice bool
	// kills rows look at what is stuck again ten seconds later.
	kills bool
	// fleet changes the fleet that is started.
	fleet func(*fleetOptions)
	// cause brings the fault about and heals it.
	cause func(*faultRun)
	// check looks for what only this fault could break.
	check func(*faultRun)
	// after looks at what the instances left behind.
	after func(*faultRun)
}

// faultRun is a running row.
type faultRun struct {
	*fleet
	t       *testing.T
	results []bbstand.LoadResult
	audit   *audit
	verdict verdict
}

var faultRows = []faultRow{
	{name: "none", short: true, cause: func(*faultRun) {}, check: allDone, after: allHandedBack},
	{name: "kill -9 of an instance", short: true, kills: true, cause: killInstance},
	{name: "kill -9 of two instances", kills: true, cause: killTwo},
	{name: "instance frozen past its leases", time: 14 * time.Second, cause: freezeInstance},
	{name: "store down 10 s", time: 14 * time.Second, cause: storeDown},
	{name: "store slow (300 ms)", cause: storeSlow},
	{name: "store answers lost (1 in 3)", short: true, cause: storeLosesAnswers},
	{name: "store connections silent", cause: storeSilent},
	{name: "cut between failure domains", time: 14 * time.Second, cause: cutDomains},
	{name: "failure domain cut from all else", time: 14 * time.Second, cause: cutPlatform},
	{name: "top-up during a cut", time: 14 * time.Second, cause: topUpDuringCut},
	{name: "operators race", cause: operatorsRace, check: oneTicketInForce},
	{name: "callers send twice at once", twice: true, cause: func(*faultRun) {}},
	{name: "callers send twice, one instance killed", kills: true, twice: true, cause: killInstance},
	{name: "target leaves", cause: targetLeaves},
	{name: "ticket takes a target out", cause: ticketTakesTargetOut},
	{name: "planned stop of an instance", short: true, cause: plannedStop, check: nothingCut, after: allHandedBack},
	{name: "target connections silent", cause: targetSilent},
	{name: "plain service loses answers", cause: answersLost},
	{name: "kill -9 of an engine", cause: killEngine},
	{name: "poison request", fleet: func(o *fleetOptions) { o.engines = 3 }, cause: poisonRequest, check: enginesLive},
	{name: "kill, lost answers and a cut at once", time: 14 * time.Second, kills: true, cause: several},
}

// TestFaults prints a table with a row for each fault. The columns from
// overspend on must be zero, but for false refusals, which are measured.
func TestFaults(t *testing.T) {
	table := verdictHead + "\n"
	for _, row := range faultRows {
		if !row.short && !*faults {
			continue
		}
		t.Run(row.name, func(t *testing.T) {
			r := runRow(t, row)
			line := r.verdict.row(row.name)
			table += line + "\n"
			t.Log("\n" + verdictHead + "\n" + line)
			if bad := r.verdict.faulty(); bad != "" {
				t.Errorf("must be zero: %s", bad)
			}
		})
	}
	fmt.Print(table)
}

func runRow(t *testing.T, row faultRow) *faultRun {
	o := defaultFleet()
	if row.fleet != nil {
		row.fleet(&o)
	}
	r := &faultRun{fleet: startFleet(t, o), t: t}
	if row.time == 0 {
		row.time = loadTime
		if !*faults {
			row.time = shortTime
		}
	}
	var wg sync.WaitGroup
	loads := []bbstand.LoadOptions{r.load(faultRate, row.time)}
	if row.twice {
		o := loads[0]
		o.Instances = append(slices.Clone(o.Instances[1:]), o.Instances[0])
		loads = append(loads, o)
	}
	results := make([][]bbstand.LoadResult, len(loads))
	for n, o := range loads {
		wg.Go(func() { results[n] = generate(o) })
	}
	time.Sleep(faultAfter)
	row.cause(r)
	wg.Wait()
	r.results = slices.Concat(results...)
	r.audit = newAudit(r.fleet, r.results)
	r.verdict = r.audit.verdict()
	r.verdict.settled, r.verdict.stuck = r.audit.readBudgets(r.fleet)
	if row.kills {
		time.Sleep(stuckWait)
		_, r.verdict.stuckLater = r.audit.readBudgets(r.fleet)
	}
	r.logRefusals()
	for _, s := range r.audit.suspects {
		t.Log(s)
	}
	if row.check != nil {
		row.check(r)
	}
	r.stopInstances()
	if row.after != nil {
		row.after(r)
	}
	r.stop()
	return r
}

func generate(o bbstand.LoadOptions) []bbstand.LoadResult {
	var mu sync.Mutex
	var out []bbstand.LoadResult
	bbstand.Generate(context.Background(), o, func(r bbstand.LoadResult) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, r)
	})
	return out
}

// logRefusals prints how often callers were told what.
func (r *faultRun) logRefusals() {
	report := bbstand.NewLoadReport()
	for _, x := range r.results {
		x.Title = fmt.Sprintf("%s (%s)", x.Title, x.Kind)
		report.Add(x)
	}
	for _, x := range report.Refusals {
		r.t.Logf("refused %d times: %d %s, %s", x.Count, x.Status, x.Outcome, x.Title)
	}
	r.t.Logf("answers: p50 %.0f ms, p99 %.0f ms; retried: %d", report.Latency.P50, report.Latency.P99, report.Retried)
}

// allDone fails on refusals other than those of the spent budget.
func allDone(r *faultRun) {
	for _, x := range r.results {
		if x.Outcome != "done" && x.Status != 402 {
			r.t.Errorf("%s: status %d, %s, %s", x.ID, x.Status, x.Outcome, x.Title)
		}
	}
}

// allHandedBack fails when instances that stopped as planned left money that is
// neither settled nor free.
func allHandedBack(r *faultRun) {
	settled, stuck := r.audit.readBudgets(r.fleet)
	if stuck != 0 || settled != r.verdict.billed {
		r.t.Errorf("after a planned stop %d tokens are settled and %d stuck; %d were billed", settled, stuck, r.verdict.billed)
	}
}

func killInstance(r *faultRun) {
	r.instances[0].kill()
	r.startInstance("uppsala-3", "uppsala")
}

func killTwo(r *faultRun) {
	r.instances[0].kill()
	r.instances[2].kill()
	r.startInstance("uppsala-3", "uppsala")
	r.startInstance("gavle-3", "gavle")
}

func freezeInstance(r *faultRun) {
	r.instances[1].signal(syscall.SIGSTOP)
	time.Sleep(9 * time.Second)
	r.instances[1].signal(syscall.SIGCONT)
}

// storeFault puts a fault in force for a time.
func (r *faultRun) storeFault(f bbstand.StoreFault, d time.Duration) {
	post(r.t, r.store, "/admin/fault", f)
	time.Sleep(d)
	post(r.t, r.store, "/admin/fault", bbstand.StoreFault{})
}

func storeDown(r *faultRun) { r.storeFault(bbstand.StoreFault{Down: true}, 10*time.Second) }

func storeSlow(r *faultRun) { r.storeFault(bbstand.StoreFault{LatencyMS: 300}, 5*time.Second) }

func storeLosesAnswers(r *faultRun) {
	r.storeFault(bbstand.StoreFault{LoseEveryNthAnswer: 3}, 5*time.Second)
}

func storeSilent(r *faultRun) { r.storeFault(bbstand.StoreFault{Silent: true}, time.Second) }

func cutDomains(r *faultRun) {
	r.cutPeers()
	time.Sleep(9 * time.Second)
	r.healPeers()
}

// cutPeers cuts the instances of the two failure domains off each other.
func (r *faultRun) cutPeers() {
	silenced := 0
	for _, i := range r.instances {
		for _, other := range r.instances {
			if other.domain != i.domain {
				silenced += i.relay.cut(other.id)
			}
		}
	}
	if silenced == 0 {
		r.t.Errorf("the cut silenced no connection between instances")
	}
}

func (r *faultRun) healPeers() {
	for _, i := range r.instances {
		i.relay.heal()
	}
}

func cutPlatform(r *faultRun) {
	r.cutPeers()
	r.storeRelay["gavle"].cut()
	r.listRelay["gavle"].cut()
	time.Sleep(9 * time.Second)
	r.storeRelay["gavle"].heal()
	r.listRelay["gavle"].heal()
	r.healPeers()
}

func topUpDuringCut(r *faultRun) {
	r.cutPeers()
	r.storeRelay["gavle"].cut()
	time.Sleep(2 * time.Second)
	r.customers[1].paid += 2000
	r.apply(r.ticket())
	time.Sleep(6 * time.Second)
	r.storeRelay["gavle"].heal()
	r.healPeers()
}

const racingOperators = 4

func operatorsRace(r *faultRun) {
	for range 4 {
		var wg sync.WaitGroup
		codes := make([]int, racingOperators)
		for n := range racingOperators {
			k := r.ticket()
			k.Note = fmt.Sprintf("operator %d", n)
			k.Budgets[1].Paid += bbunit.Tokens(n)
			path := r.write(k)
			wg.Go(func() { _, codes[n] = command(r.t, "bluebellctl", "--store", r.store, "ticket", "apply", path) })
		}
		wg.Wait()
		accepted := 0
		for n, code := range codes {
			if code == 0 {
				accepted++
				r.customers[1].paid += bbunit.Tokens(n)
			}
		}
		if accepted != 1 {
			r.t.Errorf("ticket %d: %d of %d operators were told that theirs is accepted", r.number+1, accepted, racingOperators)
		}
		r.number++
		r.inForce(5 * time.Second)
	}
}

// inForce waits until all instances have the newest ticket in force, and fails
// when that takes longer than most.
func (r *faultRun) inForce(most time.Duration) {
	start := time.Now()
	for _, i := range r.instances {
		for s := (instanceStatus{}); s.Number < r.number; time.Sleep(20 * time.Millisecond) {
			get(r.t, i.admin, "/status", &s)
			if time.Since(start) > most {
				r.t.Errorf("%s has ticket %d in force, not %d, after %s", i.id, s.Number, r.number, most)
				return
			}
		}
	}
	r.t.Logf("ticket %d is in force everywhere after %s", r.number, time.Since(start).Round(time.Millisecond))
}

// instanceStatus is the part of an instance's status that is looked at.
type instanceStatus struct {
	Number bbunit.TicketNumber `json:"number"`
}

func oneTicketInForce(r *faultRun) {
	for _, i := range r.instances {
		var s instanceStatus
		get(r.t, i.admin, "/status", &s)
		if s.Number != r.number {
			r.t.Errorf("%s has ticket %d in force, not %d", i.id, s.Number, r.number)
		}
	}
}

// targetLeaves has an engine refuse new work, and counts what it is still sent
// after three seconds.
func targetLeaves(r *faultRun) {
	post(r.t, r.targets[0].address, "/admin/fault", bbstand.EngineFault{Leaving: true})
	r.noNewWork(r.targets[0])
}

func ticketTakesTargetOut(r *faultRun) {
	r.targets[0].leaving = true
	r.apply(r.ticket())
	r.noNewWork(r.targets[0])
}

// noNewWork fails when the target gets requests from three seconds on.
func (r *faultRun) noNewWork(x *target) {
	time.Sleep(3 * time.Second)
	var before, after bbstand.TargetCounts
	get(r.t, x.address, "/admin/counts", &before)
	time.Sleep(loadTime - faultAfter - 3*time.Second)
	get(r.t, x.address, "/admin/counts", &after)
	if n := after.Refused + after.Accepted - before.Refused - before.Accepted; n != 0 {
		r.t.Errorf("%d requests were sent to a target that has been leaving for 3 s", n)
	}
}

func plannedStop(r *faultRun) {
	r.enter(r.instances[0], "leaving")
	r.instances[0].stop()
}

// nothingCut fails on any attempt whose connection broke, also where a retry
// mended it.
func nothingCut(r *faultRun) {
	for _, x := range r.results {
		if x.BrokenAttempts > 0 || x.Truncated {
			r.t.Errorf("%s: %d connections broke before the answer was whole", x.ID, x.BrokenAttempts)
		}
	}
}

func targetSilent(r *faultRun) {
	for range 3 {
		for _, x := range r.targets {
			if x.service == engineService {
				post(r.t, x.address, "/admin/fault", bbstand.EngineFault{Silent: true})
			} else {
				post(r.t, x.address, "/admin/fault", bbstand.PlainFault{Silent: true, DelayMS: 20})
			}
		}
		time.Sleep(time.Second)
	}
}

func answersLost(r *faultRun) {
	for _, x := range r.targets {
		if x.service == plainService {
			post(r.t, x.address, "/admin/fault", bbstand.PlainFault{LoseNextAnswers: 10, DelayMS: 20})
		}
	}
}

func killEngine(r *faultRun) { r.targets[0].kill() }

// poisonRequest sends a request that crashes every engine that runs it, again
// and again.
func poisonRequest(r *faultRun) {
	for n := range 5 {
		out, code := command(r.t, "bluebellstand", "ask", "--instance", r.instances[n%len(r.instances)].listen,
			"--key", r.customers[0].key, "--service", engineService, "--timeout", "5s", "open the "+poison)
		if code == 0 {
			r.t.Errorf("a request that crashes engines was answered: %s", out)
		}
		r.t.Logf("%d engines live; the poison request's caller was told: %s", r.liveEngines(), out)
	}
}

// liveEngines counts the engines that have not crashed.
func (r *faultRun) liveEngines() int {
	live := 0
	for _, x := range r.targets {
		if x.service == engineService && !x.ended() {
			live++
		}
	}
	return live
}

func enginesLive(r *faultRun) {
	if live := r.liveEngines(); live < 3 {
		r.t.Errorf("only %d of 6 engines outlived the poison request", live)
	}
}

func several(r *faultRun) {
	post(r.t, r.store, "/admin/fault", bbstand.StoreFault{LoseEveryNthAnswer: 4, LatencyMS: 50})
	r.cutPeers()
	time.Sleep(2 * time.Second)
	killInstance(r)
	time.Sleep(6 * time.Second)
	r.healPeers()
	post(r.t, r.store, "/admin/fault", bbstand.StoreFault{})
}
