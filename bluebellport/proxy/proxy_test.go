package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// The first of two targets misbehaves. A request is retried at the other one
// only if its route allows that, and gets the outcome "unknown" if it may have
// run.
func TestTargetFaults(t *testing.T) {
	cases := []struct {
		name       string
		fault      bbplatformstand.Fault
		path       string
		status     int
		executions int // at both targets
	}{
		{"not executed, idempotent", bbplatformstand.FaultNotExecuted, "/read/1", 200, 1},
		{"not executed, non-idempotent", bbplatformstand.FaultNotExecuted, "/book/1", 200, 1},
		{"error, idempotent", bbplatformstand.FaultError, "/read/1", 200, 2},
		{"error, non-idempotent", bbplatformstand.FaultError, "/book/1", 500, 1},
		{"reset, idempotent", bbplatformstand.FaultReset, "/read/1", 200, 2},
		{"reset, non-idempotent", bbplatformstand.FaultReset, "/book/1", 502, 1},
		{"no response, idempotent", bbplatformstand.FaultNoResponse, "/read/1", 200, 2},
		{"no response, non-idempotent", bbplatformstand.FaultNoResponse, "/book/1", 504, 1},
		{"truncated, idempotent", bbplatformstand.FaultTruncated, "/read/1", 200, 2},
		{"truncated, non-idempotent", bbplatformstand.FaultTruncated, "/book/1", 502, 1},
		{"unsigned, idempotent", bbplatformstand.FaultUnsigned, "/read/1", 200, 2},
		{"unsigned, non-idempotent", bbplatformstand.FaultUnsigned, "/book/1", 502, 1},
		{"stray response before", bbplatformstand.FaultStrayBefore, "/book/1", 200, 1},
		{"stray response after", bbplatformstand.FaultStrayAfter, "/book/1", 200, 1},
		{"no length", bbplatformstand.FaultNoLength, "/book/1", 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1000)
			first := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
			second := h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "desk", Domain: "gavle"}) // chosen second: another failure domain
			first.SetFault(c.fault, 1)
			h.start()
			r := h.call("POST", c.path, "body")
			is.Equal(r.status, c.status)
			is.Equal(len(first.Executions())+len(second.Executions()), c.executions)
			if c.status == 200 {
				is.Equal(r.body, "ran attempt-1")
			}
			if c.status == 502 || c.status == 504 {
				is.Equal(r.outcome, "unknown")
			}
			for range 3 { // the fault leaves nothing on the connections
				is.Equal(h.call("POST", "/book/2", "body").body, fmt.Sprintf("ran attempt-%d", h.calls))
			}
		})
	}
}

// A target gets the request as the client sent it, except that the account
// replaces the key, fields that only the proxy may set are replaced, and the
// deadline is no later than the client's.
func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	h.start()
	r := h.call("POST", "/book/a?x=%2f&y", strings.Repeat("b", 100_000), "Tenant", "forged", "tenant_", "x", "Expected-Instance", "forged")
	is.Equal(r.status, 200)
	run := target.Executions()[0]
	is.Equal(run.Path, "/book/a?x=%2f&y")
	is.Equal(len(run.Body), 100_000)
	is.Equal(run.Account, "a")
	is.Equal(run.APIKey, "")
	is.Equal(run.ExpectedTarget, "t1")
	is.True(run.TimeLeft > 0 && run.TimeLeft <= 1500*time.Millisecond)
}

// A target that responds before it has read the whole body never gets bytes of
// another request in place of the rest.
func TestResponseBeforeWholeBody(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	target.SetFault(bbplatformstand.FaultEarlyResponse, 1)
	h.start()
	is.Equal(h.call("POST", "/book/1", strings.Repeat("b", 250_000)).status, 413)
	is.Equal(h.call("POST", "/book/2", "body").status, 200)
	is.Equal(target.Executions()[0].Body, "body")
}

// Requests that the plan does not allow are refused and reach no target.
func TestRefusals(t *testing.T) {
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "llm", Engine: true, EventCount: 3})
	h.start()
	cases := []struct {
		name, path string
		fields     []string
		status     int
	}{
		{"no route", "/none/1", nil, 404},
		{"unknown key", "/read/1", []string{bbplatform.HeaderAPIKey, "another"}, 401},
		{"public route without a key", "/open/1", []string{bbplatform.HeaderAPIKey, ""}, 200},
		{"above the balance", "/draft/1", []string{bbplatform.HeaderTokenUsage, "990,20"}, 402},
		{"no usage", "/draft/1", nil, 400},
		{"bad usage", "/draft/1", []string{bbplatform.HeaderTokenUsage, "-1,3"}, 400},
		{"bad deadline", "/read/1", []string{bbplatform.HeaderDeadline, "soon"}, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(h.call("GET", c.path, "", c.fields...).status, c.status) })
	}
	is.New(t).Equal(len(target.Executions()), 1)
}

