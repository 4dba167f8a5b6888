package bbport

import "time"

const (
	// pageTimeout bounds one call of the key-value service for budgets.
	pageTimeout = 2 * time.Second
	// drainPollInterval is how often a drain looks whether all money is returned.
	drainPollInterval = 20 * time.Millisecond
	// drainLinger is how long a drained instance goes on answering keepers.
	drainLinger = 500 * time.Millisecond
	// refreshDelay is when pages are read after the fleet changed: later than an
	// instance must be gone for its holders to be closed.
	refreshDelay = 2500 * time.Millisecond
	// refreshInterval is how often a home page is read without a cause.
	refreshInterval = 5 * time.Minute
	// maxRefreshesPerTick is how many pages are read in one tick.
	maxRefreshesPerTick = 8
	// statusTimeout bounds the wait of an operator for the treasury's status.
	statusTimeout = time.Second
)
