package bbe2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

const (
	hopMost     = 2 * time.Millisecond
	inForceMost = 2 * time.Second
	controlMost = 10 << 10 // bytes a second of an instance
	// benchSettle is how long a fleet is left alone before it is measured.
	benchSettle = 5 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
)

var benchDomains = []string{"uppsala", "gavle", "falun", "arboga"}

func needBench(t *testing.T) {
	t.Helper()
	if !*benchProcesses {
		t.Skip("needs -bench-processes")
	}
}

// benchFleet starts instances without relays, in two to four failure domains.
func benchFleet(t *testing.T, instances, budgets int) *fleet {
	t.Helper()
	o := fleetOptions{domains: benchDomains[:min(4, max(2, instances/2))], instances: instances, direct: true, engines: 1}
	for n := range budgets {
		o.customers = append(o.customers, customer{
			account: bbunit.AccountID(fmt.Sprintf("account-%d", n)), key: fmt.Sprintf("key-%d", n),
			budget: bbunit.BudgetID(fmt.Sprintf("budget-%d", n)), paid: 100_000_000,
		})
	}
	return startFleet(t, o)
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// usage is what an instance has used so far.
type usage struct {
	peerBytes, ioBytes int64
	cpu                time.Duration
	rss                int64
}

// used reads an instance's use from its metrics and from /proc.
func (i *instance) used(t *testing.T) usage {
	t.Helper()
	r, err := http.Get("http://" + i.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	page, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	dir := fmt.Sprintf("/proc/%d/", i.cmd.Process.Pid)
	pages := strings.Fields(read(t, dir+"statm"))
	stat := read(t, dir+"stat")
	times := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	counters := read(t, dir+"io")
	return usage{
		peerBytes: number(t, string(page), "bluebellport_peer_bytes_in_total") + number(t, string(page), "bluebellport_peer_bytes_out_total"),
		ioBytes:   number(t, counters, "rchar:") + number(t, counters, "wchar:"),
		cpu:       time.Duration(whole(t, times[11])+whole(t, times[12])) * clockTick,
		rss:       whole(t, pages[1]) * int64(os.Getpagesize()),
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func whole(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// number returns what follows the name at the begin of a line.
func number(t *testing.T, page, name string) int64 {
	t.Helper()
	for line := range strings.Lines(page) {
		if f := strings.Fields(line); len(f) == 2 && f[0] == name {
			return whole(t, f[1])
		}
	}
	t.Fatalf("%s is not there", name)
	return 0
}

// TestBenchHop measures what an instance adds to the time of a request, at half
// of what one target can do, and at a low rate where a request is claimed first.
func TestBenchHop(t *testing.T) {
	needBench(t)
	o := benchOptions()
	f := startFleet(t, o)
	var engine, desk string
	for _, x := range f.targets {
		if x.service == engineService {
			engine = x.address
		} else {
			desk = x.address
		}
	}
	hops := []*hop{
		{name: "chat, whole", rate: 75, target: engine, kind: bbstand.LoadWhole},
		{name: "chat, streamed", rate: 75, target: engine, kind: bbstand.LoadStream},
		{name: "plain, GET", rate: 800, target: desk, kind: bbstand.LoadRead},
		{name: "plain, POST", rate: 20, target: desk, kind: bbstand.LoadWrite},
		{name: "plain, POST", rate: 800, target: desk, kind: bbstand.LoadWrite},
	}
	table := "\n| request | rate | way | n | p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|---|---|\n"
	for _, h := range hops {
		rows, added := h.measure(t, f)
		table += rows
		if added > hopMost {
			t.Errorf("%s: the hop adds %s at p95, above %s", h.name, added, hopMost)
		}
	}
	fmt.Print(table)
	f.stop()
}

func benchOptions() fleetOptions {
	return fleetOptions{
		domains: benchDomains[:1], instances: 2, direct: true, engines: 1,
		customers: []customer{{account: "norra", key: "key-norra", budget: "norra-budget", paid: 1_000_000_000}},
	}
}

// hop is one kind of request that is sent straight and through an instance.
type hop struct {
	name   string
	rate   float64
	target string
	kind   bbstand.LoadKind
}

const hopTime = 5 * time.Second

// measure sends both ways at once, each at half of the rate, so that the target
// and the machine are the same for both. It returns their rows, and what the hop
// adds at p95.
func (h *hop) measure(t *testing.T, f *fleet) (string, time.Duration) {
	t.Helper()
	straight, through := bbstand.NewLoadReport(), bbstand.NewLoadReport()
	var wg sync.WaitGroup
	wg.Go(func() { h.send(t, f, h.target, "straight", straight) })
	wg.Go(func() { h.send(t, f, f.instances[0].listen, "through", through) })
	wg.Wait()
	out := ""
	line := func(way string, n int, s bbstand.Percentiles) {
		out += fmt.Sprintf("| %s | %.0f | %s | %d | %.2f | %.2f | %.2f |\n", h.name, h.rate, way, n, s.P50, s.P95, s.P99)
	}
	a, b := straight.Latency, through.Latency
	added := bbstand.Percentiles{P50: b.P50 - a.P50, P95: b.P95 - a.P95, P99: b.P99 - a.P99}
	line("straight", straight.Done, a)
	line("through", through.Done, b)
	line("added", through.Done-straight.Done, added)
	if h.kind == bbstand.LoadStream {
		a, b := straight.FirstByte, through.FirstByte
		line("added to the first byte", through.Done-straight.Done, bbstand.Percentiles{P50: b.P50 - a.P50, P95: b.P95 - a.P95, P99: b.P99 - a.P99})
	}
	return out, time.Duration(added.P95 * float64(time.Millisecond))
}

func (h *hop) send(t *testing.T, f *fleet, address, prefix string, report *bbstand.LoadReport) {
	t.Helper()
	o := f.load(h.rate/2, hopTime)
	o.Instances, o.Prefix = []string{address}, fmt.Sprintf("%s-%.0f-%s", h.kind, h.rate, prefix)
	o.Retries, o.PlainShare, o.WriteShare, o.StreamedShare = 0, 0, 0, 0
	switch h.kind {
	case bbstand.LoadStream:
		o.StreamedShare = 1
	case bbstand.LoadRead:
		o.PlainShare = 1
	case bbstand.LoadWrite:
		o.PlainShare, o.WriteShare = 1, 1
	}
	bad := 0
	for _, r := range generate(o) {
		if address == h.target && o.PlainShare == 1 {
			r.Wrong = false // it tells the path that it was sent, which is the instance's here
		}
		if r.Outcome != "done" || r.Wrong {
			bad++
		}
		report.Add(r)
	}
	if bad > 0 {
		t.Errorf("%s %s: %d requests were not answered: %+v", h.name, prefix, bad, report.Refusals)
	}
}

// TestBenchControl measures fleets of several sizes: what an idle instance uses,
// and how long a ticket takes to be in force on all of them.
func TestBenchControl(t *testing.T) {
	needBench(t)
	idle := "\n| instances | failure domains | peer bytes/s mean | peer bytes/s max | all I/O bytes/s mean | CPU ms/s mean | CPU ms/s max | RSS MiB max | reads/s | writes/s |\n|---|---|---|---|---|---|---|---|---|---|\n"
	force := "\n| instances | failure domains | tickets | in force p50 ms | max ms |\n|---|---|---|---|---|\n"
	var sizes, bytes, cpu, p50s []float64
	for _, n := range []int{2, 4, 8, 16, 32} {
		f := benchFleet(t, n, 2)
		time.Sleep(benchSettle)
		row, u := f.idle(t)
		idle += row
		line, p50 := f.tickets(t)
		force += line
		sizes, bytes, cpu, p50s = append(sizes, float64(n)), append(bytes, u.peer), append(cpu, u.cpu), append(p50s, p50)
		f.stop()
	}
	idle += fmt.Sprintf("\nslope for each further instance: %.0f peer bytes/s, %.3f CPU ms/s of an instance\n", slope(sizes, bytes), slope(sizes, cpu))
	force += fmt.Sprintf("\nslope of p50 for each further instance: %.2f ms\n", slope(sizes, p50s))
	fmt.Print(idle, force)
}

// idleUse is the mean use of an idle instance in a second.
type idleUse struct{ peer, cpu float64 }

const idleTime = 10 * time.Second

// idle measures the instances while no requests come.
func (f *fleet) idle(t *testing.T) (string, idleUse) {
	t.Helper()
	before := make([]usage, len(f.instances))
	var stored, storedAfter bbstore.Counts
	get(t, f.store, "/admin/counts", &stored)
	start := time.Now()
	for n, i := range f.instances {
		before[n] = i.used(t)
	}
	time.Sleep(idleTime)
	var peer, mostPeer, all, cpu, mostCPU, rss float64
	for n, i := range f.instances {
		u, b := i.used(t), before[n]
		s := time.Since(start).Seconds()
		p, c := float64(u.peerBytes-b.peerBytes)/s, (u.cpu-b.cpu).Seconds()*1000/s
		peer, all, cpu = peer+p, all+float64(u.ioBytes-b.ioBytes)/s, cpu+c
		mostPeer, mostCPU, rss = max(mostPeer, p), max(mostCPU, c), max(rss, float64(u.rss)/(1<<20))
	}
	get(t, f.store, "/admin/counts", &storedAfter)
	if mostPeer > controlMost {
		t.Errorf("%d instances: an idle one moves %.0f bytes/s between instances, above %d", len(f.instances), mostPeer, controlMost)
	}
	s, n := time.Since(start).Seconds(), float64(len(f.instances))
	return fmt.Sprintf("| %d | %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f | %.2f | %.2f |\n", len(f.instances), len(f.domains),
		peer/n, mostPeer, all/n, cpu/n, mostCPU, rss, float64(storedAfter.Reads-stored.Reads)/s, float64(storedAfter.Writes-stored.Writes)/s), idleUse{peer / n, cpu / n}
}

const benchTickets = 8

// tickets measures how long tickets take, from the start of bluebellctl, to be
// in force on all instances.
func (f *fleet) tickets(t *testing.T) (string, float64) {
	t.Helper()
	report := bbstand.NewLoadReport()
	var most time.Duration
	for n := range benchTickets {
		time.Sleep(time.Duration(300+70*n) * time.Millisecond)
		f.customers[0].paid++
		d := f.timeInForce(t)
		most = max(most, d)
		report.Add(bbstand.LoadResult{Outcome: "done", Total: d})
	}
	if most > inForceMost && len(f.instances) <= 8 {
		t.Errorf("%d instances: a ticket was in force after %s, above %s", len(f.instances), most, inForceMost)
	}
	return fmt.Sprintf("| %d | %d | %d | %.0f | %d |\n", len(f.instances), len(f.domains), benchTickets, report.Latency.P50, most.Milliseconds()), report.Latency.P50
}

// timeInForce applies the next ticket and waits until the last instance has it.
func (f *fleet) timeInForce(t *testing.T) time.Duration {
	t.Helper()
	k := f.ticket()
	path := f.write(k)
	start := time.Now()
	out, code := command(t, "bluebellctl", "--store", f.store, "ticket", "apply", path)
	if code != 0 {
		t.Fatalf("ticket apply: exit code %d: %s", code, out)
	}
	f.number = k.Number
	for _, i := range f.instances {
		for s := (instanceStatus{}); s.Number < k.Number; {
			get(t, i.admin, "/status", &s)
			if s.Number >= k.Number {
				break
			}
			if time.Since(start) > readyTimeout {
				t.Fatalf("%s has ticket %d in force, not %d, after %s", i.id, s.Number, k.Number, readyTimeout)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

const (
	writeRequests = 1000
	writeRate     = 200
	// writeSettle is how long the last records may take to be written.
	writeSettle = 4 * time.Second
)

// TestBenchWrites measures how often the key-value service is written to for
// the requests of several numbers of budgets.
func TestBenchWrites(t *testing.T) {
	needBench(t)
	budgets := []int{1, 4, 16}
	table := "\n| instances | active budgets | requests | done | rate | key-value writes | writes per 1,000 requests | reads per 1,000 requests |\n|---|---|---|---|---|---|---|---|\n"
	for _, n := range []int{2, 4, 8} {
		f := benchFleet(t, n, budgets[len(budgets)-1])
		time.Sleep(benchSettle)
		for _, b := range budgets {
			table += f.writes(t, b)
		}
		f.stop()
	}
	fmt.Print(table)
}

func (f *fleet) writes(t *testing.T, budgets int) string {
	t.Helper()
	o := f.load(writeRate, time.Minute)
	o.Count, o.Keys, o.Prefix = writeRequests, o.Keys[:budgets], fmt.Sprintf("writes-%d", budgets)
	var before, after bbstore.Counts
	get(t, f.store, "/admin/counts", &before)
	results := generate(o)
	time.Sleep(writeSettle)
	get(t, f.store, "/admin/counts", &after)
	report := bbstand.NewLoadReport()
	for _, r := range results {
		report.Add(r)
	}
	if report.Done != len(results) {
		t.Errorf("%d instances, %d budgets: %d of %d requests done: %+v", len(f.instances), budgets, report.Done, len(results), report.Refusals)
	}
	per := func(n int64) float64 { return float64(n) * 1000 / float64(len(results)) }
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %.0f | %.0f |\n", len(f.instances), budgets, len(results), report.Done, writeRate,
		after.Writes-before.Writes, per(after.Writes-before.Writes), per(after.Reads-before.Reads))
}
