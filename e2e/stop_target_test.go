package bbe2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// workEvents is how many events a stream of a work target has, evenly over the
	// work.
	workEvents = 10
	// workSlots is how many requests a work target says that it runs at once.
	workSlots = 2000
	// workField is the field in which a caller names how long its request lasts, in
	// milliseconds.
	workField = "Work-Ms"
	// silenceField names for how long the target is silent within its answer, in
	// milliseconds, silentPartField in the middle of which part, as a slowPart.
	silenceField    = "Silence-Ms"
	silentPartField = "Silent-Part"
)

// workRun is one request that a work target began.
type workRun struct {
	targetID         string
	beganAt, endedAt time.Time // endedAt is zero while it runs
	whole            bool      // the whole answer was written
}

// workTarget is a target whose requests last as long as they say. It works on
// any number at once, stops when the connection is closed, and records each.
type workTarget struct {
	*rawTarget        // its id, address and entry only
	limit      string // its Server-Limit, empty: none

	mu   sync.Mutex // guards runs
	runs map[string][]*workRun
}

// newWorkTarget starts a target, which is stopped at the end of the test.
func newWorkTarget(t *testing.T, id, service, domain string) *workTarget {
	t.Helper()
	ln := listen(t)
	w := &workTarget{
		rawTarget: &rawTarget{id: id, service: service, domain: domain, bornAt: time.Now(), ln: ln, slots: make(chan struct{}, workSlots)},
		runs:      map[string][]*workRun{},
	}
	go acceptAll(ln, w.serveConn)
	return w
}

// runsOf returns copies of the runs of a request.
func (w *workTarget) runsOf(attemptID string) []workRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []workRun
	for _, run := range w.runs[attemptID] {
		all = append(all, *run)
	}
	return all
}

func (w *workTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		// The next request, or the end of the connection, ends the read beside the work.
		closed, read := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(read)
			if _, err := br.Peek(1); err != nil {
				close(closed)
			}
		}()
		if !w.run(c, r, closed) || r.Close {
			return
		}
		<-read
	}
}

// run works on a request and reports whether it was answered.
func (w *workTarget) run(c net.Conn, r *http.Request, closed <-chan struct{}) bool {
	id := r.Header.Get("Attempt-Id")
	millis, err := strconv.Atoi(r.Header.Get(workField))
	if err != nil || r.Header.Get("Expected-Instance") != w.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	run := &workRun{targetID: w.id, beganAt: time.Now()}
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], run)
	w.mu.Unlock()
	whole := w.answer(c, r, id, time.Duration(millis)*time.Millisecond, closed)
	w.mu.Lock()
	defer w.mu.Unlock()
	run.endedAt, run.whole = time.Now(), whole
	return whole
}

// answer answers a request over the time that it lasts.
func (w *workTarget) answer(c net.Conn, r *http.Request, id string, work time.Duration, closed <-chan struct{}) bool {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + w.signature(id) + fmt.Sprintf("Server-Load: 1,0,%d\r\nKeep-Alive: timeout=30\r\n", workSlots)
	if w.limit != "" {
		head += "Server-Limit: " + w.limit + "\r\n"
	}
	if !strings.HasPrefix(r.URL.Path, "/stream") && !strings.HasPrefix(r.URL.Path, "/resume") {
		if !waitUnless(closed, work) {
			return false
		}
		body := rawBody(id, w.id)
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		return writeWithSilence(c, r, closed, head+body, map[slowPart]int{slowHead: len(head) / 2, slowBody: len(head) + len(body)/2})
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	begun := false
	for i := first; i < workEvents; i++ {
		if !waitUnless(closed, work/workEvents) {
			return false
		}
		text := ""
		if !begun {
			text, begun = head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", true
		}
		event, at := workEvent(i+1), map[slowPart]int{slowHead: len(text) / 2}
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if i == workEvents/2 {
			at[slowBody] = len(text) / 2
		}
		if !writeWithSilence(c, r, closed, text, at) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// writeWithSilence writes a text, with the silence that the request asks for at the
// place of its silent part, if there is one. It reports whether all was written.
func writeWithSilence(c net.Conn, r *http.Request, closed <-chan struct{}, text string, at map[slowPart]int) bool {
	part, _ := strconv.Atoi(r.Header.Get(silentPartField))
	millis, _ := strconv.Atoi(r.Header.Get(silenceField))
	if cut := at[slowPart(part)]; cut > 0 && millis > 0 {
		if _, err := io.WriteString(c, text[:cut]); err != nil || !waitUnless(closed, time.Duration(millis)*time.Millisecond) {
			return false
		}
		text = text[cut:]
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// workEvent is one event of a work target's streams.
func workEvent(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// waitUnless waits and reports true, or false if closed is closed before.
func waitUnless(closed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-timer.C:
		return true
	}
}
