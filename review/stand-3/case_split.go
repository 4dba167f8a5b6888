package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// splitCase: a manifest splits a streaming route between a service whose manifest entry has
// an engine and one whose entry has none. The tenant's tokens are counted at the servers and
// clients.
func splitCase(o *options) int {
	w, done := o.world()
	defer done()
	for _, s := range []*server{newServer(w, "i-llm0", "llm", "a", true, 16), newServer(w, "i-llm1", "llm", "a", true, 16), newServer(w, "i-over0", "over", "a", true, 16)} {
		w.servers = append(w.servers, s)
		if s.start("") != nil {
			return 2
		}
	}
	const prepaid = 60000
	w.paid["t0"] = prepaid
	manifest := func(version int, to m) {
		route := m{"name": "r-draft", "host": "d.example", "path-prefix": "/draft/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 600, "priority": 1, "max-attempts": 1, "public": false, "sticky-sessions": true, "resumable": false, "target-gap-ms": 300}
		for k, v := range to {
			route[k] = v
		}
		w.st.put("op/config", m{"version": version, "routes": []m{route}, "tenants": []m{{"name": "t0", "api-keys": []string{"key0"}, "priority": 1, "prepaid": prepaid}},
			"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}}, {"name": "over", "health-path": "/health", "max-connections": 96}},
			"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
		w.note("manifest %d: %v", version, to)
	}
	manifest(7, m{"service": "llm"})
	if !w.startInstances("a", "b") {
		return 2
	}
	var over atomic.Bool
	var wg sync.WaitGroup
	go w.beats(&over)
	for range 8 {
		wg.Go(func() {
			for !over.Load() {
				sp := &spec{kind: "stream", host: "d.example", prefix: "/draft/", method: "POST", deadline: 10000, bodyBytes: 2000, key: "key0", tenant: "t0", engine: true, tokensIn: 500, tokensOut: 80}
				w.call(w.instances[rnd(len(w.instances))], sp, sp.prefix+newID())
				time.Sleep(time.Duration(50+rnd(50)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if o.trouble {
		manifest(9, m{"traffic-split": []m{{"service": "llm", "weight": 90}, {"service": "over", "weight": 10}}})
	}
	time.Sleep(14 * time.Second)
	over.Store(true)
	wg.Wait()
	return w.verdict()
}
