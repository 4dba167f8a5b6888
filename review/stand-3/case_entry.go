package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// entryCase: another writer puts an entry with most fields missing under the id of a
// running server of the service llm. It calls that server one of the service app.
func entryCase(o *options) int {
	w, done := o.world()
	defer done()
	w.anyBody = true // who ran a request counts here, not what it answered
	for i := range 2 {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-app%d", i), "app", "a", false, 6))
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-llm%d", i), "llm", "a", true, 16))
	}
	for _, s := range w.servers {
		if s.start("") != nil {
			return 2
		}
	}
	w.st.put("op/config", m{"version": 7, "routes": []m{
		{"name": "r-book", "host": "d.example", "path-prefix": "/book/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 1, "service": "app", "max-attempts": 1, "public": false},
		{"name": "r-ask", "host": "d.example", "path-prefix": "/ask/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 0, "service": "llm", "max-attempts": 2, "public": false, "sticky-sessions": true, "resumable": true, "target-gap-ms": 300}},
		"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}}, {"name": "app", "health-path": "/health", "max-connections": 96}},
		"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, "tenants": []m{{"name": "t0", "api-keys": []string{"key0"}}}})
	if !w.startInstances("a", "a") {
		return 2
	}
	var over atomic.Bool
	var wg sync.WaitGroup
	go w.beats(&over)
	for range 6 {
		wg.Go(func() {
			for !over.Load() {
				sp := &spec{kind: "non_idempotent", host: "d.example", prefix: "/book/", method: "POST", deadline: 2500, bodyBytes: 300, key: "key0", tenant: "t0"}
				if rnd(4) == 0 {
					sp = &spec{kind: "resumable", host: "d.example", prefix: "/ask/", method: "POST", deadline: 10000, bodyBytes: 300, key: "key0", tenant: "t0", engine: true, tokensIn: 300, tokensOut: 40}
				}
				w.call(w.instances[rnd(len(w.instances))], sp, sp.prefix+newID())
				time.Sleep(time.Duration(rnd(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if o.trouble {
		s := w.servers[1]
		w.note("another writer puts an entry without zone, version, slots, cold-remaining-ms and sequence under servers/%s", s.id)
		for range 8 {
			w.st.put("servers/"+s.id, m{"service": "app", "address": s.addr, "state": "ready"})
			time.Sleep(400 * time.Millisecond)
		}
		s.beat()
	}
	time.Sleep(5 * time.Second)
	over.Store(true)
	wg.Wait()
	w.mu.Lock()
	astray := 0
	for _, runs := range w.runs {
		for _, r := range runs {
			if q := w.sent[r.attempt]; q != nil && q.kind == "non_idempotent" && len(r.server) > 5 && r.server[:5] == "i-llm" {
				astray++
				if astray <= 10 {
					fmt.Fprintf(w.out, "BROKEN ROUTE: %s %s, a request of a route to app, was run by the llm server %s; the client got %d\n", q.method, q.path, r.server, q.status)
				}
			}
		}
	}
	w.breaks["ROUTE"] += astray
	if astray == 0 {
		delete(w.breaks, "ROUTE")
	}
	w.mu.Unlock()
	return w.verdict()
}
