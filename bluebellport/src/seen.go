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
	// seenTimeout bounds the search for copies of a request that is refused.
	seenTimeout = 300 * time.Millisecond
	// seenRate is how many searches an instance makes a second; beyond, a refused
	// request that its caller named is told unknown.
	seenRate = 50
	// seenDomains is the most failure domains that are asked.
	seenDomains = 8
)

// finder searches for copies of a request before it is called not run: a copy
// that the caller sent earlier, or to another failure domain, may have run.
type finder struct {
	parts Parts
	dups  *Dups
	limit *rate.Limiter
}

func newFinder(p Parts, d *Dups) *finder {
	f := &finder{parts: p, dups: d, limit: rate.NewLimiter(seenRate, seenRate)}
	if p.Bus != nil {
		p.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Seenask{}}, f.tell)
	}
	return f
}

// outcome is what may be said of a request of which this copy did not run. A
// request that its caller did not name has no other copy. Otherwise not-run
// needs that this instance, the records and the homes in all failure domains
// know of no other copy; who may not know makes it unknown. The owner is this copy's
// own name in the records, if it has one.
func (f *finder) outcome(ctx context.Context, c *call, owner string) bbunit.Outcome {
	if !c.keyed {
		return bbunit.OutcomeNotRun
	}
	if o, ok := f.dups.Ran(c.account.ID, c.id); ok {
		return o
	}
	others := f.others(c)
	if len(others) > seenDomains || !f.limit.Allow() {
		return bbunit.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), seenTimeout)
	defer cancel()
	p := pool.NewWithResults[bbunit.Outcome]()
	p.Go(func() bbunit.Outcome { return f.recorded(ctx, c, owner) })
	for _, m := range others {
		p.Go(func() bbunit.Outcome { return f.ask(ctx, m, c) })
	}
	for _, o := range p.Wait() {
		if o != bbunit.OutcomeNotRun {
			return o
		}
	}
	return bbunit.OutcomeNotRun
}

// others are the homes of the request in all failure domains but self.
func (f *finder) others(c *call) []bbmember.Member {
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

// recorded asks the records.
func (f *finder) recorded(ctx context.Context, c *call, owner string) bbunit.Outcome {
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

// ask asks the home of another failure domain.
func (f *finder) ask(ctx context.Context, m bbmember.Member, c *call) bbunit.Outcome {
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

// tell answers the home of another failure domain.
func (f *finder) tell(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	a := e.GetSeenask()
	t := &bbwire.SeenTell{}
	if o, ok := f.dups.Seen(bbunit.AccountID(a.GetAccount()), bbunit.RequestID(a.GetRequest())); ok {
		t.Outcome = o.String()
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Seentell{Seentell: t}}
}
