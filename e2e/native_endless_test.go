package bbe2e

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var endlessCallers = flag.Int("endless-callers", 100, "callers at once of TestNativeInstanceStaysSmallBesideAnswersWithoutEnd")

const (
	// endlessDeadline is how long the callers wait, endlessSlack how much later than
	// that they may be answered.
	endlessDeadline = 800 * time.Millisecond
	endlessSlack    = 500 * time.Millisecond
	// endlessGather is how long the target waits for all callers before it answers.
	endlessGather = 200 * time.Millisecond
	// maxEndlessMemoryMB is the most memory that the instance may hold.
	maxEndlessMemoryMB = 150
	// soundInterval is the time between two requests to a sound target beside it.
	soundInterval = 25 * time.Millisecond
)

// endlessAnswer begins with a head and goes on with a piece without end.
type endlessAnswer struct{ name, begin, piece string }

var endlessFill = strings.Repeat("endless ", 512)

const (
	endlessOK      = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: endless.%[1]s\r\n"
	endlessRefusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
)

// endlessAnswers are the places in which an answer may go on without end.
var endlessAnswers = []endlessAnswer{
	{"line of the head", "HTTP/1.1 200 ", endlessFill},
	{"fields of the head", endlessOK, "Field: " + endlessFill[:64] + "\r\n"},
	{"one field of the head", endlessOK + "Field: ", endlessFill},
	{"1xx heads", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"body without a length", endlessOK + "Connection: close\r\n\r\n", endlessFill},
	{"body in chunks", endlessOK + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(endlessFill), endlessFill)},
	{"line of a chunk", endlessOK + "Transfer-Encoding: chunked\r\n\r\n", endlessFill},
	{"trailer", endlessOK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: " + endlessFill[:64] + "\r\n"},
	{"body of a refusal", endlessRefusal + "\r\n", endlessFill},
	{"body of a refusal in chunks", endlessRefusal + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(endlessFill), endlessFill)},
	{"body of another request's answer", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Signature: endless.other\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(endlessFill), endlessFill)},
	{"event of a stream", endlessOK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: a \r\n", fmt.Sprintf("%x\r\n%s\r\n", len(endlessFill), endlessFill)},
}

// endlessTarget is a target whose answers do not end until the caller closes.
type endlessTarget struct {
	ln               net.Listener
	answer           endlessAnswer
	arrived, written atomic.Int64
}

func newEndlessTarget(t *testing.T, answer endlessAnswer) *endlessTarget {
	t.Helper()
	ln := listen(t)
	target := &endlessTarget{ln: ln, answer: answer}
	go acceptAll(ln, target.serve)
	return target
}

// serve reads one request and answers it without end.
func (t *endlessTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	t.arrived.Add(1)
	for end := time.Now().Add(endlessGather); t.arrived.Load() < int64(*endlessCallers) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	begin := t.answer.begin
	if strings.Contains(begin, "%") {
		begin = fmt.Sprintf(begin, r.Header.Get("Attempt-Id"))
	}
	if _, err := io.WriteString(c, begin); err != nil {
		return
	}
	piece := []byte(strings.Repeat(t.answer.piece, 1+(32<<10)/len(t.answer.piece)))
	for err == nil {
		var n int
		n, err = c.Write(piece)
		t.written.Add(int64(n))
	}
}

// memoryMB returns a field of the status of a process, in megabytes.
func memoryMB(pid int, field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), field+":")
	text, _, _ := strings.Cut(rest, "kB")
	kB, _ := strconv.Atoi(strings.TrimSpace(text))
	return kB >> 10
}

// TestNativeInstanceStaysSmallBesideAnswersWithoutEnd guards against targets
// whose bytes without end fill the memory of an instance or hold its callers.
func TestNativeInstanceStaysSmallBesideAnswersWithoutEnd(t *testing.T) {
	for _, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) { playEndless(t, answer).checkSmall() })
	}
}

// TestNativeInstanceServesOthersBesideAnswersWithoutEnd guards against targets
// whose bytes without end keep the callers of a sound target from being served.
func TestNativeInstanceServesOthersBesideAnswersWithoutEnd(t *testing.T) {
	for _, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) { playEndless(t, answer).checkOthers() })
	}
}

