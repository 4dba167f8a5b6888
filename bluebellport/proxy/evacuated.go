package bbproxy

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/evacuate"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// newEvacuations returns a keeper that publishes on a board which failure domains are
// evacuated.
func newEvacuations(board *Board, log logrus.FieldLogger, registry metrics.Registry) *bbevacuate.Keeper {
	return bbevacuate.New(bbevacuate.Config{Publish: board.publishEvacuated, Log: log, Metrics: registry})
}

// publishEvacuated replaces the failure domains whose targets get no requests. The targets
// of those that are no longer evacuated are reported before they are used.
func (b *Board) publishEvacuated(evacuated map[bbunit.DomainID]bool) {
	var returned []bbplan.TargetRun
	b.forEachTarget(func(t *Target) {
		if b.isEvacuated(t.Domain) && !evacuated[t.Domain] {
			returned = append(returned, t.Run())
		}
	})
	if len(returned) > 0 && b.onReturned != nil {
		b.onReturned(returned)
	}
	b.Evacuated.Store(&evacuated)
}

// isEvacuated reports whether a failure domain is known to be evacuated.
func (b *Board) isEvacuated(domain bbunit.DomainID) bool {
	evacuated := b.Evacuated.Load()
	return evacuated != nil && len(*evacuated) > 0 && (*evacuated)[domain]
}

// anyEvacuated reports whether any failure domain is known to be evacuated.
func (b *Board) anyEvacuated() bool {
	evacuated := b.Evacuated.Load()
	return evacuated != nil && len(*evacuated) > 0
}

// refuseEvacuated returns the refusal of a request all of whose targets leave or are
// evacuated, nil if none is evacuated.
func (x *exchange) refuseEvacuated(service *ServiceTargets, request *bbplace.Request) *Refusal {
	evacuated, domains := 0, map[bbunit.DomainID]bool{}
	for _, target := range service.Candidates {
		if request.HasVersion(target) && !target.Leaving && x.proxy.board.isEvacuated(target.Domain) {
			evacuated++
			domains[target.Domain] = true
		}
	}
	if evacuated == 0 {
		return nil
	}
	refusal := refuseNotRun("no target of the service is left outside evacuated failure domains", evacuatedRetryAfter)
	refusal.LogFields = logrus.Fields{"service": x.service, "evacuated": evacuated, "targets": len(service.Candidates), "domains": len(domains)}
	return refusal
}

// pollStart returns the revision from which a poll for plans misses no evacuation
// either, as far as that costs no plan a second time, 0 if the plan has to be read again.
func (f *follower) pollStart() bbstore.Revision {
	plan, evacuations := bbstore.Revision(f.planCurrent.Load()), f.evacuations.Current()
	if evacuations < plan && evacuations.Era() == plan.Era() && f.seenRevision() <= evacuations {
		return evacuations
	}
	return plan
}

// catchUp returns the revision from which to poll for plans newer than those as of a
// revision. If evacuations until then may be unknown, it polls from further back, or
// lists them where that would bring a plan that is known.
func (f *follower) catchUp(ctx context.Context, from bbstore.Revision) (bbstore.Revision, error) {
	evacuations := f.evacuations.Current()
	switch {
	case evacuations >= from:
		return from, nil
	case evacuations != 0 && evacuations.Era() == from.Era() && f.seenRevision() <= evacuations:
		return evacuations, nil
	}
	return from, f.listEvacuations(ctx)
}

// listEvacuations reads all evacuations from the store.
func (f *follower) listEvacuations(ctx context.Context) error {
	entries, rev, err := f.store.List(ctx, bbplatform.PrefixEvacuations)
	if err != nil {
		return err
	}
	f.evacuationsRead(f.evacuations.ApplyList(f.toStatements(entries), rev))
	return nil
}

// learnEvacuations lists the evacuations where peers have not told them for a time:
// those of an older build don't know them.
func (f *follower) learnEvacuations(ctx context.Context) {
	if f.evacuations.Known() || f.now().Sub(f.evacuationsAskedAt) < evacuationPatience {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationPatience)
	defer cancel()
	if err := f.listEvacuations(ctx); err != nil {
		f.log.WithError(err).WithField("event", "evacuations-unknown").Info("evacuations not read from the store")
	}
	f.evacuationsAskedAt = f.now()
}