// Bytes that two readers could take for different requests are refused, and
// nothing is forwarded.
func TestMalformedRequests(t *testing.T) {
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	h.start()
	head := "POST /book/1 HTTP/1.1\r\nHost: " + testHost + "\r\nAttempt-Id: x\r\nCredential: " + testKey + "\r\n"
	cases := []struct{ name, text, status string }{
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"length and chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
		{"signed length", head + "Content-Length: +1\r\n\r\na", "400"},
		{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", "400"},
		{"bad chunk end", head + "Transfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n", "400"},
		{"folded field", head + "A: b\r\n c\r\nContent-Length: 0\r\n\r\n", "400"},
		{"space before colon", head + "Content-Length : 0\r\n\r\n", "400"},
		{"bare line feed", "GET /book/1 HTTP/1.1\nHost: a\n\n", "400"},
		{"no host", "GET /book/1 HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", head + "Host: b\r\n\r\n", "400"},
		{"two keys", head + "credential: b\r\n\r\n", "400"},
		{"no version", "GET /book/1\r\n\r\n", "400"},
		{"head too large", head + "A: " + strings.Repeat("a", 9000) + "\r\n\r\n", "431"},
		{"body too large", head + "Content-Length: 300001\r\n\r\n", "413"},
		{"head too slow", head, "408"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).True(strings.HasPrefix(h.sendRaw(c.text), "HTTP/1.1 "+c.status))
		})
	}
	is.New(t).Equal(len(target.Executions()), 0)
}

// A chunked body is forwarded whole, and the connection then serves the next
// request.
func TestPipelinedAndChunked(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	h.start()
	head := "POST /book/1 HTTP/1.1\r\nHost: " + testHost + "\r\nAttempt-Id: x%d\r\nCredential: " + testKey + "\r\n"
	text := fmt.Sprintf(head, 1) + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n" + fmt.Sprintf(head, 2) + "Content-Length: 1\r\nConnection: close\r\n\r\nf"
	is.True(strings.HasPrefix(h.sendRaw(text), "HTTP/1.1 200"))
	h.eventually("both ran", func() bool { return len(target.Executions()) == 2 })
	is.Equal(target.Executions()[0].Body, "abcde")
	is.Equal(target.Executions()[1].Body, "f")
}

// eventIDs returns the ids of a stream's events in order.
func eventIDs(body string) string {
	var ids []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

// A stream that breaks within an event is resumed at another target after the
// last whole event if its route allows it; otherwise it ends without its last
// chunk.
func TestBrokenStreams(t *testing.T) {
	cases := []struct {
		name, path string
		whole      bool
		ids        string
	}{
		{"resumed", "/draft/1", true, "1 2 3 4 5 6"},
		{"not resumed", "/once/1", false, "1 2 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1000)
			first := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 6})
			second := h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "llm", Engine: true, EventCount: 6, Domain: "gavle"})
			first.SetFault(bbplatformstand.FaultTruncated, 1)
			h.start()
			r := h.call("POST", c.path, "prompt", bbplatform.HeaderTokenUsage, "100,60")
			is.Equal(r.status, 200)
			is.Equal(r.err == nil, c.whole)
			is.Equal(eventIDs(r.body), c.ids)
			is.Equal(r.header.Get(bbplatform.HeaderSignature), "t1")
			if c.whole {
				is.Equal(second.Executions()[0].LastEventID, "3")
			}
		})
	}
}

// A request is charged what its stream used, not its reservation. The balance
// serves as many requests as it covers; the next one gets 402 until a top-up is
// in force.
func TestBalanceIsCharged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5})
	h.start()
	served := 0
	for range 12 {
		r := h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200")
		if r.status == 200 {
			served++
			continue
		}
		is.Equal(r.status, 402)
	}
	is.Equal(served, 5) // 150 each, and 300 must be available to start one
	h.declarePlan(2, 1200)
	h.eventually("a top-up is in force", func() bool {
		return h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200").status == 200
	})
}

