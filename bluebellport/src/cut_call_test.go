package bbport

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
)

// cutCalls are the calls to targets beside requests, and their answers.
var cutCalls = []struct {
	name, text string
	call       func(address string) (any, error)
	want       string // the result of the whole answer
}{
	{"load", cutOK + cutJSON + "Content-Length: 46\r\n\r\n" + `{"running":3,"waiting":2,"slots":8,"at":99999}`, func(address string) (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		load, err := newHTTPLoadFetcher(time.Now).Load(ctx, bbticket.Target{ID: "a", Address: address})
		return load.GetRunning(), err
	}, "3"},
	{"order", cutOK + "Server: engine\r\nContent-Length: 2\r\n\r\n{}", sendCutOrder, "<nil>"},
	{"order, refused", "HTTP/1.1 409 Conflict\r\nServer: engine\r\nContent-Length: 2\r\n\r\n{}", sendCutOrder, "stale"},
}

// sendCutOrder sends an order, and returns "stale" if the target has seen a higher number.
func sendCutOrder(address string) (any, error) {
	err := newHTTPOrderSender().Send(bbticket.Target{ID: "a", Address: address}, bbroute.Intent{Fence: 1, Action: "load"}, time.Now().Add(time.Second))
	if errors.Is(err, ErrStaleFence) {
		return "stale", nil
	}
	return nil, err
}

// TestTargetsCallCutAtAnyByteIsAnError guards against a report of load or the answer to an order
// that breaks off at any byte, or goes on as another one, and that is taken for a whole one.
func TestTargetsCallCutAtAnyByteIsAnError(t *testing.T) {
	for _, c := range cutCalls {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target := &cutTarget{every: true}
			server := httptest.NewServer(target)
			defer server.Close()
			for cut := range len(c.text) + 1 {
				for end, ending := range cutEndings {
					if cut == 0 && end > 1 {
						continue
					}
					target.mu.Lock()
					target.cut, target.reset = cutMark+c.text[:cut]+strings.TrimPrefix(ending, "reset"), ending == "reset"
					target.mu.Unlock()
					got, err := c.call(server.Listener.Addr().String())
					if isWhole := err == nil && fmt.Sprint(got) == c.want; isWhole != (cut == len(c.text)) || err == nil && !isWhole {
						t.Errorf("%q, then %q: %v, %v", c.text[max(cut-20, 0):cut], ending, got, err)
					}
				}
			}
		})
	}
}
