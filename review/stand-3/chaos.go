package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type m = map[string]any

// chaosPlay is the state of a random play.
type chaosPlay struct {
	*world
	version  int64
	routes   []m
	tenants  []m
	idle     int
	rotation sync.Map // *instance -> bool
	over     atomic.Bool
	nextSrv  int
	muCfg    sync.Mutex
}

func (c *chaosPlay) manifest() {
	c.version += int64(1 + rnd(5))
	engine := m{"slots": 16, "kv-cache-tokens": 444000, "stride": stride, "models": []m{{"name": "m"}}}
	c.mu.Lock()
	for _, t := range c.tenants {
		if p, ok := t["prepaid"].(int64); ok {
			c.paid[t["name"].(string)] = p
		}
	}
	c.mu.Unlock()
	c.st.put("op/config", m{"version": c.version, "routes": c.routes, "tenants": c.tenants,
		"services": []m{{"name": "llm", "health-path": "/health", "max-connections": 360, "engine": engine}, {"name": "app", "health-path": "/health", "max-connections": 96}},
		"limits":   m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": c.idle}})
	c.note("manifest %d", c.version)
}

func chaos(args []string) int {
	fs := flag.NewFlagSet("chaos", flag.ExitOnError)
	program := fs.String("program", "target/bluebellport", "")
	length := fs.Duration("length", 60*time.Second, "")
	nInst := fs.Int("instances", 4, "")
	only := fs.String("only", "", "")
	out := fs.String("out", "/dev/stdout", "")
	keep := fs.String("dir", "", "")
	_ = fs.Parse(args)
	dir := *keep
	if dir == "" {
		dir, _ = os.MkdirTemp("", "chaos")
		defer os.RemoveAll(dir)
	}
	f, err := os.Create(*out)
	if err != nil {
		panic(err)
	}
	prog, _ := filepath.Abs(*program)
	w := &world{dir: dir, program: prog, st: newStore(), begin: time.Now(), runs: map[string][]*run{}, sent: map[string]*request{}, paid: map[string]int64{}, used: map[string]int64{}, out: f, breaks: map[string]int{}, counts: map[string]int{}}
	c := &chaosPlay{world: w, idle: 15000}
	c.routes = []m{
		{"name": "r-book", "host": "d.example", "path-prefix": "/book/", "kind": "non_idempotent", "timeout-ms": 1200, "target-latency-ms": 150, "priority": 2, "service": "app", "max-attempts": 2},
		{"name": "r-read", "host": "d.example", "path-prefix": "/read/", "kind": "idempotent", "timeout-ms": 1200, "target-latency-ms": 150, "priority": 2, "service": "app", "max-attempts": 3},
		{"name": "r-pub", "host": "d.example", "path-prefix": "/pub/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": "app", "max-attempts": 2, "public": true},
		{"name": "r-draft", "host": "d.example", "path-prefix": "/draft/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 600, "priority": 1, "service": "llm", "max-attempts": 2, "sticky-sessions": true, "target-gap-ms": 300},
		{"name": "r-ask", "host": "d.example", "path-prefix": "/ask/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 0, "service": "llm", "max-attempts": 3, "resumable": true, "sticky-sessions": true, "target-gap-ms": 300},
	}
	for i := range 4 {
		c.tenants = append(c.tenants, m{"name": fmt.Sprintf("t%d", i), "api-keys": []string{fmt.Sprintf("key%d", i)}, "prepaid": int64(300000 * (i + 1))})
	}
	zones := []string{"a", "b"}
	for i := range 4 {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-app%d", i), "app", zones[i%2], false, 6))
	}
	for i := range 5 {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("i-llm%d", i), "llm", zones[i%2], true, 16))
	}
	c.nextSrv = 100
	for _, s := range w.servers {
		if err := s.start(""); err != nil {
			panic(err)
		}
	}
	c.manifest()
	for i := range *nInst {
		w.addInstance(zones[i%2])
	}
	for _, i := range w.instances {
		i.start()
	}
	defer func() {
		for _, i := range w.instances {
			i.end()
		}
	}()
	for _, i := range w.instances {
		if !i.waitReady(10 * time.Second) {
			w.note("instance %s not ready", i.name)
			return 2
		}
		c.rotation.Store(i, true)
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for range 30 {
		wg.Add(1)
		go func() { defer wg.Done(); c.client() }()
	}
	go c.balance()
	go func() {
		for !c.over.Load() {
			time.Sleep(1200 * time.Millisecond)
			c.mu.Lock()
			servers := append([]*server{}, c.servers...)
			c.mu.Unlock()
			for _, s := range servers {
				s.beat()
			}
		}
	}()
	end := time.Now().Add(*length)
	var busy sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rnd(2500)) * time.Millisecond)
		busy.Add(1)
		go func() { defer busy.Done(); c.trouble(*only) }()
	}
	busy.Wait()
	time.Sleep(2 * time.Second)
	c.over.Store(true)
	wg.Wait()
	w.summary()
	if len(w.breaks) > 0 {
		return 1
	}
	return 0
}

