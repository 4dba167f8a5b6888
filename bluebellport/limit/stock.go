package bblimit

import (
	"slices"
	"time"
)

// Permit allows requests to be sent to a target. The zero value allows none.
type Permit struct {
	Count int
	// UsableAt and ExpiresAt bound when it can be used.
	UsableAt, ExpiresAt time.Time
	// limit that it was granted under
	limit float64
	// owner is the round whose request waits for the permit, 0 for any request.
	owner uint64
}

// pause keeps an asker from asking again for a while, and its callers for another.
func (e *entry) pause(asker Asker, d, callers time.Duration, now time.Time) {
	key := asker.key()
	p, known := e.pauses[key]
	if known || len(e.pauses) < maxAccounts {
		e.pauses[key] = pause{later(p.until, now.Add(d)), now.Add(callers)}
	}
}

// stocked reports whether a permit is at hand.
func (e *entry) stocked(now time.Time) bool {
	e.dropStale(now)
	return slices.ContainsFunc(e.stock, func(p Permit) bool { return p.owner == 0 && !now.Before(p.UsableAt) })
}

// stockOutcome puts what a round got in the stock, one permit of it for the
// request that waits.
func (e *entry) stockOutcome(r *round, p Permit) {
	if r.abandoned {
		e.put(p)
		return
	}
	own := p
	own.Count, own.owner = 1, r.id
	e.put(own)
	if p.Count--; p.Count > 0 {
		e.put(p)
	}
}

// disown lets any request take what is kept for the request of a round.
func (e *entry) disown(owner uint64) {
	for i := range e.stock {
		if e.stock[i].owner == owner {
			e.stock[i].owner = 0
		}
	}
}

// take takes a permit of an owner from the stock.
func (e *entry) take(now time.Time, owner uint64) bool {
	e.dropStale(now)
	i := slices.IndexFunc(e.stock, func(p Permit) bool { return p.owner == owner && !now.Before(p.UsableAt) })
	if i < 0 {
		return false
	}
	if e.stock[i].Count--; e.stock[i].Count == 0 {
		e.stock = slices.Delete(e.stock, i, i+1)
	}
	return true
}

// put adds a permit to the stock.
func (e *entry) put(p Permit) {
	if len(e.stock) < maxStock {
		e.stock = append(e.stock, p)
	}
}

// dropStale drops permits that have expired, or that were granted before the
// limit fell.
func (e *entry) dropStale(now time.Time) {
	e.stock = slices.DeleteFunc(e.stock, func(p Permit) bool {
		return now.After(p.ExpiresAt) || e.statement.Limit < fallenFactor*p.limit
	})
}