// applyEvacuations applies the evacuations among the changes that a poll has brought.
func (f *follower) applyEvacuations(from bbstore.Revision, events []bbstore.Event, rev bbstore.Revision) {
	var entries []bbstore.Entry
	for _, e := range events {
		if bbplatform.IsEvacuation(e.Key) {
			entries = append(entries, e.Entry)
		}
	}
	f.evacuationsRead(f.evacuations.ApplyPoll(from, f.toStatements(entries), rev))
}

// evacuationsRead passes on what the store has returned, if it was new.
func (f *follower) evacuationsRead(changed []bbevacuate.Statement) {
	if len(changed) > 0 {
		f.onEvacuations(changed)
	}
}

// hearEvacuations applies the evacuations that a peer tells. It returns what was new, and
// whether the peer knows others.
func (f *follower) hearEvacuations(tell *bbwire.NewsTell) (changed []bbevacuate.Statement, differs bool) {
	if len(tell.Evacuations) == 0 && tell.EvacuationsCurrent == 0 {
		return nil, false
	}
	entries := make([]bbstore.Entry, 0, len(tell.Evacuations))
	for _, k := range tell.Evacuations {
		e := bbstore.Entry{Key: k.GetKey(), Rev: bbstore.Revision(k.GetRevision())}
		if !k.GetGone() {
			e.Value = []byte(bbplatform.EvacuationValue)
		}
		entries = append(entries, e)
	}
	return f.evacuations.Hear(bbevacuate.News{
		Statements: f.toStatements(entries), Digest: tell.EvacuationsDigest, Current: bbstore.Revision(tell.EvacuationsCurrent),
	})
}

// toStatements decodes entries of evacuations. Those that name no failure domain are
// left out.
func (f *follower) toStatements(entries []bbstore.Entry) []bbevacuate.Statement {
	statements := make([]bbevacuate.Statement, 0, len(entries))
	for _, e := range entries {
		domain, err := bbplatform.ParseEvacuation(e.Key)
		if err != nil {
			f.evacuations.Reject(e.Key, e.Rev, err)
			continue
		}
		statements = append(statements, bbevacuate.Statement{Domain: domain, Rev: e.Rev, Gone: e.Value == nil})
	}
	return statements
}

// evacuationsToKept converts evacuations to their form in messages.
func evacuationsToKept(statements []bbevacuate.Statement) []*bbwire.Kept {
	out := make([]*bbwire.Kept, len(statements))
	for i, s := range statements {
		out[i] = &bbwire.Kept{Key: bbplatform.EvacuationKey(s.Domain), Revision: int64(s.Rev), Gone: s.Gone}
		if !s.Gone {
			out[i].Value = []byte(bbplatform.EvacuationValue)
		}
	}
	return out
}

// addEvacuations adds to a message by what a peer sees whether it knows the same
// evacuations, and if asked for all that are known here.
func (f *follower) addEvacuations(tell *bbwire.NewsTell, all bool) {
	news := f.evacuations.News()
	tell.EvacuationsDigest, tell.EvacuationsCurrent = news.Digest, int64(news.Current)
	if all {
		tell.Evacuations = evacuationsToKept(news.Statements)
	}
}

// tellEvacuations sends evacuations that the store has just returned to the peers of this
// failure domain, and to some of each other one.
func (r *relay) tellEvacuations(changed []bbevacuate.Statement) {
	view, tell := r.peers.View(), &bbwire.NewsTell{Evacuations: evacuationsToKept(changed)}
	r.send(append(membersOf(view, view.Self.Domain), someOfOtherDomains(view)...), tell)
}

// hearEvacuations applies the evacuations that a peer tells. What a peer of another
// failure domain tells and is new here goes to this one. It reports whether the peer has
// to be asked, as it knows others.
func (r *relay) hearEvacuations(from bbunit.InstanceID, tell *bbwire.NewsTell) (differs bool) {
	changed, differs := r.follower.hearEvacuations(tell)
	view := r.peers.View()
	sender, known := view.Find(from)
	if len(changed) > 0 && known && sender.Domain != view.Self.Domain {
		r.send(membersOf(view, view.Self.Domain), &bbwire.NewsTell{Evacuations: evacuationsToKept(changed)})
	}
	return differs
}

// evacuationPatience is how long an instance waits for peers to tell it the evacuations
// before it lists them itself, and the longest that it waits for the list.
const evacuationPatience = time.Second
