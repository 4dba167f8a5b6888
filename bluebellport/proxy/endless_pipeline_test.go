package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// TestClientThatAlwaysHasSentMoreIsClosedWithAStop guards against a connection that a
// client keeps open beyond a stop by requests behind one another, and against answers that
// are skipped or come twice there.
func TestClientThatAlwaysHasSentMoreIsClosedWithAStop(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 100_000)
	h.declarePlan(2, 100_000)
	h.settings.GracePeriod = 1500 * time.Millisecond
	target := h.startTarget(bbplatformstand.TargetOptions{ID: "desk", Service: "desk"})
	h.startTarget(bbplatformstand.TargetOptions{ID: "llm", Service: "llm", Engine: true, EventCount: 4})
	h.startWithVersions()
	conn := h.sendPart("")
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		for i := 0; ; i++ {
			if _, err := io.WriteString(conn, rawRequest("/book/1", fmt.Sprint("e", i), "2ms")); err != nil {
				return
			}
		}
	}()
	br := bufio.NewReader(conn)
	count, statuses, ran, closed := 0, map[int]int{}, map[string]bool{}, false
	read := func() bool {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Log(count, err)
			return false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		id := resp.Header.Get(bbplatform.HeaderAttemptID)
		is.True(id == fmt.Sprint("e", count) || id == "" && resp.Close) // only a part of the head was read
		ran[id] = resp.StatusCode == http.StatusOK
		statuses[resp.StatusCode]++
		count++
		closed = resp.Close
		return true
	}
	for range 20 {
		is.True(read())
	}
	stopAt := time.Now()
	h.stop()
	for read() {
	}
	is.True(time.Since(stopAt) < h.settings.GracePeriod)
	t.Log(count, statuses, time.Since(stopAt))
	is.True(closed) // the last answer announces the close
	is.Equal(len(target.Executions()), statuses[http.StatusOK])
	for _, e := range target.Executions() {
		is.True(ran[e.AttemptID])
	}
}
