package bbproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/spread"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// PeerNetwork sends messages between this instance and its peers.
type PeerNetwork interface {
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
	View() *bbmember.View
	// OpenStream opens a stream of a kind to an instance, HandleStream sets the function
	// that serves such streams.
	OpenStream(ctx context.Context, to bbunit.InstanceID, kind string) (net.Conn, error)
	HandleStream(kind string, fn func(from bbunit.InstanceID, conn net.Conn))
	// UpdateList passes on the instances that the platform's store lists.
	UpdateList(list []bbmember.ListEntry)
}

// relay passes the news of targets and plans between peers, so that an instance
// that can't reach the store stays up to date. A spreader brings the plans.
type relay struct {
	peers    PeerNetwork
	follower *follower
	spreader *bbspread.Spreader
	askSlot  chan struct{} // holds one token while a peer is being asked
	// watcherSeenAt is when a watcher of this failure domain last sent news, in ns
	// of the monotonic clock.
	watcherSeenAt atomic.Int64
}

// newSpreader returns a spreader that brings plans to a follower and stops its watch of
// the store where peers are faster. Calls to the store end with ctx.
func newSpreader(ctx context.Context, f *follower, peers PeerNetwork, linkRate float64, registry metrics.Registry) *bbspread.Spreader {
	return bbspread.New(bbspread.Config{
		Network: peers, Now: f.now, Apply: f.applyVersion, Seen: f.seenRevision, Heard: func(rev bbstore.Revision) { f.onPlanHeard(rev) }, Read: func() { _, _ = f.readPlan(ctx) },
		StopWatch: f.stopPlanWatch, LinkRate: linkRate, Log: f.log, Metrics: registry,
	})
}

// newRelay returns a relay that takes messages, also for the spreader.
func newRelay(peers PeerNetwork, f *follower, spreader *bbspread.Spreader) *relay {
	r := &relay{peers: peers, follower: f, spreader: spreader, askSlot: make(chan struct{}, 1)}
	f.onPlan, f.onPlanHeard, f.onTargetsRead, f.onEvacuations, f.isWatcher = r.holdPlan, r.hearPlan, r.tellDomain, r.tellEvacuations, r.isWatcher
	f.watchRank = func() int { return r.watchRank(peers.View()) }
	f.watchTurn, f.onConfirmed = r.watchTurn, r.tellWatchers
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newsask{}}, r.handleNewsAsk)
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Newstell{}}, r.handleNewsTell)
	spreader.Listen()
	return r
}

// isWatcher reports whether this instance watches the store: it ranks first in
// its failure domain, where fast links rank before slow ones, it is leaving, or the
// watcher has been silent. The second instance in rank takes over a little sooner than
// the third, and so on.
func (r *relay) isWatcher() bool {
	view := r.peers.View()
	rank := r.watchRank(view)
	if rank == 0 || view.Self.Leaving {
		return true
	}
	return r.follower.now().Sub(time.Unix(0, r.watcherSeenAt.Load())) > watcherSilence+time.Duration(rank)*watcherSilenceStep
}

// watchRank returns the rank of this instance as a watcher of its failure domain, from 0;
// all from maxWatcherRanks on have that one.
func (r *relay) watchRank(view *bbmember.View) int {
	rank := view.RankByLink(watchKey, view.Self.Domain, maxWatcherRanks)
	if i := slices.IndexFunc(rank, func(m bbmember.Member) bool { return m.ID == view.Self.ID }); i >= 0 {
		return i
	}
	return len(rank)
}

// watchTurn returns the place of this instance's failure domain among all.
func (r *relay) watchTurn() int {
	view := r.peers.View()
	return max(slices.Index(domainsOf(view), view.Self.Domain), 0)
}

// watchKey is the rendezvous hash key that ranks a failure domain's instances as
// watchers.
const watchKey = "watch"

// tellDomain sends the peers of this failure domain what the store has just
// returned, and some of each other one which targets leave or are gone: its own
// watcher may have failed.
func (r *relay) tellDomain(changed []bbstore.Entry) {
	view := r.peers.View()
	tell := r.follower.newsDigest()
	tell.Targets = toKept(changed)
	r.send(membersOf(view, view.Self.Domain), tell)
	if leaving := leavingEntries(changed); len(leaving) > 0 {
		r.send(someOfOtherDomains(view), &bbwire.NewsTell{Targets: toKept(leaving)})
	}
}

