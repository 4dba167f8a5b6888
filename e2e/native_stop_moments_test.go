package bbe2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// momentStep is the time between two requests of a row, momentLead how long before
	// SIGTERM the first is sent.
	momentStep = 50 * time.Millisecond
	momentLead = 300 * time.Millisecond
	// momentChanges is the time between two changes of the plan, momentHangups that
	// between two SIGHUPs.
	momentChanges = 400 * time.Millisecond
	momentHangups = 250 * time.Millisecond
)

// momentRequest is a kind of request that is sent at moments of a stop.
type momentRequest struct {
	name              string
	stopRequest       // without ids and outcome
	kind              stopKind
	isNew, isFollowed bool // on a new connection; with the same again behind it
}

// momentRequests are the requests in the order in which they are sent. Their number is
// prime, so that rows that begin with another one send each at other moments.
func momentRequests() []momentRequest {
	const ms = time.Millisecond
	return []momentRequest{
		{"POST", stopRequest{work: 100 * ms, limit: 1500 * ms}, kindPlain, true, false},
		{"POST, 1 s", stopRequest{work: 1000 * ms, limit: 10_000 * ms}, kindPlain, false, false},
		{"GET, target silent in the head", stopRequest{get: true, work: 50 * ms, limit: 3000 * ms, silence: 800 * ms, silentPart: slowHead}, kindRepeat, false, false},
		{"stream, target silent in an event", stopRequest{work: 500 * ms, limit: 4000 * ms, silence: 1200 * ms, silentPart: slowBody}, kindStream, false, false},
		{"POST, slow body", stopRequest{work: 200 * ms, limit: 2000 * ms, slow: slowBody, pause: 700 * ms}, kindPlain, false, false},
		{"stream that can be resumed, target silent in an event", stopRequest{work: 500 * ms, limit: 10_000 * ms, silence: 2000 * ms, silentPart: slowBody}, kindResume, true, false},
		{"POST, target silent in the body", stopRequest{work: 100 * ms, limit: 4000 * ms, silence: 2000 * ms, silentPart: slowBody}, kindPlain, false, false},
		{"two POSTs at once", stopRequest{work: 200 * ms, limit: 2000 * ms}, kindPlain, false, true},
		{"stream, 3 s", stopRequest{work: 3000 * ms, limit: 10_000 * ms}, kindStream, false, false},
		{"GET, slow head", stopRequest{get: true, work: 100 * ms, limit: 1500 * ms, slow: slowHead, pause: 400 * ms}, kindRepeat, true, false},
		{"POST, 5 s", stopRequest{work: 5000 * ms, limit: 6000 * ms}, kindPlain, true, false},
		{"POST, target silent in the head", stopRequest{work: 100 * ms, limit: 10_000 * ms, silence: 2000 * ms, silentPart: slowHead}, kindPlain, true, false},
		{"GET, 20 ms", stopRequest{get: true, work: 20 * ms, limit: 10_000 * ms}, kindRepeat, false, false},
	}
}

// momentRow is one instance that stops.
type momentRow struct {
	*stopRow
	first         int             // its first request
	again         []time.Duration // further SIGTERMs
	hangups       bool
	sent          []*momentCall
	notTakenUntil time.Duration
}

// momentCall is a request that was sent.
type momentCall struct {
	*stopRequest
	name  string
	after *momentCall // sent before it on the same connection, nil: none
}

func (r *momentRow) String() string {
	return fmt.Sprintf("grace %s, from request %d, SIGTERM again at %v, SIGHUPs %t", r.grace, r.first, r.again, r.hangups)
}

// send sends a request at a moment of the row's stop.
func (p *stopPlay) sendAt(row *momentRow, m *momentRequest, at time.Duration) {
	calls := []*momentCall{p.newMomentCall(m, nil)}
	if m.isFollowed {
		calls = append(calls, p.newMomentCall(m, calls[0]))
	}
	row.sent = append(row.sent, calls...)
	var conn net.Conn
	if !m.isNew {
		var err error
		conn, err = net.Dial("tcp4", row.inst.callerAddress)
		is.New(p.t).NoErr(err)
	}
	p.wg.Go(func() {
		time.Sleep(time.Until(row.stoppedAt.Add(at)))
		if len(calls) == 1 {
			calls[0].send(conn, row.inst.callerAddress)
		} else {
			sendTogether(conn, calls)
		}
		if conn != nil {
			_ = conn.Close()
		}
	})
}

func (p *stopPlay) newMomentCall(m *momentRequest, after *momentCall) *momentCall {
	q := m.stopRequest
	q.attemptID, q.path = fmt.Sprint("attempt-", p.attemptCount.Add(1)), "/"+string(m.kind)+"-0/1"
	return &momentCall{stopRequest: &q, name: m.name, after: after}
}

// sendTogether sends requests at once and reads their answers.
func sendTogether(conn net.Conn, calls []*momentCall) {
	text, now := "", time.Now()
	for _, q := range calls {
		text += q.head()
		q.sentAt, q.kept = now, true
	}
	_ = conn.SetDeadline(now.Add(time.Duration(len(calls))*calls[0].limit + callerSlack))
	_, err := io.WriteString(conn, text)
	br := bufio.NewReader(conn)
	for _, q := range calls {
		if q.err = err; err == nil {
			q.writtenAt = now
			q.err = q.readFrom(br)
			err = q.err
		}
		q.endedAt = time.Now()
	}
}

