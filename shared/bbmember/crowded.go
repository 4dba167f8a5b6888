package bbmember

import "time"

// maxCrowdedTold is how many members of the own failure domain are told at once that this
// instance is crowded, or no longer; all others hear it from gossip.
const maxCrowdedTold = 64

// SetCrowded tells the own failure domain whether this instance is short of a resource. Its
// members have to know of each other before any of them reports not ready, so this does not
// wait for a round.
func (f *Fleet) SetCrowded(now time.Time, crowded bool) Actions {
	f.advanceClock(now)
	if f.self.Crowded == crowded {
		return Actions{}
	}
	f.self.Crowded = crowded
	f.self.Heartbeat++
	var a Actions
	for _, to := range f.sampleLive(maxCrowdedTold, 0) {
		a.Send = append(a.Send, Message{To: to, Reports: []Report{f.self}})
	}
	return f.addView(a)
}
