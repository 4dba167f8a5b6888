package bbe2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Counters of an instance that show what the search for crashes costs.
const (
	counterMessages = "bluebellport_crash_messages_total"
	counterBytes    = "bluebellport_crash_bytes_total"
	counterLooks    = "bluebellport_door_looks_total"
	counterConns    = "bluebellport_door_conns_total"
)

// processUsage is what a process has used until a time.
type processUsage struct {
	at             time.Time
	seconds, bytes float64 // of a processor, of resident memory
	counters       map[string]float64
}

// processCost is what one instance used on average between two times.
type processCost struct {
	processes        int
	cores, mebibytes float64
	perSecond        map[string]float64 // by counter
	accepted         float64            // connections that targets accepted from it, a second
}

func (c processCost) String() string {
	return fmt.Sprintf("each of %d instances: %.3f cores, %.1f MiB, a second %.1f crash messages (%.0f bytes), %.2f connections to targets used and %.2f opened, %.2f looks",
		c.processes, c.cores, c.mebibytes, c.perSecond[counterMessages], c.perSecond[counterBytes], c.perSecond[counterConns], c.accepted, c.perSecond[counterLooks])
}

// clockTicks is the number of clock ticks a second in /proc.
const clockTicks = 100

// usage returns what the instances' processes have used. No instance may be
// restarted meanwhile.
func (p *promptPlay) usage() map[int]processUsage {
	out := map[int]processUsage{}
	for _, inst := range p.instances {
		pid := inst.cmd.Process.Pid
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue // not on Linux
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		pages, _ := strconv.ParseFloat(fields[21], 64)
		out[pid] = processUsage{time.Now(), (user + system) / clockTicks, pages * float64(os.Getpagesize()), readCounters(inst.readyAddress)}
	}
	return out
}

// readCounters returns the metrics of an instance that have a single value.
func readCounters(address string) map[string]float64 {
	out := map[string]float64{}
	r, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return out
	}
	defer func() { _ = r.Body.Close() }()
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		name, value, _ := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}

// costBetween returns the mean cost of the processes that ran at both times.
func costBetween(before, after map[int]processUsage) processCost {
	c := processCost{perSecond: map[string]float64{}}
	for pid, u := range after {
		if _, ok := before[pid]; ok {
			c.processes++
			c.mebibytes += u.bytes / (1 << 20)
		}
	}
	n := float64(max(c.processes, 1))
	c.mebibytes /= n
	for pid, u := range after {
		b, ok := before[pid]
		if !ok {
			continue
		}
		seconds := u.at.Sub(b.at).Seconds() * n
		c.cores += (u.seconds - b.seconds) / seconds
		for name, v := range u.counters {
			c.perSecond[name] += (v - b.counters[name]) / seconds
		}
	}
	return c
}
