package bbmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Report is what an instance says of a member. Only the member itself raises
// Beat; it begins at the milliseconds of the epoch at its start, so that a
// later life of the same id has the higher beats.
type Report struct {
	Member
	Heartbeat uint64
}

// ListEntry is one entry of the platform's list of instances, which lags.
type ListEntry struct {
	ID      bbunit.InstanceID
	Domain  bbunit.DomainID
	Address string
	Leaving bool
	// Since is when the entry took its state, in milliseconds since the epoch;
	// 0 when the list doesn't tell.
	Since int64
}

// Message is gossip for one member.
type Message struct {
	To      bbunit.InstanceID
	Reports []Report
}

// Actions are what the instance has to do after an event.
type Actions struct {
	// View is the new view, nil when it is as before.
	View *View
	// Send is gossip to send now.
	Send []Message
	// Probe are members to connect to afresh; the outcome comes back as
	// Greeted or Unreachable.
	Probe []bbunit.InstanceID
	// Dropped counts malformed reports.
	Dropped int
	// Superseded tells that a later life of this instance was seen.
	Superseded bool
}

// Fleet decides who is live. It has no clock, random source or goroutine of
// its own, and is not safe for concurrent use.
type Fleet struct {
	cfg            Config
	self           Report
	rng            *rand.Rand
	peers          map[bbunit.InstanceID]*peer
	peerIDs        []bbunit.InstanceID // keys of entries, sorted
	tombstones     map[bbunit.InstanceID]tombstone
	view           *View
	remotePartners []bbunit.InstanceID // partners in other failure domains
	rounds         int
	contactFailed  bool // a connection failed since the last probe

	lastEventAt      time.Time     // wall time of the last event
	elapsed          time.Duration // time passed, which never jumps
	lastStalestProbe time.Duration
}

// peer is what is known of another instance.
type peer struct {
	Report
	lastSeen    time.Duration // last rise of the beat, or contact
	lastFailure time.Duration // last failed contact
	lastProbe   time.Duration // last probe
	changedAt   time.Duration // joined or began to leave
	inList      bool
	confirmed   bool
}

// tombstone keeps a dropped member's last beat, so that stale reports don't bring
// it back.
type tombstone struct {
	inc       bbunit.Incarnation
	heartbeat uint64
	leaving   bool
	droppedAt time.Duration
}

// NewFleet returns the fleet as seen by self, which starts at now.
func NewFleet(self Member, cfg Config, now time.Time, rnd *rand.Rand) *Fleet {
	f := &Fleet{
		cfg: cfg, self: Report{Member: self, Heartbeat: uint64(max(now.UnixMilli(), 1))}, rng: rnd,
		peers: map[bbunit.InstanceID]*peer{}, tombstones: map[bbunit.InstanceID]tombstone{},
		lastEventAt: now, elapsed: time.Second,
	}
	f.view = f.buildView()
	return f
}

// View returns the members that are live.
func (f *Fleet) View() *View { return f.view }

// Address returns where a member is reached, whether it is live or not.
func (f *Fleet) Address(id bbunit.InstanceID) (string, bool) {
	if e, ok := f.peers[id]; ok {
		return e.Address, e.Address != ""
	}
	return "", false
}

// advanceClock moves the clock on. Steps are bounded, so that neither a jump of the
// wall clock nor a pause of this instance makes the others look silent.
func (f *Fleet) advanceClock(now time.Time) {
	step := now.Sub(f.lastEventAt)
	f.lastEventAt = now
	f.elapsed += min(max(step, 0), 2*f.cfg.Period)
}

// UpdateList takes the platform's list.
func (f *Fleet) UpdateList(now time.Time, list []ListEntry) Actions {
	f.advanceClock(now)
	for _, e := range f.peers {
		e.inList = false
	}
	for _, l := range list {
		if l.ID == f.self.ID || !validIDs(l.ID, l.Domain) {
			continue
		}
		e := f.peers[l.ID]
		if e == nil {
			e = f.addPeer(Report{Member: Member{ID: l.ID, Domain: l.Domain, Address: l.Address}})
		}
		e.inList = true
		if !e.confirmed {
			e.Address, e.Domain = l.Address, l.Domain
		}
		if l.Leaving && (!e.confirmed || l.Since >= int64(e.Heartbeat)) {
			e.markLeaving(f.elapsed)
		}
	}
	return f.addView(Actions{})
}

