package bbport

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopCutsARunWithoutCallersThatHasTime guards against a stop that ends a run
// whose callers have left though the drain time is long enough for it.
func TestStopCutsARunWithoutCallersThatHasTime(t *testing.T) {
	is := is.New(t)
	var cut, whole atomic.Int64
	f := newTestFrontend(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			cut.Add(1)
		case <-time.After(1500 * time.Millisecond):
			whole.Add(1)
		}
	})
	caller := &http.Client{Timeout: 200 * time.Millisecond}
	r, err := http.NewRequest("POST", f.url+"/services/desk/x", nil)
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	_, err = caller.Do(r)
	is.True(err != nil)
	f.openRequests.Store(0) // the HTTP library does not tell that a caller of a whole answer has left
	<-stopServing(t, f, 10*time.Second, 100*time.Millisecond)
	is.Equal(cut.Load(), int64(0))
	is.Equal(whole.Load(), int64(1))
}
