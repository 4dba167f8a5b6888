package bbe2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNativeInstanceFrozenAtSIGTERMEndsBeforeItsKill guards against a stop that
// counts the grace period from the end of a freeze, and is killed with its requests.
func TestNativeInstanceFrozenAtSIGTERMEndsBeforeItsKill(t *testing.T) {
	is := is.New(t)
	row := &stopRow{kind: kindPlain, work: 20 * time.Second, grace: 8 * time.Second, limit: 25 * time.Second}
	p := newStopPlay(t, 1, []*stopRow{row})
	q := p.newRequest(row)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		q.send(nil, row.inst.callerAddress)
	}()
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(p.runsOf(row, q.attemptID)), 1)
	row.inst.signal(syscall.SIGSTOP)
	row.stoppedAt = time.Now()
	row.inst.signal(syscall.SIGTERM)
	p.wg.Go(func() { p.killAfterGrace(row) })
	time.Sleep(3 * time.Second)
	row.inst.signal(syscall.SIGCONT)
	<-answered
	p.wg.Wait()
	t.Logf("answered %s after SIGTERM, ended after %s: %s", q.endedAt.Sub(row.stoppedAt), time.Since(row.stoppedAt), q.describe(nil))
	is.Equal(row.inst.killed, false) // it ends by itself
	is.Equal(q.status, 502)
	is.NoErr(q.err) // the answer is complete
	is.True(q.closed)
}
