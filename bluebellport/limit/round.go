package bblimit

import (
	"slices"
	"time"

	"bluebellport.example/shared/bbunit"
)

// round asks the homes of a target for permits: the first one, and once it has
// granted them, the next, until most have. It decides what to send and has
// neither clock nor network.
type round struct {
	id      uint64
	entry   *entry
	count   int
	asker   Asker
	startAt time.Time
	homes   []*homeState
	derived bool // the limit is
	// done gets the outcome. If the round is abandoned, nobody waits for it.
	done      chan Outcome
	abandoned bool
}

// homeState is how far a home has been asked in a round.
type homeState struct {
	id       bbunit.InstanceID
	askedAt  time.Time // zero until it is asked
	sentAt   time.Time // of the latest question
	tries    int
	confirm  bool
	answered bool
	tell     tell
	heardAt  time.Time
}

// Outcome is the end of a question for a permit.
type Outcome struct {
	// Permit is in the stock, unless its Count is 0.
	Permit Permit
	// Wait is how long a caller should stay away, and Pause how long the homes must
	// not be asked, if no permit was granted.
	Wait, Pause time.Duration
	// Ended means that the target has no limit any more.
	Ended      bool
	unanswered bool
}

// quorum is how many homes have to grant a permit.
func (r *round) quorum() int { return len(r.homes)/2 + 1 }

// due returns the homes to which a question is to be sent now.
func (r *round) due(now time.Time) []*homeState {
	var out []*homeState
	open, late := 0, 0
	for _, h := range r.homes {
		if h.askedAt.IsZero() || h.answered {
			continue
		}
		open++
		if now.Sub(h.askedAt) >= failoverInterval {
			late++
		}
		if now.Sub(h.sentAt) >= min(minResend<<(h.tries-1), maxResend) {
			out = append(out, h)
		}
	}
	if open > late { // one has still time to answer
		return out
	}
	if next := slices.IndexFunc(r.homes, func(h *homeState) bool { return h.askedAt.IsZero() }); next >= 0 {
		h := r.homes[next]
		h.askedAt, h.confirm = now, r.granted() > 0
		out = append(out, h)
	}
	return out
}

// granted returns how many homes have granted permits.
func (r *round) granted() int {
	n := 0
	for _, h := range r.homes {
		if h.answered && h.tell.count > 0 {
			n++
		}
	}
	return n
}

// hear takes the reply of a home, and reports whether it is the first.
func (r *round) hear(from bbunit.InstanceID, t tell, now time.Time) bool {
	for _, h := range r.homes {
		if h.id == from && !h.answered {
			h.answered, h.tell, h.heardAt = true, t, now
			return true
		}
	}
	return false
}

// result returns the outcome, and whether the round has ended.
func (r *round) result(limit float64, now time.Time) (Outcome, bool) {
	permit := Permit{Count: r.count, limit: limit}
	denied := Outcome{}
	granted, asked, denials := 0, 0, 0
	for _, h := range r.homes {
		switch {
		case !h.answered:
			asked++
		case h.tell.count > 0:
			granted++
			permit.Count = min(permit.Count, h.tell.count)
			permit.UsableAt = later(permit.UsableAt, h.heardAt.Add(h.tell.delay))
		case h.tell.declined:
			denied.Wait, denied.Pause = max(denied.Wait, declinedPause), max(denied.Pause, declinedPause)
		default:
			denials++
			denied.Wait, denied.Pause = max(denied.Wait, h.tell.wait), max(denied.Pause, h.tell.pause)
		}
	}
	if r.derived && denials > 0 {
		return denied, true
	}
	if granted >= r.quorum() {
		permit.ExpiresAt = later(permit.UsableAt, now).Add(permitTTL)
		if r.derived {
			permit.ExpiresAt = r.derivedExpiry()
		}
		return Outcome{Permit: permit}, true
	}
	if granted == 0 && denials > 0 || granted+asked < r.quorum() {
		return denied, true
	}
	if now.Sub(r.startAt) >= askTimeout {
		return Outcome{Wait: unansweredPause, Pause: unansweredPause, unanswered: true}, true
	}
	return Outcome{}, false
}
