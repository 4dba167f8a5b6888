package bbproxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/speed"
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// speedKeeper learns how fast the targets work, tells placement, and exchanges what it
// learnt with peers.
type speedKeeper struct {
	peers PeerNetwork
	board *Board
	now   func() time.Time
	log   logrus.FieldLogger
	// samples counts answered requests that were learnt from, absurd the figures in them
	// that can't be true; heard and malformed the same for peers' reports.
	samples, absurd, heard, malformed metrics.Counter

	mu       sync.Mutex // guards the fields below; no request takes it
	services map[bbunit.ServiceID]*bbspeed.Service
	medians  map[bbunit.ServiceID]float64 // that were logged last
	next     int                          // of the targets that the next message begins with
}

func newSpeedKeeper(peers PeerNetwork, board *Board, now func() time.Time, log logrus.FieldLogger, registry metrics.Registry) *speedKeeper {
	k := &speedKeeper{
		peers: peers, board: board, now: now, log: log,
		samples: metrics.GetOrRegisterCounter("door.speed.samples", registry), absurd: metrics.GetOrRegisterCounter("door.speed.absurd", registry),
		heard: metrics.GetOrRegisterCounter("door.speed.heard", registry), malformed: metrics.GetOrRegisterCounter("door.speed.malformed", registry),
		services: map[bbunit.ServiceID]*bbspeed.Service{}, medians: map[bbunit.ServiceID]float64{},
	}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Speeds{Speeds: &bbwire.Speeds{}}}, k.handle)
	return k
}

// run publishes the speeds and tells peers until ctx ends.
func (k *speedKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(speedInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.publish(k.now())
		if n%speedRoundsPerTell == 0 {
			k.tell(k.now())
		}
	}
}

// record learns from a request that a target answered with success. It takes no lock.
func (k *speedKeeper) record(target *Target, s *bbspeed.Sample, now time.Time) {
	k.samples.Inc(1)
	if n := target.speed.Add(s, now); n > 0 {
		k.absurd.Inc(int64(n))
		k.log.WithFields(logrus.Fields{"event": "speed-absurd", "target": target.ID, "figures": n, "whole-ms": s.Whole.Milliseconds()}).Debug("a request's times can't be true")
	}
}

// publish works out the speeds of all targets and hands them to placement.
func (k *speedKeeper) publish(now time.Time) {
	services := k.board.Services.Load()
	if services == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.services {
		if (*services)[id] == nil {
			delete(k.services, id)
			delete(k.medians, id)
		}
	}
	for id, targets := range *services {
		if !k.board.tellsSlowdown(id) {
			continue // placed by load
		}
		service := k.services[id]
		if service == nil {
			service = &bbspeed.Service{}
			k.services[id] = service
		}
		runs := make(map[bbplan.TargetRun]*bbspeed.Run, len(targets.Targets))
		for _, target := range targets.Targets {
			runs[target.Run()] = target.speed
		}
		service.Keep(runs)
		speeds := service.Speeds(now)
		misses := service.Misses(speeds, now)
		for _, target := range targets.Targets {
			f := speeds[target.Run()]
			target.State.SetSpeed(bbplace.Speed{Prompt: f.Prompt, Event: millis(f.Event), Work: millis(f.Work), Miss: misses[target.Run()]})
		}
		k.logSpeeds(id, speeds)
	}
}

// logSpeeds logs the speeds of a service's targets if their median has changed much.
func (k *speedKeeper) logSpeeds(id bbunit.ServiceID, speeds map[bbplan.TargetRun]bbspeed.Figures) {
	values := make([]bbspeed.Figures, 0, len(speeds))
	for _, f := range speeds {
		values = append(values, f)
	}
	if len(values) == 0 {
		return
	}
	value := func(f bbspeed.Figures) float64 {
		if f.Prompt > 0 {
			return f.Prompt
		}
		return f.Work
	}
	slices.SortFunc(values, func(a, b bbspeed.Figures) int { return cmp.Compare(value(a), value(b)) })
	median, old := value(values[len(values)/2]), k.medians[id]
	if median == 0 || old > 0 && median < old*speedLogFactor && old < median*speedLogFactor {
		return
	}
	k.medians[id] = median
	lowest, highest := values[0], values[len(values)-1]
	k.log.WithFields(logrus.Fields{
		"event": "speed", "service": id, "targets": len(values), "prompt-per-ms": []float64{lowest.Prompt, highest.Prompt}, "work-ms": []float64{lowest.Work, highest.Work},
	}).Info("speed of the service's targets")
}

