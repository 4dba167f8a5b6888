package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case late-return.
const (
	prepaid    = 1_000_000 // of the account under test, in tokens
	others     = 9         // accounts that all instances spend of
	lateBy     = 5500 * time.Millisecond
	minReturn  = 20_000 // tokens; the write that is late returns at least as many
	moneyKey   = "bluebellport/money/"
	otherShare = 1_500_000
	maxCycles  = 3
)

// meter sums up what clients of one account got: the prompts and the delivered output of
// answers that came whole, each attempt once.
type meter struct {
	tokens, served, refused, failed atomic.Int64
}

// lateReturn: an instance returns a part of its share; the answer of that one write is
// lost, and the store executes it seconds later, as its condition still holds.
func lateReturn(p *play) (bool, error) {
	if err := p.startPlatform(); err != nil {
		return false, err
	}
	zones := []string{"sudvestur-a", "sudvestur-b", "sudvestur-c", "sudvestur-d"}
	if err := p.startFleet(zones); err != nil {
		return false, err
	}
	if err := p.startServers(zones); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	// The write that is late: the first by which the first instance returns a part of
	// what it was granted of the account.
	first := p.instances[0]
	returned, executed := make(chan int64, 1), make(chan int, 1)
	caught := true
	p.store.OnLate = func(status int) {
		p.say("store: the late write is executed, status %d", status)
		executed <- status
	}
	p.store.Late = func(t *txn) (time.Duration, bool) {
		for _, w := range t.Write {
			if w.Key != moneyKey+"school" {
				continue
			}
			old, next := grantOf(p.store.items[w.Key].Value, first.Name), grantOf(w.Value, first.Name)
			if caught || old-next < minReturn {
				continue
			}
			caught = true
			p.say("store: %s returns %d of %d tokens; %d rows in the write", first.Name, old-next, old, len(t.Write))
			returned <- old - next
			return lateBy, p.trouble
		}
		return 0, false
	}

	lastGrant := int64(0)
	p.store.OnTxn = func(t *txn, status int) {
		for i, w := range t.Write {
			if granted := grantOf(w.Value, first.Name); w.Key == moneyKey+"school" && granted != 0 && granted != lastGrant {
				lastGrant = granted
				p.say("store: write of %d rows, one grants %s %d tokens over revision %d: status %d", len(t.Write), first.Name, granted, t.Precondition[i].Revision, status)
			}
		}
	}
	var school meter
	var sending sync.WaitGroup
	send := func(m *meter, to *Instance, key string, prompt, out int) {
		sending.Add(1)
		go func() {
			defer sending.Done()
			id, a := call(to.Frontend, "counter.example", "/draft/1", key, prompt, out, 10*time.Second)
			switch {
			case a.Status == 200 && a.Whole:
				m.served.Add(1)
				m.tokens.Add(int64(prompt + min(a.Events*stride, out)))
			case a.Status == 402 || a.Status == 503:
				m.refused.Add(1)
			default:
				m.failed.Add(1)
			}
			if key == "school-key" {
				p.say("client %s at %s: %d+%d tokens: status %d, %d events, whole %v %s", id, to.Name, prompt, out, a.Status, a.Events, a.Whole, a.Err)
			}
		}()
	}
	// pace sends requests at a rate until stop is closed.
	pace := func(rate int, stop <-chan struct{}, one func(i int)) {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				one(i)
			}
		}
	}
	toFirst := func(int) { send(&school, first, "school-key", 100, 900) }

	// One cycle: the account is busy at the first instance, then calm, so that it returns
	// a part of its share, then busier again, while other accounts are written by all
	// instances. It reports the status with which the late write was executed.
	again := make(chan struct{}) // closed at the end: ends the steady requests
	var other meter
	cycle := func() (int, error) {
		p.say("the account spends at %s: 10 requests a second", first.Name)
		busy := make(chan struct{})
		time.AfterFunc(8*time.Second, func() { close(busy) })
		pace(10, busy, toFirst)

		p.say("one request a second")
		p.store.arm(&caught)
		calm := make(chan struct{})
		go pace(1, calm, toFirst)
		select {
		case <-returned:
		case <-time.After(15 * time.Second):
			close(calm)
			return 0, fmt.Errorf("%s returned nothing", first.Name)
		}
		p.say("other accounts spend at the other instances, then at all")
		mixed, everywhere := make(chan struct{}), make(chan struct{})
		defer close(mixed)
		go pace(160, mixed, func(i int) {
			to := p.instances[i%len(p.instances)]
			select {
			case <-everywhere:
			default:
				if to == first {
					return
				}
			}
			send(&other, to, fmt.Sprintf("other-key-%d", i/len(p.instances)%others), 2000, 9)
		})
		time.Sleep(1100 * time.Millisecond)
		close(calm)
		close(everywhere)

		p.say("the account spends at %s: 12 requests a second, then 3", first.Name)
		busier := make(chan struct{})
		time.AfterFunc(1500*time.Millisecond, func() { close(busier) })
		pace(12, busier, toFirst)
		go pace(3, again, toFirst)
		if !p.trouble {
			time.Sleep(lateBy - 2600*time.Millisecond)
			return 200, nil
		}
		return <-executed, nil
	}
	p.say("other accounts spend at all instances")
	warm := make(chan struct{})
	time.AfterFunc(3*time.Second, func() { close(warm) })
	pace(80, warm, func(i int) {
		send(&other, p.instances[i%len(p.instances)], fmt.Sprintf("other-key-%d", i/len(p.instances)%others), 2000, 9)
	})
	for try := 1; ; try++ {
		status, err := cycle()
		if err != nil {
			return false, err
		}
		// A late write whose condition no longer holds does nothing; another one may.
		if status == 200 || try == maxCycles {
			break
		}
		close(again)
		again = make(chan struct{})
	}
	p.say("store: row of the account: %s", p.store.Get(moneyKey+"school"))

	p.say("the account spends the rest at the other instances")
	rest := make(chan struct{})
	time.AfterFunc(4*time.Second, func() { close(rest) })
	pace(24, rest, func(i int) { send(&school, p.instances[1+i%(len(p.instances)-1)], "school-key", 19_100, 900) })
	p.say("the account spends at %s", first.Name)
	for range 30 {
		send(&school, first, "school-key", 4100, 900)
	}
	time.Sleep(time.Second)
	close(again)
	sending.Wait()
	time.Sleep(500 * time.Millisecond)
	p.say("store: row of the account: %s", p.store.Get(moneyKey+"school"))
	p.say("other accounts: %d served, %d refused, %d failed", other.served.Load(), other.refused.Load(), other.failed.Load())
	got := school.tokens.Load()
	p.say("the account has prepaid %d tokens and got %d: %d served, %d refused, %d failed", prepaid, got, school.served.Load(), school.refused.Load(), school.failed.Load())
	return got > prepaid, nil
}

