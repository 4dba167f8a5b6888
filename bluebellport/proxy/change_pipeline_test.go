package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// rawRequest returns a request with an id as its client sends it.
func rawRequest(path, id, body string, fields ...string) string {
	more := ""
	for i := 0; i+1 < len(fields); i += 2 {
		more += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 9000\r\n%sContent-Length: %d\r\n\r\n%s",
		path, testHost, bbplatform.HeaderAttemptID, id, bbplatform.HeaderAPIKey, testKey, bbplatform.HeaderDeadline, more, len(body), body)
}

// nextStatus reads one response whole and returns its status.
func nextStatus(br *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestRequestBehindAnotherIsAnsweredInAStop guards against a request that was read whole
// behind another one, and is dropped as the answer to that one closes the connection.
func TestRequestBehindAnotherIsAnsweredInAStop(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name, path, work string
		grace            time.Duration
		fault            bbplatformstand.Fault // of the engine
		statuses         string                // of the answers to three requests in a row
	}{
		{"whole answers", "/book/1", "400ms", 4 * time.Second, bbplatformstand.FaultNone, "[200 200 200]"},
		{"whole answers, the stop ends", "/book/1", "5s", 1200 * ms, bbplatformstand.FaultNone, "[502 503 503]"},
		{"streams", "/draft/1", "100ms", 4 * time.Second, bbplatformstand.FaultNone, "[200 200 200]"},
		{"streams that are resumed", "/draft/1", "100ms", 4 * time.Second, bbplatformstand.FaultBegunTruncated, "[200 200 200]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 100_000)
			h.timeout = time.Minute
			h.declarePlan(2, 100_000)
			h.settings.GracePeriod = c.grace
			for i := range 2 {
				h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("desk", i), Service: "desk", BodyPause: true})
				engine := h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("llm", i), Service: "llm", Engine: true, EventCount: 4, BodyPause: true})
				engine.SetFault(c.fault, -1)
			}
			h.startWithVersions()
			text := ""
			for i := range 3 {
				text += rawRequest(c.path, fmt.Sprint("p", i), c.work, bbplatform.HeaderTokenUsage, "100,40")
			}
			conn := h.sendPart(text)
			time.Sleep(200 * ms)
			h.stop()
			var statuses []int
			br := bufio.NewReader(conn)
			for range 3 {
				status, err := nextStatus(br)
				if err != nil {
					t.Log(err)
					break
				}
				statuses = append(statuses, status)
			}
			is.Equal(fmt.Sprint(statuses), c.statuses)
			_, err := br.ReadByte()
			is.Equal(err, io.EOF) // the last answer closes the connection
			is.True(!strings.Contains(h.logs.String(), `"event":"panic"`))
		})
	}
}
