package bbproxy

import (
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplan"
)

// hold holds this instance's load back from a target that it can't use, until the target has
// answered again for a while.
func (c *coldTargets) hold(target *Target) {
	if !c.mayBeCold(target.Service) {
		return
	}
	run, now := target.Run(), c.now()
	phase := float64(xxhash.Sum64String(c.instance+"\x00"+string(run.ID))>>11) / (1 << 53)
	c.mu.Lock()
	begins := c.tracker.Unusable(run, c.instances(), phase, now)
	if begins {
		c.holding.Store(true)
	}
	c.mu.Unlock()
	if begins {
		c.log.WithFields(logrus.Fields{"event": "cold", "target": run.ID, "service": target.Service}).Info("target out of use; it gets little until it has answered for a while")
	}
}

// usable tells that a target answers again that this instance could not use.
func (c *coldTargets) usable(target *Target) {
	if c == nil || !c.holding.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Usable(target.Run(), c.now())
}

// isHolding reports whether the load of any target is held back. It takes no lock.
func (c *coldTargets) isHolding() bool { return c != nil && c.holding.Load() }

// maySend reports whether a request may be sent to a target now. If it is sent, spend counts
// it. It takes no lock while no target is held, nor for other services.
func (c *coldTargets) maySend(target *bbplan.Target, spend bool) bool {
	if !c.isHolding() || !c.mayBeCold(target.Service) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.MaySend(target.Run(), spend, c.now())
}