// runsByPath returns the runs of a request at all targets of its path.
func (p *stopPlay) runsByPath(q *stopRequest) []workRun {
	var runs []workRun
	for _, target := range p.targets[strings.Split(q.path, "/")[1]] {
		runs = append(runs, target.runsOf(q.attemptID)...)
	}
	return runs
}

// playMoments stops the row's process with all that happens beside.
func (p *stopPlay) playMoments(row *momentRow) {
	at := func(d time.Duration) { time.Sleep(time.Until(row.stoppedAt.Add(d))) }
	if row.hangups {
		p.wg.Go(func() {
			for d := -momentLead; d < row.grace && !row.inst.hasExited(); d += momentHangups {
				at(d)
				row.inst.signal(syscall.SIGHUP)
			}
		})
	}
	at(0)
	row.inst.signal(syscall.SIGTERM)
	p.wg.Go(func() { p.killAfterGrace(row.stopRow) })
	for _, d := range row.again {
		at(d)
		row.inst.signal(syscall.SIGTERM)
	}
}

// isFault reports whether the request may not end as it did, and how it ended.
func (r *momentRow) isFault(q *momentCall, runs []workRun) (stopOutcome, bool) {
	outcome, sent := q.outcome(runs), q.sentAt.Sub(r.stoppedAt)
	switch {
	case q.after != nil && q.after.closed && q.status == 0 && len(runs) == 0:
		return outcomeNotTaken, false // the answer before it says that the connection is closed
	case outcome == outcomeCut:
		return outcome, !q.isExcused(runs, r.stoppedAt, r.grace)
	case outcome == outcomeNotTaken:
		return outcome, sent < r.notTakenUntil
	}
	return outcome, outcome.isFault()
}

// check checks the outcomes of a row.
func (r *momentRow) check(t *testing.T, p *stopPlay) {
	counts := map[string]stopCounts{}
	for _, q := range r.sent {
		runs := p.runsByPath(q.stopRequest)
		outcome, fault := r.isFault(q, runs)
		if counts[q.name] == nil {
			counts[q.name] = stopCounts{}
		}
		counts[q.name][outcome]++
		if fault {
			t.Errorf("%s, sent %s after SIGTERM: %s%s", q.name, q.sentAt.Sub(r.stoppedAt), q.describe(runs), r.inst.linesOf(q.attemptID))
		}
	}
	if r.killed || r.inst.cmd.ProcessState.ExitCode() != 0 {
		t.Errorf("killed %t\n%s", r.killed, r.inst.logTail())
	}
	t.Log(counts)
}

// TestNativeInstanceAnswersRequestsOfEachMomentOfAStop guards against requests that are
// dropped, cut or falsely refused at one moment of a stop, beside changes of the plan,
// further signals and targets that are silent for a while.
func TestNativeInstanceAnswersRequestsOfEachMomentOfAStop(t *testing.T) {
	const s = time.Second
	var late []*momentRow
	var rows []*stopRow
	for i, r := range []momentRow{
		{stopRow: &stopRow{grace: 8 * s}},
		{stopRow: &stopRow{grace: 8 * s}, again: []time.Duration{1700 * time.Millisecond, 5 * s}},
		{stopRow: &stopRow{grace: 8 * s}, hangups: true},
		{stopRow: &stopRow{grace: 8 * s}, hangups: true, again: []time.Duration{time.Millisecond, 3400 * time.Millisecond}},
		{stopRow: &stopRow{grace: 6 * s}},
		{stopRow: &stopRow{grace: 6 * s}, hangups: true},
		{stopRow: &stopRow{grace: 2 * s}},
		{stopRow: &stopRow{grace: 2 * s}, hangups: true, again: []time.Duration{s}},
	} {
		r.kind, r.first = allStopKinds[i%len(allStopKinds)], 3*i
		r.notTakenUntil = min(3300*time.Millisecond, r.grace*7/12-200*time.Millisecond)
		late, rows = append(late, &r), append(rows, r.stopRow)
	}
	p := newStopPlay(t, 1, rows)
	begin, requests := time.Now().Add(2*s), momentRequests()
	for i, row := range late {
		row.stoppedAt = begin.Add(time.Duration(i) * stopInterval)
		for j, at := row.first, -momentLead; at < row.grace; j, at = j+1, at+momentStep {
			p.sendAt(row, &requests[j%len(requests)], at)
		}
		p.wg.Go(func() { p.playMoments(row) })
	}
	p.changePlanUntil(begin.Add(10 * s))
	p.wg.Wait()
	time.Sleep(stopSettle)
	for _, row := range late {
		t.Run(row.String(), func(t *testing.T) { row.check(t, p) })
	}
}

// changePlanUntil writes newer plans with one more route each.
func (p *stopPlay) changePlanUntil(end time.Time) {
	var routes, services []string
	for _, kind := range allStopKinds {
		name := string(kind) + "-0"
		routes, services = append(routes, stopRoute(kind, name, name)), append(services, stopService(kind, name))
	}
	for version := 3; time.Now().Before(end); version++ {
		routes = append(routes, stopRoute(kindPlain, fmt.Sprint("added-", version), "plain-0"))
		p.writeStopPlan(version, routes, services)
		time.Sleep(momentChanges)
	}
}
