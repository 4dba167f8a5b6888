package bbdoor

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// Door takes requests. Its controllers meet on the board:
//
//	platform's store --> follower --> [ Board: plan, groups ] --> exchange
//	       ^                                                        |
//	       +---- money: shares by compare-and-swap <--- reserve ----+
//	                                                                |
//	client --> caller --> admit --> reserve --> choose --> attempt --> target
//	   ^                                                     |
//	   +------------------ answer, stream, refusal <---------+
type Door struct {
	set      bbplatform.Settings
	domain   bbunit.DomainID
	board    *Board
	log      logrus.FieldLogger
	money    *money
	prefills *prefills

	suspects *suspects
	retries  sync.Map // bbunit.ServiceID -> *bbroute.RetryBudget

	meter   meter
	start   time.Time
	closing atomic.Bool
	mu      sync.Mutex // guards callers
	callers map[*caller]bool
	open    sync.WaitGroup
}

// Serve runs the door until ctx ends, and then stops it without cutting a
// request.
func Serve(ctx context.Context, set bbplatform.Settings, fleet Fleet, log logrus.FieldLogger) error {
	d := &Door{set: set, domain: set.Domain, board: &Board{}, log: log, start: time.Now(), callers: map[*caller]bool{}}
	d.board.Instances.Store(defaultInstances)
	front, err := net.Listen("tcp4", set.Callers)
	if err != nil {
		return errors.Annotate(err, "address for callers")
	}
	ready, err := net.Listen("tcp4", set.Ready)
	if err != nil {
		_ = front.Close()
		return errors.Annotate(err, "address for readiness")
	}
	store, closeStore := bbplatform.NewStore(set.Store)
	defer closeStore()
	d.money = newMoney(store, d.board, log, d.now, bbshare.NewHolder(set.Instance, bbunit.InstanceID(set.Peers), newLife()))

	back, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	d.follow(back, &wg, store, fleet)
	wg.Go(func() { d.accept(front) })
	wg.Go(func() { d.answerReady(ready) })
	log.WithFields(logrus.Fields{"event": "start", "listen": set.Callers, "domain": set.Domain}).Info("serving")

	<-ctx.Done()
	end := time.Now().Add(set.Grace - graceSlack)
	d.leave(front, end)
	stop()
	_ = ready.Close()
	_ = front.Close()
	wg.Wait()
	last, cancel := context.WithDeadline(context.Background(), end.Add(closeTime))
	defer cancel()
	d.money.close(last)
	log.WithField("event", "stop").Info("stopped")
	return nil
}

// follow starts the controllers.
func (d *Door) follow(ctx context.Context, wg *conc.WaitGroup, store *bbplatform.Store, fleet Fleet) {
	f := newFollower(store, d.board, d.log, d.now, &d.meter)
	news := newRelay(fleet, f)
	d.money.loans = newLoans(d.money, fleet)
	d.prefills = newPrefills(fleet, d.board, d.now)
	d.suspects = newSuspects(fleet, d.now)
	reg := newRegister(store, fleet, d.board, d.log, d.set, news.duty)
	wg.Go(func() { f.followPlan(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Go(func() { news.run(ctx) })
	wg.Go(func() { d.watchLink(ctx) })
	wg.Go(func() { reg.keep(ctx) })
	wg.Go(func() { reg.watch(ctx) })
	wg.Go(func() {
		d.money.start(ctx)
		d.money.run(ctx)
	})
}

// now is a steady clock: a jump of the time of day does not move it.
func (d *Door) now() time.Time { return d.start.Add(time.Since(d.start)) }

// accept takes clients' connections until the listener is closed.
func (d *Door) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.WithError(err).Warn("connection not accepted")
			time.Sleep(storePause)
			continue
		}
		conn = d.meter.wrap(conn)
		c := &caller{Conn: conn, br: bufio.NewReaderSize(conn, bufferSize), door: d}
		d.mu.Lock()
		d.callers[c] = true
		d.mu.Unlock()
		d.open.Add(1)
		go func() {
			defer d.open.Done()
			if p := panics.Try(c.serve); p != nil {
				_ = c.Close()
				d.log.WithField("event", "panic").Error(p.String())
			}
			d.mu.Lock()
			delete(d.callers, c)
			d.mu.Unlock()
		}()
	}
}

