package bbport

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/stop"
	"bluebellport.example/shared/bbunit"
)

// stopTimes returns the times of a stop that begins now. The end of the drain time
// is kept for shares and records, which are handed back once the requests have
// ended.
func (o *FrontendOptions) stopTimes(now time.Time) *bbstop.Times {
	times := bbstop.NewTimes(now, o.DrainTimeout)
	times.End = now.Add(o.DrainTimeout - min(handBackPeriod, o.DrainTimeout/handBackDivisor))
	times.AcceptUntil = now.Add(min(o.LingerTime, times.End.Sub(now)))
	if times.IntakeEnd.After(times.AcceptUntil) {
		times.IntakeEnd = times.AcceptUntil
	}
	times.UncertainUntil = times.IntakeEnd
	return times
}

// stopGate refuses requests that may not end before the instance stops, and ends
// those that are still open then. The zero value is that of an instance that is not
// stopping.
type stopGate struct {
	stop      bbstop.Stop
	durations sync.Map // bbunit.ServiceID -> *bbstop.Durations

	mu   sync.Mutex // guards open
	open map[*openRun]bool
}

// openRun is a request that runs.
type openRun struct {
	service   bbunit.ServiceID
	startedAt time.Time
	end       context.CancelCauseFunc
}

// add adds a request that begins to run; end ends its context.
func (g *stopGate) add(service bbunit.ServiceID, now time.Time, end context.CancelCauseFunc) *openRun {
	run := &openRun{service: service, startedAt: now, end: end}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = map[*openRun]bool{}
	}
	g.open[run] = true
	if g.stop.Ended() {
		end(errStopped)
	}
	return run
}

// remove removes a request that has ended. Its time is kept if it was answered or
// its time was over.
func (g *stopGate) remove(run *openRun, now time.Time, tells bool) {
	g.mu.Lock()
	delete(g.open, run)
	g.mu.Unlock()
	if tells {
		g.durationsOf(run.service).Record(now, now.Sub(run.startedAt), 0, 0)
	}
}

func (g *stopGate) durationsOf(service bbunit.ServiceID) *bbstop.Durations {
	if d, ok := g.durations.Load(service); ok {
		return d.(*bbstop.Durations)
	}
	d, _ := g.durations.LoadOrStore(service, &bbstop.Durations{})
	return d.(*bbstop.Durations)
}

// check returns errDraining for a request that may not end before the stop. run is
// nil if it does not run yet.
func (g *stopGate) check(service bbunit.ServiceID, deadline, now time.Time, run *openRun) error {
	times := g.stop.Times()
	if times == nil {
		return nil
	}
	receivedAt := now
	if run != nil {
		receivedAt = run.startedAt
	}
	decision := times.Decide(now, &bbstop.Request{
		ReceivedAt: receivedAt, Limit: deadline, Durations: g.durationsOf(service),
		Open: func() []bbstop.Open { return g.openOf(service, now, run) },
	})
	if decision.Take {
		return nil
	}
	return errors.WithType(errors.Errorf("%s: %s left, expected to take %s", decision.Reason, decision.Left, decision.Expected), errDraining)
}

// openOf returns the other open requests to a service.
func (g *stopGate) openOf(service bbunit.ServiceID, now time.Time, without *openRun) []bbstop.Open {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []bbstop.Open
	for run := range g.open {
		if run.service == service && run != without {
			out = append(out, bbstop.Open{Age: now.Sub(run.startedAt)})
		}
	}
	return out
}

// isEmpty reports whether no request runs.
func (g *stopGate) isEmpty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open) == 0
}

// endAll ends the requests that are still open, and those that begin later. It
// returns how many there were.
func (g *stopGate) endAll() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop.SetEnded()
	for run := range g.open {
		run.end(errStopped)
	}
	return len(g.open)
}
