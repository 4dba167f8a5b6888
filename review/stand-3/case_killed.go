package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// killedCase: all processes are killed at the same moment, once, and started again. Counted
// are answers 402 of instances in touch to requests that fit, at their most, into 97 in 100
// of what the tenant has paid.
func killedCase(o *options) int {
	w, done := o.world()
	defer done()
	for _, s := range []*server{newServer(w, "i-llm0", "llm", "a", true, 16), newServer(w, "i-llm1", "llm", "a", true, 16), newServer(w, "i-llm2", "llm", "b", true, 16)} {
		w.servers = append(w.servers, s)
		if s.start("") != nil {
			return 2
		}
	}
	const prepaid, in, out, callers = 300000, 500, 80, 10
	w.paid["t0"] = prepaid
	w.st.put("op/config", m{"version": 7, "routes": []m{
		{"name": "r-draft", "host": "d.example", "path-prefix": "/draft/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 600, "priority": 1, "service": "llm", "max-attempts": 1, "public": false, "sticky-sessions": true, "resumable": false, "target-gap-ms": 300}},
		"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}}},
		"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, "tenants": []m{{"name": "t0", "api-keys": []string{"key0"}, "priority": 1, "prepaid": prepaid}}})
	if !w.startInstances("a", "b", "a", "b") {
		return 2
	}
	var over atomic.Bool
	var denied, sent atomic.Int64
	var wg sync.WaitGroup
	go w.beats(&over)
	for range callers {
		wg.Go(func() {
			for !over.Load() {
				i := w.instances[rnd(len(w.instances))]
				sp := &spec{kind: "stream", host: "d.example", prefix: "/draft/", method: "POST", deadline: 10000, bodyBytes: 2000, key: "key0", tenant: "t0", engine: true, tokensIn: in, tokensOut: out}
				sent.Add(1)
				got := w.call(i, sp, sp.prefix+newID())
				if got.status == 402 && i.calmFor() > 4*time.Second {
					w.mu.Lock()
					used := w.used["t0"]
					w.mu.Unlock()
					if most := used + callers*(in+out); most*100 <= 97*prepaid {
						if denied.Add(1) <= 10 {
							w.note("BROKEN DENIED: %s answers 402 while the tenant has had %d of %d, %d with all that is open at its most", i.name, used, prepaid, most)
						}
					}
				}
				time.Sleep(time.Duration(20+rnd(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if o.trouble {
		w.note("all processes are killed")
		var killed sync.WaitGroup
		for _, i := range w.instances {
			killed.Go(func() { i.kill(500 * time.Millisecond) })
		}
		killed.Wait()
	}
	time.Sleep(30 * time.Second)
	over.Store(true)
	wg.Wait()
	allowed := 5 + sent.Load()/500
	w.note("402 though the balance covers the request: %d of %d requests, allowed %d; the tenant has had %d of %d", denied.Load(), sent.Load(), allowed, w.used["t0"], prepaid)
	if denied.Load() > allowed {
		w.mu.Lock()
		w.breaks["DENIED"] = int(denied.Load())
		w.mu.Unlock()
	}
	return w.verdict()
}
