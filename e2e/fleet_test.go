package bbe2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

const (
	engineService = "permit-assist"
	plainService  = "closure-desk"
	callPrice     = 10 // tokens for each call of the plain service
	crashWord     = "asphaltbreaker"
)

var domains = []string{"uppsala", "gavle"}

// clientAccount is a client account with its API key and its budget.
type clientAccount struct {
	id      bbunit.AccountID
	key     string
	budget  bbunit.BudgetID
	prepaid bbunit.Tokens
}

// target is one running stand-in that serves a service.
type target struct {
	*process
	id      string
	service string
	domain  string
	address string
	leaving bool
}

// instance is one running bluebellport.
type instance struct {
	*process
	id, domain          string
	listen, admin, peer string
	relay               *relay // between this instance and its peers; nil in a fleet without relays
	advertisedPeer      string // address at which peers reach this instance
}

// fleet is a platform stand-in, targets and instances, each a process of its
// own. The platform serves the key-value store at storeAddress and the list of
// instances at listAddress.
type fleet struct {
	t            *testing.T
	domains      []string
	storeAddress string
	listAddress  string
	platform     *process
	storeRelays  map[string]*relay // by failure domain, as listRelays
	listRelays   map[string]*relay
	targets      []*target
	instances    []*instance
	accounts     []clientAccount
	ticketNumber bbunit.TicketNumber
	storeClient  *bbstore.Client
}

// fleetOptions sets the size of a fleet.
type fleetOptions struct {
	domains            []string
	instances          int  // total, spread over the failure domains; 0 means instancesPerDomain in each
	withoutRelays      bool // instances connect directly to the platform and to each other
	instancesPerDomain int
	enginesPerDomain   int
	accounts           []clientAccount
	instanceArgs       []string // additional flags for each instance
}

func defaultFleetOptions() fleetOptions {
	return fleetOptions{domains: domains, instancesPerDomain: 2, enginesPerDomain: 1, accounts: []clientAccount{
		{id: "norra", key: "key-norra", budget: "norra-budget", prepaid: 1_000_000},
		{id: "gata", key: "key-gata", budget: "gata-budget", prepaid: 2_000},
	}}
}

// startFleet starts all processes, applies the first ticket and waits until all
// instances are ready.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t: t, domains: o.domains, storeAddress: freeAddress(t), listAddress: freeAddress(t), accounts: o.accounts,
		storeRelays: map[string]*relay{}, listRelays: map[string]*relay{},
	}
	f.platform = startProcess(t, "platform", "bluebellstand", "platform", "--store", f.storeAddress, "--list", f.listAddress, "--progress", "1s")
	waitUntilOK(t, f.listAddress, "/v1/instances")
	var stop func()
	f.storeClient, stop = bbstore.NewClient(f.storeAddress, bbstore.ClientOptions{})
	t.Cleanup(stop)
	for _, d := range f.domains {
		if !o.withoutRelays {
			f.storeRelays[d] = startRelay(t, f.storeAddress)
			f.listRelays[d] = startRelay(t, f.listAddress)
		}
		for n := range o.enginesPerDomain {
			f.startTarget(fmt.Sprintf("engine-%s-%d", d, n), engineService, d)
		}
		f.startTarget("desk-"+d, plainService, d)
	}
	f.applyTicket(f.nextTicket())
	if o.instances == 0 {
		o.instances = o.instancesPerDomain * len(f.domains)
	}
	for n := range o.instances {
		d := f.domains[n*len(f.domains)/o.instances]
		f.startInstance(fmt.Sprintf("%s-%d", d, len(f.instancesIn(d))+1), d, o.instanceArgs...)
	}
	for _, inst := range f.instances {
		waitUntilOK(t, inst.admin, "/readyz")
	}
	return f
}

// startTarget starts a target and waits until it answers. Its address is part
// of the tickets from the next one on.
func (f *fleet) startTarget(id, service, domain string) *target {
	f.t.Helper()
	target := &target{id: id, service: service, domain: domain, address: freeAddress(f.t)}
	if service == engineService {
		target.process = startProcess(f.t, id, "bluebellstand", "engine", "--listen", target.address, "--crash", crashWord,
			"--slots", "32", "--queue", "64", "--interval", "10ms")
	} else {
		target.process = startProcess(f.t, id, "bluebellstand", "plain", "--listen", target.address, "--delay", "20ms")
	}
	waitUntilOK(f.t, target.address, "/load")
	f.targets = append(f.targets, target)
	return target
}