// A client that closes its connection cancels the request at the target.
func TestClientLeaves(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 1000, Pause: 10 * time.Millisecond})
	h.start()
	r, err := http.NewRequest("POST", "http://"+h.settings.FrontendAddress+"/once/1", strings.NewReader("p"))
	is.NoErr(err)
	r.Host = testHost
	r.Header.Set(bbplatform.HeaderAttemptID, "gone")
	r.Header.Set(bbplatform.HeaderAPIKey, testKey)
	r.Header.Set(bbplatform.HeaderTokenUsage, "10,100")
	tr := &http.Transport{}
	resp, err := tr.RoundTrip(r)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 10))
	is.NoErr(err)
	is.Equal(target.OpenConns(), 1)
	_ = resp.Body.Close()
	tr.CloseIdleConnections()
	h.eventually("the target's connection is closed", func() bool { return target.OpenConns() == 0 })
}

// A planned stop cuts no request: an open stream ends normally, and the unspent
// share is returned to the store.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	h.settings.GracePeriod = 4 * time.Second
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 20, Pause: 20 * time.Millisecond})
	h.start()
	done := make(chan clientResult, 1)
	go func() { done <- h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	r := <-done
	is.NoErr(r.err)
	is.Equal(eventIDs(r.body), "1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20")
	is.NoErr(<-h.serveErr)
	h.serveErr <- nil
	row, err := h.mem.Get(t.Context(), sharesPrefix+"a")
	is.NoErr(err)
	is.Equal(string(row.Value), `{"closed":300}`)
}

// While the store is unreachable requests are served from the last known state.
// Once it is back, targets that are leaving get no new requests.
func TestStoreUnreachable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	leaving := h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk"})
	other := h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "desk"})
	h.start()
	h.mem.SetFaults(storeDown)
	is.Equal(h.call("POST", "/book/1", "body").status, 200)
	h.mem.SetFaults(storeUp)
	is.NoErr(leaving.Register(t.Context(), h.mem, "draining"))
	h.eventually("the leaving target gets nothing", func() bool {
		n := len(leaving.Executions())
		for range 5 {
			if h.call("POST", "/book/1", "body").status != 200 {
				return false
			}
		}
		return len(leaving.Executions()) == n
	})
	is.True(len(other.Executions()) >= 5)
}

// Without the store, a request that the share does not cover is refused at
// once, with a Retry-After as long as the outage has lasted so far.
func TestShareUsedUpWithStoreDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5})
	h.start()
	h.mem.SetFaults(storeDown)
	var last clientResult
	h.eventually("the share is used up and the store known to be down", func() bool {
		last = h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "30000,200")
		return last.status == http.StatusServiceUnavailable && !strings.Contains(last.body, "in other instances")
	})
	time.Sleep(time.Second)
	last = h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "30000,200")
	is.Equal(last.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 1 && after <= maxRetryAfter.Seconds())
}

// A stop that cuts a request logs the request and the target whose response it
// awaited.
func TestCutRequestIsLogged(t *testing.T) {
	h := newHarness(t, 100_000)
	h.settings.GracePeriod = 1500 * time.Millisecond
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 1000, Pause: 20 * time.Millisecond})
	h.start()
	go func() { h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	h.eventually("the cut is logged", func() bool {
		text := h.logs.String()
		return strings.Contains(text, `"msg":"request cut"`) && strings.Contains(text, `"target":"t1"`)
	})
}

// TestEachCutStreamIsLogged guards against a stream that a stop ends without a log
// line that names it, as many are ended at once.
func TestEachCutStreamIsLogged(t *testing.T) {
	const n = 300 // some are named together
	h := newHarness(t, 10_000_000)
	h.timeout = time.Minute
	h.declarePlan(2, 10_000_000)
	h.settings.GracePeriod = 2 * time.Second
	for i := range 3 {
		h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("t", i), Service: "llm", Engine: true, EventCount: 1000, Slots: 200, Pause: 200 * time.Millisecond})
	}
	h.start()
	var streams sync.WaitGroup
	var cut sync.Map // ids of the streams that began and were ended
	for i := range n {
		streams.Go(func() {
			id := fmt.Sprintf("cut-%03d", i)
			head := strings.Replace(requestHead("/once/1", 4), "late", id, 1)
			conn := h.sendPart(strings.Replace(head, "Content-Length", bbplatform.HeaderTokenUsage+": 10,10000\r\nContent-Length", 1) + "body")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				return
			}
			if _, err = io.ReadAll(resp.Body); err != nil {
				cut.Store(id, true)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	h.stop()
	streams.Wait()
	is.New(t).NoErr(<-h.serveErr)
	h.serveErr <- nil
	text, many := h.logs.String(), 0
	cut.Range(func(id, _ any) bool {
		many++
		if !strings.Contains(text, fmt.Sprintf("%q", id)) {
			t.Errorf("%s was cut, and no line names it", id)
		}
		return true
	})
	if many <= maxCutLogged {
		t.Errorf("%d streams were cut, want more than %d", many, maxCutLogged)
	}
}
