package bbe2e

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbunit"
)

func killInstance(r *faultRun) {
	r.instances[0].kill()
	r.startInstance("uppsala-3", "uppsala")
}

func killTwoInstances(r *faultRun) {
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

// injectStoreFault applies a fault to the store for the duration.
func (r *faultRun) injectStoreFault(f bbstand.StoreFault, d time.Duration) {
	postJSON(r.t, r.storeAddress, "/admin/fault", f)
	time.Sleep(d)
	postJSON(r.t, r.storeAddress, "/admin/fault", bbstand.StoreFault{})
}

func storeDown(r *faultRun) { r.injectStoreFault(bbstand.StoreFault{Down: true}, 10*time.Second) }

func storeSlow(r *faultRun) { r.injectStoreFault(bbstand.StoreFault{LatencyMS: 300}, 5*time.Second) }

func storeLosesAnswers(r *faultRun) {
	r.injectStoreFault(bbstand.StoreFault{LoseEveryNthAnswer: 3}, 5*time.Second)
}

func storeSilent(r *faultRun) { r.injectStoreFault(bbstand.StoreFault{Silent: true}, time.Second) }

func partitionDomains(r *faultRun) {
	r.partitionPeers()
	time.Sleep(9 * time.Second)
	r.healPeers()
}

// partitionPeers drops all traffic between instances of the two failure
// domains.
func (r *faultRun) partitionPeers() {
	blackholed := 0
	for _, inst := range r.instances {
		for _, other := range r.instances {
			if other.domain != inst.domain {
				blackholed += inst.relay.blackhole(other.id)
			}
		}
	}
	if blackholed == 0 {
		r.t.Errorf("no connection between instances was open when the domains were partitioned")
	}
}

func (r *faultRun) healPeers() {
	for _, inst := range r.instances {
		inst.relay.heal()
	}
}

func partitionDomainFromAll(r *faultRun) {
	r.partitionPeers()
	r.storeRelays["gavle"].blackhole()
	r.listRelays["gavle"].blackhole()
	time.Sleep(9 * time.Second)
	r.storeRelays["gavle"].heal()
	r.listRelays["gavle"].heal()
	r.healPeers()
}

func topUpDuringPartition(r *faultRun) {
	r.partitionPeers()
	r.storeRelays["gavle"].blackhole()
	time.Sleep(2 * time.Second)
	r.accounts[1].prepaid += 2000
	r.applyTicket(r.nextTicket())
	time.Sleep(6 * time.Second)
	r.storeRelays["gavle"].heal()
	r.healPeers()
}

const racingOperators = 4

func operatorsRace(r *faultRun) {
	for range 4 {
		var wg sync.WaitGroup
		codes := make([]int, racingOperators)
		for n := range racingOperators {
			ticket := r.nextTicket()
			ticket.Note = fmt.Sprintf("operator %d", n)
			ticket.Budgets[1].Paid += bbunit.Tokens(n)
			path := r.writeTicket(ticket)
			wg.Go(func() {
				_, codes[n] = runProgram(r.t, "bluebellctl", "--store", r.storeAddress, "ticket", "apply", path)
			})
		}
		wg.Wait()
		accepted := 0
		for n, code := range codes {
			if code == 0 {
				accepted++
				r.accounts[1].prepaid += bbunit.Tokens(n)
			}
		}
		if accepted != 1 {
			r.t.Errorf("ticket %d: %d of %d operators were told that their ticket was accepted, not 1", r.ticketNumber+1, accepted, racingOperators)
		}
		r.ticketNumber++
		r.awaitTicket(5 * time.Second)
	}
}

// awaitTicket waits until all instances have the newest ticket in force, and
// fails when that takes longer than limit.
func (r *faultRun) awaitTicket(limit time.Duration) {
	start := time.Now()
	for _, inst := range r.instances {
		for s := (instanceStatus{}); s.Number < r.ticketNumber; time.Sleep(20 * time.Millisecond) {
			getJSON(r.t, inst.admin, "/status", &s)
			if time.Since(start) > limit {
				r.t.Errorf("%s has ticket %d in force, not %d, after %s", inst.id, s.Number, r.ticketNumber, limit)
				return
			}
		}
	}
	r.t.Logf("ticket %d is in force everywhere after %s", r.ticketNumber, time.Since(start).Round(time.Millisecond))
}

// targetLeaves makes an engine refuse new requests as leaving, and checks that
// it is sent none after three seconds.
func targetLeaves(r *faultRun) {
	postJSON(r.t, r.targets[0].address, "/admin/fault", bbstand.EngineFault{Leaving: true})
	r.checkNoNewRequests(r.targets[0])
}

// ticketMarksTargetLeaving marks an engine as leaving in the ticket, and checks
// that it is sent no requests after three seconds.
func ticketMarksTargetLeaving(r *faultRun) {
	r.targets[0].leaving = true
	r.applyTicket(r.nextTicket())
	r.checkNoNewRequests(r.targets[0])
}

// plannedStop marks an instance as leaving in the list of instances and stops
// it.
func plannedStop(r *faultRun) {
	r.setListState(r.instances[0], "leaving")
	r.instances[0].stop()
}

func targetSilent(r *faultRun) {
	for range 3 {
		for _, target := range r.targets {
			if target.service == engineService {
				postJSON(r.t, target.address, "/admin/fault", bbstand.EngineFault{Silent: true})
			} else {
				postJSON(r.t, target.address, "/admin/fault", bbstand.PlainFault{Silent: true, DelayMS: 20})
			}
		}
		time.Sleep(time.Second)
	}
}

func plainServiceLosesAnswers(r *faultRun) {
	for _, target := range r.targets {
		if target.service == plainService {
			postJSON(r.t, target.address, "/admin/fault", bbstand.PlainFault{LoseNextAnswers: 10, DelayMS: 20})
		}
	}
}

func killEngine(r *faultRun) { r.targets[0].kill() }

// poisonRequest repeatedly sends a request that crashes every engine that runs
// it.
func poisonRequest(r *faultRun) {
	for n := range 5 {
		out, code := runProgram(r.t, "bluebellstand", "ask", "--instance", r.instances[n%len(r.instances)].listen,
			"--key", r.accounts[0].key, "--service", engineService, "--timeout", "5s", "open the "+crashWord)
		if code == 0 {
			r.t.Errorf("a request that crashes engines was answered: %s", out)
		}
		r.t.Logf("%d engines are running; the caller of the poison request was told: %s", r.liveEngines(), out)
	}
}

// severalFaults combines a slow store that loses answers, a partition and a
// killed instance.
func severalFaults(r *faultRun) {
	postJSON(r.t, r.storeAddress, "/admin/fault", bbstand.StoreFault{LoseEveryNthAnswer: 4, LatencyMS: 50})
	r.partitionPeers()
	time.Sleep(2 * time.Second)
	killInstance(r)
	time.Sleep(6 * time.Second)
	r.healPeers()
	postJSON(r.t, r.storeAddress, "/admin/fault", bbstand.StoreFault{})
}
