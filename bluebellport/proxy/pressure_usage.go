package bbproxy

import (
	"os"
	"runtime/metrics"
	"time"
)

// usageInterval is the time between two counts of descriptors, which takes about a millisecond
// at 4,000.
const usageInterval = time.Second

// processUsage tells how much of its limits the process uses.
type processUsage struct {
	maxDescriptors, memoryMB int            // 0 if not known
	held                     func() float64 // part of the memory for bodies in use
	countedAt                time.Time
	descriptors              float64 // at countedAt
}

// parts returns the parts of the descriptors and of the memory that are in use, 0 where the
// limit is not known.
func (u *processUsage) parts(now time.Time) (descriptors, memory float64) {
	if u.maxDescriptors > 0 && (u.countedAt.IsZero() || now.Sub(u.countedAt) >= usageInterval) {
		u.countedAt = now
		if n, ok := openDescriptors(); ok {
			u.descriptors = float64(n) / float64(u.maxDescriptors)
		}
	}
	return u.descriptors, max(u.processMemory(), u.held())
}

// openDescriptors returns how many descriptors the process has open.
func openDescriptors() (int, bool) {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0, false
	}
	defer func() { _ = dir.Close() }()
	names, err := dir.Readdirnames(-1)
	return len(names) - 1, err == nil
}

// processMemory returns the part of the instance's memory that the Go runtime has and has not
// given back to the system.
func (u *processUsage) processMemory() float64 {
	if u.memoryMB <= 0 {
		return 0
	}
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() != metrics.KindUint64 {
			return 0
		}
	}
	return float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / float64(u.memoryMB) / (1 << 20)
}
