package bbreach

import (
	"sync"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

const (
	// maxAskedPerDomain is how many peers of the own failure domain, and how many of the
	// others, are asked to carry one connection.
	maxAskedPerDomain = 2
	// busyTime is how long a peer is not asked that has just declined.
	busyTime = time.Second
)

// Carriers chooses the peers that are asked to carry connections. The zero value has
// asked none. It is safe for concurrent use.
type Carriers struct {
	mu        sync.Mutex
	busyUntil map[bbunit.InstanceID]time.Time
}

// Declined records that a peer does not carry now, or can't be reached.
func (c *Carriers) Declined(id bbunit.InstanceID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busyUntil == nil {
		c.busyUntil = map[bbunit.InstanceID]time.Time{}
	}
	c.busyUntil[id] = now.Add(busyTime)
}

// Choose returns the peers to ask, one after the other: at random some of the own failure
// domain, then some of the others. Random returns a random number below n.
func (c *Carriers) Choose(view *bbmember.View, now time.Time, random func(n int) int) []bbunit.InstanceID {
	var own, other []bbunit.InstanceID
	for _, m := range view.Members {
		switch {
		case m.ID == view.Self.ID || m.Leaving || c.isBusy(m.ID, now):
		case m.Domain == view.Self.Domain:
			own = append(own, m.ID)
		default:
			other = append(other, m.ID)
		}
	}
	return append(pick(own, random), pick(other, random)...)
}

// isBusy reports whether a peer has just declined.
func (c *Carriers) isBusy(id bbunit.InstanceID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.busyUntil[id]
	if ok && !now.Before(until) {
		delete(c.busyUntil, id)
		return false
	}
	return ok
}

// pick moves up to maxAskedPerDomain random ids to the front and returns them.
func pick(ids []bbunit.InstanceID, random func(n int) int) []bbunit.InstanceID {
	n := min(maxAskedPerDomain, len(ids))
	for i := range n {
		j := i + random(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n:n]
}
