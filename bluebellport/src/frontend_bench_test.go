package bbport

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbunit"
)

// BenchmarkHop measures the latency of requests through an instance and directly
// to the target, with several numbers of requests in flight. Budgets and records
// are fakes; routing and HTTP are real.
func BenchmarkHop(b *testing.B) {
	target := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = w.Write([]byte("ok"))
	}
	f := newTestFrontend(b, target)
	f.budgets.available = 1 << 50
	direct := "http://" + f.deps.Board.State.Load().ByService["desk"][0].Address + "/x"
	for _, inFlight := range []int{1, 16, 64} {
		for name, url := range map[string]string{"direct": direct, "through": f.url + "/services/desk/x"} {
			b.Run(fmt.Sprintf("%s/open=%d", name, inFlight), func(b *testing.B) {
				h := measureLatency(b, url, inFlight)
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(95)), "p95-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
			})
		}
	}
	if f.budgets.used < 0 || bbunit.Tokens(f.budgets.openReservations) < 0 {
		b.Fatal("reservations do not add up")
	}
}

// measureLatency sends b.N requests, inFlight of them at a time, and returns
// their latencies in microseconds.
func measureLatency(b *testing.B, url string, inFlight int) *hdrhistogram.Histogram {
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	client := &fasthttp.Client{MaxConnsPerHost: inFlight + 1}
	remaining := make(chan struct{}, b.N)
	for range b.N {
		remaining <- struct{}{}
	}
	close(remaining)
	b.ResetTimer()
	for range inFlight {
		wg.Go(func() {
			h := hdrhistogram.New(1, 60_000_000, 3)
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI(url)
			req.Header.Set("Authorization", "Bearer "+testKey)
			for range remaining {
				started := time.Now()
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != http.StatusOK {
					b.Errorf("status %d, %v", resp.StatusCode(), err)
					return
				}
				_ = h.RecordValue(time.Since(started).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
		})
	}
	wg.Wait()
	return all
}
