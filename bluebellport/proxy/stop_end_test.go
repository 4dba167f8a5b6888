package bbproxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// sendPart opens a connection and sends a part of a request.
func (h *harness) sendPart(text string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
	is.New(h.t).NoErr(err)
	h.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	is.New(h.t).NoErr(err)
	return conn
}

// readAnswer reads a whole response and returns its status, its outcome and whether
// the connection is closed after it.
func (h *harness) readAnswer(conn net.Conn) (status int, outcome string, closed bool) {
	h.t.Helper()
	is := is.New(h.t)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err) // an answer comes
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err) // it is whole
	var problem problemJSON
	_ = json.Unmarshal(text, &problem)
	_, err = br.ReadByte()
	return resp.StatusCode, problem.Outcome, resp.Close && err == io.EOF
}

// requestHead returns the head of a request with a body of some bytes.
func requestHead(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: late\r\n%s: %s\r\n%s: 30000\r\nContent-Length: %d\r\n\r\n",
		path, testHost, bbplatform.HeaderAttemptID, bbplatform.HeaderAPIKey, testKey, bbplatform.HeaderDeadline, length)
}

// TestRequestOpenAtTheEndOfAStopIsAnswered guards against a connection that just
// ends while a request is read, waits or runs as the instance stops.
func TestRequestOpenAtTheEndOfAStopIsAnswered(t *testing.T) {
	head := requestHead("/book/1", 4)
	cases := []struct {
		name, before, after string // sent before and after the order to stop
		status              int
		outcome             string
		runs                int
	}{
		{"at a target", head + "body", "", http.StatusBadGateway, "unknown", 1},
		{"body incomplete", head + "bo", "", http.StatusServiceUnavailable, "not-run", 0},
		{"body goes on", head + "b", "o", http.StatusServiceUnavailable, "not-run", 0},
		{"head incomplete", "POST /book/1 HTTP/1.1\r\n", "", http.StatusServiceUnavailable, "not-run", 0},
		{"head goes on", "POST /book/1 HTTP/1.1\r\n", "Host: a\r\n", http.StatusServiceUnavailable, "not-run", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 1000)
			h.timeout = time.Minute
			h.declarePlan(2, 1000)
			h.settings.GracePeriod = time.Second
			target := h.startTarget(testTarget)
			target.SetFault(bbplatformstand.FaultNoResponse, -1)
			h.start()
			conn := h.sendPart(c.before)
			time.Sleep(100 * time.Millisecond)
			stopAt := time.Now()
			h.stop()
			time.Sleep(200 * time.Millisecond)
			_, err := io.WriteString(conn, c.after)
			is.NoErr(err)
			status, outcome, closed := h.readAnswer(conn)
			is.True(time.Since(stopAt) < h.settings.GracePeriod)
			is.Equal(status, c.status)
			is.Equal(outcome, c.outcome)
			is.True(closed)
			is.Equal(len(target.Executions()), c.runs)
			h.eventually("the target's connection is closed", func() bool { return target.OpenConns() == 0 })
		})
	}
}

// TestStopEndsInTime guards against a stop that the platform ends with a kill,
// whatever is away or slow.
func TestStopEndsInTime(t *testing.T) {
	cases := []struct {
		name string
		do   func(*harness)
	}{
		{"idle", func(*harness) {}},
		{"store away", func(h *harness) { h.mem.SetFaults(storeDown) }},
		{"client that reads nothing", func(h *harness) {
			h.sendPart(strings.Replace(requestHead("/book/1", 5), "late", "large", 1) + "large")
		}},
		{"request that never ends", func(h *harness) { h.sendPart(requestHead("/book/1", 3) + "60s") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 100_000)
			h.timeout = time.Minute
			h.declarePlan(2, 100_000)
			h.settings.GracePeriod = 2 * time.Second
			h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "desk", BodyPause: true, LargeBody: "large", LargeSize: 7 << 20})
			h.startTarget(bbplatformstand.TargetOptions{ID: "t2", Service: "llm", Engine: true, EventCount: 3})
			h.start()
			is.Equal(h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200").status, http.StatusOK)
			c.do(h)
			time.Sleep(100 * time.Millisecond)
			stopAt := time.Now()
			h.stop()
			is.NoErr(<-h.serveErr)
			h.serveErr <- nil
			is.True(time.Since(stopAt) < h.settings.GracePeriod)
		})
	}
}

// TestStopBeforeTheFirstPlan guards against callers that are sent back to an instance
// that stops as soon as it has started.
func TestStopBeforeTheFirstPlan(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.startTarget(testTarget)
	h.start()
	h.mem.SetFaults(storeDown)
	h.settings.FrontendAddress, h.settings.ReadinessAddress = freeAddress(t), freeAddress(t)
	h.startUnready()
	h.stop()
	time.Sleep(20 * time.Millisecond)
	status, outcome, closed := h.readAnswer(h.sendPart(requestHead("/book/1", 0)))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(outcome, "not-run")
	is.True(closed)
	is.True(strings.Contains(h.logs.String(), `"after":0,`))
}
