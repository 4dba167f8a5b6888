package bbport

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	endlessCallers = 60
	// endlessBuffer is the buffer of each answer for repeated requests, as by default.
	endlessBuffer = 1 << 20
	// maxEndlessHeap bounds the heap beside answers without end, in bytes: what the
	// answers may hold and their buffers, as much again until it is collected, and what
	// targets and callers in this process take.
	maxEndlessHeap = 2*(maxBodiesBytes+endlessCallers*endlessBuffer) + 128<<20
)

// endlessTarget answers with a head and then with a part again and again, until its
// caller closes.
func endlessTarget(contentType, part string) http.HandlerFunc {
	text := []byte(strings.Repeat(part, max(1, (64<<10)/len(part))))
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		for {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}
}

// TestAnswersWithoutEndExhaustNoMemory guards against faulty targets whose answers
// never end: the instance that had called them kept them all.
func TestAnswersWithoutEndExhaustNoMemory(t *testing.T) {
	for _, c := range []struct{ name, path, body, contentType, part string }{
		{"body of a plain service", "/services/desk/x", "", "text/plain", "x"},
		{"body of an engine", "/v1/chat/completions", strings.Replace(streamedChat, `"stream":true`, `"stream":false`, 1), "application/json", " "},
		{"event", "/v1/chat/completions", streamedChat, "text/event-stream", "data: x\n"},
		{"line", "/v1/chat/completions", streamedChat, "text/event-stream", "x"},
		{"chat", "/v1/chat/completions", streamedChat, "text/event-stream", `data: {"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("t", 8000) + `"}}]}` + "\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFrontend(t, endlessTarget(c.contentType, c.part))
			var peak atomic.Uint64
			ended := make(chan struct{})
			go func() {
				for {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak.Store(max(peak.Load(), m.HeapAlloc))
					select {
					case <-ended:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
			var wg sync.WaitGroup
			for range endlessCallers {
				wg.Go(func() { drainAnswer(f, c.path, c.body) })
			}
			wg.Wait()
			close(ended)
			if peak.Load() > maxEndlessHeap {
				t.Errorf("the heap reached %d MB", peak.Load()>>20)
			}
			f.waitSettled(is.New(t))
		})
	}
}

// drainAnswer sends a request with a deadline of 1.5 s and reads what comes, without
// keeping it.
func drainAnswer(f *testFrontend, path, body string) {
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Request-Deadline-Ms", "1500")
	resp, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 4<<10)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
}
