package bbport

import "time"

const (
	// pageTimeout bounds one call of the key-value service for budgets.
	pageTimeout = 2 * time.Second
	// drainPoll is how often a drain looks whether all money is returned.
	drainPoll = 20 * time.Millisecond
	// drainStay is how long a drained instance goes on answering keepers.
	drainStay = 500 * time.Millisecond
	// visitAfter is when pages are read after the fleet changed: later than an
	// instance must be gone for its holders to be closed.
	visitAfter = 2500 * time.Millisecond
	// visitEvery is how often a home page is read without a cause.
	visitEvery = 5 * time.Minute
	// visitBatch is how many pages are read in one tick.
	visitBatch = 8
	// statusWait bounds the wait of an operator for the treasury's status.
	statusWait = time.Second
)
