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
	maxAddedLatency       = 2 * time.Millisecond
	maxTicketPropagation  = 2 * time.Second
	maxPeerBytesPerSecond = 10 << 10 // of an idle instance
	// benchSettleTime is the wait between the start of a fleet and a
	// measurement.
	benchSettleTime = 5 * time.Second
	// clockTick is the unit of the CPU times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

var benchDomains = []string{"uppsala", "gavle", "falun", "arboga"}

// requireBenchFlag skips the test unless -bench-processes is set.
func requireBenchFlag(t *testing.T) {
	t.Helper()
	if !*benchProcesses {
		t.Skip("needs -bench-processes")
	}
}

// benchFleet starts instances without relays, in two to four failure domains.
func benchFleet(t *testing.T, instances, budgets int) *fleet {
	t.Helper()
	o := fleetOptions{domains: benchDomains[:min(4, max(2, instances/2))], instances: instances, withoutRelays: true, enginesPerDomain: 1}
	for n := range budgets {
		o.accounts = append(o.accounts, clientAccount{
			id: bbunit.AccountID(fmt.Sprintf("account-%d", n)), key: fmt.Sprintf("key-%d", n),
			budget: bbunit.BudgetID(fmt.Sprintf("budget-%d", n)), prepaid: 100_000_000,
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

// usage holds the resources that an instance has used since its start, except
// rss, which is its current resident memory in bytes.
type usage struct {
	peerBytes, ioBytes int64
	cpu                time.Duration
	rss                int64
}

// readUsage reads an instance's resource usage from its metrics and from /proc.
func (inst *instance) readUsage(t *testing.T) usage {
	t.Helper()
	r, err := http.Get("http://" + inst.admin + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	page, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	dir := fmt.Sprintf("/proc/%d/", inst.cmd.Process.Pid)
	pages := strings.Fields(readFile(t, dir+"statm"))
	stat := readFile(t, dir+"stat")
	times := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	counters := readFile(t, dir+"io")
	return usage{
		peerBytes: fieldValue(t, string(page), "bluebellport_peer_bytes_in_total") + fieldValue(t, string(page), "bluebellport_peer_bytes_out_total"),
		ioBytes:   fieldValue(t, counters, "rchar:") + fieldValue(t, counters, "wchar:"),
		cpu:       time.Duration(parseInt(t, times[11])+parseInt(t, times[12])) * clockTick,
		rss:       parseInt(t, pages[1]) * int64(os.Getpagesize()),
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func parseInt(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// fieldValue returns the number on the line that consists of the name and a
// number.
func fieldValue(t *testing.T, page, name string) int64 {
	t.Helper()
	for line := range strings.Lines(page) {
		if f := strings.Fields(line); len(f) == 2 && f[0] == name {
			return parseInt(t, f[1])
		}
	}
	t.Fatalf("no line with the name %q and a value", name)
	return 0
}

// TestBenchHop measures the latency that an instance adds to a request, at half
// of one target's capacity. Requests that are claimed before they are sent
// (POST to a plain service) are also measured at a low rate.
func TestBenchHop(t *testing.T) {
	requireBenchFlag(t)
	o := benchOptions()
	f := startFleet(t, o)
	var engine, plain string
	for _, target := range f.targets {
		if target.service == engineService {
			engine = target.address
		} else {
			plain = target.address
		}
	}
	hops := []*hopBench{
		{name: "chat, whole", rate: 75, target: engine, kind: bbstand.LoadWhole},
		{name: "chat, streamed", rate: 75, target: engine, kind: bbstand.LoadStream},
		{name: "plain, GET", rate: 800, target: plain, kind: bbstand.LoadRead},
		{name: "plain, POST", rate: 20, target: plain, kind: bbstand.LoadWrite},
		{name: "plain, POST", rate: 800, target: plain, kind: bbstand.LoadWrite},
	}
	table := "\n| request | rate | way | n | p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|---|---|\n"
	for _, h := range hops {
		rows, added := h.measure(t, f)
		table += rows
		if added > maxAddedLatency {
			t.Errorf("%s: an instance adds %s to the p95 latency, above %s", h.name, added, maxAddedLatency)
		}
	}
	fmt.Print(table)
	f.stop()
}

func benchOptions() fleetOptions {
	return fleetOptions{
		domains: benchDomains[:1], instances: 2, withoutRelays: true, enginesPerDomain: 1,
		accounts: []clientAccount{{id: "norra", key: "key-norra", budget: "norra-budget", prepaid: 1_000_000_000}},
	}
}

// hopBench is one kind of request that is sent both directly to a target and
// through an instance.
type hopBench struct {
	name   string
	rate   float64
	target string
	kind   bbstand.LoadKind
}

const hopDuration = 5 * time.Second

// measure sends requests both ways at the same time, each at half of the rate,
// so that the load on the target and the machine is the same for both. It
// returns the rows of the table and the added p95 latency.
func (h *hopBench) measure(t *testing.T, f *fleet) (string, time.Duration) {
	t.Helper()
	directReport, proxiedReport := bbstand.NewLoadReport(), bbstand.NewLoadReport()
	var wg sync.WaitGroup
	wg.Go(func() { h.send(t, f, h.target, "straight", directReport) })
	wg.Go(func() { h.send(t, f, f.instances[0].listen, "through", proxiedReport) })
	wg.Wait()
	rows := ""
	addRow := func(way string, n int, s bbstand.Percentiles) {
		rows += fmt.Sprintf("| %s | %.0f | %s | %d | %.2f | %.2f | %.2f |\n", h.name, h.rate, way, n, s.P50, s.P95, s.P99)
	}
	direct, proxied := directReport.Latency, proxiedReport.Latency
	added := bbstand.Percentiles{P50: proxied.P50 - direct.P50, P95: proxied.P95 - direct.P95, P99: proxied.P99 - direct.P99}
	addRow("straight", directReport.Done, direct)
	addRow("through", proxiedReport.Done, proxied)
	addRow("added", proxiedReport.Done-directReport.Done, added)
	if h.kind == bbstand.LoadStream {
		direct, proxied := directReport.FirstByte, proxiedReport.FirstByte
		addRow("added to the first byte", proxiedReport.Done-directReport.Done, bbstand.Percentiles{P50: proxied.P50 - direct.P50, P95: proxied.P95 - direct.P95, P99: proxied.P99 - direct.P99})
	}
	return rows, time.Duration(added.P95 * float64(time.Millisecond))
}

func (h *hopBench) send(t *testing.T, f *fleet, address, prefix string, report *bbstand.LoadReport) {
	t.Helper()
	o := f.loadOptions(h.rate/2, hopDuration)
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
	failed := 0
	for _, r := range generateLoad(o) {
		if address == h.target && o.PlainShare == 1 {
			r.Wrong = false // the answer repeats the path: called directly, the target gets /services/ID too
		}
		if r.Outcome != "done" || r.Wrong {
			failed++
		}
		report.Add(r)
	}
	if failed > 0 {
		t.Errorf("%s %s: %d requests were not answered: %+v", h.name, prefix, failed, report.Refusals)
	}
}

// TestBenchControl measures, for fleets of several sizes, the resources that an
// idle instance uses and the time until a ticket is in force on all instances.
func TestBenchControl(t *testing.T) {
	requireBenchFlag(t)
	idleTable := "\n| instances | failure domains | peer bytes/s mean | peer bytes/s max | all I/O bytes/s mean | CPU ms/s mean | CPU ms/s max | RSS MiB max | reads/s | writes/s |\n|---|---|---|---|---|---|---|---|---|---|\n"
	propagationTable := "\n| instances | failure domains | tickets | in force p50 ms | max ms |\n|---|---|---|---|---|\n"
	var sizes, peerBytes, cpu, p50s []float64
	for _, n := range []int{2, 4, 8, 16, 32} {
		f := benchFleet(t, n, 2)
		time.Sleep(benchSettleTime)
		idleRow, usage := f.measureIdle(t)
		idleTable += idleRow
		row, p50 := f.measureTicketPropagation(t)
		propagationTable += row
		sizes, peerBytes, cpu, p50s = append(sizes, float64(n)), append(peerBytes, usage.peerBytesPerSecond), append(cpu, usage.cpuMSPerSecond), append(p50s, p50)
		f.stop()
	}
	idleTable += fmt.Sprintf("\nslope for each further instance: %.0f peer bytes/s, %.3f CPU ms/s of an instance\n", slope(sizes, peerBytes), slope(sizes, cpu))
	propagationTable += fmt.Sprintf("\nslope of p50 for each further instance: %.2f ms\n", slope(sizes, p50s))
	fmt.Print(idleTable, propagationTable)
}

// idleUsage is the mean resource usage of an idle instance per second.
type idleUsage struct{ peerBytesPerSecond, cpuMSPerSecond float64 }

const idleDuration = 10 * time.Second

// measureIdle measures the resource usage of the instances without requests. It
// returns the row of the table and the means.
func (f *fleet) measureIdle(t *testing.T) (string, idleUsage) {
	t.Helper()
	before := make([]usage, len(f.instances))
	var countsBefore, countsAfter bbstore.Counts
	getJSON(t, f.storeAddress, "/admin/counts", &countsBefore)
	start := time.Now()
	for n, inst := range f.instances {
		before[n] = inst.readUsage(t)
	}
	time.Sleep(idleDuration)
	var sumPeer, maxPeer, sumIO, sumCPU, maxCPU, maxRSS float64
	for n, inst := range f.instances {
		after, b := inst.readUsage(t), before[n]
		elapsed := time.Since(start).Seconds()
		peerRate, cpuRate := float64(after.peerBytes-b.peerBytes)/elapsed, (after.cpu-b.cpu).Seconds()*1000/elapsed
		sumPeer, sumIO, sumCPU = sumPeer+peerRate, sumIO+float64(after.ioBytes-b.ioBytes)/elapsed, sumCPU+cpuRate
		maxPeer, maxCPU, maxRSS = max(maxPeer, peerRate), max(maxCPU, cpuRate), max(maxRSS, float64(after.rss)/(1<<20))
	}
	getJSON(t, f.storeAddress, "/admin/counts", &countsAfter)
	if maxPeer > maxPeerBytesPerSecond {
		t.Errorf("%d instances: an idle instance exchanges %.0f bytes/s with its peers, above %d", len(f.instances), maxPeer, maxPeerBytesPerSecond)
	}
	elapsed, n := time.Since(start).Seconds(), float64(len(f.instances))
	return fmt.Sprintf("| %d | %d | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f | %.2f | %.2f |\n", len(f.instances), len(f.domains),
		sumPeer/n, maxPeer, sumIO/n, sumCPU/n, maxCPU, maxRSS, float64(countsAfter.Reads-countsBefore.Reads)/elapsed, float64(countsAfter.Writes-countsBefore.Writes)/elapsed), idleUsage{sumPeer / n, sumCPU / n}
}

const benchTickets = 8

// measureTicketPropagation applies benchTickets tickets and measures the time
// from the start of bluebellctl until each is in force on all instances. It
// returns the row of the table and the p50 in milliseconds.
func (f *fleet) measureTicketPropagation(t *testing.T) (string, float64) {
	t.Helper()
	report := bbstand.NewLoadReport()
	var longest time.Duration
	for n := range benchTickets {
		time.Sleep(time.Duration(300+70*n) * time.Millisecond)
		f.accounts[0].prepaid++
		d := f.ticketPropagation(t)
		longest = max(longest, d)
		report.Add(bbstand.LoadResult{Outcome: "done", Total: d})
	}
	if longest > maxTicketPropagation && len(f.instances) <= 8 {
		t.Errorf("%d instances: a ticket was in force after %s, above %s", len(f.instances), longest, maxTicketPropagation)
	}
	return fmt.Sprintf("| %d | %d | %d | %.0f | %d |\n", len(f.instances), len(f.domains), benchTickets, report.Latency.P50, longest.Milliseconds()), report.Latency.P50
}

// ticketPropagation applies the next ticket and returns the time until it is in
// force on all instances.
func (f *fleet) ticketPropagation(t *testing.T) time.Duration {
	t.Helper()
	ticket := f.nextTicket()
	path := f.writeTicket(ticket)
	start := time.Now()
	out, code := runProgram(t, "bluebellctl", "--store", f.storeAddress, "ticket", "apply", path)
	if code != 0 {
		t.Fatalf("ticket apply: exit code %d: %s", code, out)
	}
	f.ticketNumber = ticket.Number
	for _, inst := range f.instances {
		for s := (instanceStatus{}); s.Number < ticket.Number; {
			getJSON(t, inst.admin, "/status", &s)
			if s.Number >= ticket.Number {
				break
			}
			if time.Since(start) > readyTimeout {
				t.Fatalf("%s has ticket %d in force, not %d, after %s", inst.id, s.Number, ticket.Number, readyTimeout)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

const (
	writeRequests = 1000
	writeRate     = 200
	// writeSettleTime is how long the last records may take to reach the store.
	writeSettleTime = 4 * time.Second
)

// TestBenchWrites measures the reads and writes of the key-value service per
// 1,000 requests, for several numbers of instances and active budgets.
func TestBenchWrites(t *testing.T) {
	requireBenchFlag(t)
	budgets := []int{1, 4, 16}
	table := "\n| instances | active budgets | requests | done | rate | key-value writes | writes per 1,000 requests | reads per 1,000 requests |\n|---|---|---|---|---|---|---|---|\n"
	for _, n := range []int{2, 4, 8} {
		f := benchFleet(t, n, budgets[len(budgets)-1])
		time.Sleep(benchSettleTime)
		for _, b := range budgets {
			table += f.measureStoreWrites(t, b)
		}
		f.stop()
	}
	fmt.Print(table)
}

// measureStoreWrites sends requests of the first accounts, one for each budget,
// and returns the row of the table.
func (f *fleet) measureStoreWrites(t *testing.T, budgets int) string {
	t.Helper()
	o := f.loadOptions(writeRate, time.Minute)
	o.Count, o.Keys, o.Prefix = writeRequests, o.Keys[:budgets], fmt.Sprintf("writes-%d", budgets)
	var before, after bbstore.Counts
	getJSON(t, f.storeAddress, "/admin/counts", &before)
	results := generateLoad(o)
	time.Sleep(writeSettleTime)
	getJSON(t, f.storeAddress, "/admin/counts", &after)
	report := bbstand.NewLoadReport()
	for _, r := range results {
		report.Add(r)
	}
	if report.Done != len(results) {
		t.Errorf("%d instances, %d budgets: %d of %d requests done: %+v", len(f.instances), budgets, report.Done, len(results), report.Refusals)
	}
	perThousand := func(n int64) float64 { return float64(n) * 1000 / float64(len(results)) }
	return fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %.0f | %.0f |\n", len(f.instances), budgets, len(results), report.Done, writeRate,
		after.Writes-before.Writes, perThousand(after.Writes-before.Writes), perThousand(after.Reads-before.Reads))
}