// send sends members other than this instance a message.
func (r *relay) send(to []bbmember.Member, tell *bbwire.NewsTell) {
	self := r.peers.View().Self.ID
	for _, m := range to {
		if m.ID != self {
			_ = r.peers.Send(m.ID, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell}})
		}
	}
}

// run sends one peer the plan's revision every other round, or asks one for plan
// and targets while the store is unreachable. It returns when ctx ends.
func (r *relay) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		bbclock.Wait(ctx, relayInterval)
		peers := r.pickPeers(1)
		if len(peers) == 0 {
			continue
		}
		if r.follower.storeUnreachable() {
			r.askPeer(ctx, r.pickAnswering(peers[0]))
			continue
		}
		if round%2 == 0 {
			r.tellRevision(peers)
		}
	}
}

// holdPlan hands a plan that is in force to the spreader. The watcher tells its
// domain at once.
func (r *relay) holdPlan(e bbstore.Entry) {
	r.spreader.Hold(bbspread.Version{Rev: e.Rev, Text: e.Value})
	if r.isWatcher() {
		r.tellDomain(nil)
	}
}

// tellRevision tells peers the revision of the plan in force here.
func (r *relay) tellRevision(to []bbunit.InstanceID) {
	rev := r.follower.planRevision()
	if rev == 0 {
		return
	}
	tell := r.follower.planNews(rev)
	for _, id := range to {
		_ = r.peers.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell}})
	}
}

// tellWatchers tells the first watcher of each other failure domain what the store has just
// answered.
func (r *relay) tellWatchers() {
	view := r.peers.View()
	var watchers []bbmember.Member
	for _, domain := range domainsOf(view) {
		if domain != view.Self.Domain {
			watchers = append(watchers, view.RankByLink(watchKey, domain, 1)...)
		}
	}
	r.send(watchers, r.follower.planNews(r.follower.planRevision()))
}

// handleNewsAsk replies with the revision of the plan, and all targets if asked for.
func (r *relay) handleNewsAsk(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	tell := &bbwire.NewsTell{Revision: int64(r.follower.planRevision())}
	r.follower.addLooked(tell)
	if e.GetNewsask().GetTargets() {
		tell.Targets = r.follower.allTargets()
		r.follower.addEvacuations(tell, true)
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: tell}}
}

// handleNewsTell applies updates that a peer sent unasked.
func (r *relay) handleNewsTell(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	tell := e.GetNewstell()
	if tell.Newest > 0 {
		r.hearPlan(bbstore.Revision(tell.Newest))
	}
	differs := r.hearEvacuations(from, tell)
	if tell.Watch {
		r.watcherSeenAt.Store(r.follower.now().UnixNano())
		r.follower.watcherAnswered()
		r.follower.applyNews(tell, wayWatcher)
		differs = differs || tell.Digest != r.follower.newsDigest().Digest
	}
	if differs {
		go r.askPeer(context.Background(), from)
	}
	if !tell.Watch && len(tell.Targets) > 0 {
		r.passOn(from, tell)
	}
	r.hearRevision(from, tell)
	return nil
}

// hearRevision notes the revision of a peer's plan.
func (r *relay) hearRevision(from bbunit.InstanceID, tell *bbwire.NewsTell) {
	if tell.Revision > r.follower.planSeen.Load() {
		r.hearPlan(bbstore.Revision(tell.Revision))
		r.spreader.Hear(from, bbstore.Revision(tell.Revision))
		return
	}
	if tell.Looked > 0 {
		r.follower.hearLooked(tell)
	}
}

// hearPlan notes that a revision of the plan exists. Who hears of it first tells some
// random peers, so that all know of it long before they have it.
func (r *relay) hearPlan(rev bbstore.Revision) {
	if !r.follower.board.PlanLag.hear(rev, r.follower.now()) {
		return
	}
	for _, id := range r.pickPeers(planNewsFanout) {
		_ = r.peers.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Newstell{Newstell: &bbwire.NewsTell{Newest: int64(rev)}}})
	}
}

