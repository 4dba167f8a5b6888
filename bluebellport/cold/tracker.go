package bbcold

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

const (
	// clockTolerance is how far the clocks of targets and instances may be off. A run that
	// started longer ago than that and its cold start has ended its start by any clock.
	clockTolerance = 10 * time.Second
	// justStarted is how long after its first entry an instance takes those that it hears
	// for old ones: it does not know which of the runs are new.
	justStarted = 2 * time.Second
	// newsStep is by how much the end of a cold time has to move to be news to peers: entries
	// that are written again as the time runs down are not.
	newsStep = time.Second
	// maxRuns bounds the runs that are kept, goneTTL how long one that is not listed is.
	maxRuns = 8192
	goneTTL = 10 * time.Minute
)

// Said is what a target says of its cold time. The zero value says nothing.
type Said struct {
	Remaining time.Duration
	Known     bool
}

// Limit is the limit of a cold run.
type Limit struct {
	Run       bbplan.TargetRun
	PerSecond float64
	Until     time.Time
}

// Change tells that a run has become cold or warm.
type Change struct {
	Run   bbplan.TargetRun
	Cold  bool
	Until time.Time
}

// Tracker keeps what is known of the cold times of targets. It is not safe for concurrent
// use.
type Tracker struct {
	bounds   Bounds
	firstAt  time.Time // of the first entry
	services map[bbunit.ServiceID]bbplan.Cold
	// planned reports that the plan is known.
	planned bool
	runs    map[bbplan.TargetRun]*run
}

// run is what is known of one run.
type run struct {
	service bbunit.ServiceID
	heardAt time.Time
	// startedAt is the start that its entry names, in milliseconds.
	startedAt int64
	// old means that the run was there before this instance.
	old bool
	// started means that its start is over, whatever its age.
	started   bool
	saidUntil time.Time
	saidCold  bool // by the last entry that said anything
	// wasCold means that it has said that it is cold, so that 0 is its word and not the
	// lack of one.
	wasCold bool
	// back is when it returned to use, zero once it has said since that it is not cold.
	back   time.Time
	goneAt time.Time // zero while it is listed
	hold   hold
	// cold is as Tick last told.
	cold bool
}

// New returns a tracker without targets.
func New(bounds Bounds) *Tracker {
	return &Tracker{bounds: bounds, services: map[bbunit.ServiceID]bbplan.Cold{}, runs: map[bbplan.TargetRun]*run{}}
}

// Any reports whether the targets of any service are cold at times.
func (t *Tracker) Any() bool { return len(t.services) > 0 }

// SetPlan takes a plan. The targets of services that it does not call cold are forgotten.
func (t *Tracker) SetPlan(plan *bbplan.Plan) {
	t.planned = true
	clear(t.services)
	for id, service := range plan.Services {
		if c := service.Cold; c != nil && t.bounds.Overage > 0 {
			t.services[id] = *c
		}
	}
	for id, r := range t.runs {
		if _, ok := t.services[r.service]; !ok {
			delete(t.runs, id)
		}
	}
}

// Follows reports whether the targets of a service are cold at times, or may be.
func (t *Tracker) Follows(id bbunit.ServiceID) bool {
	_, ok := t.services[id]
	return t.bounds.Overage > 0 && (ok || !t.planned)
}

// Entry takes an entry of the list of targets. It reports whether that is news to
// peers: the end of the run's cold time moved, or the entry says for the first time that it
// is cold or that it is not.
func (t *Tracker) Entry(target *bbplan.Target, said Said, now time.Time) (news bool) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	if !t.Follows(target.Service) {
		return false
	}
	id := target.Run()
	r, before := t.runs[id], time.Time{}
	if r != nil {
		before = t.end(r)
	} else {
		if len(t.runs) >= maxRuns {
			return false
		}
		r = &run{service: target.Service, heardAt: now, startedAt: target.StartedAtMillis, old: now.Sub(t.firstAt) <= justStarted}
		t.runs[id] = r
	}
	if !r.goneAt.IsZero() {
		r.goneAt, r.back = time.Time{}, now
	}
	r.hear(said, now)
	after := t.end(r)
	if said.Known && (said.Remaining > 0) != r.saidCold { // peers keep the entry for those that start
		r.saidCold = !r.saidCold
		return true
	}
	return before.After(now) != after.After(now) || after.Sub(before).Abs() > newsStep && after.After(now)
}

