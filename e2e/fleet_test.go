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
	callPrice     = 10 // of the plain service
	poison        = "asphaltbreaker"
)

var domains = []string{"uppsala", "gavle"}

// customer is a client account with its key and its budget.
type customer struct {
	account bbunit.AccountID
	key     string
	budget  bbunit.BudgetID
	paid    bbunit.Tokens
}

// target is one process that serves a service.
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
	relay               *relay // between it and the other instances; nil without
	advertise           string // where other instances reach it
}

// fleet is a platform, targets and instances, all of them processes.
type fleet struct {
	t          *testing.T
	domains    []string
	store      string
	list       string
	platform   *process
	storeRelay map[string]*relay // by failure domain
	listRelay  map[string]*relay
	targets    []*target
	instances  []*instance
	customers  []customer
	number     bbunit.TicketNumber
	client     *bbstore.Client
}

// fleetOptions set the size of a fleet.
type fleetOptions struct {
	domains   []string
	instances int  // in all, spread over the failure domains; 0 is perDomain in each
	direct    bool // no relays in between
	perDomain int
	engines   int // in each failure domain
	customers []customer
	args      []string // more flags of each instance
}

func defaultFleet() fleetOptions {
	return fleetOptions{domains: domains, perDomain: 2, engines: 1, customers: []customer{
		{account: "norra", key: "key-norra", budget: "norra-budget", paid: 1_000_000},
		{account: "gata", key: "key-gata", budget: "gata-budget", paid: 2_000},
	}}
}

// startFleet starts all processes and puts the first ticket in force.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t: t, domains: o.domains, store: freeAddress(t), list: freeAddress(t), customers: o.customers,
		storeRelay: map[string]*relay{}, listRelay: map[string]*relay{},
	}
	f.platform = startProcess(t, "platform", "bluebellstand", "platform", "--store", f.store, "--list", f.list, "--progress", "1s")
	waitFor(t, f.list, "/v1/instances")
	var stop func()
	f.client, stop = bbstore.NewClient(f.store, bbstore.ClientOptions{})
	t.Cleanup(stop)
	for _, d := range f.domains {
		if !o.direct {
			f.storeRelay[d] = startRelay(t, f.store)
			f.listRelay[d] = startRelay(t, f.list)
		}
		for n := range o.engines {
			f.startTarget(fmt.Sprintf("engine-%s-%d", d, n), engineService, d)
		}
		f.startTarget("desk-"+d, plainService, d)
	}
	f.apply(f.ticket())
	if o.instances == 0 {
		o.instances = o.perDomain * len(f.domains)
	}
	for n := range o.instances {
		d := f.domains[n*len(f.domains)/o.instances]
		f.startInstance(fmt.Sprintf("%s-%d", d, len(f.of(d))+1), d, o.args...)
	}
	for _, i := range f.instances {
		waitFor(t, i.admin, "/readyz")
	}
	return f
}

func (f *fleet) startTarget(id, service, domain string) *target {
	f.t.Helper()
	x := &target{id: id, service: service, domain: domain, address: freeAddress(f.t)}
	if service == engineService {
		x.process = startProcess(f.t, id, "bluebellstand", "engine", "--listen", x.address, "--crash", poison,
			"--slots", "32", "--queue", "64", "--interval", "10ms")
	} else {
		x.process = startProcess(f.t, id, "bluebellstand", "plain", "--listen", x.address, "--delay", "20ms")
	}
	waitFor(f.t, x.address, "/load")
	f.targets = append(f.targets, x)
	return x
}

// startInstance starts an instance and enters it into the list.
func (f *fleet) startInstance(id, domain string, args ...string) *instance {
	f.t.Helper()
	i := &instance{id: id, domain: domain, listen: freeAddress(f.t), admin: freeAddress(f.t), peer: freeAddress(f.t)}
	store, list, peer := f.store, f.list, i.peer
	if f.storeRelay[domain] != nil {
		i.relay = startRelay(f.t, i.peer, f.names()...)
		store, list, peer = f.storeRelay[domain].address(), f.listRelay[domain].address(), i.relay.address()
	}
	i.advertise = peer
	i.process = startProcess(f.t, id, "bluebellport", append([]string{
		"serve", "--instance", id, "--domain", domain, "--store", store, "--list", list,
		"--listen", i.listen, "--admin", i.admin, "--peer", i.peer, "--peer-advertise", peer,
		"--linger", "1s", "--drain", "20s",
	}, args...)...)
	f.enter(i, "live")
	f.instances = append(f.instances, i)
	return i
}

