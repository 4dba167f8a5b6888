package bbe2e

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// lateRowInterval is the time from the stop of one row to the next.
	lateRowInterval = 100 * time.Millisecond
	// lateSends is the number of requests on kept connections after SIGTERM, half
	// of them with a limit that the stop can't carry.
	lateSends = 78
	// lateOpen is the number of requests of each kind that are open at SIGTERM.
	lateOpen = 3
	// lateBound is when all answers have to be there, from SIGTERM; lateSlack is how
	// long before the kill if the process stands still up to that.
	lateBound = 7750 * time.Millisecond
	lateSlack = 50 * time.Millisecond
)

// freeze is a span in which a process stands still, from SIGTERM.
type freeze struct{ from, to time.Duration }

// lateRow is one instance that stands still around SIGTERM.
type lateRow struct {
	*stopRow
	freezes []freeze
	open    []*stopRequest
}

func (r *lateRow) String() string {
	text := ""
	for _, f := range r.freezes {
		text += fmt.Sprintf(" %s to %s", f.from, f.to)
	}
	return "stands still" + text
}

// play stops the row's process and lets it stand still.
func (p *stopPlay) playLate(row *lateRow) {
	var begin time.Time
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	begin = row.stoppedAt
	terminated := false
	terminate := func() {
		at(0)
		row.inst.signal(syscall.SIGTERM)
		p.wg.Go(func() { p.killAfterGrace(row.stopRow) })
		terminated = true
	}
	for _, f := range row.freezes {
		if f.from >= 0 && !terminated {
			terminate()
		}
		at(f.from)
		row.inst.signal(syscall.SIGSTOP)
		if !terminated {
			terminate()
		}
		at(f.to)
		row.inst.signal(syscall.SIGCONT)
	}
	if !terminated {
		terminate()
	}
}

// openBefore sends the requests that are open as the row's process is told to stop.
func (p *stopPlay) openBefore(row *lateRow) {
	for range lateOpen {
		for _, path := range []string{row.service(), "stream-20000"} {
			q := &stopRequest{attemptID: fmt.Sprint("attempt-", p.attemptCount.Add(1)), path: "/" + path + "/1", work: 20 * time.Second, limit: 25 * time.Second}
			row.open = append(row.open, q)
			p.wg.Go(func() {
				time.Sleep(time.Until(row.stoppedAt.Add(-300 * time.Millisecond)))
				q.send(nil, row.inst.callerAddress)
			})
		}
	}
}

// newShortRequest returns a request that is not counted.
func (p *stopPlay) newShortRequest(row *lateRow) *stopRequest {
	return &stopRequest{attemptID: fmt.Sprint("attempt-", p.attemptCount.Add(1)), path: "/" + row.service() + "/1", work: 50 * time.Millisecond, limit: time.Second}
}

// sendKept sends requests on connections that are open before, evenly up to the kill.
// Every other pair of connections has carried a request before.
func (p *stopPlay) sendKept(row *lateRow) {
	for i := range lateSends {
		conn, err := net.Dial("tcp4", row.inst.callerAddress)
		is.New(p.t).NoErr(err)
		q := &stopRequest{attemptID: fmt.Sprint("attempt-", p.attemptCount.Add(1)), path: "/" + row.service() + "/1", work: 5 * time.Second, limit: 10 * time.Second}
		if i%2 == 1 {
			q.work, q.limit = 100*time.Millisecond, 400*time.Millisecond
		}
		if i%4 < 2 {
			p.wg.Go(func() { p.newShortRequest(row).send(conn, "") })
		}
		row.requests = append(row.requests, q)
		p.wg.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(time.Until(row.stoppedAt.Add(momentOf(i, lateSends, row.grace))))
			q.send(conn, "")
		})
	}
}