// endlessRun is a run of an instance beside answers without end.
type endlessRun struct {
	*rawRun
	peakMB int // most resident memory
}

// playEndless sends requests to a target that answers without end, and some to a
// sound target beside it.
func playEndless(t *testing.T, answer endlessAnswer) *endlessRun {
	r := newRawRun(t, 1)
	endless := newEndlessTarget(t, answer)
	path, service := "/book/1", "desk"
	if strings.Contains(answer.begin, "event-stream") {
		path, service = "/draft/1", "llm"
	}
	entry := &rawTarget{id: "endless", service: service, domain: "domain-0", ln: endless.ln, slots: make(chan struct{}, *endlessCallers), bornAt: time.Now()}
	entry.write(t, r.memStore, "ready")
	r.addTarget("press-0", "press", "domain-0", rawPlay{Work: time.Millisecond})
	r.startInstances("domain-0")
	inst := r.instances[0]
	pid := inst.cmd.Process.Pid
	before := memoryMB(pid, "VmRSS")
	stop := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() {
		tick := time.NewTicker(soundInterval)
		defer tick.Stop()
		for {
			id := fmt.Sprint("sound-", r.attemptCount.Add(1))
			r.wg.Go(func() { r.ask(inst, "/press/1", id, refusedDeadline) })
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	})
	var callers sync.WaitGroup
	for i := range *endlessCallers {
		callers.Go(func() { r.ask(inst, path, fmt.Sprint("endless-", i), endlessDeadline) })
	}
	callers.Wait()
	close(stop)
	sound.Wait()
	r.wg.Wait()
	run := &endlessRun{rawRun: r, peakMB: memoryMB(pid, "VmHWM")}
	run.report(answer.name, before, endless)
	if endless.arrived.Load() == 0 {
		t.Fatal("no request reached the target that answers without end")
	}
	return run
}

// report logs the memory of the instance and what callers were told.
func (r *endlessRun) report(name string, beforeMB int, target *endlessTarget) {
	statuses := map[string]int{}
	var endless, sound []time.Duration
	for _, a := range r.answers {
		statuses[a.path+" "+a.summary()]++
		if took := a.endedAt.Sub(a.sentAt); a.path == "/press/1" {
			sound = append(sound, took)
		} else {
			endless = append(endless, took)
		}
	}
	slices.Sort(sound)
	r.t.Logf("%s: %d callers, %d sent at once, resident %d MB -> at most %d MB, %d MB written by the target, slowest caller %d ms, sound target p95 %d ms, answers %v",
		name, *endlessCallers, target.arrived.Load(), beforeMB, r.peakMB, target.written.Load()>>20, slices.Max(endless).Milliseconds(), sound[len(sound)*95/100].Milliseconds(), statuses)
}

// checkSmall checks the memory of the instance, and what the callers of the
// answers without end were told and when.
func (r *endlessRun) checkSmall() {
	for _, a := range r.answers {
		if a.path == "/press/1" {
			continue
		}
		if a.status/100 == 2 || a.status == 0 && a.began == 0 { // one that has begun can only break off
			r.t.Errorf("status %d for an answer without end, begun with %d", a.status, a.began)
		}
		if took := a.endedAt.Sub(a.sentAt); took > endlessDeadline+endlessSlack {
			r.t.Errorf("a caller with a deadline of %s waited %s", endlessDeadline, took)
		}
	}
	if r.peakMB == 0 || r.peakMB > maxEndlessMemoryMB {
		r.t.Errorf("resident memory at most %d MB, allowed %d MB", r.peakMB, maxEndlessMemoryMB)
	}
	if r.instances[0].hasExited() {
		r.t.Errorf("the instance ended")
	}
}

// checkOthers checks that the callers of the sound target were served.
func (r *endlessRun) checkOthers() {
	for _, a := range r.answers {
		if a.path == "/press/1" && a.status != 200 {
			r.t.Errorf("status %d %q of a sound target", a.status, a.text)
		}
	}
}