// startInstance starts an instance, behind relays unless the fleet has none,
// and adds it to the list of instances.
func (f *fleet) startInstance(id, domain string, args ...string) *instance {
	f.t.Helper()
	inst := &instance{id: id, domain: domain, listen: freeAddress(f.t), admin: freeAddress(f.t), peer: freeAddress(f.t)}
	store, list, peer := f.storeAddress, f.listAddress, inst.peer
	if f.storeRelays[domain] != nil {
		inst.relay = startRelay(f.t, inst.peer, f.possibleInstanceIDs()...)
		store, list, peer = f.storeRelays[domain].address(), f.listRelays[domain].address(), inst.relay.address()
	}
	inst.advertisedPeer = peer
	inst.process = startProcess(f.t, id, "bluebellport", append([]string{
		"serve", "--instance", id, "--domain", domain, "--store", store, "--list", list,
		"--listen", inst.listen, "--admin", inst.admin, "--peer", inst.peer, "--peer-advertise", peer,
		"--linger", "1s", "--drain", "20s",
	}, args...)...)
	f.setListState(inst, "live")
	f.instances = append(f.instances, inst)
	return inst
}

// possibleInstanceIDs returns the ids by which a relay recognizes instances.
func (f *fleet) possibleInstanceIDs() []string {
	var out []string
	for _, d := range f.domains {
		for n := range 9 {
			out = append(out, fmt.Sprintf("%s-%d", d, n+1))
		}
	}
	return out
}

// setListState writes the instance with the given state to the list of
// instances.
func (f *fleet) setListState(inst *instance, state string) {
	f.t.Helper()
	postJSON(f.t, f.listAddress, "/v1/instances", bbstand.Instance{ID: inst.id, Domain: inst.domain, Address: inst.advertisedPeer, State: state})
}

// nextTicket returns a ticket with the next number and the complete
// configuration: services, accounts, budgets and targets.
func (f *fleet) nextTicket() bbticket.Ticket {
	ticket := bbticket.Ticket{Number: f.ticketNumber + 1, Services: []bbticket.Service{
		{ID: engineService, Kind: bbticket.KindEngine, Price: bbticket.Price{Input: 1, Output: 1}, DefaultMaxOutput: 64},
		{ID: plainService, Kind: bbticket.KindPlain, Price: bbticket.Price{Call: callPrice}, Idempotent: []string{"GET"}},
	}}
	for _, account := range f.accounts {
		sum := sha256.Sum256([]byte(account.key))
		ticket.Accounts = append(ticket.Accounts, bbticket.Account{ID: account.id, Keys: []string{"sha256:" + hex.EncodeToString(sum[:])}})
		ticket.Budgets = append(ticket.Budgets, bbticket.Budget{ID: account.budget, Account: account.id, Paid: account.prepaid})
	}
	for _, target := range f.targets {
		ticket.Targets = append(ticket.Targets, bbticket.Target{
			ID: bbunit.TargetID(target.id), Service: bbunit.ServiceID(target.service), Address: target.address,
			Domain: bbunit.DomainID(target.domain), Slots: 32, Leaving: target.leaving,
		})
	}
	return ticket
}

// writeTicket writes a ticket to a temporary file and returns its path.
func (f *fleet) writeTicket(ticket bbticket.Ticket) string {
	f.t.Helper()
	b, err := yaml.Marshal(ticket)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), "ticket.yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// applyTicket applies the ticket with bluebellctl and fails the test on an
// error.
func (f *fleet) applyTicket(ticket bbticket.Ticket) {
	f.t.Helper()
	out, code := runProgram(f.t, "bluebellctl", "--store", f.storeAddress, "ticket", "apply", f.writeTicket(ticket))
	if code != 0 {
		f.t.Fatalf("ticket apply: exit code %d: %s", code, out)
	}
	f.ticketNumber = ticket.Number
}

// loadOptions returns the options of a load generator that sends to all
// instances.
func (f *fleet) loadOptions(rate float64, d time.Duration) bbstand.LoadOptions {
	o := bbstand.LoadOptions{
		Service: engineService, Plain: plainService, StreamedShare: 0.5, PlainShare: 0.4, WriteShare: 0.5,
		Rate: rate, Concurrency: 500, Duration: d, Tokens: 20, Retries: 8, Timeout: 15 * time.Second,
		Seed: 1, Prefix: "e2e",
	}
	for _, inst := range f.instances {
		o.Instances = append(o.Instances, inst.listen)
	}
	for _, account := range f.accounts {
		o.Keys = append(o.Keys, account.key)
	}
	return o
}

// instancesIn returns the instances of a failure domain.
func (f *fleet) instancesIn(domain string) []*instance {
	var out []*instance
	for _, inst := range f.instances {
		if inst.domain == domain {
			out = append(out, inst)
		}
	}
	return out
}

// stopInstances stops all instances at the same time and checks their exit
// codes.
func (f *fleet) stopInstances() {
	f.t.Helper()
	for _, inst := range f.instances {
		inst.signal(syscall.SIGTERM)
	}
	for _, inst := range f.instances {
		if !inst.killed {
			inst.stop()
		}
	}
}

// stop stops instances, targets and platform, in this order.
func (f *fleet) stop() {
	f.t.Helper()
	f.stopInstances()
	for _, target := range f.targets {
		if !target.hasExited() {
			target.process.stop()
		}
	}
	f.platform.stop()
}
