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
	cfg     Config
	self    Report
	rnd     *rand.Rand
	entries map[bbunit.InstanceID]*entry
	order   []bbunit.InstanceID // keys of entries, sorted
	graves  map[bbunit.InstanceID]grave
	view    *View
	far     []bbunit.InstanceID // partners in other failure domains
	rounds  int
	failed  bool // a connection failed since the last probe

	last   time.Time     // wall time of the last event
	clock  time.Duration // time passed, which never jumps
	ticked time.Duration
}

// entry is what is known of another instance.
type entry struct {
	Report
	seen    time.Duration // last rise of the beat, or contact
	lost    time.Duration // last failed contact
	probed  time.Duration // last probe
	changed time.Duration // joined or began to leave
	listed  bool
	heard   bool
}

// grave keeps a dropped member's last beat, so that stale reports don't bring
// it back.
type grave struct {
	inc     bbunit.Incarnation
	beat    uint64
	leaving bool
	at      time.Duration
}

// NewFleet returns the fleet as seen by self, which starts at now.
func NewFleet(self Member, cfg Config, now time.Time, rnd *rand.Rand) *Fleet {
	f := &Fleet{
		cfg: cfg, self: Report{Member: self, Heartbeat: uint64(max(now.UnixMilli(), 1))}, rnd: rnd,
		entries: map[bbunit.InstanceID]*entry{}, graves: map[bbunit.InstanceID]grave{},
		last: now, clock: time.Second,
	}
	f.view = f.build()
	return f
}

// View returns the members that are live.
func (f *Fleet) View() *View { return f.view }

// Address returns where a member is reached, whether it is live or not.
func (f *Fleet) Address(id bbunit.InstanceID) (string, bool) {
	if e, ok := f.entries[id]; ok {
		return e.Address, e.Address != ""
	}
	return "", false
}

// pass moves the clock on. Steps are bounded, so that neither a jump of the
// wall clock nor a pause of this instance makes the others look silent.
func (f *Fleet) pass(now time.Time) {
	step := now.Sub(f.last)
	f.last = now
	f.clock += min(max(step, 0), 2*f.cfg.Period)
}

// UpdateList takes the platform's list.
func (f *Fleet) UpdateList(now time.Time, list []ListEntry) Actions {
	f.pass(now)
	for _, e := range f.entries {
		e.listed = false
	}
	for _, l := range list {
		if l.ID == f.self.ID || !validNames(l.ID, l.Domain) {
			continue
		}
		e := f.entries[l.ID]
		if e == nil {
			e = f.add(Report{Member: Member{ID: l.ID, Domain: l.Domain, Address: l.Address}})
		}
		e.listed = true
		if !e.heard {
			e.Address, e.Domain = l.Address, l.Domain
		}
		if l.Leaving && (!e.heard || l.Since >= int64(e.Heartbeat)) {
			e.leave(f.clock)
		}
	}
	return f.finish(Actions{})
}

// HandleHello takes what a member said of itself on a fresh connection.
func (f *Fleet) HandleHello(now time.Time, m Member) Actions {
	f.pass(now)
	if m.ID == f.self.ID || !validNames(m.ID, m.Domain) {
		return Actions{Dropped: 1}
	}
	e := f.entries[m.ID]
	g, buried := f.graves[m.ID]
	switch {
	case buried && g.inc != m.Inc, e != nil && e.Inc != 0 && e.Inc != m.Inc:
		return f.finish(Actions{}) // its reports tell which life is the later
	case e == nil:
		e = f.add(Report{Member: m})
	case e.Inc == 0:
		leaving := e.Leaving || f.left(m)
		e.Report = Report{Member: m}
		e.Leaving = leaving
	}
	e.contact(f.clock)
	return f.finish(Actions{})
}

// RecordContact notes that traffic came from members; only their ids and
// incarnations are read.
func (f *Fleet) RecordContact(now time.Time, from []Member) Actions {
	f.pass(now)
	for _, m := range from {
		if e := f.entries[m.ID]; e != nil && e.Inc == m.Inc {
			e.contact(f.clock)
		}
	}
	return f.finish(Actions{})
}

// RecordFailure notes that no connection to a member could be made.
func (f *Fleet) RecordFailure(now time.Time, id bbunit.InstanceID) Actions {
	f.pass(now)
	if e := f.entries[id]; e != nil {
		e.lost, f.failed = f.clock, true
	}
	return f.finish(Actions{})
}

