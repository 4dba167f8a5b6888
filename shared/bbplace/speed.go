package bbplace

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

const (
	// DefaultPromptRate is the assumed number of prompt tokens that an engine
	// processes per millisecond while nothing is known of its service.
	DefaultPromptRate = 140
	// maxPrefillTokens is the longest prompt for which times are worked out; requests may
	// state any number.
	maxPrefillTokens bbunit.Tokens = 1 << 30
	// minPromptRate and maxPromptRate bound the tokens per millisecond of a Speed, and
	// maxSpeedTime its times, so that no sum of times overflows.
	minPromptRate, maxPromptRate = 0.1, 1e5
	maxSpeedTime                 = 10 * time.Minute
	// maxBacklog bounds the time for which a target is taken to be busy with prompts: no
	// mistake in their lengths or its speed keeps requests from it for longer.
	maxBacklog = 10 * time.Second
	// slowdownMaxAge is the age at which a reported slowdown is no longer used. A
	// slowdown lasts some hundred milliseconds. Its weight falls linearly until then.
	slowdownMaxAge = 400 * time.Millisecond
	// maxSlowdown bounds the slowdown that costs reckon with, so that one report excludes
	// no target for longer than others are cheaper.
	maxSlowdown = 20
)

// Speed is how fast a target works while its machine is as fast as usual. Zero values
// are unknown.
type Speed struct {
	// Prompt is the prompt tokens that the target processes in a millisecond.
	Prompt float64
	// Event is the time between two events of a stream, Work the time from the sending of
	// a request to the end of its answer, both without a wait in the target's queue.
	Event, Work time.Duration
	// Miss is how far expected times until an answer begins were from those observed,
	// for a target of this speed. The choice is random to that extent.
	Miss time.Duration
}

// speed is a Speed that was checked, in the form in which costs use it.
type speed struct {
	nsPerToken float64
	event      time.Duration
	work       time.Duration
	miss       time.Duration
}

// defaultSpeed is that of a target of which nothing is known.
var defaultSpeed = speed{nsPerToken: float64(time.Millisecond) / DefaultPromptRate}

// SetSpeed sets the speed of the target. What is out of range counts as unknown.
func (s *TargetState) SetSpeed(v Speed) {
	next := defaultSpeed
	if v.Prompt >= minPromptRate && v.Prompt <= maxPromptRate { // NaN is neither
		next.nsPerToken = float64(time.Millisecond) / v.Prompt
	}
	if v.Event > 0 && v.Event <= maxSpeedTime {
		next.event = v.Event
	}
	if v.Work > 0 && v.Work <= maxSpeedTime {
		next.work = v.Work
	}
	if v.Miss > 0 && v.Miss <= maxSpeedTime {
		next.miss = v.Miss
	}
	s.speed.Store(&next)
}

// speedOf returns the speed of the target, or the default.
func (s *TargetState) speedOf() *speed {
	if v := s.speed.Load(); v != nil {
		return v
	}
	return &defaultSpeed
}

// promptTime returns how long the target takes to process n prompt tokens.
func (v *speed) promptTime(n bbunit.Tokens) time.Duration {
	return time.Duration(float64(min(n, maxPrefillTokens)) * v.nsPerToken)
}

// AddPrefill records that the target has been sent a prompt of which it must
// process n tokens, those not in its cache. It returns when the target is expected to
// have processed it, for EndPrefill.
func (s *TargetState) AddPrefill(n bbunit.Tokens, now time.Time) (until int64) {
	duration := int64(s.speedOf().promptTime(n))
	for {
		old := s.prefillUntil.Load()
		until = min(max(old, now.UnixNano())+duration, now.UnixNano()+int64(maxBacklog))
		if s.prefillUntil.CompareAndSwap(old, until) {
			return until
		}
	}
}

// EndPrefill records that the target has processed a prompt that AddPrefill returned
// until for. Where that is earlier than expected, what is queued behind it ends earlier
// too, so that wrong estimates do not add up.
func (s *TargetState) EndPrefill(until int64, now time.Time) {
	s.shortenPrefill(until-now.UnixNano(), now)
}

// CancelPrefill records that the target has refused a prompt of which it would have had
// to process n tokens.
func (s *TargetState) CancelPrefill(n bbunit.Tokens, now time.Time) {
	s.shortenPrefill(int64(s.speedOf().promptTime(n)), now)
}

// shortenPrefill makes the queued prompts end earlier by a time.
func (s *TargetState) shortenPrefill(early int64, now time.Time) {
	for early > 0 {
		old := s.prefillUntil.Load()
		if s.prefillUntil.CompareAndSwap(old, max(old-early, now.UnixNano())) {
			return
		}
	}
}

// prefillBacklog returns how long the target is estimated to be busy with the
// prompts already sent.
func (s *TargetState) prefillBacklog(now int64) time.Duration {
	return max(time.Duration(s.prefillUntil.Load()-now), 0)
}

// IsIdle reports whether nothing known of the target would make a request wait or take
// longer than usual there: no prompts queued before it, a free slot, and no slowdown.
func (t *Target) IsIdle(now time.Time) bool {
	l := t.loadAt(now)
	return t.State.prefillBacklog(now.UnixNano()) == 0 && l.requests < l.slots && l.slowdown <= 1
}