// tell sends some peers what this instance has observed itself, so that figures are not
// passed on again and again. A target that was told of comes again after all others.
func (k *speedKeeper) tell(now time.Time) {
	var targets []*Target
	k.board.forEachTarget(func(t *Target) {
		if k.board.tellsSlowdown(t.Service) {
			targets = append(targets, t)
		}
	})
	if len(targets) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b *Target) int { return a.Run().Compare(b.Run()) })
	k.mu.Lock()
	first := k.next % len(targets)
	msg := &bbwire.Speeds{}
	for i := range targets {
		if len(msg.Speeds) == maxSpeedsPerMessage {
			break
		}
		target := targets[(first+i)%len(targets)]
		k.next = (first + i + 1) % len(targets)
		if f, n, at := target.speed.Share(now); n > 0 {
			msg.Speeds = append(msg.Speeds, &bbwire.TargetSpeed{
				Target: string(target.ID), Born: target.StartedAtMillis, Prompt: f.Prompt, Event: f.Event, Work: f.Work,
				Samples: uint32(n), Age: uint64(max(now.Sub(at).Microseconds(), 0)),
			})
		}
	}
	k.mu.Unlock()
	if len(msg.Speeds) == 0 {
		return
	}
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Speeds{Speeds: msg}}
	for _, id := range k.peers.View().RandomOthers(maxSpeedPeers, rand.IntN) {
		_ = k.peers.Send(id, e) // not repeated if lost: the next round follows
	}
}

// handle takes what a peer has observed.
func (k *speedKeeper) handle(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	speeds := e.GetSpeeds().GetSpeeds()
	if len(speeds) > maxSpeedsPerMessage {
		k.reject(from, len(speeds))
		return nil
	}
	now, rejected := k.now(), 0
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range speeds {
		if s.GetAge() > uint64(maxSpeedAge.Microseconds()) {
			continue
		}
		report := &bbspeed.Report{
			Run:     bbplan.TargetRun{ID: bbunit.TargetID(s.GetTarget()), StartedAtMillis: s.GetBorn()},
			Figures: bbspeed.Figures{Prompt: s.GetPrompt(), Event: s.GetEvent(), Work: s.GetWork()},
			Samples: int(min(s.GetSamples(), maxSpeedSamples)), Age: time.Duration(s.GetAge()) * time.Microsecond,
		}
		for _, service := range k.services { // a run is of one of them
			if !service.Hear(report, now) {
				rejected++
				break
			}
		}
	}
	k.heard.Inc(int64(len(speeds) - rejected))
	if rejected > 0 {
		k.reject(from, rejected)
	}
	return nil
}

// reject counts and logs reports of a peer that can't be true.
func (k *speedKeeper) reject(from bbunit.InstanceID, n int) {
	if k.malformed.Count() == 0 {
		k.log.WithFields(logrus.Fields{"event": "speed-malformed", "peer": from, "reports": n}).Warn("a peer's speeds of targets can't be true; such reports are only counted from here on")
	}
	k.malformed.Inc(int64(n))
}

// millis returns milliseconds as a duration, 0 if there is none that long.
func millis(v float64) time.Duration {
	if !(v > 0 && v < float64(24*time.Hour/time.Millisecond)) { // NaN is neither
		return 0
	}
	return time.Duration(v * float64(time.Millisecond))
}

// attemptTimes is what the latest attempt shows of its target's speed.
type attemptTimes struct {
	expected  time.Duration // until the answer begins, by placement
	idle      bool          // nothing was known that would make it wait or slow it down
	readUntil int64         // when its prompt was expected to be read
	firstAt   time.Time
	pauses    int // between its events
	lastAt    time.Time
}

// recordEvents records that an answer has brought the events up to count of its stream.
func (x *exchange) recordEvents(events int) {
	if events == 0 {
		return
	}
	now := x.proxy.now()
	if x.times.firstAt.IsZero() {
		x.times.firstAt = now
		x.endPrefill(now)
		events--
	}
	x.times.pauses += events
	x.times.lastAt = now
}

// endPrefill records that the target has read the prompt of the latest attempt.
func (x *exchange) endPrefill(now time.Time) {
	if target := x.lastTarget.Load(); target != nil {
		if x.proxy.board.tellsSlowdown(target.Service) {
			target.State.EndPrefill(x.times.readUntil, now)
		}
	}
}

// recordSpeed learns from an attempt that was answered with success.
func (x *exchange) recordSpeed(target *Target, now time.Time) {
	s := &bbspeed.Sample{Tokens: x.uncachedPrompt, Whole: now.Sub(x.sentAt), Pauses: x.times.pauses, Idle: x.times.idle, Expected: x.times.expected}
	if !x.times.firstAt.IsZero() {
		s.First = x.times.firstAt.Sub(x.sentAt)
		s.Stream = x.times.lastAt.Sub(x.times.firstAt)
	} else {
		x.endPrefill(now)
	}
	x.proxy.speeds.record(target, s, now)
}
