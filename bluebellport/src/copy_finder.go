package bbport

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"golang.org/x/time/rate"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

const (
	// copySearchTimeout bounds the search for copies of a request that is refused.
	copySearchTimeout = 300 * time.Millisecond
	// copySearchRate is how many searches an instance makes a second; beyond, a refused
	// request that its caller named is told unknown.
	copySearchRate = 50
	// maxSearchedDomains is the most failure domains that are asked.
	maxSearchedDomains = 8
)

// copyFinder searches for copies of a request before it is called not run: a copy
// that the caller sent earlier, or to another failure domain, may have run.
type copyFinder struct {
	parts Deps
	dedup *Deduplicator
	limit *rate.Limiter
}

func newCopyFinder(p Deps, d *Deduplicator) *copyFinder {
	f := &copyFinder{parts: p, dedup: d, limit: rate.NewLimiter(copySearchRate, copySearchRate)}
	if p.Bus != nil {
		p.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Seenask{}}, f.handleQuery)
	}
	return f
}

// outcome is what may be said of a request of which this copy did not run. A
// request that its caller did not name has no other copy. Otherwise not-run
// needs that this instance, the records and the homes in all failure domains
// know of no other copy; who may not know makes it unknown. The owner is this copy's
// own name in the records, if it has one.
func (f *copyFinder) outcome(ctx context.Context, c *clientRequest, owner string) bbunit.Outcome {
	if !c.clientNamed {
		return bbunit.OutcomeNotRun
	}
	if o, ok := f.dedup.PastOutcome(c.account.ID, c.id); ok {
		return o
	}
	others := f.remoteHomes(c)
	if len(others) > maxSearchedDomains || !f.limit.Allow() {
		return bbunit.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copySearchTimeout)
	defer cancel()
	p := pool.NewWithResults[bbunit.Outcome]()
	p.Go(func() bbunit.Outcome { return f.checkRecords(ctx, c, owner) })
	for _, m := range others {
		p.Go(func() bbunit.Outcome { return f.askHome(ctx, m, c) })
	}
	for _, o := range p.Wait() {
		if o != bbunit.OutcomeNotRun {
			return o
		}
	}
	return bbunit.OutcomeNotRun
}

// remoteHomes are the homes of the request in all failure domains but self.
func (f *copyFinder) remoteHomes(c *clientRequest) []bbmember.Member {
	v := f.parts.Board.View.Load()
	seen := map[bbunit.DomainID]bool{}
	var out []bbmember.Member
	for _, m := range v.Members {
		if seen[m.Domain] {
			continue
		}
		seen[m.Domain] = true
		if h, ok := RequestHome(v, c.account.ID, c.id, m.Domain); ok && h.ID != v.Self.ID {
			out = append(out, h)
		}
	}
	return out
}

// checkRecords asks the records.
func (f *copyFinder) checkRecords(ctx context.Context, c *clientRequest, owner string) bbunit.Outcome {
	list, err := bbjournal.ListRecords(ctx, f.parts.Store, bbjournal.Filter{Account: c.account.ID, Request: c.id})
	if err != nil {
		return bbunit.OutcomeUnknown
	}
	for _, r := range list {
		if r.Owner != owner {
			return bbunit.OutcomeUnknown
		}
	}
	return bbunit.OutcomeNotRun
}

// askHome asks the home of another failure domain.
func (f *copyFinder) askHome(ctx context.Context, m bbmember.Member, c *clientRequest) bbunit.Outcome {
	e, err := f.parts.Bus.Call(ctx, m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Seenask{
		Seenask: &bbwire.SeenAsk{Account: string(c.account.ID), Request: string(c.id)},
	}})
	if err != nil || e.GetSeentell() == nil {
		return bbunit.OutcomeUnknown
	}
	name := e.GetSeentell().GetOutcome()
	if name == "" {
		return bbunit.OutcomeNotRun
	}
	if o, err := bbunit.OutcomeString(name); err == nil && o == bbunit.OutcomeFailed {
		return o
	}
	return bbunit.OutcomeUnknown
}

// handleQuery answers the home of another failure domain.
func (f *copyFinder) handleQuery(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	a := e.GetSeenask()
	t := &bbwire.SeenTell{}
	if o, ok := f.dedup.KnownOutcome(bbunit.AccountID(a.GetAccount()), bbunit.RequestID(a.GetRequest())); ok {
		t.Outcome = o.String()
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Seentell{Seentell: t}}
}
