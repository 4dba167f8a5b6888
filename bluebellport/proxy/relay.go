package bbproxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Fleet is how an instance speaks with the others.
type Fleet interface {
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
	View() *bbmember.View
	// Listed takes the platform's list of instances.
	Listed(list []bbmember.ListEntry)
}

// relay tells peers what the store says, so that an instance that has lost the
// store still follows.
type relay struct {
	fleet    Fleet
	follow   *follower
	asking   chan struct{} // holds one token while a peer is asked
	wanted   atomic.Int64  // newest revision of the plan that was heard of
	fetching atomic.Bool
	// watched is when the watcher of this failure domain last told of the
	// store, in ns of the steady clock.
	watched atomic.Int64
}

func newRelay(fleet Fleet, f *follower) *relay {
	r := &relay{fleet: fleet, follow: f, asking: make(chan struct{}, 1)}
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newsask{}}, r.answer)
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newstell{}}, r.heard)
	f.fresh, f.heard, f.duty = r.announce, r.share, r.duty
	return r
}

// duty tells whether this instance watches the store: it is the first of its
// failure domain, or has not heard from one that watches. The second waits a
// little less for that than the third, and so on.
func (r *relay) duty() bool {
	v := r.fleet.View()
	rank := v.Rank(watchKey, v.Self.Domain, dutyRanks)
	at := slices.IndexFunc(rank, func(m bbmember.Member) bool { return m.ID == v.Self.ID })
	if at < 0 {
		at = len(rank)
	}
	if at == 0 || v.Self.Leaving {
		return true
	}
	return r.follow.now().Sub(time.Unix(0, r.watched.Load())) > dutySilence+time.Duration(at)*dutyStep
}

// watchKey ranks the instances of a failure domain for watching the store.
const watchKey = "watch"

// share tells the failure domain what the store has just told.
func (r *relay) share(changed []bbstore.Entry) {
	v := r.fleet.View()
	t := r.follow.digest()
	t.Targets = keep(changed)
	for _, m := range v.Members {
		if m.Domain == v.Self.Domain && m.ID != v.Self.ID {
			_ = r.fleet.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: t}})
		}
	}
}

// run tells one peer of the plan now and then, and asks one while the store is
// out of reach, until ctx ends.
func (r *relay) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		bbclock.Wait(ctx, relayEvery)
		peers := r.peers(1)
		if len(peers) == 0 {
			continue
		}
		if r.follow.cut() {
			r.ask(ctx, peers[0], true)
			continue
		}
		if round%2 == 0 {
			r.tell(peers)
		}
	}
}

// announce tells the failure domain and several other peers that a newer plan is
// in force.
func (r *relay) announce() {
	r.share(nil)
	r.tell(r.peers(relayFan))
}

func (r *relay) tell(to []bbunit.InstanceID) {
	rev := r.follow.planRevision()
	if rev == 0 {
		return
	}
	for _, id := range to {
		_ = r.fleet.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{Revision: int64(rev)}}})
	}
}

// answer tells a peer what it lacks.
func (r *relay) answer(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	q := e.GetNewsask()
	return &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: r.follow.news(bbstore.Revision(q.Revision), q.Targets)}}
}

// heard takes what a peer tells unasked. A newer plan is had from the peer, or
// else from the store: at once when the peer watches, else if the store's own word
// does not come first.
func (r *relay) heard(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	t := e.GetNewstell()
	wait := relayWait
	if t.Watch {
		wait = 0
		r.watched.Store(r.follow.now().UnixNano())
		r.follow.takeNews(t)
		if t.Digest != r.follow.digest().Digest {
			go r.ask(context.Background(), from, true)
		}
	}
	if bbstore.Revision(t.Revision) > r.follow.planRevision() {
		r.want(bbstore.Revision(t.Revision))
		go r.fetch(from, wait)
	}
	return nil
}

// want notes the newest revision of the plan that was heard of.
func (r *relay) want(rev bbstore.Revision) {
	for {
		old := r.wanted.Load()
		if int64(rev) <= old || r.wanted.CompareAndSwap(old, int64(rev)) {
			return
		}
	}
}

