package bbmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Report is what gossip carries about a member.
type Report struct {
	Member
	// Heartbeat is a counter that only the member itself increments. It starts
	// at the member's start time in milliseconds since the epoch, so that a
	// later incarnation with the same id has higher values.
	Heartbeat uint64
}

// ListEntry is one entry of the platform's list of instances. The list lags
// behind the fleet.
type ListEntry struct {
	ID      bbunit.InstanceID
	Domain  bbunit.DomainID
	Address string
	Leaving bool
	// Since is when the entry entered its state, in milliseconds since the
	// epoch; 0 if the list does not say.
	Since int64
}

// Message is a gossip message to one member.
type Message struct {
	To      bbunit.InstanceID
	Reports []Report
}

// Actions lists what the caller has to do after an event.
type Actions struct {
	// View is the new view, or nil if it did not change.
	View *View
	// Send lists the gossip messages to send now.
	Send []Message
	// Probe lists members to open a new connection to. The caller reports the
	// outcome with HandleHello or RecordFailure.
	Probe []bbunit.InstanceID
	// MalformedReports counts the malformed reports that were ignored.
	MalformedReports int
	// Superseded is set when a later incarnation of this instance was reported.
	Superseded bool
}

// Fleet is the membership state machine of one instance: it takes events,
// detects failed members and maintains the view of live ones. The caller passes
// in the time and the random source. It is not safe for concurrent use.
type Fleet struct {
	cfg            Config
	self           Report
	rng            *rand.Rand
	peers          map[bbunit.InstanceID]*peer
	peerIDs        []bbunit.InstanceID // keys of peers, sorted
	tombstones     map[bbunit.InstanceID]tombstone
	view           *View
	remotePartners []bbunit.InstanceID // gossip partners in other failure domains
	rounds         int
	contactFailed  bool // a connection failed since the last probe of the stalest peer

	lastEventAt      time.Time     // wall clock at the last event
	elapsed          time.Duration // this fleet's own clock: never jumps, see advanceClock
	lastStalestProbe time.Duration // last probe of the stalest peer
}

// peer is the state of another instance. Its times are readings of
// Fleet.elapsed.
type peer struct {
	Report
	lastSeen    time.Duration // last heartbeat increase or direct contact
	lastFailure time.Duration // last failed connection
	lastProbe   time.Duration // last probe
	changedAt   time.Duration // when it joined or began to leave
	inList      bool          // present in the platform's list
	confirmed   bool          // known from gossip or contact, not only from the list
}

// tombstone keeps the last heartbeat of a dropped member, so that stale reports
// do not add it again.
type tombstone struct {
	inc       bbunit.Incarnation
	heartbeat uint64
	leaving   bool
	droppedAt time.Duration
}

// NewFleet returns the membership state of self, an instance that starts at
// now.
func NewFleet(self Member, cfg Config, now time.Time, rng *rand.Rand) *Fleet {
	f := &Fleet{
		cfg: cfg, self: Report{Member: self, Heartbeat: uint64(max(now.UnixMilli(), 1))}, rng: rng,
		peers: map[bbunit.InstanceID]*peer{}, tombstones: map[bbunit.InstanceID]tombstone{},
		lastEventAt: now, elapsed: time.Second,
	}
	f.view = f.buildView()
	return f
}

// View returns the current view of the live members.
func (f *Fleet) View() *View { return f.view }

// Address returns the address of a member, live or not, and whether it is
// known.
func (f *Fleet) Address(id bbunit.InstanceID) (string, bool) {
	if p, ok := f.peers[id]; ok {
		return p.Address, p.Address != ""
	}
	return "", false
}

// advanceClock adds the time since the last event to elapsed, at most two
// periods. The limit keeps a jump of the wall clock or a pause of this instance
// from making all other members look silent.
func (f *Fleet) advanceClock(now time.Time) {
	step := now.Sub(f.lastEventAt)
	f.lastEventAt = now
	f.elapsed += min(max(step, 0), 2*f.cfg.Period)
}

