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

// PeerNetwork is how an instance speaks with the others.
type PeerNetwork interface {
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
	View() *bbmember.View
	// UpdateList takes the platform's list of instances.
	UpdateList(list []bbmember.ListEntry)
}

// relay tells peers what the store says, so that an instance that has lost the
// store still follows.
type relay struct {
	peers          PeerNetwork
	follower       *follower
	askSlot        chan struct{} // holds one token while a peer is asked
	wantedRevision atomic.Int64  // newest revision of the plan that was heard of
	fetching       atomic.Bool
	// watcherSeenAt is when the watcher of this failure domain last told of the
	// store, in ns of the steady clock.
	watcherSeenAt atomic.Int64
}

func newRelay(peers PeerNetwork, f *follower) *relay {
	r := &relay{peers: peers, follower: f, askSlot: make(chan struct{}, 1)}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newsask{}}, r.handleNewsAsk)
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newstell{}}, r.handleNewsTell)
	f.onNewPlan, f.onTargetsRead, f.isWatcher = r.announcePlan, r.tellDomain, r.isWatcher
	return r
}

// isWatcher tells whether this instance watches the store: it is the first of its
// failure domain, or has not heard from one that watches. The second waits a
// little less for that than the third, and so on.
func (r *relay) isWatcher() bool {
	view := r.peers.View()
	rank := view.Rank(watchKey, view.Self.Domain, maxWatcherRanks)
	index := slices.IndexFunc(rank, func(m bbmember.Member) bool { return m.ID == view.Self.ID })
	if index < 0 {
		index = len(rank)
	}
	if index == 0 || view.Self.Leaving {
		return true
	}
	return r.follower.now().Sub(time.Unix(0, r.watcherSeenAt.Load())) > watcherSilence+time.Duration(index)*watcherSilenceStep
}

// watchKey ranks the instances of a failure domain for watching the store.
const watchKey = "watch"

// tellDomain tells the failure domain what the store has just told.
func (r *relay) tellDomain(changed []bbstore.Entry) {
	view := r.peers.View()
	tell := r.follower.digestNews()
	tell.Targets = toKept(changed)
	for _, m := range view.Members {
		if m.Domain == view.Self.Domain && m.ID != view.Self.ID {
			_ = r.peers.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell}})
		}
	}
}

// run tells one peer of the plan now and then, and asks one while the store is
// out of reach, until ctx ends.
func (r *relay) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		bbclock.Wait(ctx, relayInterval)
		peers := r.pickPeers(1)
		if len(peers) == 0 {
			continue
		}
		if r.follower.storeUnreachable() {
			r.askPeer(ctx, peers[0], true)
			continue
		}
		if round%2 == 0 {
			r.tellRevision(peers)
		}
	}
}

// announcePlan tells the failure domain and several other peers that a newer plan is
// in force.
func (r *relay) announcePlan() {
	r.tellDomain(nil)
	r.tellRevision(r.pickPeers(announcePeers))
}

func (r *relay) tellRevision(to []bbunit.InstanceID) {
	rev := r.follower.planRevision()
	if rev == 0 {
		return
	}
	for _, id := range to {
		_ = r.peers.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{Revision: int64(rev)}}})
	}
}

// handleNewsAsk tells a peer what it lacks.
func (r *relay) handleNewsAsk(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	ask := e.GetNewsask()
	return &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: r.follower.newsSince(bbstore.Revision(ask.Revision), ask.Targets)}}
}

// handleNewsTell takes what a peer tells unasked. A newer plan is had from the peer, or
// else from the store: at once when the peer watches, else if the store's own word
// does not come first.
func (r *relay) handleNewsTell(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	tell := e.GetNewstell()
	wait := relayTimeout
	if tell.Watch {
		wait = 0
		r.watcherSeenAt.Store(r.follower.now().UnixNano())
		r.follower.applyNews(tell)
		if tell.Digest != r.follower.digestNews().Digest {
			go r.askPeer(context.Background(), from, true)
		}
	}
	if bbstore.Revision(tell.Revision) > r.follower.planRevision() {
		r.raiseWanted(bbstore.Revision(tell.Revision))
		go r.fetchPlan(from, wait)
	}
	return nil
}

