// Package bbconfirm decides when an instance asks a service for news although it waits for
// them: when the service is not known to have answered any instance of the fleet lately.
//
// A call that waits for news cannot tell a service without news from a connection that has
// fallen silent by itself. An answer to one instance, with the news as of when it came,
// serves all that hear of it, so in a fleet whose instances tell each other one of them
// asks at a time.
package bbconfirm

import (
	"sync"
	"time"
)

const (
	// lookAge is how old the newest confirmation may get before the first in turn asks.
	lookAge = 1250 * time.Millisecond
	// turnStep is how much longer each next one in turn waits, up to maxTurn; all behind
	// it wait as long. A turn passes when the one before has been silent for so long.
	turnStep = 150 * time.Millisecond
	maxTurn  = 3
)

// Newest keeps the newest confirmation: when the service is known to have last answered an
// instance. The zero value knows of none. It is safe for concurrent use.
type Newest struct {
	mu sync.Mutex
	at time.Time
}

// Confirm records that the service has answered an instance at a time.
func (n *Newest) Confirm(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.at) {
		n.at = at
	}
}

// Age returns how old the newest confirmation is, and false if there is none.
func (n *Newest) Age(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at.IsZero() {
		return 0, false
	}
	return now.Sub(n.at), true
}

// DueIn returns how long it is until an instance asks, 0 or less if it is time. Turn is its
// place among those that may ask, from 0.
func (n *Newest) DueIn(now time.Time, turn int) time.Duration {
	age, ok := n.Age(now)
	if !ok {
		return 0
	}
	return lookAge + time.Duration(min(turn, maxTurn))*turnStep - age
}
