package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lastEndCase: three of five servers break off 5 in 100 of their streams behind the last event,
// before the end of the answer, six times for 6.6 s. The route's streams may be resumed; the servers that resume
// them are sound and answer with nothing more but the end.
func lastEndCase(o *options) int {
	w, done := o.world()
	defer done()
	for i := range 5 {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-llm%d", i), "llm", "a", true, 16))
	}
	for _, s := range w.servers {
		if s.start("") != nil {
			return 2
		}
	}
	w.st.put("op/config", m{"version": 7, "routes": []m{
		{"name": "r-ask", "host": "d.example", "path-prefix": "/ask/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 0, "service": "llm", "max-attempts": 2, "public": false, "sticky-sessions": true, "resumable": true, "target-gap-ms": 300}},
		"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}}},
		"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, "tenants": []m{{"name": "t0", "api-keys": []string{"key0"}, "priority": 1, "prepaid": 100000000}}})
	if !w.startInstances("a", "b") {
		return 2
	}
	time.Sleep(3 * time.Second) // in touch from here on
	var over atomic.Bool
	var lost, refused, ended atomic.Int64
	var wg sync.WaitGroup
	go w.beats(&over)
	for range 50 {
		wg.Go(func() {
			var cn *conn
			for !over.Load() {
				if cn == nil {
					var err error
					if cn, err = dialFront(w.instances[rnd(len(w.instances))]); err != nil {
						continue
					}
				}
				sp := &spec{kind: "resumable", host: "d.example", prefix: "/ask/", method: "POST", deadline: 10000, bodyBytes: 300, key: "key0", tenant: "t0", engine: true, tokensIn: 300, tokensOut: 160}
				path := sp.prefix + newID()
				q, out := w.send(cn, sp, path, 0, 0)
				if out.err == nil {
					if out.close {
						_ = cn.c.Close()
						cn = nil
					}
					continue
				}
				_ = cn.c.Close()
				cn = nil
				w.mu.Lock()
				runs := append([]*run{}, w.runs[q.attempt]...)
				w.mu.Unlock()
				text, sound := "", false
				for _, r := range runs {
					text += fmt.Sprintf(" %s after event %q whole %v;", r.server, r.last, r.done)
					sound = sound || r.done
				}
				if !sound {
					w.note("%s ended after %d events without a sound server: %s", q.attempt, out.lastID, text)
					continue
				}
				lost.Add(1)
				w.note("BROKEN LOST: channel of %s closed without the end of its answer, %d of %d events, %v; runs:%s", q.attempt, out.lastID, eventsOf(q.path, q.usage), out.err, text)
				again, err := dialFront(w.instances[rnd(len(w.instances))])
				if err != nil {
					continue
				}
				q2, out2 := w.send(again, sp, path, out.lastID, 0)
				_ = again.c.Close()
				w.mu.Lock()
				text = ""
				for _, r := range w.runs[q2.attempt] {
					text += fmt.Sprintf(" %s whole %v;", r.server, r.done)
				}
				w.mu.Unlock()
				w.note("the client resumes it with Last-Event-Id %d as %s: status %d, complete %v, %v; runs:%s", out.lastID, q2.attempt, out2.status, out2.complete, out2.err, text)
				if out2.complete && out2.status == 200 {
					ended.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	for range 6 {
		for _, s := range w.servers[:3] {
			if o.trouble {
				s.faults.Store(&faults{lastEnd: .05})
			}
		}
		time.Sleep(6600 * time.Millisecond)
		for _, s := range w.servers[:3] {
			s.faults.Store(&faults{})
		}
		time.Sleep(2 * time.Second)
	}
	over.Store(true)
	wg.Wait()
	w.note("closed without the end: %d (three are allowed); resumed by the client: %d ended, %d refused", lost.Load(), ended.Load(), refused.Load())
	if lost.Load() > 3 {
		w.mu.Lock()
		w.breaks["LOST"] = int(lost.Load())
		w.mu.Unlock()
	}
	return w.verdict()
}