// startEnd returns when the start of a run ends. The time since it was first heard of
// counts, as clocks may be off, unless this instance is the newer one and the start has ended
// by any clock.
func (r *run) startEnd(start time.Duration) time.Time {
	age := r.heardAt.UnixMilli() - r.startedAt
	if r.started || r.old && r.startedAt > 0 && age > (start+clockTolerance).Milliseconds() {
		return time.Time{}
	}
	return r.heardAt.Add(start)
}

// hear takes what the target says of itself. That it is not cold ends its start only if it
// was there before this instance, or has said before that it is cold: an entry that was
// written as the target started may be older than its load.
func (r *run) hear(said Said, now time.Time) {
	switch {
	case !said.Known:
	case said.Remaining > 0:
		r.saidUntil, r.wasCold = now.Add(said.Remaining), true
	default:
		r.started = r.started || r.old || r.wasCold || !r.back.IsZero()
		r.saidUntil, r.back, r.hold = time.Time{}, time.Time{}, hold{}
	}
}

// Answer takes what a target says in an answer to a request or a health check. That it is not
// cold counts only if it was asked since it returned to use.
func (t *Tracker) Answer(id bbplan.TargetRun, said Said, sentAt, now time.Time) {
	if r := t.runs[id]; r != nil && (said.Remaining > 0 || sentAt.After(r.back)) {
		r.hear(said, now)
	}
}

// Gone tells that a run is not listed any more.
func (t *Tracker) Gone(id bbplan.TargetRun, now time.Time) {
	if r := t.runs[id]; r != nil {
		r.goneAt = now
	}
}

// Returned tells that a run is in use again after no instance could send to it, as after an
// evacuation. It counts as cold, for as long as a start takes, until it says that it is not.
func (t *Tracker) Returned(id bbplan.TargetRun, now time.Time) {
	if r := t.runs[id]; r != nil {
		r.back = now
	}
}

// end returns when the cold time of a run ends.
func (t *Tracker) end(r *run) time.Time {
	c, ok := t.services[r.service]
	if !ok {
		return time.Time{}
	}
	end := later(r.saidUntil, r.startEnd(c.Start))
	if !r.back.IsZero() {
		end = later(end, r.back.Add(c.Start))
	}
	return end
}

// LimitOf returns the limit of a run, if it is cold.
func (t *Tracker) LimitOf(id bbplan.TargetRun, now time.Time) (l Limit, cold bool) {
	r := t.runs[id]
	if r == nil || !r.goneAt.IsZero() {
		return Limit{}, false
	}
	end := t.end(r)
	if !end.After(now) {
		return Limit{}, false
	}
	return Limit{Run: id, PerSecond: Rate(t.services[r.service].PerSecond, t.bounds), Until: end}, true
}

// Tick returns the limits of the runs that are cold, and those that became cold or warm
// since it was last called. It forgets runs that are not listed any more.
func (t *Tracker) Tick(now time.Time) (limits []Limit, changes []Change) {
	for id, r := range t.runs {
		if !r.goneAt.IsZero() && now.Sub(r.goneAt) > goneTTL {
			delete(t.runs, id)
			continue
		}
		l, cold := t.LimitOf(id, now)
		if cold {
			limits = append(limits, l)
		}
		if cold != r.cold {
			changes = append(changes, Change{Run: id, Cold: cold, Until: l.Until})
		}
		r.cold = cold
	}
	slices.SortFunc(limits, func(a, b Limit) int { return a.Run.Compare(b.Run) })
	slices.SortFunc(changes, func(a, b Change) int { return a.Run.Compare(b.Run) })
	return limits, changes
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
