package bblog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A reader that stops reading holds nobody up.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w, end := NewWriter(out, 1e6)
	start := time.Now()
	for range 10 * queueLines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(time.Since(start) < time.Second)
	is.True(w.Dropped() >= 8*queueLines)
	end(10 * time.Millisecond)
}

// Above its budget lines are dropped, counted and told.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w, end := NewWriter(&out, 10)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	end(time.Second)
	is.Equal(strings.Count(out.String(), "line\n"), 20)
	is.Equal(w.Dropped(), int64(80))
}
