package bbproxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/cold"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

const (
	// coldRenewal is the time between two renewals of the limits of cold targets, which lapse
	// a second after the last.
	coldRenewal = 250 * time.Millisecond
	// maxPermitAge is the longest time from the claim of a permit of a cold target until the
	// request is sent: the rate of the permits is worked out for that.
	maxPermitAge = 30 * time.Millisecond
)

// derivedLimits takes the limits that are worked out for targets.
type derivedLimits interface {
	Derive(run bbplan.TargetRun, perSecond float64)
}

// coldTargets keeps which targets are cold, and limits these.
type coldTargets struct {
	limits derivedLimits
	now    func() time.Time
	log    logrus.FieldLogger
	// active is set once the targets of a service are cold at times.
	active atomic.Bool
	// holding is set while the load of a target may be held back.
	holding   atomic.Bool
	instance  string
	instances func() int
	known     metrics.Gauge
	malformed metrics.Counter

	plan atomic.Pointer[bbplan.Plan] // that tracker knows

	mu      sync.Mutex // guards tracker
	tracker *bbcold.Tracker
}

// newColdTargets returns nil if the settings have no bound: no target is ever cold then.
func newColdTargets(settings *bbplatform.Settings, limits derivedLimits, instances func() int, now func() time.Time, log logrus.FieldLogger, registry metrics.Registry) *coldTargets {
	c := &coldTargets{
		limits: limits, now: now, log: log, instance: settings.PeerAddress, instances: instances,
		known: metrics.GetOrRegisterGauge("limit.cold", registry), malformed: metrics.GetOrRegisterCounter("limit.cold-malformed", registry),
		tracker: bbcold.New(bbcold.Bounds{Overage: settings.ColdOverage, Slack: settings.ColdSlack}),
	}
	if settings.ColdOverage <= 0 {
		return nil
	}
	return c
}

// setPlan takes a plan before it is in force.
func (c *coldTargets) setPlan(plan *bbplan.Plan) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.tracker.SetPlan(plan)
	c.plan.Store(plan)
	c.active.Store(c.tracker.Any())
	c.mu.Unlock()
	c.tick()
}

// hearEntry takes an entry of the list before its target is used. It reports whether the end
// of the target's cold time has moved, so that peers have to hear of the entry.
func (c *coldTargets) hearEntry(target *bbplan.Target, value []byte) (news bool) {
	if !c.mayBeCold(target.Service) {
		return false
	}
	remaining, known, malformed := bbplatform.EntryColdRemaining(value)
	if malformed {
		c.malformed.Inc(1)
		c.log.WithFields(logrus.Fields{"event": "cold", "target": target.ID}).Warn("invalid cold time in the entry of a target ignored")
	}
	now := c.now()
	c.mu.Lock()
	news = c.tracker.Entry(target, bbcold.Said{Remaining: remaining, Known: known}, now)
	limit, cold := c.tracker.LimitOf(target.Run(), now)
	c.mu.Unlock()
	if cold {
		c.limits.Derive(limit.Run, limit.PerSecond)
	}
	return news
}

// mayBeCold reports whether the targets of a service are cold at times, or may be as the plan
// is not known. It takes no lock.
func (c *coldTargets) mayBeCold(id bbunit.ServiceID) bool {
	if c == nil {
		return false
	}
	plan := c.plan.Load()
	if plan == nil {
		return true
	}
	service := plan.Services[id]
	return service != nil && service.Cold != nil
}

// gone tells that a run is not listed any more.
func (c *coldTargets) gone(target *Target) {
	if !c.mayBeCold(target.Service) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Gone(target.Run(), c.now())
}

// returned tells that targets are in use again that no instance could use, as after the
// evacuation of their failure domain. It is called before the first request is sent to them.
func (c *coldTargets) returned(runs []bbplan.TargetRun) {
	if c == nil || len(runs) == 0 {
		return
	}
	now := c.now()
	c.mu.Lock()
	for _, run := range runs {
		c.tracker.Returned(run, now)
	}
	c.mu.Unlock()
	c.tick()
}

// hearAnswer takes what the head of a target's own answer says. Most have no such field.
func (c *coldTargets) hearAnswer(target *Target, resp *Response, sentAt, now time.Time) {
	if !c.mayBeCold(target.Service) {
		return
	}
	text, n := resp.Fields.Get(bbplatform.HeaderColdRemaining)
	if n == 0 {
		return
	}
	remaining, ok := bbplatform.ParseColdRemaining(text)
	if !ok || n > 1 {
		c.malformed.Inc(1)
		return
	}
	c.mu.Lock()
	c.tracker.Answer(target.Run(), bbcold.Said{Remaining: remaining, Known: true}, sentAt, now)
	limit, cold := c.tracker.LimitOf(target.Run(), now)
	c.mu.Unlock()
	if cold {
		c.limits.Derive(limit.Run, limit.PerSecond)
	}
}

// run renews the limits of cold targets until ctx ends.
func (c *coldTargets) run(ctx context.Context) {
	for c != nil && ctx.Err() == nil {
		if c.active.Load() {
			c.tick()
		}
		bbclock.Wait(ctx, coldRenewal)
	}
}

// tick renews the limits of the targets that are cold now, and logs which became cold or
// warm.
func (c *coldTargets) tick() {
	c.mu.Lock()
	limits, changes := c.tracker.Tick(c.now())
	c.holding.Store(c.tracker.Holds(c.now()))
	c.mu.Unlock()
	c.known.Update(int64(len(limits)))
	for _, l := range limits {
		c.limits.Derive(l.Run, l.PerSecond)
	}
	for _, change := range changes {
		fields := logrus.Fields{"event": "cold", "target": change.Run.ID, "cold": change.Cold}
		if change.Cold {
			fields["ms"] = change.Until.Sub(c.now()).Milliseconds()
		}
		c.log.WithFields(fields).Info("target is cold or no longer so")
	}
}
