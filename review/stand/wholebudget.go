package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Figures of the case whole-budget.
const (
	budgetOf    = 300_000 // prepaid by each tenant, in tokens
	budgets     = 5       // tenants
	downFor     = 1200 * time.Millisecond
	recovery    = 12 * time.Second // recovery-s
	judgedFor   = 10 * time.Second
	largePrompt = 2_000
	largeOutput = 320_000 // the engines' memory holds 444,000
	// largeRequests is how many such requests a client of each tenant sends.
	largeRequests = 20
	largePause    = 200 * time.Millisecond
)

// period sums up the requests of a span of time.
type period struct {
	mu                     sync.Mutex
	sent, served, statuses map[string]int
}

func (s *period) add(key string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent, s.served, s.statuses = map[string]int{}, map[string]int{}, map[string]int{}
	}
	s.sent[key]++
	s.statuses[fmt.Sprint(status)]++
	if status == 200 {
		s.served[key]++
	}
}

func (s *period) share() (sent, served int) {
	for _, n := range s.sent {
		sent += n
	}
	for _, n := range s.served {
		served += n
	}
	return sent, served
}

// wholeBudget: each tenant sends one request that is larger than what it has left, and
// gets 402. A second later all processes are killed, and started again.
func wholeBudget(p *play) (bool, error) {
	var tenants []any
	for i := range budgets {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("school-%d", i), "api-keys": []string{fmt.Sprintf("school-key-%d", i)}, "priority": 1, "prepaid": budgetOf})
	}
	p.tenants = tenants
	if err := p.startPlatform(); err != nil {
		return false, err
	}
	if err := p.startServers([]string{"sudvestur-a", "sudvestur-b", "sudvestur-c", "sudvestur-d"}); err != nil {
		return false, err
	}
	if err := p.startFleet([]string{"sudvestur-a", "sudvestur-a", "sudvestur-b", "sudvestur-b", "sudvestur-c", "sudvestur-d"}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var before, after period
	var mu sync.Mutex
	phase := &before
	used := map[string]int{} // by key: prompts and delivered output
	var sending sync.WaitGroup
	stop := make(chan struct{})
	one := func(i int) {
		key := fmt.Sprintf("school-key-%d", i%budgets)
		mu.Lock()
		in := phase
		mu.Unlock()
		begin, limit := time.Now(), 10*time.Second
		a := answer{}
		for try := range 2 { // one retry, on a new channel at another instance
			to := p.instances[rand.IntN(len(p.instances))]
			var id string
			id, a = call(to.Frontend, "counter.example", "/draft/1", key, 100, 90, limit-time.Since(begin))
			p.say("client %s (%s) at %s: status %d, %d events, whole %v %s", id, key, to.Name, a.Status, a.Events, a.Whole, a.Err)
			mu.Lock()
			if a.Status == 200 {
				used[key] += 100 + min(a.Events*stride, 90)
			}
			mu.Unlock()
			if try == 1 || a.Status != 503 && a.Status != 429 || a.RetryAfter == 0 {
				break
			}
			time.Sleep(min(a.RetryAfter, (limit-time.Since(begin))/3))
		}
		status := a.Status
		if !a.Whole {
			status = 0
		}
		in.add(key, status)
	}
	go func() {
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				sending.Add(1)
				go func() {
					defer sending.Done()
					one(i)
				}()
			}
		}
	}()
	time.Sleep(8 * time.Second)
	var asking sync.WaitGroup
	for i := range budgets {
		key, to := fmt.Sprintf("school-key-%d", i), p.instances[rand.IntN(len(p.instances))]
		asking.Add(1)
		go func() {
			defer asking.Done()
			for range largeRequests {
				id, a := call(to.Frontend, "counter.example", "/draft/1", key, largePrompt, largeOutput, 10*time.Second)
				p.say("client %s (%s) at %s asks for %d+%d tokens: status %d %s", id, key, to.Name, largePrompt, largeOutput, a.Status, a.Err)
				time.Sleep(largePause)
			}
		}()
	}
	asking.Wait()
	p.sayRows()
	mu.Lock()
	phase = &period{} // neither before nor after
	mu.Unlock()
	if p.trouble {
		p.manifest["version"] = 9
		text, err := json.Marshal(p.manifest)
		if err != nil {
			return false, err
		}
		p.store.Put("op/config", text)
		p.say("store: manifest 9 is acknowledged; all processes are killed")
		for _, in := range p.instances {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range p.instances {
			in.kill()
		}
		time.Sleep(downFor)
		for _, in := range p.instances {
			if err := in.settings(p.storeAddr, p.seeds, false); err != nil {
				return false, err
			}
			if err := in.start(); err != nil {
				return false, err
			}
		}
		p.say("all processes are started again")
	}
	time.Sleep(recovery)
	mu.Lock()
	phase = &after
	mu.Unlock()
	p.say("%s later", recovery)
	time.Sleep(judgedFor)
	close(stop)
	sending.Wait()
	p.sayRows()
	for i := range budgets {
		key := fmt.Sprintf("school-key-%d", i)
		p.say("%s: %d of %d prepaid tokens used; served %d of %d before, %d of %d after", key, used[key], budgetOf, before.served[key], before.sent[key], after.served[key], after.sent[key])
	}
	sent0, served0 := before.share()
	sent, served := after.share()
	p.say("judged: before %d of %d served %v; later than %s after the machines were back %d of %d served %v", served0, sent0, before.statuses, recovery, served, sent, after.statuses)
	if 4*served0 < sent0 || sent == 0 {
		return false, fmt.Errorf("%d of %d served before the fault", served0, sent0)
	}
	return 4*served < sent, nil
}

// sayRows records the rows of all tenants.
func (p *play) sayRows() {
	for i := range budgets {
		p.say("store: row of school-%d: %s", i, p.store.Get(fmt.Sprintf("%sschool-%d", moneyKey, i)))
	}
}