// raiseWanted notes the newest revision of the plan that was heard of.
func (r *relay) raiseWanted(rev bbstore.Revision) {
	for {
		old := r.wantedRevision.Load()
		if int64(rev) <= old || r.wantedRevision.CompareAndSwap(old, int64(rev)) {
			return
		}
	}
}

// fetchPlan gets the newest plan that was heard of; one at a time does.
func (r *relay) fetchPlan(from bbunit.InstanceID, wait time.Duration) {
	ctx := context.Background()
	bbclock.Wait(ctx, wait)
	if !r.fetching.CompareAndSwap(false, true) {
		return
	}
	defer r.fetching.Store(false)
	for range maxPlanFetches {
		if int64(r.follower.planRevision()) >= r.wantedRevision.Load() {
			return
		}
		before := r.follower.planRevision()
		if r.askPeer(ctx, from, false); r.follower.planRevision() == before {
			r.follower.readPlan(ctx)
		}
	}
}

// askPeer takes what a peer knows; only one is asked at a time.
func (r *relay) askPeer(ctx context.Context, peer bbunit.InstanceID, targets bool) {
	select {
	case r.askSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-r.askSlot }()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	ask := &bbwire.NewsAsk{Revision: int64(r.follower.planRevision()), Targets: targets}
	reply, err := r.peers.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Newsask{Newsask: ask}})
	if err != nil || reply.GetNewstell() == nil {
		return
	}
	r.follower.applyNews(reply.GetNewstell())
}

// pickPeers returns up to n other instances at random.
func (r *relay) pickPeers(n int) []bbunit.InstanceID { return randomPeers(r.peers.View(), n) }

func randomPeers(view *bbmember.View, n int) []bbunit.InstanceID {
	var out []bbunit.InstanceID
	for _, i := range rand.Perm(len(view.Members)) {
		if m := view.Members[i]; m.ID != view.Self.ID && len(out) < n {
			out = append(out, m.ID)
		}
	}
	return out
}

// storeUnreachable tells that the store has been out of reach of late.
func (f *follower) storeUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shared.Plan.Load() == nil || f.shared.Services.Load() == nil || !f.lastErrorAt.IsZero() && f.now().Sub(f.lastErrorAt) < storeErrorWindow
}

func (f *follower) planRevision() bbstore.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planEntry.Rev
}

// newsSince returns what a peer with that plan lacks.
func (f *follower) newsSince(have bbstore.Revision, targets bool) *bbwire.NewsTell {
	f.mu.Lock()
	defer f.mu.Unlock()
	tell := &bbwire.NewsTell{Revision: int64(f.planEntry.Rev)}
	if f.planEntry.Rev > have {
		tell.Plan = f.compressedPlan
	}
	if targets {
		all := make([]bbstore.Entry, 0, len(f.entries))
		for _, e := range f.entries {
			all = append(all, e)
		}
		tell.Targets = toKept(all)
	}
	return tell
}

// digestNews returns what tells whether another instance knows the same.
func (f *follower) digestNews() *bbwire.NewsTell {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &bbwire.NewsTell{Revision: int64(f.planEntry.Rev), Digest: f.targets.Digest(), Watch: true}
}

func toKept(entries []bbstore.Entry) []*bbwire.Kept {
	out := make([]*bbwire.Kept, len(entries))
	for i, e := range entries {
		out[i] = &bbwire.Kept{Key: e.Key, Value: e.Value, Revision: int64(e.Rev), Gone: e.Value == nil}
	}
	return out
}

// applyNews takes what a peer knows.
func (f *follower) applyNews(tell *bbwire.NewsTell) {
	if len(tell.Plan) > 0 {
		plan, err := decompressPlan(tell.Plan)
		if err != nil {
			f.log.WithError(err).Warn("plan of a peer not readable")
			return
		}
		f.applyPlan(bbstore.Entry{Value: plan, Rev: bbstore.Revision(tell.Revision)})
	}
	if len(tell.Targets) == 0 {
		return
	}
	events := make([]bbstore.Event, 0, len(tell.Targets))
	for _, k := range tell.Targets {
		e := bbstore.Event{Entry: bbstore.Entry{Key: k.Key, Rev: bbstore.Revision(k.Revision)}}
		if !k.Gone {
			e.Value = append([]byte{}, k.Value...)
		}
		events = append(events, e)
	}
	f.applyEvents(events)
}
