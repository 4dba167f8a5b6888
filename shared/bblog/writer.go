// Package bblog writes log lines without ever holding up who logs: lines wait in
// a bounded queue, and what does not fit, or is above the budget of lines a
// second, is dropped, counted and told.
package bblog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines wait for a slow reader.
	maxQueuedLines = 1024
	// dropReportInterval is the time between two lines that tell what was dropped.
	dropReportInterval = time.Second
)

// Writer is a log output that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer of at most so many lines a second, with bursts of
// twice as many, and a function that writes what waits, for at most the given
// time, and ends it.
func NewWriter(out io.Writer, linesPerSecond float64) (*Writer, func(timeout time.Duration)) {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), max(int(2*linesPerSecond), 1)),
	}
	go w.run()
	return w, w.close
}

// Write queues one line. It does not block, and always says that it wrote.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte{}, line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	reported, reportedAt := int64(0), time.Now()
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is nobody to tell of a log that is gone
		if dropped := w.dropped.Load(); dropped > reported && time.Since(reportedAt) > dropReportInterval {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"event\":\"log-dropped\",\"lines\":%d}\n", dropped-reported)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

func (w *Writer) close(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
