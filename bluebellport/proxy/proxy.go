package bbproxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"bluebellport.example/platform"
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
	tally   *tally
	start   time.Time
	closing atomic.Bool
	mu      sync.Mutex // guards callers
	callers map[*caller]bool
	open    sync.WaitGroup
}

// Serve runs the door until ctx ends, and then stops it without cutting a
// request. It counts what it does in the registry.
func Serve(ctx context.Context, set bbplatform.Settings, fleet Fleet, reg metrics.Registry, log logrus.FieldLogger) error {
	d := &Door{set: set, domain: set.Domain, board: &Board{}, log: log, tally: newTally(reg), start: time.Now(), callers: map[*caller]bool{}}
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
	d.money = newMoney(store, d.board, log, d.now, bbshare.NewHolderID(set.Instance, bbunit.InstanceID(set.Peers), newLife()))

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
		d.tellCut()
	}
}

// tellCut logs the requests that are still open at the end of the grace, up to
// cutTold of them.
func (d *Door) tellCut() {
	open := d.underWay()
	d.log.WithFields(logrus.Fields{"event": "cut", "open": len(open)}).Warn("requests still open at the end of the grace")
	for _, x := range open[:min(len(open), cutTold)] {
		f := logrus.Fields{"request": x.q.Attempt, "ms": time.Since(x.q.At).Milliseconds()}
		if s := x.at.Load(); s != nil {
			f["target"] = s.ID
		}
		d.log.WithFields(f).Warn("request cut")
	}
}

// underWay returns the open requests.
func (d *Door) underWay() []*exchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var open []*exchange
	for c := range d.callers {
		if x := c.under.Load(); x != nil {
			open = append(open, x)
		}
	}
	return open
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
