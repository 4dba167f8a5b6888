package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

func rnd(n int) int { return rand.IntN(n) }

// world is all stand-ins of one play and what was seen.
type world struct {
	dir, program string
	st           *store
	instances    []*instance
	servers      []*server
	begin        time.Time
	// anyBody leaves the bodies of plain answers out of the checks.
	anyBody bool

	mu     sync.Mutex
	runs   map[string][]*run
	sent   map[string]*request
	paid   map[string]int64
	used   map[string]int64
	out    *os.File
	breaks map[string]int
	counts map[string]int
	keys   map[string]string // key -> tenant, of any manifest
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f ", time.Since(w.begin).Seconds())
	fmt.Fprintf(w.out, format+"\n", args...)
}

// breach notes that a rule was broken.
func (w *world) breach(rule, format string, args ...any) {
	w.mu.Lock()
	w.breaks[rule]++
	n := w.breaks[rule]
	w.mu.Unlock()
	if n <= 20 {
		w.note("BROKEN "+rule+": "+format, args...)
	}
}

// request is one attempt of a client.
type request struct {
	attempt, path, method, bodyHash, tenant, model, usage, prefix, kind, last, own string
	tokensIn                                                                       int64
	at                                                                             time.Time
	ended                                                                          time.Time
	inst                                                                           *instance
	status                                                                         int
	events                                                                         int
	counted                                                                        bool
}

func (w *world) ran(r *run) {
	w.mu.Lock()
	q := w.sent[r.attempt]
	before := len(w.runs[r.attempt])
	w.runs[r.attempt] = append(w.runs[r.attempt], r)
	if q != nil && !q.counted && q.tokensIn > 0 {
		q.counted = true
		w.used[q.tenant] += q.tokensIn
	}
	var status int
	if q != nil {
		status = q.status
	}
	w.mu.Unlock()
	if q == nil {
		w.breach("UNASKED", "server %s runs %q, which nobody sent", r.server, r.attempt)
		return
	}
	if before > 0 && q.kind != "idempotent" && q.kind != "resumable" {
		w.breach("TWICE", "%s %s ran %d times", q.kind, r.attempt, before+1)
	}
	if r.path != q.path || r.method != q.method || r.bodyHash != q.bodyHash || r.model != q.model || r.usage != q.usage || r.prefix != q.prefix || r.cred != "" || r.tenant != q.tenant || r.other != q.own {
		w.breach("UNASKED", "server %s runs %s changed: %+v, sent %+v", r.server, r.attempt, r, q)
	}
	if status == 503 || status == 429 || status == 408 || status == 421 {
		w.breach("REFUSED", "%s was answered %d and runs later", r.attempt, status)
	}
	w.checkMoney(q.tenant)
}

func (w *world) checkMoney(tenant string) {
	w.mu.Lock()
	used, paid := w.used[tenant], w.paid[tenant]
	w.mu.Unlock()
	if paid > 0 && used > paid {
		w.breach("BUDGET", "tenant %s has %d of %d", tenant, used, paid)
	}
}

// answered notes the status that a client got.
func (w *world) answered(q *request, status int) {
	w.mu.Lock()
	q.status = status
	n := len(w.runs[q.attempt])
	w.counts[fmt.Sprintf("%s %d", q.kind, status)]++
	w.mu.Unlock()
	if n > 0 && (status == 503 || status == 429 || status == 408 || status == 421) && q.kind != "idempotent" && q.kind != "resumable" {
		w.breach("REFUSED", "%s %s was answered %d and has run %d times", q.kind, q.attempt, status, n)
	}
}

func (w *world) summary() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var parts []string
	for k, n := range w.counts {
		parts = append(parts, fmt.Sprintf("%s=%d", k, n))
	}
	ids := make([]string, 0, len(w.sent))
	for id := range w.sent {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return w.sent[ids[i]].at.Before(w.sent[ids[j]].at) })
	fmt.Fprintln(w.out, "sent (s), attempt, request, status, events, runs: server at (s), whole")
	for _, id := range ids {
		q := w.sent[id]
		fmt.Fprintf(w.out, "%8.3f %s %s %s %s %d %d", q.at.Sub(w.begin).Seconds(), id, q.method, q.path, q.usage, q.status, q.events)
		for _, r := range w.runs[id] {
			fmt.Fprintf(w.out, "; %s at %.3f %v", r.server, r.at.Sub(w.begin).Seconds(), r.done)
		}
		fmt.Fprintln(w.out)
	}
	fmt.Fprintf(w.out, "counts %s\n", strings.Join(parts, ", "))
	fmt.Fprintf(w.out, "used %v paid %v\n", w.used, w.paid)
	fmt.Fprintf(w.out, "breaks %v\n", w.breaks)
}