// check checks that all is answered before the kill.
func (r *lateRow) check(t *testing.T, p *stopPlay) {
	since := func(at time.Time) time.Duration { return at.Sub(r.stoppedAt) }
	bound, last := lateBound, time.Duration(0)
	if r.freezes[len(r.freezes)-1].to > 7400*time.Millisecond {
		bound = r.grace - lateSlack
	}
	for _, q := range r.open {
		last = max(last, since(q.endedAt))
		switch whole := q.err == nil && q.status == 502; {
		case strings.HasPrefix(q.path, "/plain") && !whole:
			t.Errorf("open at SIGTERM, not answered: %s after SIGTERM: %s", since(q.endedAt), q.describe(nil))
		case since(q.endedAt) > bound:
			t.Errorf("open at SIGTERM, ended only %s after it: %s", since(q.endedAt), q.describe(nil))
		}
	}
	counts := map[string]int{}
	for _, q := range r.requests {
		runs := p.runsOf(r.stopRow, q.attemptID)
		outcome := q.outcome(runs)
		counts[fmt.Sprint(q.limit, " ", outcome)]++
		sent := since(q.sentAt)
		switch {
		case outcome == outcomeFalseRefusal, outcome == outcomeOther,
			outcome == outcomeCut && (sent > excusedSends || q.status != 502),
			outcome == outcomeDropped,
			sent > excusedSends && len(runs) > 0 && q.limit > r.grace-sent:
			t.Errorf("sent %s after SIGTERM: %s", sent, q.describe(runs))
		}
	}
	tail := r.inst.logTail()
	if r.killed || r.inst.cmd.ProcessState.ExitCode() != 0 || strings.Contains(tail, "money-stuck") {
		t.Errorf("killed %t, shares not returned or not ended with 0\n%s", r.killed, tail)
	}
	t.Logf("last answer to an open request %s after SIGTERM; kept: %v", last, counts)
}

// TestNativeInstanceThatNoticesItsStopLateAnswersBeforeTheKill guards against a stop
// that counts its times from when the order was noticed, or gives up what is open as
// the process stands still once more.
func TestNativeInstanceThatNoticesItsStopLateAnswersBeforeTheKill(t *testing.T) {
	const ms = time.Millisecond
	var all [][]freeze
	for _, to := range []time.Duration{100, 200, 300, 400, 450, 490, 600, 1000, 3000, 3900} {
		all = append(all, []freeze{{-5 * ms, to * ms}})
	}
	all = append(all,
		[]freeze{{-450 * ms, 5 * ms}}, []freeze{{-240 * ms, 240 * ms}},
		[]freeze{{5 * ms, 450 * ms}}, []freeze{{1, 450 * ms}}, []freeze{{5 * ms, 3000 * ms}},
		[]freeze{{-5 * ms, 450 * ms}, {1000 * ms, 1500 * ms}}, []freeze{{1000 * ms, 6000 * ms}}, []freeze{{3000 * ms, 4500 * ms}},
		[]freeze{{6500 * ms, 7600 * ms}}, []freeze{{7000 * ms, 7800 * ms}}, []freeze{{7400 * ms, 7900 * ms}}, []freeze{{2600 * ms, 7600 * ms}})
	var rows []*stopRow
	var late []*lateRow
	for _, freezes := range all {
		row := &stopRow{kind: kindPlain, work: 20 * time.Second, grace: 8 * time.Second, limit: 25 * time.Second}
		rows = append(rows, row)
		late = append(late, &lateRow{stopRow: row, freezes: freezes})
	}
	stream := &stopRow{kind: kindStream, work: 20 * time.Second, grace: 8 * time.Second, limit: 25 * time.Second}
	p := newStopPlay(t, 1, append(rows, stream))
	begin := time.Now().Add(1500 * time.Millisecond)
	for i, row := range late {
		row.stoppedAt = begin.Add(time.Duration(i) * lateRowInterval)
		p.sendKept(row)
		p.openBefore(row)
		p.wg.Go(func() { p.playLate(row) })
	}
	p.wg.Wait()
	time.Sleep(stopSettle)
	for _, row := range late {
		t.Run(row.String(), func(t *testing.T) { row.check(t, p) })
	}
}