// UpdateList processes the platform's list of instances. The list adds members
// and may mark them as leaving; gossip overrides its addresses and domains.
func (f *Fleet) UpdateList(now time.Time, list []ListEntry) Actions {
	f.advanceClock(now)
	for _, p := range f.peers {
		p.inList = false
	}
	for _, entry := range list {
		if entry.ID == f.self.ID || !validIDs(entry.ID, entry.Domain) {
			continue
		}
		p := f.peers[entry.ID]
		if p == nil {
			p = f.addPeer(Report{Member: Member{ID: entry.ID, Domain: entry.Domain, Address: entry.Address}})
		}
		p.inList = true
		if !p.confirmed {
			p.Address, p.Domain = entry.Address, entry.Domain
		}
		if entry.Leaving && (!p.confirmed || entry.Since >= int64(p.Heartbeat)) {
			p.markLeaving(f.elapsed)
		}
	}
	return f.addView(Actions{})
}

// HandleHello processes the Hello that a member sent on a new connection.
func (f *Fleet) HandleHello(now time.Time, m Member) Actions {
	f.advanceClock(now)
	if m.ID == f.self.ID || !validIDs(m.ID, m.Domain) {
		return Actions{MalformedReports: 1}
	}
	p := f.peers[m.ID]
	tombstone, dropped := f.tombstones[m.ID]
	switch {
	case dropped && tombstone.inc != m.Inc, p != nil && p.Inc != 0 && p.Inc != m.Inc:
		return f.addView(Actions{}) // only heartbeats tell which incarnation is later
	case p == nil:
		p = f.addPeer(Report{Member: m})
	case p.Inc == 0:
		leaving := p.Leaving || f.leftBefore(m)
		p.Report = Report{Member: m}
		p.Leaving = leaving
	}
	p.markSeen(f.elapsed)
	return f.addView(Actions{})
}

// RecordContact records that traffic arrived from the given members. It uses
// only their ids and incarnations.
func (f *Fleet) RecordContact(now time.Time, from []Member) Actions {
	f.advanceClock(now)
	for _, m := range from {
		if p := f.peers[m.ID]; p != nil && p.Inc == m.Inc {
			p.markSeen(f.elapsed)
		}
	}
	return f.addView(Actions{})
}

// RecordFailure records that a connection to a member failed.
func (f *Fleet) RecordFailure(now time.Time, id bbunit.InstanceID) Actions {
	f.advanceClock(now)
	if p := f.peers[id]; p != nil {
		p.lastFailure, f.contactFailed = f.elapsed, true
	}
	return f.addView(Actions{})
}