// names returns what instances may be called.
func (f *fleet) names() []string {
	var out []string
	for _, d := range f.domains {
		for n := range 9 {
			out = append(out, fmt.Sprintf("%s-%d", d, n+1))
		}
	}
	return out
}

func (f *fleet) enter(i *instance, state string) {
	f.t.Helper()
	post(f.t, f.list, "/v1/instances", bbstand.Instance{ID: i.id, Domain: i.domain, Address: i.advertise, State: state})
}

// ticket returns the next ticket, with the whole state of all.
func (f *fleet) ticket() bbticket.Ticket {
	k := bbticket.Ticket{Number: f.number + 1, Services: []bbticket.Service{
		{ID: engineService, Kind: bbticket.KindEngine, Price: bbticket.Price{Input: 1, Output: 1}, DefaultMaxOutput: 64},
		{ID: plainService, Kind: bbticket.KindPlain, Price: bbticket.Price{Call: callPrice}, Idempotent: []string{"GET"}},
	}}
	for _, c := range f.customers {
		sum := sha256.Sum256([]byte(c.key))
		k.Accounts = append(k.Accounts, bbticket.Account{ID: c.account, Keys: []string{"sha256:" + hex.EncodeToString(sum[:])}})
		k.Budgets = append(k.Budgets, bbticket.Budget{ID: c.budget, Account: c.account, Paid: c.paid})
	}
	for _, x := range f.targets {
		k.Targets = append(k.Targets, bbticket.Target{
			ID: bbunit.TargetID(x.id), Service: bbunit.ServiceID(x.service), Address: x.address,
			Domain: bbunit.DomainID(x.domain), Slots: 32, Leaving: x.leaving,
		})
	}
	return k
}

// write writes a ticket to a file and returns its path.
func (f *fleet) write(k bbticket.Ticket) string {
	f.t.Helper()
	b, err := yaml.Marshal(k)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.t.TempDir(), "ticket.yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// apply puts the ticket in force.
func (f *fleet) apply(k bbticket.Ticket) {
	f.t.Helper()
	out, code := command(f.t, "bluebellctl", "--store", f.store, "ticket", "apply", f.write(k))
	if code != 0 {
		f.t.Fatalf("ticket apply: exit code %d: %s", code, out)
	}
	f.number = k.Number
}

// load returns the settings of a load on all instances.
func (f *fleet) load(rate float64, d time.Duration) bbstand.LoadOptions {
	o := bbstand.LoadOptions{
		Service: engineService, Plain: plainService, StreamedShare: 0.5, PlainShare: 0.4, WriteShare: 0.5,
		Rate: rate, Concurrency: 500, Duration: d, Tokens: 20, Retries: 8, Timeout: 15 * time.Second,
		Seed: 1, Prefix: "e2e",
	}
	for _, i := range f.instances {
		o.Instances = append(o.Instances, i.listen)
	}
	for _, c := range f.customers {
		o.Keys = append(o.Keys, c.key)
	}
	return o
}

// of returns the instances of a failure domain.
func (f *fleet) of(domain string) []*instance {
	var out []*instance
	for _, i := range f.instances {
		if i.domain == domain {
			out = append(out, i)
		}
	}
	return out
}

// stopInstances stops all instances at once.
func (f *fleet) stopInstances() {
	f.t.Helper()
	for _, i := range f.instances {
		i.signal(syscall.SIGTERM)
	}
	for _, i := range f.instances {
		if !i.killed {
			i.stop()
		}
	}
}

// stop stops instances, targets and platform in this order.
func (f *fleet) stop() {
	f.t.Helper()
	f.stopInstances()
	for _, x := range f.targets {
		if !x.ended() {
			x.process.stop()
		}
	}
	f.platform.stop()
}