// leave stops taking work: not ready at once, new connections a little longer,
// and open requests to their end.
func (d *Door) leave(front net.Listener, end time.Time) {
	d.board.Leaving.Store(true)
	d.money.leave()
	d.log.WithField("event", "leaving").Info("leaving")
	time.Sleep(min(lingerTime, time.Until(end)))
	d.closing.Store(true)
	_ = front.Close()
	d.closeIdle()
	done := make(chan struct{})
	go func() {
		d.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(end)):
		d.log.WithField("event", "cut").Warn("requests still open at the end of the grace")
	}
}

// closeIdle closes connections without a request.
func (d *Door) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.callers {
		if c.idle.Load() {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// ended takes what an attempt tells of its target.
func (d *Door) ended(x *exchange, s *Server, out *ending) {
	now := d.now()
	switch out.kind {
	case endDone:
		s.Known.Circuit.Success()
		s.Known.Result(!out.failed)
		if !out.failed {
			d.suspects.ran(x.print)
			d.budget(x.service).Earn(d.retryRule())
		}
		d.served(x, s)
		return
	case endGone:
		return
	case endNotRun:
		s.Known.Busy(now.Add(busyTime))
	case endUnsent:
		if d.board.Crowded.Load() {
			break // the own link is as likely the cause
		}
		for range circuitRule.Fails {
			s.Known.Circuit.Failure(now, &circuitRule)
		}
	case endBroken, endLate:
		s.Known.Result(false)
		if out.reset || out.silent {
			s.Known.Circuit.Failure(now, &circuitRule)
		}
		if out.reset {
			go d.suspects.broke(x.print, s)
		}
	}
	d.log.WithFields(x.fields(s, out)).Info("attempt failed")
}

// served logs a sample of the answers that were passed on whole: which ones is
// decided by the request's id, so that all instances log the same.
func (d *Door) served(x *exchange, s *Server) {
	if xxhash.Sum64String(x.q.Attempt)%servedSample != 0 {
		return
	}
	f := logrus.Fields{
		"request": x.q.Attempt, "service": x.service, "target": s.ID, "sends": x.sends,
		"ms": time.Since(x.q.At).Milliseconds(), "inflight": s.Known.InFlight(),
	}
	if x.stream.events > 0 {
		f["first"] = x.stream.first.Sub(x.q.At).Milliseconds()
		f["gap"] = x.stream.gap.Milliseconds()
		f["events"] = x.stream.events
		f["prompt"] = x.q.Prompt
	}
	d.log.WithFields(f).Info("served")
}

// budget returns the repeats that a service has left.
func (d *Door) budget(id bbunit.ServiceID) *bbroute.RetryBudget {
	if b, ok := d.retries.Load(id); ok {
		return b.(*bbroute.RetryBudget)
	}
	b, _ := d.retries.LoadOrStore(id, &bbroute.RetryBudget{})
	return b.(*bbroute.RetryBudget)
}

// mayRepeat takes one repeat from a service's budget.
func (d *Door) mayRepeat(id bbunit.ServiceID) bool {
	return d.budget(id).Spend(d.now(), d.retryRule())
}

// retryRule is this instance's part of the repeats that all may make.
func (d *Door) retryRule() *bbroute.RetryRule {
	n := float64(max(d.board.Instances.Load(), 1))
	return &bbroute.RetryRule{
		Ratio: d.set.RetryRatio * retryPart,
		Floor: d.set.RetryExtra * retryPart / n / max(d.set.RetryWindow.Seconds(), 1),
	}
}

// refused logs an answer of the fleet's own, with what decided it.
func (d *Door) refused(attempt string, r *Refusal) {
	f := logrus.Fields{"request": attempt, "status": r.Status, "reason": r.Reason, "after": r.After.Seconds()}
	for k, v := range r.Inputs {
		f[k] = v
	}
	d.log.WithFields(f).Info("refused")
}

// circuitRule sets when a target that fails is left alone.
var circuitRule = bbroute.CircuitRule{Fails: 3, Open: time.Second, Longest: 4 * time.Second, Probe: time.Second}