// HandleGossip merges the reports of a gossip message. A report that a member
// has begun to leave is forwarded at once instead of in the next round.
func (f *Fleet) HandleGossip(now time.Time, reports []Report) Actions {
	f.advanceClock(now)
	var a Actions
	var leavingReports []Report
	for _, r := range reports {
		switch {
		case !f.validReport(r):
			a.MalformedReports++
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

// mergeReport merges one report and returns whether the member is new, has a
// new incarnation or began to leave.
func (f *Fleet) mergeReport(r Report) bool {
	if tombstone, ok := f.tombstones[r.ID]; ok && r.Heartbeat <= tombstone.heartbeat {
		return false
	}
	p := f.peers[r.ID]
	if p == nil {
		f.addPeer(r).markSeen(f.elapsed)
		return true
	}
	if r.Heartbeat <= p.Heartbeat {
		return false
	}
	newIncarnation, firstReport := p.Inc != r.Inc, p.Inc == 0
	wasLeaving := p.Leaving && !newIncarnation
	p.Report = r
	p.Leaving = r.Leaving || wasLeaving || f.leftBefore(r.Member)
	p.confirmed, p.lastSeen = true, f.elapsed
	if p.Leaving != wasLeaving || (newIncarnation && !firstReport) {
		p.changedAt = f.elapsed
		return true
	}
	return false
}

// Leave announces to members of the own failure domain, and to some of the
// others, that this instance is leaving.
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

// Tick runs one gossip round. The caller calls it once per Config.Period.
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

// dropSilent drops members that have been silent for ForgetTimeout, or for
// SuspicionTimeout while leaving. A member that is still in the platform's list
// stays, so that it can be probed, but its incarnation is forgotten. Its
// tombstone has no heartbeat, so that a later incarnation whose clock is behind
// is accepted.
func (f *Fleet) dropSilent() {
	for _, id := range slices.Clone(f.peerIDs) {
		p := f.peers[id]
		timedOut := f.silence(p) > f.cfg.ForgetTimeout
		departed := p.Leaving && f.isSilent(p)
		switch {
		case p.inList && timedOut && p.confirmed:
			f.tombstones[id] = tombstone{inc: p.Inc, leaving: p.Leaving, droppedAt: f.elapsed}
			p.Inc, p.Heartbeat, p.confirmed = 0, 0, false
		case !p.inList && (timedOut || departed):
			f.tombstones[id] = tombstone{inc: p.Inc, heartbeat: p.Heartbeat, leaving: p.Leaving, droppedAt: f.elapsed}
			delete(f.peers, id)
			i, _ := slices.BinarySearch(f.peerIDs, id)
			f.peerIDs = slices.Delete(f.peerIDs, i, i+1)
		}
	}
	for id, t := range f.tombstones {
		if f.elapsed-t.droppedAt > 4*f.cfg.ForgetTimeout {
			delete(f.tombstones, id)
		}
	}
}

func (f *Fleet) addPeer(r Report) *peer {
	p := &peer{Report: r, lastSeen: f.elapsed, changedAt: f.elapsed}
	p.Leaving = p.Leaving || f.leftBefore(r.Member)
	f.peers[r.ID] = p
	i, _ := slices.BinarySearch(f.peerIDs, r.ID)
	f.peerIDs = slices.Insert(f.peerIDs, i, r.ID)
	return p
}

// leftBefore reports whether this incarnation of m was dropped while leaving.
func (f *Fleet) leftBefore(m Member) bool {
	tombstone, ok := f.tombstones[m.ID]
	return ok && tombstone.leaving && tombstone.inc == m.Inc
}

func (p *peer) markSeen(elapsed time.Duration) { p.confirmed, p.lastSeen = true, elapsed }

func (p *peer) markLeaving(elapsed time.Duration) {
	if !p.Leaving {
		p.Leaving, p.changedAt = true, elapsed
	}
}

func (f *Fleet) silence(p *peer) time.Duration { return f.elapsed - p.lastSeen }

func (f *Fleet) isSilent(p *peer) bool { return f.silence(p) > f.cfg.SuspicionTimeout }

// isLive reports whether a member belongs in the view. A silent member stays in
// it until a connection to it has failed as well.
func (f *Fleet) isLive(p *peer) bool { return !f.isSilent(p) || p.lastFailure <= p.lastSeen }

// addView rebuilds the view if it changed and adds it to the actions.
func (f *Fleet) addView(a Actions) Actions {
	if !f.viewIsCurrent() {
		f.view = f.buildView()
		a.View = f.view
	}
	return a
}

// viewIsCurrent reports whether buildView would return a view equal to the
// current one.
func (f *Fleet) viewIsCurrent() bool {
	if f.view.Self != f.self.Member {
		return false
	}
	members := f.view.Members
	for _, id := range f.peerIDs {
		if len(members) > 0 && members[0].ID == f.self.ID {
			members = members[1:]
		}
		if p := f.peers[id]; f.isLive(p) {
			if len(members) == 0 || members[0] != p.Member {
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
		if p := f.peers[id]; f.isLive(p) {
			v.Members = append(v.Members, p.Member)
		}
	}
	if !selfPlaced {
		v.Members = append(v.Members, f.self.Member)
	}
	return v
}
