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
	// copySearchTimeout bounds the search for other copies of a refused
	// request.
	copySearchTimeout = 300 * time.Millisecond
	// copySearchRate bounds the searches per second of an instance. Beyond it,
	// the outcome of a refused request with a client-chosen id is reported as
	// unknown.
	copySearchRate = 50
	// maxSearchedDomains bounds the failure domains that are searched. If there
	// are more, the outcome is reported as unknown without a search.
	maxSearchedDomains = 8
)

// copyFinder searches for other copies of a request before it is reported as
// not run: a copy that the caller sent earlier, or to another failure domain,
// may have run.
type copyFinder struct {
	deps  Deps
	dedup *Deduplicator
	limit *rate.Limiter
}

func newCopyFinder(deps Deps, dedup *Deduplicator) *copyFinder {
	f := &copyFinder{deps: deps, dedup: dedup, limit: rate.NewLimiter(copySearchRate, copySearchRate)}
	if deps.Bus != nil {
		deps.Bus.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Seenask{}}, f.handleQuery)
	}
	return f
}

// outcome returns the outcome to report for a request whose copy here did not
// run. A request whose id the caller did not choose has no other copy. For
// others, not-run requires that neither this instance nor the stored records
// nor the homes in all failure domains know of another copy; if one of them
// cannot be queried, the outcome is unknown. owner is this copy's owner id in the
// records, or empty.
func (f *copyFinder) outcome(ctx context.Context, req *clientRequest, owner string) bbunit.Outcome {
	if !req.clientChosenID {
		return bbunit.OutcomeNotRun
	}
	if outcome, ok := f.dedup.PastOutcome(req.account.ID, req.id); ok {
		return outcome
	}
	others := f.remoteHomes(req)
	if len(others) > maxSearchedDomains || !f.limit.Allow() {
		return bbunit.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copySearchTimeout)
	defer cancel()
	searches := pool.NewWithResults[bbunit.Outcome]()
	searches.Go(func() bbunit.Outcome { return f.checkRecords(ctx, req, owner) })
	for _, m := range others {
		searches.Go(func() bbunit.Outcome { return f.askHome(ctx, m, req) })
	}
	for _, outcome := range searches.Wait() {
		if outcome != bbunit.OutcomeNotRun {
			return outcome
		}
	}
	return bbunit.OutcomeNotRun
}

// remoteHomes returns the request's homes in all failure domains, without this
// instance.
func (f *copyFinder) remoteHomes(req *clientRequest) []bbmember.Member {
	view := f.deps.Board.View.Load()
	seen := map[bbunit.DomainID]bool{}
	var out []bbmember.Member
	for _, m := range view.Members {
		if seen[m.Domain] {
			continue
		}
		seen[m.Domain] = true
		if home, ok := RequestHome(view, req.account.ID, req.id, m.Domain); ok && home.ID != view.Self.ID {
			out = append(out, home)
		}
	}
	return out
}

// checkRecords searches the stored records for another owner's record of the
// request.
func (f *copyFinder) checkRecords(ctx context.Context, req *clientRequest, owner string) bbunit.Outcome {
	list, err := bbjournal.ListRecords(ctx, f.deps.Store, bbjournal.Filter{Account: req.account.ID, Request: req.id})
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

// askHome asks a home of the request, on another instance, about the copies that
// ran there.
func (f *copyFinder) askHome(ctx context.Context, home bbmember.Member, req *clientRequest) bbunit.Outcome {
	reply, err := f.deps.Bus.Call(ctx, home.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Seenask{
		Seenask: &bbwire.SeenAsk{Account: string(req.account.ID), Request: string(req.id)},
	}})
	if err != nil || reply.GetSeentell() == nil {
		return bbunit.OutcomeUnknown
	}
	name := reply.GetSeentell().GetOutcome()
	if name == "" {
		return bbunit.OutcomeNotRun
	}
	if outcome, err := bbunit.OutcomeString(name); err == nil && outcome == bbunit.OutcomeFailed {
		return outcome
	}
	return bbunit.OutcomeUnknown
}

// handleQuery answers another instance about copies that ran here.
func (f *copyFinder) handleQuery(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	ask := e.GetSeenask()
	tell := &bbwire.SeenTell{}
	if outcome, ok := f.dedup.KnownOutcome(bbunit.AccountID(ask.GetAccount()), bbunit.RequestID(ask.GetRequest())); ok {
		tell.Outcome = outcome.String()
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Seentell{Seentell: tell}}
}
