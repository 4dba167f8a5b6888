package bbport

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbserve"
)

// stopServing tells a serving frontend to stop and returns a channel with the time
// that is left when shares and records are handed back.
func stopServing(t *testing.T, f *testFrontend, limit, linger time.Duration) <-chan time.Duration {
	t.Helper()
	is := is.New(t)
	f.opts.DrainTimeout, f.opts.LingerTime = limit, linger
	var err error
	f.opts.CallerAddress, err = bbserve.FreeAddress()
	is.NoErr(err)
	f.opts.AdminAddress, err = bbserve.FreeAddress()
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	left := make(chan time.Duration, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = serveUntilStopped(ctx, f.deps, f.Frontend, newAdmin(f.deps, f.Frontend, nil), func() {}, func(ctx context.Context) error {
			deadline, _ := ctx.Deadline()
			left <- time.Until(deadline)
			return nil
		})
	})
	t.Cleanup(wg.Wait)
	return left
}

// TestStopBillsRequestsWhoseCallersLeft guards against runs without a caller that
// end with the process and are never billed.
func TestStopBillsRequestsWhoseCallersLeft(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, workingTarget(time.Minute))
	caller := &http.Client{Timeout: 200 * time.Millisecond}
	r, err := http.NewRequest("POST", f.url+"/services/desk/x", nil)
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	_, err = caller.Do(r)
	is.True(err != nil)
	f.openRequests.Store(0) // the HTTP library does not tell that a caller of a whole answer has left
	<-stopServing(t, f, time.Second, 100*time.Millisecond)
	f.budgets.mu.Lock()
	defer f.budgets.mu.Unlock()
	is.Equal(f.budgets.openReservations, 0)
}

// workingTarget answers after a time, or never if its caller leaves before.
func workingTarget(work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(work):
			_, _ = w.Write([]byte("whole"))
		}
	}
}

// TestRequestThatCannotEndInAStopIsRefused guards against requests that are taken
// in the linger time and cut at the end of the stop.
func TestRequestThatCannotEndInAStopIsRefused(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, workingTarget(2500*time.Millisecond))
	resp, body := f.do(t, "POST", "/services/desk/x", "", "X-Request-Deadline-Ms", "3000")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "whole")
	stopServing(t, f, 2*time.Second, time.Second)
	time.Sleep(700 * time.Millisecond)
	resp, body = f.do(t, "POST", "/services/desk/x", "", "X-Request-Deadline-Ms", "3000")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	is.True(resp.Header.Get("Retry-After") != "")
}

// TestRequestLongerThanAllBeforeItIsRefusedInAStop guards against requests that are
// taken late in the linger time as all before them were short, and cut at the end.
func TestRequestLongerThanAllBeforeItIsRefusedInAStop(t *testing.T) {
	is := is.New(t)
	var work atomic.Int64
	f := newTestFrontend(t, func(w http.ResponseWriter, r *http.Request) { workingTarget(time.Duration(work.Load()))(w, r) })
	for range 20 {
		resp, _ := f.do(t, "POST", "/services/desk/x", "", "X-Request-Deadline-Ms", "3000")
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	work.Store(int64(2500 * time.Millisecond))
	stopServing(t, f, 2*time.Second, time.Second)
	time.Sleep(700 * time.Millisecond)
	resp, body := f.do(t, "POST", "/services/desk/x", "", "X-Request-Deadline-Ms", "3000")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	work.Store(0)
	resp, _ = f.do(t, "POST", "/services/desk/x", "", "X-Request-Deadline-Ms", "300") // ends before the stop in any case
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestStopAnswersOpenRequestsAndHandsBack guards against a stop that cuts open
// requests without an answer and leaves no time to return shares and records.
func TestStopAnswersOpenRequestsAndHandsBack(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, workingTarget(time.Minute))
	var caller sync.WaitGroup
	var status int
	var body string
	caller.Go(func() {
		resp, text := f.do(t, "POST", "/services/desk/x", "", "Idempotency-Key", "k1")
		status, body = resp.StatusCode, text
	})
	for f.Frontend.openRequests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	left := stopServing(t, f, time.Second, 100*time.Millisecond)
	caller.Wait()
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"unknown"`))
	is.True(<-left > 100*time.Millisecond)
	f.waitSettled(is)
}