// HandleHello takes what a member said of itself on a fresh connection.
func (f *Fleet) HandleHello(now time.Time, m Member) Actions {
	f.advanceClock(now)
	if m.ID == f.self.ID || !validIDs(m.ID, m.Domain) {
		return Actions{Dropped: 1}
	}
	e := f.peers[m.ID]
	g, dropped := f.tombstones[m.ID]
	switch {
	case dropped && g.inc != m.Inc, e != nil && e.Inc != 0 && e.Inc != m.Inc:
		return f.addView(Actions{}) // its reports tell which life is the later
	case e == nil:
		e = f.addPeer(Report{Member: m})
	case e.Inc == 0:
		leaving := e.Leaving || f.leftBefore(m)
		e.Report = Report{Member: m}
		e.Leaving = leaving
	}
	e.markSeen(f.elapsed)
	return f.addView(Actions{})
}

// RecordContact notes that traffic came from members; only their ids and
// incarnations are read.
func (f *Fleet) RecordContact(now time.Time, from []Member) Actions {
	f.advanceClock(now)
	for _, m := range from {
		if e := f.peers[m.ID]; e != nil && e.Inc == m.Inc {
			e.markSeen(f.elapsed)
		}
	}
	return f.addView(Actions{})
}

// RecordFailure notes that no connection to a member could be made.
func (f *Fleet) RecordFailure(now time.Time, id bbunit.InstanceID) Actions {
	f.advanceClock(now)
	if e := f.peers[id]; e != nil {
		e.lastFailure, f.contactFailed = f.elapsed, true
	}
	return f.addView(Actions{})
}

// HandleGossip takes the reports of a message. News that a member leaves goes on at
// once.
func (f *Fleet) HandleGossip(now time.Time, reports []Report) Actions {
	f.advanceClock(now)
	var a Actions
	var leavingReports []Report
	for _, r := range reports {
		switch {
		case !f.validReport(r):
			a.Dropped++
		case r.ID == f.self.ID:
			a.Superseded = a.Superseded || (r.Inc != f.self.Inc && r.Heartbeat > f.self.Heartbeat)
		case f.mergeReport(r) && r.Leaving:
			leavingReports = append(leavingReports, r)
		}
	}
	if len(leavingReports) > 0 {
		for _, to := range f.sampleLive(f.cfg.Fanout, 1) {
			a.Send = append(a.Send, Message{To: to, Reports: leavingReports})
		}
	}
	return f.addView(a)
}

// mergeReport merges one report; it returns whether the member just joined or began
// to leave.
func (f *Fleet) mergeReport(r Report) bool {
	if g, ok := f.tombstones[r.ID]; ok && r.Heartbeat <= g.heartbeat {
		return false
	}
	e := f.peers[r.ID]
	if e == nil {
		f.addPeer(r).markSeen(f.elapsed)
		return true
	}
	if r.Heartbeat <= e.Heartbeat {
		return false
	}
	newIncarnation, firstReport := e.Inc != r.Inc, e.Inc == 0
	wasLeaving := e.Leaving && !newIncarnation
	e.Report = r
	e.Leaving = r.Leaving || wasLeaving || f.leftBefore(r.Member)
	e.confirmed, e.lastSeen = true, f.elapsed
	if e.Leaving != wasLeaving || (newIncarnation && !firstReport) {
		e.changedAt = f.elapsed
		return true
	}
	return false
}

// Leave tells the own failure domain, and some of the others, that this
// instance leaves.
func (f *Fleet) Leave(now time.Time) Actions {
	f.advanceClock(now)
	f.self.Leaving = true
	f.self.Heartbeat++
	var a Actions
	for _, to := range f.sampleLive(f.cfg.MaxDomainReports, f.cfg.MaxSampleReports) {
		a.Send = append(a.Send, Message{To: to, Reports: []Report{f.self}})
	}
	return f.addView(a)
}