// fetch gets the newest plan that was heard of; one at a time does.
func (r *relay) fetch(from bbunit.InstanceID, wait time.Duration) {
	ctx := context.Background()
	bbclock.Wait(ctx, wait)
	if !r.fetching.CompareAndSwap(false, true) {
		return
	}
	defer r.fetching.Store(false)
	for range fetchTries {
		if int64(r.follow.planRevision()) >= r.wanted.Load() {
			return
		}
		before := r.follow.planRevision()
		if r.ask(ctx, from, false); r.follow.planRevision() == before {
			r.follow.readPlan(ctx)
		}
	}
}

// ask takes what a peer knows; only one is asked at a time.
func (r *relay) ask(ctx context.Context, peer bbunit.InstanceID, targets bool) {
	select {
	case r.asking <- struct{}{}:
	default:
		return
	}
	defer func() { <-r.asking }()
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	q := &bbwire.NewsAsk{Revision: int64(r.follow.planRevision()), Targets: targets}
	a, err := r.fleet.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Newsask{Newsask: q}})
	if err != nil || a.GetNewstell() == nil {
		return
	}
	r.follow.takeNews(a.GetNewstell())
}

// peers returns up to n other instances at random.
func (r *relay) peers(n int) []bbunit.InstanceID { return peersOf(r.fleet.View(), n) }

func peersOf(v *bbmember.View, n int) []bbunit.InstanceID {
	var out []bbunit.InstanceID
	for _, i := range rand.Perm(len(v.Members)) {
		if m := v.Members[i]; m.ID != v.Self.ID && len(out) < n {
			out = append(out, m.ID)
		}
	}
	return out
}

// cut tells that the store has been out of reach of late.
func (f *follower) cut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.board.Plan.Load() == nil || f.board.Groups.Load() == nil || !f.troubleAt.IsZero() && f.now().Sub(f.troubleAt) < cutTime
}

func (f *follower) planRevision() bbstore.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.Rev
}

// news returns what a peer with that plan lacks.
func (f *follower) news(have bbstore.Revision, targets bool) *bbwire.NewsTell {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &bbwire.NewsTell{Revision: int64(f.plan.Rev)}
	if f.plan.Rev > have {
		t.Plan = f.packed
	}
	if targets {
		all := make([]bbstore.Entry, 0, len(f.entries))
		for _, e := range f.entries {
			all = append(all, e)
		}
		t.Targets = keep(all)
	}
	return t
}

// digest returns what tells whether another instance knows the same.
func (f *follower) digest() *bbwire.NewsTell {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &bbwire.NewsTell{Revision: int64(f.plan.Rev), Digest: f.roster.Digest(), Watch: true}
}

func keep(entries []bbstore.Entry) []*bbwire.Kept {
	out := make([]*bbwire.Kept, len(entries))
	for i, e := range entries {
		out[i] = &bbwire.Kept{Key: e.Key, Value: e.Value, Revision: int64(e.Rev), Gone: e.Value == nil}
	}
	return out
}

// takeNews takes what a peer knows.
func (f *follower) takeNews(t *bbwire.NewsTell) {
	if len(t.Plan) > 0 {
		plan, err := unpack(t.Plan)
		if err != nil {
			f.log.WithError(err).Warn("plan of a peer not readable")
			return
		}
		f.takePlan(bbstore.Entry{Value: plan, Rev: bbstore.Revision(t.Revision)})
	}
	if len(t.Targets) == 0 {
		return
	}
	events := make([]bbstore.Event, 0, len(t.Targets))
	for _, k := range t.Targets {
		e := bbstore.Event{Entry: bbstore.Entry{Key: k.Key, Rev: bbstore.Revision(k.Revision)}}
		if !k.Gone {
			e.Value = append([]byte{}, k.Value...)
		}
		events = append(events, e)
	}
	f.takeEvents(events)
}
