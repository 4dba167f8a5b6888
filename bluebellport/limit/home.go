package bblimit

import (
	"time"

	"bluebellport.example/shared/bbunit"
)

// ask is a question for permits, as a home gets it.
type ask struct {
	from     bbunit.InstanceID
	id       uint64
	count    int
	patience time.Duration
	account  uint64
	confirm  bool
}

// tell is a home's reply. If no permit is granted, wait is when a caller should
// come back, pause when the instance may ask again.
type tell struct {
	id          uint64
	count       int
	delay       time.Duration
	wait, pause time.Duration
	// declined means that the instance is no home, and decided nothing.
	declined bool
}

// home grants the permits of one target. It decides alone how many; that most of
// the target's homes must grant each permit keeps the bound where instances do
// not agree who the homes are.
type home struct {
	line line
	// callers is when the last of the callers that were sent away should be back.
	callers  time.Time
	denials  denialMeter
	accounts accountMeter
	replies  map[askKey]reply
	prunedAt time.Time
}

// askKey identifies a question that may be repeated.
type askKey struct {
	from bbunit.InstanceID
	id   uint64
}

type reply struct {
	tell
	at time.Time
}

func newHome(limit float64, now time.Time) *home {
	return &home{line: newLine(limit, now), replies: map[askKey]reply{}, prunedAt: now}
}

// answer decides a question. A repeated one gets the same reply, less the time
// that has passed.
func (h *home) answer(a *ask, limit float64, now time.Time, random func(n int) int) tell {
	h.line.setLimit(limit, now)
	key := askKey{a.from, a.id}
	if r, ok := h.replies[key]; ok {
		passed := now.Sub(r.at)
		r.delay, r.wait, r.pause = max(r.delay-passed, 0), max(r.wait-passed, 0), max(r.pause-passed, 0)
		return r.tell
	}
	t := h.decide(a, now, random)
	h.replies[key] = reply{t, now}
	h.prune(now)
	return t
}

// decide decides a new question.
func (h *home) decide(a *ask, now time.Time, random func(n int) int) tell {
	patience, extra := min(a.patience, maxPatience), 0
	if patience > 0 {
		h.accounts.count(a.account, 0, now) // one that gets nothing has a part too
	}
	if a.confirm {
		extra = confirmBurst
	} else if h.accounts.isHeavy(a.account, now) {
		patience /= heavyDivisor // what is left of the line is for the accounts that got less
	}
	granted, delay := h.line.grant(now, min(a.count, maxCount), extra, patience)
	if granted > 0 {
		h.accounts.count(a.account, granted, now)
		return tell{id: a.id, count: granted, delay: delay}
	}
	return tell{id: a.id, wait: h.sendAway(a, delay, now), pause: h.pause(a, delay-patience, now, random)}
}

// sendAway returns when a caller should come back for whom the line is too long.
// Each gets a time of its own, one after the other as permits come.
func (h *home) sendAway(a *ask, delay time.Duration, now time.Time) time.Duration {
	if a.patience == 0 {
		return delay // no caller is sent away: other targets are open
	}
	back := later(h.callers, now.Add(delay)).Add(h.line.interval()).Sub(now)
	h.callers = now.Add(min(back, maxWait))
	return h.callers.Sub(now)
}

// pause returns how long an instance has to wait with its next question for the
// same account, given how long it takes until it could be granted. Where many ask
// it is longer. Who has callers waiting need not pause while few ask: each of
// them is to get a time of its own.
func (h *home) pause(a *ask, until time.Duration, now time.Time, random func(n int) int) time.Duration {
	if a.confirm {
		return minPause
	}
	stretch := h.denials.count(now)
	until = max(until, minPause)
	switch {
	case stretch > 1:
		until = scaled(until, stretch*(0.75+float64(random(500))/1000))
	case a.patience > 0:
		return 0
	}
	return min(until, maxPause)
}

// prune forgets old replies, once a second.
func (h *home) prune(now time.Time) {
	if now.Sub(h.prunedAt) < time.Second {
		return
	}
	h.prunedAt = now
	for key, r := range h.replies {
		if now.Sub(r.at) > answerTTL {
			delete(h.replies, key)
		}
	}
}

// denialMeter decides by how much pauses are stretched, so that the denied
// questions stay about maxDenials a second. The zero value stretches by 1.
type denialMeter struct {
	second  time.Time // start of the second that is being counted
	denied  int
	stretch float64
}

// count counts a denial and returns the factor for its pause.
func (m *denialMeter) count(now time.Time) float64 {
	if seconds := now.Sub(m.second).Seconds(); seconds >= 1 {
		rate := float64(m.denied) / seconds
		m.stretch *= min(max(rate/maxDenials, 0.5), 2)
		m.second, m.denied = now, 0
	}
	m.denied++
	m.stretch = min(max(m.stretch, 1), maxPause.Seconds()/minPause.Seconds())
	return m.stretch
}

// accountMeter compares what accounts got lately. The zero value has counted
// nothing.
type accountMeter struct {
	since          time.Time
	current, older map[uint64]int
}

// turn starts a new period if the current one is over.
func (m *accountMeter) turn(now time.Time) {
	if now.Sub(m.since) < fairPeriod {
		return
	}
	m.older, m.current, m.since = m.current, map[uint64]int{}, now
}

// count counts permits of an account.
func (m *accountMeter) count(account uint64, permits int, now time.Time) {
	m.turn(now)
	if _, known := m.current[account]; known || len(m.current) < maxAccounts {
		m.current[account] += permits
	}
}

// isHeavy reports whether an account got more than an equal part, where several
// ask.
func (m *accountMeter) isHeavy(account uint64, now time.Time) bool {
	m.turn(now)
	sum, own, others := 0, 0, map[uint64]bool{}
	for _, period := range []map[uint64]int{m.current, m.older} {
		for id, permits := range period {
			sum += permits
			others[id] = true
			if id == account {
				own += permits
			}
		}
	}
	return len(others) > 1 && own*len(others) > sum
}
