package bbport

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// loadAnswer is a target's answer to GET /load.
type loadAnswer struct {
	Running int32 `json:"running"`
	Waiting int32 `json:"waiting"`
	Slots   int32 `json:"slots"`
	Leaving bool  `json:"leaving"`
	// At is when the numbers were taken, in milliseconds since the epoch.
	At int64 `json:"at"`
}

// at returns when the report was made: by the target's word if that is near the
// time it was asked, so that a lag shows, and by that time if the target's clock
// is far behind or it tells none. A time in the future stands; the report is
// then dropped.
func (a *loadAnswer) at(asked time.Time) int64 {
	if a.At < asked.Add(-loadLagMost).UnixMilli() {
		return asked.UnixMilli()
	}
	return a.At
}

// prober asks a target for its load. It may block up to the context's deadline.
type prober interface {
	Load(ctx context.Context, t bbticket.Target) (*bbwire.Load, error)
}

// httpProber asks by GET /load.
type httpProber struct {
	client fasthttp.Client
	now    func() time.Time
}

func newHTTPProber(now func() time.Time) *httpProber {
	return &httpProber{now: now, client: fasthttp.Client{
		MaxConnsPerHost:     2,
		MaxResponseBodySize: loadBodyMost,
	}}
}

// Load asks the target for its load.
func (h *httpProber) Load(ctx context.Context, t bbticket.Target) (*bbwire.Load, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/load")
	at := h.now()
	deadline, _ := ctx.Deadline()
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode())
	}
	var a loadAnswer
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		return nil, errors.Trace(err)
	}
	return &bbwire.Load{
		Target: string(t.ID), Running: a.Running, Waiting: a.Waiting, Slots: a.Slots,
		At: a.at(at), Leaving: a.Leaving,
	}, nil
}

// loadPoller asks the targets that this instance is home to for their load, and
// tells the other instances of the failure domain.
type loadPoller struct {
	p       Parts
	probe   prober
	observe func(loads []*bbwire.Load)
	told    time.Time // of the goroutine that calls round
	asked   metrics.Counter
	failed  metrics.Counter
}

func newLoadPoller(p Parts, probe prober, observe func([]*bbwire.Load)) *loadPoller {
	l := &loadPoller{
		p: p, probe: probe, observe: observe,
		asked:  metrics.GetOrRegisterCounter("load.asked", p.Metrics),
		failed: metrics.GetOrRegisterCounter("load.failed", p.Metrics),
	}
	if p.Bus != nil {
		p.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{}}}, l.heard)
	}
	return l
}

// heard takes the reports that another instance collected.
func (l *loadPoller) heard(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	l.observe(e.GetLoads().GetLoads())
	return nil
}

// round asks each of the targets once, at most loadAtOnce at a time, takes the
// reports and passes them on. It blocks up to the polling interval.
func (l *loadPoller) round(ctx context.Context, targets []bbticket.Target) {
	ctx, cancel := context.WithTimeout(ctx, l.p.Opts.Route.LoadEvery)
	defer cancel()
	var mu sync.Mutex
	var loads []*bbwire.Load
	var wg conc.WaitGroup
	places := make(chan struct{}, loadAtOnce)
	for _, t := range targets {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			l.asked.Inc(1)
			load, err := l.probe.Load(ctx, t)
			if err != nil {
				l.failed.Inc(1)
				l.p.Log.WithError(err).WithField("target", t.ID).Debug("load not reported")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads = append(loads, load)
		})
	}
	wg.Wait()
	if len(loads) == 0 {
		return
	}
	l.observe(loads)
	if now := l.p.Now(); now.Sub(l.told) >= l.tellEvery() {
		l.told = now
		l.tell(loads)
	}
}

// tellEvery returns how often reports are passed on: more seldom where there
// are many targets, so that what an instance hears stays below loadRate.
func (l *loadPoller) tellEvery() time.Duration {
	n := 0
	for _, t := range l.p.Board.State.Load().Targets {
		if !t.Object.Deleted && string(t.Object.Domain) == l.p.Opts.Self.Domain {
			n++
		}
	}
	return time.Duration(float64(n*loadBytes) / loadRate * float64(time.Second))
}

// tell sends the reports to the other instances of the failure domain.
func (l *loadPoller) tell(loads []*bbwire.Load) {
	if l.p.Bus == nil {
		return
	}
	for _, m := range l.p.Board.View.Load().Members {
		if string(m.Domain) != l.p.Opts.Self.Domain || m.ID == l.p.Opts.Self.ID() {
			continue
		}
		e := &bbwire.Envelope{Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{Loads: loads}}}
		if err := l.p.Bus.Send(m.ID, e); err != nil {
			l.p.Log.WithError(err).WithField("instance", m.ID).Debug("loads not sent")
		}
	}
}

// mine returns the targets of the failure domain that this instance is home to.
func (l *loadPoller) mine(t *bbroute.Table) []bbticket.Target {
	view := l.p.Board.View.Load()
	domain := bbunit.DomainID(l.p.Opts.Self.Domain)
	var out []bbticket.Target
	for _, g := range t.Groups() {
		for i := range g.Local {
			decl := g.Local[i].Declared
			if home, ok := view.Home("load/"+string(decl.ID), domain); ok && home.ID == l.p.Opts.Self.ID() {
				out = append(out, decl)
			}
		}
	}
	return out
}

// report turns a message into a report.
func report(m *bbwire.Load) bbroute.LoadReport {
	return bbroute.LoadReport{
		Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots),
		SampledAt: time.UnixMilli(m.At), Leaving: m.Leaving,
	}
}
