package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// addedCase: a manifest adds a plain route, whose requests may run once only, to the service
// that has an engine. Its requests carry no Token-Usage, since the route has no
// sticky-sessions. One of two tenants has prepaid tokens.
func addedCase(o *options) int {
	w, done := o.world()
	defer done()
	for i := range 2 {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-app%d", i), "app", "a", false, 6), newServer(w, fmt.Sprintf("i-llm%d", i), "llm", "a", true, 16))
	}
	for _, s := range w.servers {
		if s.start("") != nil {
			return 2
		}
	}
	routes := []m{
		{"name": "r-book", "host": "d.example", "path-prefix": "/book/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 1, "service": "app", "max-attempts": 1, "public": false},
		{"name": "r-ask", "host": "d.example", "path-prefix": "/ask/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 0, "service": "llm", "max-attempts": 2, "public": false, "sticky-sessions": true, "resumable": true, "target-gap-ms": 300},
	}
	manifest := func(version int) {
		w.st.put("op/config", m{"version": version, "routes": routes,
			"tenants":  []m{{"name": "t0", "api-keys": []string{"key0"}, "priority": 1, "prepaid": 100000000}, {"name": "t1", "api-keys": []string{"key1"}, "priority": 1}},
			"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}}, {"name": "app", "health-path": "/health", "max-connections": 96}},
			"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
		w.note("manifest %d with %d routes", version, len(routes))
	}
	manifest(7)
	if !w.startInstances("a", "b") {
		return 2
	}
	time.Sleep(3 * time.Second) // in touch from here on
	if o.trouble {
		routes = append(routes, m{"name": "r-tag", "host": "d.example", "path-prefix": "/tag/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 1, "service": "llm", "max-attempts": 1, "public": false})
		manifest(9)
		time.Sleep(2500 * time.Millisecond) // config-apply-ms and more
	}
	var over atomic.Bool
	var got, served [2]atomic.Int64 // on the first routes, on the one that was added
	var ran atomic.Int64            // on the one that was added, not served
	var wg sync.WaitGroup
	go w.beats(&over)
	for n := range 6 {
		wg.Go(func() {
			key, tenant := fmt.Sprintf("key%d", n%2), fmt.Sprintf("t%d", n%2)
			for !over.Load() {
				sp, added := &spec{kind: "non_idempotent", host: "d.example", prefix: "/book/", method: "POST", deadline: 2500, bodyBytes: 300, key: key, tenant: tenant}, 0
				switch rnd(3) {
				case 0:
					sp = &spec{kind: "resumable", host: "d.example", prefix: "/ask/", method: "POST", deadline: 10000, bodyBytes: 300, key: key, tenant: tenant, engine: true, tokensIn: 300, tokensOut: 40}
				case 1:
					if o.trouble {
						sp.prefix, added = "/tag/", 1
					}
				}
				cn, err := dialFront(w.instances[rnd(len(w.instances))])
				if err != nil {
					continue
				}
				q, out := w.send(cn, sp, sp.prefix+newID(), 0, 0)
				_ = cn.c.Close()
				got[added].Add(1)
				w.mu.Lock()
				runs := len(w.runs[q.attempt])
				w.counts[fmt.Sprintf("%s %s of %s, run %d times", sp.prefix, fmt.Sprint(out.status), tenant, runs)]++
				w.mu.Unlock()
				switch {
				case out.status == 200 && out.complete:
					served[added].Add(1)
				case runs > 0 && added == 1:
					ran.Add(1)
				}
				time.Sleep(time.Duration(20+rnd(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	over.Store(true)
	wg.Wait()
	w.note("first routes: %d of %d served; the added one: %d of %d served, %d run and not served", served[0].Load(), got[0].Load(), served[1].Load(), got[1].Load(), ran.Load())
	if got[1].Load() >= 20 && 4*served[1].Load()*got[0].Load() < served[0].Load()*got[1].Load() {
		w.breach("CONFIG", "the route that was added is served less than a quarter as often as the first ones")
	}
	return w.verdict()
}
