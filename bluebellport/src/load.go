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

	"bluebellport.example/shared/bbhead"
	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// loadResponse is a target's response to GET /load.
type loadResponse struct {
	Running int32 `json:"running"`
	Waiting int32 `json:"waiting"`
	Slots   int32 `json:"slots"`
	Leaving bool  `json:"leaving"`
	// At is when the numbers were sampled, in milliseconds since the Unix epoch.
	At int64 `json:"at"`
}

// sampledAt returns the time of the report in milliseconds since the Unix epoch.
// This is the target's own time, so that an old sample is recognized. If that is
// missing, or more than maxLoadLag before polledAt, the target's clock cannot be
// trusted and it is polledAt. A time in the future is returned as it is, and the
// report is dropped later.
func (a *loadResponse) sampledAt(polledAt time.Time) int64 {
	if a.At < polledAt.Add(-maxLoadLag).UnixMilli() {
		return polledAt.UnixMilli()
	}
	return a.At
}

// loadFetcher reads the load of a target. It may block up to the deadline of ctx.
type loadFetcher interface {
	Load(ctx context.Context, t bbticket.Target) (*bbwire.Load, error)
}

// httpLoadFetcher reads it with GET /load.
type httpLoadFetcher struct {
	client fasthttp.Client
	now    func() time.Time
}

func newHTTPLoadFetcher(now func() time.Time) *httpLoadFetcher {
	return &httpLoadFetcher{now: now, client: fasthttp.Client{
		Dial:                bbhead.Dial,
		MaxConnsPerHost:     2,
		MaxResponseBodySize: maxLoadResponseBytes,
	}}
}

// Load reads the load of the target.
func (h *httpLoadFetcher) Load(ctx context.Context, t bbticket.Target) (*bbwire.Load, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/load")
	polledAt := h.now()
	deadline, _ := ctx.Deadline()
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("GET /load answered with status %d", resp.StatusCode())
	}
	var answer loadResponse
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return nil, errors.Trace(err)
	}
	return &bbwire.Load{
		Target: string(t.ID), Running: answer.Running, Waiting: answer.Waiting, Slots: answer.Slots,
		At: answer.sampledAt(polledAt), Leaving: answer.Leaving,
	}, nil
}

// loadPoller polls the load of the targets whose home is this instance, and
// shares the reports with the other instances of the failure domain.
type loadPoller struct {
	deps         Deps
	fetcher      loadFetcher
	observe      func(loads []*bbwire.Load)
	lastSharedAt time.Time // used only by the goroutine that calls pollOnce
	polled       metrics.Counter
	failed       metrics.Counter
}

func newLoadPoller(deps Deps, fetcher loadFetcher, observe func([]*bbwire.Load)) *loadPoller {
	l := &loadPoller{
		deps: deps, fetcher: fetcher, observe: observe,
		polled: metrics.GetOrRegisterCounter("load.asked", deps.Metrics),
		failed: metrics.GetOrRegisterCounter("load.failed", deps.Metrics),
	}
	if deps.Bus != nil {
		deps.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{}}}, l.handleLoads)
	}
	return l
}

// handleLoads applies reports collected by another instance.
func (l *loadPoller) handleLoads(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	l.observe(e.GetLoads().GetLoads())
	return nil
}

// pollOnce polls every target once, at most maxConcurrentLoadPolls at a time,
// applies the reports and shares them. It blocks up to the polling interval.
func (l *loadPoller) pollOnce(ctx context.Context, targets []bbticket.Target) {
	ctx, cancel := context.WithTimeout(ctx, l.deps.Opts.Route.LoadPollInterval)
	defer cancel()
	var mu sync.Mutex
	var loads []*bbwire.Load
	var wg conc.WaitGroup
	sem := make(chan struct{}, maxConcurrentLoadPolls)
	for _, t := range targets {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			l.polled.Inc(1)
			load, err := l.fetcher.Load(ctx, t)
			if err != nil {
				l.failed.Inc(1)
				l.deps.Log.WithError(err).WithField("target", t.ID).Debug("load poll failed")
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
	if now := l.deps.Now(); now.Sub(l.lastSharedAt) >= l.shareInterval() {
		l.lastSharedAt = now
		l.shareLoads(loads)
	}
}

// shareInterval returns how often reports are shared. It grows with the number
// of targets, so that each instance receives at most maxLoadBytesPerSecond.
func (l *loadPoller) shareInterval() time.Duration {
	n := 0
	for _, t := range l.deps.Board.State.Load().Targets {
		if !t.Object.Deleted && string(t.Object.Domain) == l.deps.Opts.Self.Domain {
			n++
		}
	}
	return time.Duration(float64(n*loadReportBytes) / maxLoadBytesPerSecond * float64(time.Second))
}

// shareLoads sends the reports to the other instances of the failure domain.
func (l *loadPoller) shareLoads(loads []*bbwire.Load) {
	if l.deps.Bus == nil {
		return
	}
	for _, m := range l.deps.Board.View.Load().Members {
		if string(m.Domain) != l.deps.Opts.Self.Domain || m.ID == l.deps.Opts.Self.ID() {
			continue
		}
		e := &bbwire.Envelope{Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{Loads: loads}}}
		if err := l.deps.Bus.Send(m.ID, e); err != nil {
			l.deps.Log.WithError(err).WithField("instance", m.ID).Debug("cannot send load reports")
		}
	}
}

// homeTargets returns the targets in this failure domain whose home is this
// instance.
func (l *loadPoller) homeTargets(t *bbroute.Table) []bbticket.Target {
	view := l.deps.Board.View.Load()
	domain := bbunit.DomainID(l.deps.Opts.Self.Domain)
	var out []bbticket.Target
	for _, g := range t.Groups() {
		for i := range g.Local {
			target := g.Local[i].Declared
			if home, ok := view.Home("load/"+string(target.ID), domain); ok && home.ID == l.deps.Opts.Self.ID() {
				out = append(out, target)
			}
		}
	}
	return out
}

// newLoadReport converts a message to a report.
func newLoadReport(m *bbwire.Load) bbroute.LoadReport {
	return bbroute.LoadReport{
		Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots),
		SampledAt: time.UnixMilli(m.At), Leaving: m.Leaving,
	}
}
