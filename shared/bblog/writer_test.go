package bblog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Write must not block while nobody reads the output.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w, closeWriter := NewWriter(out, 1e6)
	start := time.Now()
	for range 10 * maxQueuedLines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.Dropped() >= 8*maxQueuedLines)
	closeWriter(10 * time.Millisecond)
}

// Lines above the rate limit must be dropped and counted.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w, closeWriter := NewWriter(&out, 10)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	closeWriter(time.Second)
	is.Equal(strings.Count(out.String(), "line\n"), 20)
	is.Equal(w.Dropped(), int64(80))
}
