package bbstand

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RefusalCount counts the refusals with the same status, outcome and title.
type RefusalCount struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Title   string `json:"title"`
	Count   int    `json:"count"`
}

// Percentiles holds percentiles of a duration in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// LoadReport summarizes the results of a load.
type LoadReport struct {
	Sent      int            `json:"sent"`
	Done      int            `json:"done"`
	Retried   int            `json:"retried"`
	Refusals  []RefusalCount `json:"refused"`
	Lost      int            `json:"lost"`
	Truncated int            `json:"cut"`
	Wrong     int            `json:"wrong"`
	Tokens    int            `json:"tokens"`
	// Latency and FirstByte cover only the requests that are done.
	Latency   Percentiles `json:"latency"`
	FirstByte Percentiles `json:"first"`

	latencyHistogram, firstByteHistogram *hdrhistogram.Histogram
}

// NewLoadReport returns an empty report.
func NewLoadReport() *LoadReport {
	maxMicroseconds := time.Hour.Microseconds()
	return &LoadReport{Refusals: []RefusalCount{}, latencyHistogram: hdrhistogram.New(1, maxMicroseconds, 3), firstByteHistogram: hdrhistogram.New(1, maxMicroseconds, 3)}
}

// Add adds a result to the report.
func (l *LoadReport) Add(r LoadResult) {
	l.Sent++
	if r.Attempts > 1 {
		l.Retried++
	}
	switch {
	case r.Truncated:
		l.Truncated++
	case r.Outcome == outcomeLost:
		l.Lost++
	case r.Wrong:
		l.Wrong++
	case r.Outcome == "done":
		l.Done++
		l.Tokens += r.Tokens
		_ = l.latencyHistogram.RecordValue(r.Total.Microseconds())
		_ = l.firstByteHistogram.RecordValue(r.FirstByte.Microseconds())
	default:
		l.addRefusal(r)
	}
	l.Latency, l.FirstByte = percentiles(l.latencyHistogram), percentiles(l.firstByteHistogram)
}

func (l *LoadReport) addRefusal(r LoadResult) {
	for i := range l.Refusals {
		refusal := &l.Refusals[i]
		if refusal.Status == r.Status && refusal.Outcome == r.Outcome && refusal.Title == r.Title {
			refusal.Count++
			return
		}
	}
	l.Refusals = append(l.Refusals, RefusalCount{Status: r.Status, Outcome: r.Outcome, Title: r.Title, Count: 1})
	sort.Slice(l.Refusals, func(a, b int) bool {
		x, y := l.Refusals[a], l.Refusals[b]
		return x.Status < y.Status || x.Status == y.Status && x.Outcome+x.Title < y.Outcome+y.Title
	})
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func (l *LoadReport) print(w io.Writer, format string) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(l)
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "SENT\tDONE\tRETRIED\tLOST\tCUT\tWRONG\tTOKENS\n%d\t%d\t%d\t%d\t%d\t%d\t%d\n", l.Sent, l.Done, l.Retried, l.Lost, l.Truncated, l.Wrong, l.Tokens)
	for _, r := range l.Refusals {
		fmt.Fprintf(table, "refused\t%d\t%s\t%s\t%d\n", r.Status, r.Outcome, r.Title, r.Count)
	}
	fmt.Fprintf(table, "TIME (MS)\tP50\tP95\tP99\n")
	fmt.Fprintf(table, "answer\t%.1f\t%.1f\t%.1f\n", l.Latency.P50, l.Latency.P95, l.Latency.P99)
	fmt.Fprintf(table, "first byte\t%.1f\t%.1f\t%.1f\n", l.FirstByte.P50, l.FirstByte.P95, l.FirstByte.P99)
	return table.Flush()
}