// passOn applies targets that leave or are gone. If a peer of another failure
// domain told of them and they are new here, it tells this domain.
func (r *relay) passOn(from bbunit.InstanceID, tell *bbwire.NewsTell) {
	applied := r.follower.applyNews(tell, wayPeer)
	view := r.peers.View()
	sender, known := view.Find(from)
	if len(applied) > 0 && known && sender.Domain != view.Self.Domain {
		r.send(membersOf(view, view.Self.Domain), &bbwire.NewsTell{Targets: toKept(applied)})
	}
}

// askPeer asks a peer for its targets, and for the revision of its plan. If a call is
// already open it does nothing.
func (r *relay) askPeer(ctx context.Context, peer bbunit.InstanceID) {
	select {
	case r.askSlot <- struct{}{}:
	default:
		return
	}
	defer func() { <-r.askSlot }()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	begin := r.follower.now()
	reply, err := r.peers.Call(ctx, peer, &bbwire.Envelope{Body: &bbwire.Envelope_Newsask{Newsask: &bbwire.NewsAsk{Targets: true}}})
	if err != nil || reply.GetNewstell() == nil {
		r.follower.log.WithFields(logrus.Fields{"event": "news-ask", "peer": peer, "ms": r.follower.now().Sub(begin).Milliseconds()}).WithError(err).Info("peer did not send its targets")
		return
	}
	r.follower.applyNews(reply.GetNewstell(), wayPeer)
	r.hearEvacuations(peer, reply.GetNewstell())
	r.hearRevision(peer, reply.GetNewstell())
}

// pickPeers returns up to n other instances, chosen at random.
func (r *relay) pickPeers(n int) []bbunit.InstanceID {
	return r.peers.View().RandomOthers(n, rand.IntN)
}

// storeUnreachable reports whether plan, targets or evacuations have never been read, or
// reading targets failed within storeErrorWindow.
func (f *follower) storeUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.board.isInForce() || !f.outage.failedAt.IsZero() && f.now().Sub(f.outage.failedAt) < storeErrorWindow
}

// watcherAnswered is called when a watcher tells that the store has answered it.
func (f *follower) watcherAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage.answeredPeer(f.now())
}

// planRevision returns the store's revision of the plan in force, 0 for none.
func (f *follower) planRevision() bbstore.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planEntry.Rev
}

// allTargets returns the entries of all targets that the list has.
func (f *follower) allTargets() []*bbwire.Kept {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]bbstore.Entry, 0, len(f.entries))
	for id, e := range f.entries {
		if _, kept := f.missingUntil[id]; !kept {
			all = append(all, e)
		}
	}
	return toKept(all)
}

// newsDigest returns the plan's revision and digests of the targets and the
// evacuations, by which a peer sees whether it has the same state.
func (f *follower) newsDigest() *bbwire.NewsTell {
	f.mu.Lock()
	defer f.mu.Unlock()
	tell := &bbwire.NewsTell{Revision: int64(f.planEntry.Rev), Digest: f.targets.Digest(), Watch: true}
	f.addLooked(tell)
	f.addEvacuations(tell, false)
	return tell
}

// planNews returns the revision of the plan, as of when no plan is newer, and the digest of
// the evacuations.
func (f *follower) planNews(rev bbstore.Revision) *bbwire.NewsTell {
	tell := &bbwire.NewsTell{Revision: int64(rev)}
	f.addLooked(tell)
	f.addEvacuations(tell, false)
	return tell
}

// toKept converts entries to their form in messages.
func toKept(entries []bbstore.Entry) []*bbwire.Kept {
	out := make([]*bbwire.Kept, len(entries))
	for i, e := range entries {
		out[i] = &bbwire.Kept{Key: e.Key, Value: e.Value, Revision: int64(e.Rev), Gone: e.Value == nil}
	}
	return out
}

// applyNews applies the targets that a peer sent. It returns the entries that changed
// anything.
func (f *follower) applyNews(tell *bbwire.NewsTell, way newsWay) []bbstore.Entry {
	if len(tell.Targets) == 0 {
		return nil
	}
	events := make([]bbstore.Event, 0, len(tell.Targets))
	for _, k := range tell.Targets {
		e := bbstore.Event{Entry: bbstore.Entry{Key: k.Key, Rev: bbstore.Revision(k.Revision)}}
		if !k.Gone {
			e.Value = append([]byte{}, k.Value...)
		}
		events = append(events, e)
	}
	return f.applyEvents(events, way)
}