// balance is the platform's balancer.
func (c *chaosPlay) balance() {
	misses := map[*instance]int{}
	for !c.over.Load() {
		for _, i := range c.instances {
			if i.isReady() {
				misses[i] = 0
			} else {
				misses[i]++
			}
			c.rotation.Store(i, misses[i] < 2)
		}
		time.Sleep(time.Second)
	}
}

func (c *chaosPlay) pick(not *instance) *instance {
	var in []*instance
	for _, i := range c.instances {
		if ok, _ := c.rotation.Load(i); ok == true && i != not {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return c.instances[rnd(len(c.instances))]
	}
	return in[rnd(len(in))]
}

func (c *chaosPlay) spec() *spec {
	t := rnd(4)
	key := fmt.Sprintf("key%d", t)
	tenant := fmt.Sprintf("t%d", t)
	switch rnd(6) {
	case 0, 1:
		return &spec{kind: "non_idempotent", host: "d.example", prefix: "/book/", method: "POST", deadline: 2500, bodyBytes: 1 + rnd(1500), key: key, tenant: tenant}
	case 2:
		return &spec{kind: "idempotent", host: "d.example", prefix: "/read/", method: "GET", deadline: 2500, key: key, tenant: tenant}
	case 3:
		return &spec{kind: "non_idempotent", host: "d.example", prefix: "/pub/", method: "POST", deadline: 2500, bodyBytes: rnd(140000), key: map[bool]string{true: key}[rnd(2) == 0]}
	case 4:
		return &spec{kind: "stream", host: "d.example", prefix: "/draft/", method: "POST", deadline: 10000, bodyBytes: 24000 + rnd(100000), key: key, tenant: tenant, engine: true, tokensIn: int64(500 + rnd(3000)), tokensOut: int64(8 + rnd(300))}
	}
	return &spec{kind: "resumable", host: "d.example", prefix: "/ask/", method: "POST", deadline: 10000, bodyBytes: 1000 + rnd(2000), key: key, tenant: tenant, engine: true, tokensIn: int64(100 + rnd(800)), tokensOut: int64(8 + rnd(300))}
}

func (c *chaosPlay) client() {
	var cn *conn
	for !c.over.Load() {
		if cn == nil {
			i := c.pick(nil)
			var err error
			if cn, err = dialFront(i); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		if ok, _ := c.rotation.Load(cn.inst); rnd(40) == 0 && ok != true {
			_ = cn.c.Close()
			cn = nil
			continue
		}
		sp := c.spec()
		path := sp.prefix + newID()
		if rnd(4) == 0 {
			path += "?q=" + newID()
		}
		last := 0
		for try := 0; try < 2; try++ {
			var cancel time.Duration
			if rnd(25) == 0 {
				cancel = time.Duration(1+rnd(400)) * time.Millisecond
			}
			q, out := c.send(cn, sp, path, last, cancel)
			c.judgeLost(q, &out, cn)
			inst := cn.inst
			if out.err != nil || out.close {
				_ = cn.c.Close()
				cn = nil
			}
			if out.cancel {
				break
			}
			again := out.status == 503 || (sp.kind == "idempotent" && (out.err != nil || out.status >= 500)) || (sp.kind == "resumable" && out.err != nil && out.status == 200)
			if !again {
				break
			}
			last = out.lastID
			time.Sleep(min(out.retryIn, 800*time.Millisecond))
			if cn != nil {
				_ = cn.c.Close()
			}
			var err error
			if cn, err = dialFront(c.pick(inst)); err != nil {
				cn = nil
				break
			}
		}
		time.Sleep(time.Duration(rnd(200)) * time.Millisecond)
		if rnd(30) == 0 {
			time.Sleep(time.Duration(rnd(12000)) * time.Millisecond)
		}
	}
	if cn != nil {
		_ = cn.c.Close()
	}
}

// judgeLost notes requests whose channel ended without a complete answer.
func (c *chaosPlay) judgeLost(q *request, out *outcome, cn *conn) {
	if out.err == nil || out.cancel {
		return
	}
	c.mu.Lock()
	runs := append([]*run{}, c.runs[q.attempt]...)
	c.counts[q.kind+" cut"]++
	c.mu.Unlock()
	done := len(runs) > 0
	for _, r := range runs {
		done = done && r.done
	}
	took := time.Since(q.at)
	stop := cn.inst.stoppedAt()
	calm := cn.inst.calmFor() > 3*time.Second+took
	if !calm {
		return
	}
	if ne, ok := out.err.(interface{ Timeout() bool }); ok && ne.Timeout() {
		c.breach("HANG", "%s %s at %s no answer after %v, status %d events %d runs %d", q.kind, q.attempt, cn.inst.name, took, out.status, q.events, len(runs))
		return
	}
	if out.status != 0 && !done {
		return // a server broke off
	}
	if stop.IsZero() {
		if len(runs) > 0 {
			c.breach("LOST", "%s %s at %s status %d after %v events %d, ran %d times, done %v, channel used %d: %v", q.kind, q.attempt, cn.inst.name, out.status, took, q.events, len(runs), done, cn.used, out.err)
		}
		return
	}
	since := q.at.Sub(stop)
	endAt := time.Since(stop)
	if len(runs) > 0 && !(since < 3*time.Second && endAt > 6660*time.Millisecond) || len(runs) == 0 && took > 200*time.Millisecond {
		c.breach("LOST", "stop: %s %s at %s sent %v after SIGTERM, ended %v after it, status %d, runs %d done %v: %v", q.kind, q.attempt, cn.inst.name, since, endAt, out.status, len(runs), done, out.err)
	}
}

func (c *chaosPlay) trouble(only string) {
	kinds := []string{"kill", "freeze", "term", "term", "hup", "faults", "faults", "crash", "drain", "dark", "store", "storeall", "compact", "config", "config", "revoke", "topup", "idle"}
	k := kinds[rnd(len(kinds))]
	if only != "" {
		k = only
	}
	i := c.instances[rnd(len(c.instances))]
	switch k {
	case "kill", "freeze", "term":
		if i.calmFor() < 12*time.Second || !i.stoppedAt().IsZero() {
			return
		}
	}
	c.mu.Lock()
	s := c.servers[rnd(len(c.servers))]
	c.mu.Unlock()
	c.note("trouble %s %s %s", k, i.name, s.id)
	switch k {
	case "kill":
		i.disturbed()
		i.kill(time.Duration(200+rnd(2000)) * time.Millisecond)
	case "freeze":
		i.disturbed()
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(300+rnd(5000)) * time.Millisecond)
		i.signal(syscall.SIGCONT)
		i.disturbed()
	case "term":
		i.term(300 * time.Millisecond)
	case "hup":
		i.signal(syscall.SIGHUP)
	case "faults":
		f := &faults{}
		v := .02 + float64(rnd(40))/100
		for _, x := range []*float64{&f.lost, &f.lostReset, &f.errors, &f.shed, &f.shedNoID, &f.trunc, &f.unframed, &f.extraLate, &f.extra, &f.early, &f.slow, &f.closing} {
			if rnd(4) == 0 {
				*x = v
			}
		}
		s.faults.Store(f)
		time.Sleep(4 * time.Second)
		s.faults.Store(&faults{})
	case "dark":
		s.dark.Store(true)
		time.Sleep(time.Duration(500+rnd(3500)) * time.Millisecond)
		s.dark.Store(false)
	case "crash":
		if !s.up {
			return
		}
		addr := s.addr
		s.crash()
		time.Sleep(time.Duration(300+rnd(3000)) * time.Millisecond)
		switch rnd(3) {
		case 0: // back under its id
			if s.start(addr) != nil {
				_ = s.start("")
			}
		default:
			c.replace(s, addr)
		}
	case "drain":
		if !s.up {
			return
		}
		if rnd(2) == 0 {
			s.drain()
		}
		n := c.replacement(s)
		if n.start("") != nil {
			return
		}
		c.mu.Lock()
		for j := range c.servers {
			if c.servers[j] == s {
				c.servers[j] = n
			}
		}
		c.mu.Unlock()
		if s.state != "draining" {
			s.mu.Lock()
			s.up = false
			s.mu.Unlock()
			c.st.del("servers/" + s.id)
		}
		time.Sleep(4 * time.Second)
		s.mu.Lock()
		s.up = false
		s.mu.Unlock()
		c.st.del("servers/" + s.id)
		time.Sleep(time.Second)
		s.crash()
	case "store", "storeall":
		md := []mode{modeBusy, modeSilent, modeLost, modeLate, modeReset, modeSlow}[rnd(6)]
		doors := []*door{i.door}
		if k == "storeall" {
			doors = nil
			for _, o := range c.instances {
				doors = append(doors, o.door)
			}
		}
		for _, d := range doors {
			d.setMode(md)
		}
		time.Sleep(time.Duration(1000+rnd(4000)) * time.Millisecond)
		for _, d := range doors {
			d.setMode(modeOK)
		}
	case "compact":
		c.st.compact()
	case "config", "revoke", "topup", "idle":
		c.muCfg.Lock()
		defer c.muCfg.Unlock()
		switch k {
		case "config":
			c.routes[rnd(len(c.routes))]["timeout-ms"] = 1000 + rnd(9000)
		case "topup":
			t := c.tenants[rnd(len(c.tenants))]
			t["prepaid"] = t["prepaid"].(int64) + int64(rnd(200000))
		case "idle":
			c.idle = 5000 + rnd(20000)
		}
		c.manifest()
	}
}

func (c *chaosPlay) replacement(s *server) *server {
	c.mu.Lock()
	c.nextSrv++
	n := c.nextSrv
	c.mu.Unlock()
	return newServer(c.world, fmt.Sprintf("i-%s%d", s.service, n), s.service, s.zone, s.engine, s.slots)
}

// replace starts another server, at times of another service at the address.
func (c *chaosPlay) replace(s *server, addr string) {
	n := c.replacement(s)
	if rnd(2) == 0 {
		addr = ""
	}
	if n.start(addr) != nil && n.start("") != nil {
		return
	}
	c.mu.Lock()
	for j := range c.servers {
		if c.servers[j] == s {
			c.servers[j] = n
		}
	}
	c.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() { c.st.del("servers/" + s.id) })
}
