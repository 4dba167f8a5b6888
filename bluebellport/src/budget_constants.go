package bbport

import "time"

const (
	// pageTimeout bounds one read or write of a page in the key-value service.
	pageTimeout = 2 * time.Second
	// drainPollInterval is how often Drain checks whether all tokens are
	// returned.
	drainPollInterval = 20 * time.Millisecond
	// drainLinger is how long a drained instance goes on answering allocators.
	drainLinger = 500 * time.Millisecond
	// refreshDelay is how long after a change of the fleet the pages are read:
	// longer than an instance must be gone before its holders are closed.
	refreshDelay = 2500 * time.Millisecond
	// refreshInterval is how often a home page is read without another cause.
	refreshInterval = 5 * time.Minute
	// maxRefreshesPerTick bounds the pages that are read in one tick.
	maxRefreshesPerTick = 8
	// statusTimeout bounds the wait of a status request for the budget loop.
	statusTimeout = time.Second
)
