// Package bblog provides a log output that never blocks the caller. Lines wait in a
// bounded queue. Lines that exceed the queue or the rate limit are dropped, and the
// number of dropped lines is logged.
package bblog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines can wait for a slow output.
	maxQueuedLines = 1024
	// dropReportInterval is the least time between two log lines about dropped lines.
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

// NewWriter returns a writer to out with a rate limit in lines per second; bursts
// may have twice as many lines. The returned function closes the writer: it writes
// the queued lines, for at most the timeout. Nothing may be written after that.
func NewWriter(out io.Writer, linesPerSecond float64) (*Writer, func(timeout time.Duration)) {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), max(int(2*linesPerSecond), 1)),
	}
	go w.run()
	return w, w.close
}

// Write queues one line, or drops it. It never blocks and always reports success.
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
		_, _ = w.out.Write(line) // a failed log output cannot be logged
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