// Tick runs one round; it is called each period.
func (f *Fleet) Tick(now time.Time) Actions {
	f.advanceClock(now)
	f.self.Heartbeat++
	f.dropSilent()
	var a Actions
	for _, to := range f.pickRoundPartners() {
		a.Send = append(a.Send, Message{To: to, Reports: f.buildReports(to)})
	}
	a.Probe = f.pickProbes()
	return f.addView(a)
}

// dropSilent drops members that nobody vouches for any more. A listed one stays to be
// reached, with its life forgotten.
func (f *Fleet) dropSilent() {
	for _, id := range slices.Clone(f.peerIDs) {
		e := f.peers[id]
		timedOut := f.silence(e) > f.cfg.ForgetTimeout
		departed := e.Leaving && f.isSilent(e)
		switch {
		case e.inList && timedOut && e.confirmed:
			f.tombstones[id] = tombstone{inc: e.Inc, leaving: e.Leaving, droppedAt: f.elapsed}
			e.Inc, e.Heartbeat, e.confirmed = 0, 0, false
		case !e.inList && (timedOut || departed):
			f.tombstones[id] = tombstone{inc: e.Inc, heartbeat: e.Heartbeat, leaving: e.Leaving, droppedAt: f.elapsed}
			delete(f.peers, id)
			i, _ := slices.BinarySearch(f.peerIDs, id)
			f.peerIDs = slices.Delete(f.peerIDs, i, i+1)
		}
	}
	for id, g := range f.tombstones {
		if f.elapsed-g.droppedAt > 4*f.cfg.ForgetTimeout {
			delete(f.tombstones, id)
		}
	}
}

func (f *Fleet) addPeer(r Report) *peer {
	e := &peer{Report: r, lastSeen: f.elapsed, changedAt: f.elapsed}
	e.Leaving = e.Leaving || f.leftBefore(r.Member)
	f.peers[r.ID] = e
	i, _ := slices.BinarySearch(f.peerIDs, r.ID)
	f.peerIDs = slices.Insert(f.peerIDs, i, r.ID)
	return e
}

// leftBefore tells whether a life was dropped while it was leaving.
func (f *Fleet) leftBefore(m Member) bool {
	g, ok := f.tombstones[m.ID]
	return ok && g.leaving && g.inc == m.Inc
}

func (e *peer) markSeen(elapsed time.Duration) { e.confirmed, e.lastSeen = true, elapsed }

func (e *peer) markLeaving(elapsed time.Duration) {
	if !e.Leaving {
		e.Leaving, e.changedAt = true, elapsed
	}
}

func (f *Fleet) silence(e *peer) time.Duration { return f.elapsed - e.lastSeen }

func (f *Fleet) isSilent(e *peer) bool { return f.silence(e) > f.cfg.SuspicionTimeout }

// isLive tells whether a member belongs into the view: a silent one does until a
// fresh connection to it has failed as well.
func (f *Fleet) isLive(e *peer) bool { return !f.isSilent(e) || e.lastFailure <= e.lastSeen }

// addView adds the view to the actions when it changed.
func (f *Fleet) addView(a Actions) Actions {
	if !f.viewIsCurrent() {
		f.view = f.buildView()
		a.View = f.view
	}
	return a
}

// viewIsCurrent tells whether the view is as it would be built now.
func (f *Fleet) viewIsCurrent() bool {
	if f.view.Self != f.self.Member {
		return false
	}
	members := f.view.Members
	for _, id := range f.peerIDs {
		if len(members) > 0 && members[0].ID == f.self.ID {
			members = members[1:]
		}
		if e := f.peers[id]; f.isLive(e) {
			if len(members) == 0 || members[0] != e.Member {
				return false
			}
			members = members[1:]
		}
	}
	return len(members) == 0 || (len(members) == 1 && members[0].ID == f.self.ID)
}

func (f *Fleet) buildView() *View {
	v := &View{Self: f.self.Member, Members: make([]Member, 0, len(f.peerIDs)+1)}
	selfPlaced := f.self.Leaving
	for _, id := range f.peerIDs {
		if !selfPlaced && id > f.self.ID {
			v.Members, selfPlaced = append(v.Members, f.self.Member), true
		}
		if e := f.peers[id]; f.isLive(e) {
			v.Members = append(v.Members, e.Member)
		}
	}
	if !selfPlaced {
		v.Members = append(v.Members, f.self.Member)
	}
	return v
}