// HandleGossip takes the reports of a message. News that a member leaves goes on at
// once.
func (f *Fleet) HandleGossip(now time.Time, reports []Report) Actions {
	f.pass(now)
	var a Actions
	var news []Report
	for _, r := range reports {
		switch {
		case !f.valid(r):
			a.Dropped++
		case r.ID == f.self.ID:
			a.Superseded = a.Superseded || (r.Inc != f.self.Inc && r.Heartbeat > f.self.Heartbeat)
		case f.learn(r) && r.Leaving:
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		for _, to := range f.partners(f.cfg.Fanout, 1) {
			a.Send = append(a.Send, Message{To: to, Reports: news})
		}
	}
	return f.finish(a)
}

// learn merges one report; it returns whether the member just joined or began
// to leave.
func (f *Fleet) learn(r Report) bool {
	if g, ok := f.graves[r.ID]; ok && r.Heartbeat <= g.beat {
		return false
	}
	e := f.entries[r.ID]
	if e == nil {
		f.add(r).contact(f.clock)
		return true
	}
	if r.Heartbeat <= e.Heartbeat {
		return false
	}
	joined, first := e.Inc != r.Inc, e.Inc == 0
	was := e.Leaving && !joined
	e.Report = r
	e.Leaving = r.Leaving || was || f.left(r.Member)
	e.heard, e.seen = true, f.clock
	if e.Leaving != was || (joined && !first) {
		e.changed = f.clock
		return true
	}
	return false
}

// Leave tells the own failure domain, and some of the others, that this
// instance leaves.
func (f *Fleet) Leave(now time.Time) Actions {
	f.pass(now)
	f.self.Leaving = true
	f.self.Heartbeat++
	var a Actions
	for _, to := range f.partners(f.cfg.MaxDomainReports, f.cfg.MaxSampleReports) {
		a.Send = append(a.Send, Message{To: to, Reports: []Report{f.self}})
	}
	return f.finish(a)
}

// Tick runs one round; it is called each period.
func (f *Fleet) Tick(now time.Time) Actions {
	f.pass(now)
	f.self.Heartbeat++
	f.bury()
	var a Actions
	for _, to := range f.contacts() {
		a.Send = append(a.Send, Message{To: to, Reports: f.reports(to)})
	}
	a.Probe = f.probes()
	return f.finish(a)
}

// bury drops members that nobody vouches for any more. A listed one stays to be
// reached, with its life forgotten.
func (f *Fleet) bury() {
	for _, id := range slices.Clone(f.order) {
		e := f.entries[id]
		gone := f.silence(e) > f.cfg.ForgetTimeout
		left := e.Leaving && f.silent(e)
		switch {
		case e.listed && gone && e.heard:
			f.graves[id] = grave{inc: e.Inc, leaving: e.Leaving, at: f.clock}
			e.Inc, e.Heartbeat, e.heard = 0, 0, false
		case !e.listed && (gone || left):
			f.graves[id] = grave{inc: e.Inc, beat: e.Heartbeat, leaving: e.Leaving, at: f.clock}
			delete(f.entries, id)
			i, _ := slices.BinarySearch(f.order, id)
			f.order = slices.Delete(f.order, i, i+1)
		}
	}
	for id, g := range f.graves {
		if f.clock-g.at > 4*f.cfg.ForgetTimeout {
			delete(f.graves, id)
		}
	}
}

func (f *Fleet) add(r Report) *entry {
	e := &entry{Report: r, seen: f.clock, changed: f.clock}
	e.Leaving = e.Leaving || f.left(r.Member)
	f.entries[r.ID] = e
	i, _ := slices.BinarySearch(f.order, r.ID)
	f.order = slices.Insert(f.order, i, r.ID)
	return e
}

// left tells whether a life was dropped while it was leaving.
func (f *Fleet) left(m Member) bool {
	g, ok := f.graves[m.ID]
	return ok && g.leaving && g.inc == m.Inc
}

func (e *entry) contact(clock time.Duration) { e.heard, e.seen = true, clock }

func (e *entry) leave(clock time.Duration) {
	if !e.Leaving {
		e.Leaving, e.changed = true, clock
	}
}

func (f *Fleet) silence(e *entry) time.Duration { return f.clock - e.seen }

func (f *Fleet) silent(e *entry) bool { return f.silence(e) > f.cfg.SuspicionTimeout }

// live tells whether a member belongs into the view: a silent one does until a
// fresh connection to it has failed as well.
func (f *Fleet) live(e *entry) bool { return !f.silent(e) || e.lost <= e.seen }

// finish adds the view to the actions when it changed.
func (f *Fleet) finish(a Actions) Actions {
	if !f.current() {
		f.view = f.build()
		a.View = f.view
	}
	return a
}

// current tells whether the view is as it would be built now.
func (f *Fleet) current() bool {
	if f.view.Self != f.self.Member {
		return false
	}
	members := f.view.Members
	for _, id := range f.order {
		if len(members) > 0 && members[0].ID == f.self.ID {
			members = members[1:]
		}
		if e := f.entries[id]; f.live(e) {
			if len(members) == 0 || members[0] != e.Member {
				return false
			}
			members = members[1:]
		}
	}
	return len(members) == 0 || (len(members) == 1 && members[0].ID == f.self.ID)
}

func (f *Fleet) build() *View {
	v := &View{Self: f.self.Member, Members: make([]Member, 0, len(f.order)+1)}
	placed := f.self.Leaving
	for _, id := range f.order {
		if !placed && id > f.self.ID {
			v.Members, placed = append(v.Members, f.self.Member), true
		}
		if e := f.entries[id]; f.live(e) {
			v.Members = append(v.Members, e.Member)
		}
	}
	if !placed {
		v.Members = append(v.Members, f.self.Member)
	}
	return v
}