// grantOf returns what a row grants to an instance. It is used only to find the write
// that is to be late; the rule is judged by what clients got.
func grantOf(row []byte, instance string) int64 {
	var r struct {
		Holders map[string]struct {
			Granted int64 `json:"granted"`
		} `json:"holders"`
	}
	_ = json.Unmarshal(row, &r)
	for id, g := range r.Holders {
		if strings.HasPrefix(id, instance+"@") {
			return g.Granted
		}
	}
	return 0
}

// startPlatform starts the store with a manifest in it.
func (p *play) startPlatform() error {
	p.store = NewStore()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.storeAddr = ln.Addr().String()
	tenants := []any{map[string]any{"name": "school", "api-keys": []string{"school-key"}, "priority": 1, "prepaid": prepaid}}
	for i := range others {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("other-%d", i), "api-keys": []string{fmt.Sprintf("other-key-%d", i)}, "priority": 1, "prepaid": otherShare})
	}
	if p.tenants != nil {
		tenants = p.tenants
	}
	p.manifest = map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "counter.example", "path-prefix": "/draft/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 600,
			"priority": 1, "service": "llm", "max-attempts": 1, "public": false, "sticky-sessions": true, "resumable": false, "target-gap-ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv-cache-tokens": 444000, "kv-token-bytes": 131072, "link-mbps": 1100000.0, "stride": stride, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	}
	manifest, err := json.Marshal(p.manifest)
	if err != nil {
		return err
	}
	p.store.Put("op/config", manifest)
	go p.store.Serve(ln)
	return nil
}

// startFleet starts an instance in each zone and waits until all are ready.
func (p *play) startFleet(zones []string) error {
	var seeds []string
	for i, zone := range zones {
		in, err := newInstance(p.dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		p.instances = append(p.instances, in)
		seeds = append(seeds, in.Peers)
	}
	p.seeds = seeds[:min(len(seeds), 3)]
	for _, in := range p.instances {
		if err := in.settings(p.storeAddr, p.seeds, true); err != nil {
			return err
		}
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range p.instances {
		if err := in.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts a model server in each zone.
func (p *play) startServers(zones []string) error {
	for i, zone := range zones {
		s, err := NewServer(p.store, fmt.Sprintf("i-%08x", i+1), "llm", zone)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	return nil
}
